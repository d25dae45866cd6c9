package core

import (
	"log/slog"
	"math/rand/v2"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"

	"yewpass/internal/calendar"
	"yewpass/internal/config"
	"yewpass/internal/heartbeat"
	"yewpass/internal/kv"
	"yewpass/internal/lease"
	"yewpass/internal/peermsg"
	"yewpass/internal/policy"
	"yewpass/internal/provider"
	"yewpass/internal/record"
	"yewpass/internal/recovery"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/zones"
)

// Times of the leader's grant.
const (
	leaseTTL           = 2 * time.Second
	leaseRenewInterval = 400 * time.Millisecond
	storeTimeout       = 1500 * time.Millisecond
)

func withDrift(d time.Duration) time.Duration { return lease.WithDrift(d) }

// Core is one controller.
type Core struct {
	cfg     *config.Config
	pol     *policy.Policy
	cal     *calendar.Set
	reg     *zones.Regions
	Rand    *rand.Rand
	Now     time.Time
	Outputs []any

	clockOffset time.Duration
	StartedAt   time.Time // the first input

	processID             uint64 // of this process: tells it from one of the same name that ended before
	LastRef               uint64
	pendingStore          map[uint64]func(kv.Response)
	pendingCloud          map[uint64]func(provider.Response)
	pendingProbes         map[uint64]func(heartbeat.ProbeReply)
	forwardedRequests     map[uint64]*forwarded // users' requests at the leader's
	timers                timerHeap[func()]     // alarms: a large fleet has one for nearly every machine
	leadership            *leadership
	knownLeader           string            // who leads, as far as we know
	leaderVersion         uint64            // the version that it talks in
	configConfirmedAt     time.Time         // when the leader last told us that our configuration is the newest
	highestTerm           uint64            // the highest term heard of
	lastClaimRef          uint64            // calls numbered up to this one were made before it was heard of
	leaderKeyRevision     uint64            // of the leader's key when it was last read
	firstStoreRevision    uint64            // of the state service when it first answered this process
	observed              recovery.Observed // what we have seen of the state service
	dataLossReason        string            // why it must have lost data, until somebody leads who knows
	lastLedTerm           uint64            // the last term that we led
	replicas              replicas
	confirmedTerm         uint64 // the newest that the state service has told us of
	confirmedTermRevision uint64 // at which it is on record
	links                 map[string]bool
	leaderLinkLostAt      time.Time                        // since when we have no link to the leader that we know
	finals                *lru.Cache[string, record.Final] // how recent jobs ended
	relay                 relayState
	handedOverAt          time.Time               // when we last handed over
	instanceTypes         []provider.InstanceType // as read while not leading
	leaderlessLimit       *rate.Limiter
	readLimit             *rate.Limiter
	storeAvailable        bool
	storeServedAt         time.Time // when the state service last served us
	staleHeartbeats       int64     // reports that were older than what was known

	heartbeatInterval, workerLease time.Duration
	leaseTiming                    lease.Timing
}

// New returns a controller that has not begun; give it a Tick to begin.
func New(cfg *config.Config, pol *policy.Policy, cal *calendar.Set, seed uint64) *Core {
	final, _ := lru.New[string, record.Final](maxFinals(cfg)) // errs only for a size below 1
	c := &Core{
		cfg: cfg, pol: pol, cal: cal, Rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		pendingStore: map[uint64]func(kv.Response){}, pendingCloud: map[uint64]func(provider.Response){}, pendingProbes: map[uint64]func(heartbeat.ProbeReply){},
		replicas: replicas{transfers: map[string]*transfer{}}, forwardedRequests: map[uint64]*forwarded{}, links: map[string]bool{}, finals: final, relay: newRelayState(), storeAvailable: true,
		readLimit:         newReadLimit(cfg.Settings.State.RPS, 1+len(cfg.Seeds)),
		heartbeatInterval: cfg.Settings.Workers.Report.Duration(),
		workerLease:       cfg.Settings.Workers.Lease.Duration(),
	}
	c.leaderlessLimit = newLeaderlessLimit(cfg.Settings.State.WriteRPS, 1+len(cfg.Seeds))
	// A process may follow another of its name within a fraction of a second, and what
	// the leader answers to a call of the former one reaches the new one's link. Were both
	// to count from 1, a user would be told about somebody else's job.
	lives := rand.New(rand.NewPCG(seed, seed^0xd1b54a32d192ed03))
	c.processID = lives.Uint64()>>11 | 1 // what JSON readers of any kind take whole
	c.LastRef = lives.Uint64N(1 << 48)
	c.leaseTiming = lease.Timing{LeaderLease: leaseTTL, WorkerLease: c.workerLease, CancelTimeout: cfg.Settings.Workers.Cancel.Duration()}
	return c
}

