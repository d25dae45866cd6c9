package core

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"yewpass/internal/calendar"
	"yewpass/internal/config"
	"yewpass/internal/configmanager"
	"yewpass/internal/election"
	"yewpass/internal/engine"
	"yewpass/internal/forwarder"
	"yewpass/internal/gateway"
	"yewpass/internal/heartbeat"
	"yewpass/internal/jobstore"
	"yewpass/internal/kv"
	"yewpass/internal/lease"
	"yewpass/internal/peermsg"
	"yewpass/internal/policy"
	"yewpass/internal/provider"
	"yewpass/internal/recovery"
	"yewpass/internal/replication"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/zones"
)

func addClockDrift(d time.Duration) time.Duration { return lease.WithDrift(d) }

// Core is the state machine of one controller process. It is not safe for concurrent use.
type Core struct {
	*engine.Engine

	cfg       *config.Config
	pol       *policy.Policy
	calendars *calendar.Set
	regions   *zones.Regions

	election        *election.Election
	processID       uint64              // distinguishes this process from an earlier one on the same host
	leadership      *leadership         // nil while this node is not the leader
	config          *configmanager.Node // the live configuration on any node, leader or not
	observed        recovery.Observed   // highest era, term and revision seen in the key-value store
	dataLossReason  string              // evidence of a data loss that no leader has handled yet, or ""
	replicas        *replication.Replicas
	jobReader       *jobstore.Reader
	gateway         *gateway.Gateway
	forwarder       *forwarder.Forwarder
	store           storeHealth
	staleHeartbeats int64 // heartbeats refused because they were older than the known state

	heartbeatInterval, workerLease time.Duration
	leaseTiming                    lease.Timing
}

// storeHealth tracks whether the key-value store answers this node's calls.
type storeHealth struct {
	available    bool
	lastServedAt time.Time // last response other than refused or unknown
}

// New returns a controller that is idle until its first Step. The seed determines every random
// choice, so equal seeds and inputs give equal outputs.
func New(cfg *config.Config, pol *policy.Policy, cal *calendar.Set, seed uint64) *Core {
	// Call references start at a random number, so that a response to a call of the previous
	// process never matches another user's request.
	identity := rand.New(rand.NewPCG(seed, seed^0xd1b54a32d192ed03))
	processID := identity.Uint64()>>11 | 1 // 53 bits: exact as a JSON number
	firstRef := identity.Uint64N(1 << 48)
	c := &Core{
		Engine:            engine.New(rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), firstRef),
		cfg:               cfg,
		pol:               pol,
		calendars:         cal,
		processID:         processID,
		store:             storeHealth{available: true},
		heartbeatInterval: cfg.Settings.Workers.Report.Duration(),
		workerLease:       cfg.Settings.Workers.Lease.Duration(),
	}
	c.forwarder = forwarder.New(c.Engine, forwarderController{c}, cfg)
	c.leaseTiming = lease.Timing{LeaderLease: leaseTTL, WorkerLease: c.workerLease, CancelTimeout: cfg.Settings.Workers.Cancel.Duration()}
	c.election = election.New(c.Engine, cfg, c.leaseTiming, processID, electionHost{c})
	c.replicas = replication.New(c.Engine, cfg, replicationController{c})
	c.jobReader = jobstore.NewReader(c.Engine, cfg.Settings.State.RPS, 1+len(cfg.Seeds), replication.MaxFinalRecords(cfg))
	c.gateway = gateway.New(c.Engine, gatewayController{c}, cfg, pol, c.jobReader, c.replicas)
	c.config = configmanager.NewNode(c.Engine, cfg)
	c.ObserveStore = c.observeStoreCall
	return c
}

// SetRegions sets which zones belong to which region. It must be called before the first Step.
func (c *Core) SetRegions(r *zones.Regions) { c.regions = r }

