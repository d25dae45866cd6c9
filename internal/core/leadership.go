package core

import (
	"time"

	"yewpass/internal/autoscaler"
	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/expiringset"
	"yewpass/internal/fleet"
	"yewpass/internal/forwarder"
	"yewpass/internal/heartbeat"
	"yewpass/internal/placement"
	"yewpass/internal/quota"
	"yewpass/internal/relaylinks"
	"yewpass/internal/replica"
	"yewpass/internal/replication"
	"yewpass/internal/topology"
	"yewpass/internal/writebatch"
	"yewpass/internal/zones"
)

// leadership is everything that only a leader has, in parts. Stepping down drops it whole.
type leadership struct {
	scope *engine.Scope // bounds the timers and calls of the leadership's parts

	authority
	failover
	workload
	inventory
	dispatching
	replicating

	placement  *placement.Scheduler
	relays     *relaylinks.Links
	zones      *zones.Watch
	regions    *zones.RegionWatch
	places     *topology.Tree
	writes     writebatch.Batcher
	schedules  scheduler
	config     liveConfig
	autoscaler *autoscaler.Autoscaler

	holdIdle, holdBusy time.Duration
	reportBudget       float64 // bytes a second that control may take of a worker's network; 0: no bound
}

// authority is the term, its grant, and for how long the leader may act by it.
type authority struct {
	term              uint64
	termRevision      uint64 // every write is conditional on it: a late one fails under a successor
	leaseID           uint64
	expiresAt         time.Time     // authority ends here unless a renewal succeeds
	electedAt         time.Time     // elected
	clockSkew         time.Duration // of the time of day, when the last good renewal was sent
	acknowledged      map[string]bool
	allAcknowledgedAt time.Time // when the last peer had taken note of our term
	suspended         bool      // out of authority, answering reports only
	lastMostlyHeardAt time.Time // before this, most machines were heard
	resumedAt         time.Time // when authority last came back
	verifying         bool      // whether the term is still ours is being looked into
}

func (a *authority) start(term, rev, grant uint64, until, now time.Time, ahead time.Duration) {
	a.term, a.termRevision, a.leaseID, a.expiresAt, a.electedAt, a.clockSkew = term, rev, grant, until, now, ahead
}

// failover is what is left of earlier terms: records to be read, written back or missing, and
// machines that are not accounted for.
type failover struct {
	loaded                   bool                 // the records have been read
	recovery                 *recoveryState       // while the records are looked for
	loss                     *dataLoss            // after a loss
	restoring                []replica.Record     // still to be written back
	schedulesRestoring       int                  // of them, those that schedules are read from
	pendingHeartbeats        []heartbeat.Received // reports that came while loading
	takingPending            bool                 // there are more of them than go in one step
	unaccounted              map[string]bool      // recorded machines that may hold an earlier term's tasks
	unreadableJobs           map[string]bool      // jobs whose records cannot be read
	unreadableMachineRecords map[string]uint64    // records of machines that cannot be read, by key; owed as well
	noEarlierTerm            bool                 // no term was on record before ours
	newerTokens              map[string]uint64    // epochs above our term that workers have seen, by machine
	earlierLeaderLag         time.Duration        // for so long into our term an earlier leader may have led
	probeQueue               []*fleet.Machine     // see probeUnaccounted
	probesInFlight           int                  // probes on their way
}

// workload is the jobs and their teams.
type workload struct {
	jobs   map[string]*fleet.Job
	accept map[string]*admission
	teams  quota.Accounts
}

// inventory is the machines, the records that name them, and by which controllers they report.
type inventory struct {
	machines       map[string]*fleet.Machine
	fleet          []*fleet.Machine             // the same, by name
	released       expiringset.Set              // released, proven gone: their late reports count for nothing
	recordCount    uint64                       // records of machines begun in this term
	records        []*fleet.Record              // the records of the machines
	knownReporters map[string]*forwarder.Worker // workers that reported to us before
	heartbeatCount uint64                       // reports taken in
}

// dispatching is the replies that are held, and when they are looked at again.
type dispatching struct {
	heldReplies       map[fleet.HeartbeatKey]*fleet.Machine // whose replies are held
	pendingDispatch   []*fleet.Machine                      // see poke
	dispatchAll       bool                                  // machines whose replies are held may have something to start
	nextDispatch      time.Time                             // not before this again
	dispatchScheduled bool                                  // and then it is seen to
}

// replicating keeps the followers' replicas up to date, and learns from theirs.
type replicating struct {
	publisher *replication.Publisher
	scrubber  *replication.Scrubber
	finals    replication.FinalsFetch
}

func newLeadership(cfg *config.Config, now time.Time) *leadership {
	return &leadership{
		authority:   authority{acknowledged: map[string]bool{}},
		failover:    failover{unaccounted: map[string]bool{}, unreadableJobs: map[string]bool{}, unreadableMachineRecords: map[string]uint64{}, newerTokens: map[string]uint64{}},
		workload:    workload{jobs: map[string]*fleet.Job{}, accept: map[string]*admission{}, teams: quota.Accounts{}},
		inventory:   inventory{released: expiringset.New(now), machines: map[string]*fleet.Machine{}},
		dispatching: dispatching{heldReplies: map[fleet.HeartbeatKey]*fleet.Machine{}},
		writes:      writebatch.New(cfg.Settings.State),
		schedules:   newSchedules(),
		config:      newConfiguring(cfg),
	}
}
