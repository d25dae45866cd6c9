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

func withDrift(d time.Duration) time.Duration { return lease.WithDrift(d) }

// Core is one controller.
type Core struct {
	*engine.Engine

	cfg *config.Config
	pol *policy.Policy
	cal *calendar.Set
	reg *zones.Regions

	election        *election.Election
	processID       uint64 // of this process: tells it from one of the same name that ended before
	leadership      *leadership
	config          *configmanager.Node // the live configuration, whoever leads
	observed        recovery.Observed   // what we have seen of the state service
	dataLossReason  string              // why it must have lost data, until somebody leads who knows
	replicas        *replication.Replicas
	jobs            *jobstore.Reader
	gateway         *gateway.Gateway
	forwarder       *forwarder.Forwarder
	store           storeHealth
	staleHeartbeats int64 // reports that were older than what was known

	heartbeatInterval, workerLease time.Duration
	leaseTiming                    lease.Timing
}

// storeHealth is how the state service serves this node.
type storeHealth struct {
	available bool
	servedAt  time.Time // when it last did
}

// New returns a controller that has not begun; give it a Tick to begin.
func New(cfg *config.Config, pol *policy.Policy, cal *calendar.Set, seed uint64) *Core {
	// A process may follow another of its name within a fraction of a second, and what
	// the leader answers to a call of the former one reaches the new one's link. Were both
	// to count from 1, a user would be told about somebody else's job.
	identity := rand.New(rand.NewPCG(seed, seed^0xd1b54a32d192ed03))
	processID := identity.Uint64()>>11 | 1 // what JSON readers of any kind take whole
	firstRef := identity.Uint64N(1 << 48)
	c := &Core{
		Engine:            engine.New(rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), firstRef),
		cfg:               cfg,
		pol:               pol,
		cal:               cal,
		processID:         processID,
		store:             storeHealth{available: true},
		heartbeatInterval: cfg.Settings.Workers.Report.Duration(),
		workerLease:       cfg.Settings.Workers.Lease.Duration(),
	}
	c.forwarder = forwarder.New(c.Engine, forwarderView{c}, cfg)
	c.leaseTiming = lease.Timing{LeaderLease: leaseTTL, WorkerLease: c.workerLease, CancelTimeout: cfg.Settings.Workers.Cancel.Duration()}
	c.election = election.New(c.Engine, cfg, c.leaseTiming, processID, electionHost{c})
	c.replicas = replication.New(c.Engine, cfg, replicationHost{c})
	c.jobs = jobstore.NewReader(c.Engine, cfg.Settings.State.RPS, 1+len(cfg.Seeds), replication.MaxFinalRecords(cfg))
	c.gateway = gateway.New(c.Engine, gatewayController{c}, cfg, pol, c.jobs, c.replicas)
	c.config = configmanager.NewNode(c.Engine, cfg)
	c.ObserveStore = c.observeStoreCall
	return c
}

// SetRegions tells which zones lie in which region; to be called before the first Step.
func (c *Core) SetRegions(r *zones.Regions) { c.reg = r }

// Step takes one input and returns what follows from it. The slice is valid
// until the next call.
func (c *Core) Step(now time.Time, in any) []any {
	if c.Begin(now) {
		c.start()
	}
	c.RunTimers()
	c.handle(in)
	if c.leadership != nil {
		c.runLeader() // which may end the leadership
	}
	if l := c.leadership; l != nil {
		l.relays.Flush()
	} else {
		c.forwarder.Run()
	}
	return c.Outputs
}

// start begins the work of the process with its first step.
func (c *Core) start() {
	if short := c.leaseTiming.Shortfall(); short != "" {
		c.Log(slog.LevelWarn, "settings leave little margin", "field", "workers.cancel_s", "lease", c.workerLease, "cancel", c.leaseTiming.CancelTimeout, "effect", short)
	}
	c.election.Watch()
	if len(c.cfg.Seeds) == 0 {
		return
	}
	c.forwarder.Tick()
	c.gateway.Start()
}

// handle takes in one input.
func (c *Core) handle(in any) {
	switch in := in.(type) {
	case Tick:
	case request.Request:
		c.handleRequest(in)
	case heartbeat.Received:
		c.handleHeartbeat(in)
	case heartbeat.Abandoned:
		c.dropHeartbeat(in.Ref)
	case kv.Response:
		c.noteStoreOutcome(in.Outcome)
		c.HandleStore(in)
	case provider.Response:
		c.HandleCloud(in)
	case heartbeat.ProbeReply:
		c.HandleProbe(in)
	case peermsg.Received:
		c.handlePeerMessage(in)
	case peermsg.LinkChange:
		c.handleLinkChange(in)
	case Leave:
		c.leave()
	}
}

// observeStoreCall notes what had been seen of the store when a call was sent, and
// returns what is to see its response.
func (c *Core) observeStoreCall() func(kv.Response) {
	revision, era := c.observed.Revision, c.observed.Era
	return func(r kv.Response) { c.observeRevision(r.Rev, revision, era) }
}

// storeOutageThreshold is for how long calls must go unserved for it to be worth a word: a few are
// refused now and then when more come at once than the allowance has room for.
const storeOutageThreshold = 500 * time.Millisecond

// noteStoreOutcome logs when the state service goes away and comes back.
func (c *Core) noteStoreOutcome(o rpc.Outcome) {
	up := o != rpc.Refused && o != rpc.Unknown
	if up {
		c.store.servedAt = c.Now
	}
	if up == c.store.available || !up && c.Now.Sub(c.store.servedAt) < storeOutageThreshold {
		return
	}
	c.store.available = up
	if up {
		c.Log(slog.LevelInfo, "state service available again")
	} else {
		c.Log(slog.LevelWarn, "state service unavailable")
	}
}

// Ready reports whether the node can take requests: it leads, or knows who
// does, or can at least read the state service for its users.
func (c *Core) Ready() bool {
	if l := c.leadership; l != nil {
		// Out of authority, and no peer in reach that would know of another leader:
		// users are served better anywhere else.
		alone := len(c.cfg.Seeds) > 0 && l.suspended && c.Now.Sub(l.expiresAt) > readyWithoutLink && !c.election.IsLinkedToAny()
		return l.loaded && !alone
	}
	return c.election.Leader() != "" && (c.election.IsLinkedToLeader() || c.store.available && c.Now.Sub(c.election.LinkLostAt()) < readyWithoutLink)
}

// readyWithoutLink is how long a node that has lost its link to the leader counts as
// ready all the same: a change of leader is over sooner. Without the link it can
// only send submissions away; those who ask should be led to other nodes.
const readyWithoutLink = 4 * time.Second

// HasAuthority reports whether the node leads and has authority at the given time.
func (c *Core) HasAuthority(now time.Time) bool {
	return c.leadership != nil && now.Before(c.leadership.expiresAt) && c.ClockSkew(now)-c.leadership.clockSkew < lease.MaxHiddenPause
}