// SetRegions tells which zones lie in which region; to be called before the first Step.
func (c *Core) SetRegions(r *zones.Regions) { c.reg = r }

// Step takes one input and returns what follows from it. The slice is valid
// until the next call.
func (c *Core) Step(now time.Time, in any) []any {
	first := c.Now.IsZero()
	c.Now = now
	c.Outputs = c.Outputs[:0]
	if first {
		c.StartedAt = now
		if short := c.leaseTiming.Shortfall(); short != "" {
			c.Log(slog.LevelWarn, "settings leave little room", "field", "workers.cancel_s", "lease", c.workerLease, "cancel", c.leaseTiming.CancelTimeout, "effect", short)
		}
		c.watchLeader()
		if len(c.cfg.Seeds) > 0 {
			c.tickRelay()
			// Not at once: a process that ends again and again would use up what calls
			// the cloud allows to all of them.
			c.After(c.Jitter(instanceTypesFirstRead), c.refreshInstanceTypes)
		}
	}
	c.RunTimers()
	switch in := in.(type) {
	case Tick:
	case request.Request:
		c.userCall(in)
	case heartbeat.Received:
		c.handleHeartbeat(in)
	case heartbeat.Abandoned:
		c.dropHeartbeat(in.Ref)
	case kv.Response:
		c.noteStoreOutcome(in.Outcome)
		settle(c.pendingStore, in.Ref, in)
	case provider.Response:
		settle(c.pendingCloud, in.Ref, in)
	case heartbeat.ProbeReply:
		settle(c.pendingProbes, in.Ref, in)
	case peermsg.Received:
		c.peerIn(in)
	case peermsg.LinkChange:
		c.peerLink(in)
	case Leave:
		c.leave()
	}
	if c.leadership != nil {
		c.runLeader()
		c.flushRelayReplies()
	}
	if c.leadership == nil {
		c.runRelay()
	}
	return c.Outputs
}

// SetClockOffset moves the time of day against the clock of Step's now, for drivers
// whose times carry no separate steady reading. In a process now carries both,
// and a time of day that is set back moves by itself.
func (c *Core) SetClockOffset(d time.Duration) { c.clockOffset = d }

// TimeOfDay is the time of day. Schedules go by it, and by nothing else.
func (c *Core) TimeOfDay() time.Time { return c.Now.Round(0).Add(c.clockOffset) }

// settle hands a reply to whoever waits for it.
func settle[R any](waiting map[uint64]func(R), ref uint64, r R) {
	if f := waiting[ref]; f != nil {
		delete(waiting, ref)
		f(r)
	}
}

// NextWake returns when the core next wants a Tick.
func (c *Core) NextWake() time.Time {
	at := c.Now.Add(time.Second)
	if c.timers.Len() > 0 {
		if first, _ := c.timers.First(); first.Before(at) {
			at = first
		}
	}
	return at
}

// After has f called once d has passed.
func (c *Core) After(d time.Duration, f func()) {
	c.timers.Push(c.Now.Add(d), f)
}

func (c *Core) RunTimers() {
	for c.timers.Len() > 0 {
		if at, _ := c.timers.First(); at.After(c.Now) {
			return
		}
		c.timers.Pop()()
	}
}

func (c *Core) Emit(o any) { c.Outputs = append(c.Outputs, o) }

func (c *Core) Log(level slog.Level, text string, attrs ...any) {
	c.Emit(LogEntry{level, text, attrs})
}

func (c *Core) NextRef() uint64 {
	c.LastRef++
	return c.LastRef
}