// Step processes one input at the given time and returns the outputs: messages, store and cloud
// calls, replies and log entries. The returned slice is valid until the next call.
func (c *Core) Step(now time.Time, in any) []any {
	if c.Begin(now) {
		c.start()
	}
	c.RunTimers()
	c.handle(in)
	if c.leadership != nil {
		c.runLeader() // may end the leadership
	}
	if l := c.leadership; l != nil {
		l.relays.Flush()
	} else {
		c.forwarder.Run()
	}
	return c.Outputs
}

func (c *Core) start() {
	if shortfall := c.leaseTiming.MarginWarning(); shortfall != "" {
		c.Log(slog.LevelWarn, "settings leave little margin", "field", "workers.cancel_s", "lease", c.workerLease, "cancel", c.leaseTiming.CancelTimeout, "effect", shortfall)
	}
	c.election.Watch()
	if len(c.cfg.Seeds) == 0 {
		return
	}
	c.forwarder.Tick()
	c.gateway.Start()
}

func (c *Core) handle(in any) {
	switch in := in.(type) {
	case Tick:
	case request.Request:
		c.handleRequest(in)
	case heartbeat.Received:
		c.handleHeartbeat(in)
	case heartbeat.Abandoned:
		c.abandonLocalHeartbeat(in.Ref)
	case kv.Response:
		c.updateStoreHealth(in.Outcome)
		c.HandleStore(in)
	case provider.Response:
		c.HandleCloud(in)
	case heartbeat.ProbeReply:
		c.HandleProbe(in)
	case peermsg.Received:
		c.handlePeerMessage(in)
	case peermsg.LinkChange:
		c.handleLinkChange(in)
	case Shutdown:
		c.handleShutdown()
	}
}

// observeStoreCall is called when a store call is sent. It returns a function that checks the
// response's revision against the revision and the era known by then.
func (c *Core) observeStoreCall() func(kv.Response) {
	revision, era := c.observed.Revision, c.observed.Era
	return func(r kv.Response) { c.observeRevision(r.Rev, revision, era) }
}

// storeOutageThreshold is how long calls must fail before an outage is logged. Calls above the rate
// limit cause short bursts of refusals.
const storeOutageThreshold = 500 * time.Millisecond

// updateStoreHealth tracks and logs the availability of the key-value store.
func (c *Core) updateStoreHealth(o rpc.Outcome) {
	up := o != rpc.Refused && o != rpc.Unknown
	if up {
		c.store.lastServedAt = c.Now
	}
	if up == c.store.available || !up && c.Now.Sub(c.store.lastServedAt) < storeOutageThreshold {
		return
	}
	c.store.available = up
	if up {
		c.Log(slog.LevelInfo, "key-value store available again")
	} else {
		c.Log(slog.LevelWarn, "key-value store unavailable")
	}
}

// Ready reports whether the node can serve requests. A leader is ready once its records are loaded,
// unless it is isolated. Another node is ready if it is linked to the leader, or lost that link
// recently and the key-value store answers.
func (c *Core) Ready() bool {
	if l := c.leadership; l != nil {
		// Without authority or links, this node can neither act nor learn of a new leader.
		isolated := len(c.cfg.Seeds) > 0 && l.suspended && c.Now.Sub(l.expiresAt) > readyLinkLossGrace && !c.election.IsLinkedToAny()
		return l.loaded && !isolated
	}
	return c.election.Leader() != "" && (c.election.IsLinkedToLeader() || c.store.available && c.Now.Sub(c.election.LinkLostAt()) < readyLinkLossGrace)
}

// readyLinkLossGrace is how long a node stays ready after it lost its link to the leader. It is
// longer than a change of leader takes. Without the link the node can only reject
// submissions, so clients are better served by other nodes.
const readyLinkLossGrace = 4 * time.Second

// HasAuthority reports whether the node is the leader and may act at the given time: its lease has
// not expired, and the wall clock shows no pause that the steady clock has missed.
func (c *Core) HasAuthority(now time.Time) bool {
	return c.leadership != nil && now.Before(c.leadership.expiresAt) && c.ClockSkew(now)-c.leadership.clockSkew < lease.MaxHiddenPause
}