func (c *Core) CallStore(call kv.Request, f func(kv.Response)) {
	call.Ref = c.NextRef()
	if call.Timeout == 0 {
		call.Timeout = storeTimeout
	}
	seen, era := c.observed.Revision, c.observed.Era
	c.pendingStore[call.Ref] = func(r kv.Response) {
		c.observeRevision(r.Rev, seen, era)
		f(r)
	}
	c.Emit(call)
}

func (c *Core) CallCloud(call provider.Request, f func(provider.Response)) {
	call.Ref = c.NextRef()
	call.Timeout = 4 * time.Second
	c.pendingCloud[call.Ref] = f
	c.Emit(call)
}

// Jitter returns between half of d and d and a half.
func (c *Core) Jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.Rand.Int64N(int64(d)+1))
}

// userReadShare is how much of the requests that the state service allows goes into reads for
// users' calls: so much at the leader, and so much at all other nodes together. Each node
// for itself may not take what all of them share: when users ask about unknown and
// forgotten jobs many times as often, renewals of the grant would be refused with them.
const userReadShare = 0.25

func newReadLimit(rps float64, nodes int) *rate.Limiter {
	each := rps * userReadShare / float64(nodes)
	return rate.NewLimiter(rate.Limit(each), max(2, int(each))) // a poll may take two
}

// storeOutageThreshold is for how long calls must go unserved for it to be worth a word: a few are
// refused now and then when more come at once than the allowance has room for.
const storeOutageThreshold = 500 * time.Millisecond

// noteStoreOutcome logs when the state service goes away and comes back.
func (c *Core) noteStoreOutcome(o rpc.Outcome) {
	up := o != rpc.Refused && o != rpc.Unknown
	if up {
		c.storeServedAt = c.Now
	}
	if up == c.storeAvailable || !up && c.Now.Sub(c.storeServedAt) < storeOutageThreshold {
		return
	}
	c.storeAvailable = up
	if up {
		c.Log(slog.LevelInfo, "state service answers again")
	} else {
		c.Log(slog.LevelWarn, "state service does not serve us")
	}
}

// Ready reports whether the node can take requests: it leads, or knows who
// does, or can at least read the state service for its users.
func (c *Core) Ready() bool {
	if l := c.leadership; l != nil {
		// Out of authority, and no peer in reach that would know of another leader:
		// users are served better anywhere else.
		alone := len(c.cfg.Seeds) > 0 && l.suspended && c.Now.Sub(l.expiresAt) > readyWithoutLink && !c.hasAnyLink()
		return l.loaded && !alone
	}
	return c.knownLeader != "" && (c.links[c.knownLeader] || c.storeAvailable && c.Now.Sub(c.leaderLinkLostAt) < readyWithoutLink)
}

// hasLeaderLink reports whether we know who leads and have a link to it.
func (c *Core) hasLeaderLink() bool { return c.knownLeader != "" && c.links[c.knownLeader] }

// hasAnyLink reports whether we have a link to any other controller.
func (c *Core) hasAnyLink() bool {
	for _, up := range c.links {
		if up {
			return true
		}
	}
	return false
}

// readyWithoutLink is how long a node that has lost its link to the leader counts as
// ready all the same: a change of leader is over sooner. Without the link it can
// only send submissions away; those who ask should be led to other nodes.
const readyWithoutLink = 4 * time.Second

// HasAuthority reports whether the node leads and has authority at the given time.
func (c *Core) HasAuthority(now time.Time) bool {
	return c.leadership != nil && now.Before(c.leadership.expiresAt) && c.ClockSkew(now)-c.leadership.clockSkew < lease.MaxHiddenPause
}

// ClockSkew is how far the time of day has run ahead of the steady clock so far. A machine that
// was put to sleep wakes with a steady clock that has stood still: by that it would still
// lead, long after its grant. A time of day that is set costs no more than the time to the
// next renewal.
func (c *Core) ClockSkew(now time.Time) time.Duration {
	return now.Round(0).Add(c.clockOffset).Sub(c.StartedAt.Round(0)) - now.Sub(c.StartedAt)
}
