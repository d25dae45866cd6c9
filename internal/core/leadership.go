package core

import (
	"time"

	"yewpass/internal/admission"
	"yewpass/internal/attempts"
	"yewpass/internal/autoscaler"
	"yewpass/internal/config"
	"yewpass/internal/configmanager"
	"yewpass/internal/dispatch"
	"yewpass/internal/engine"
	"yewpass/internal/failover"
	"yewpass/internal/fleet"
	"yewpass/internal/forwarder"
	"yewpass/internal/heartbeat"
	"yewpass/internal/inventory"
	"yewpass/internal/lifecycle"
	"yewpass/internal/outage"
	"yewpass/internal/placement"
	"yewpass/internal/probe"
	"yewpass/internal/quota"
	"yewpass/internal/reconcile"
	"yewpass/internal/recurring"
	"yewpass/internal/relaylinks"
	"yewpass/internal/replication"
	"yewpass/internal/restore"
	"yewpass/internal/writebatch"
)

// leadership is the state of one term as leader. It is discarded as a whole on step-down.
type leadership struct {
	scope *engine.Scope // cancels the timers and calls of this term when it is closed

	authority
	failoverState
	workload
	heartbeatState
	replicationState

	inventory      *inventory.Inventory
	machineRecords *inventory.Records
	placement      *placement.Scheduler
	attempts       *attempts.Tracker
	relays         *relaylinks.Links
	dispatcher     *dispatch.Dispatcher
	outages        *outage.Monitor
	reconciler     *reconcile.Reconciler
	prober         *probe.Prober
	writes         *writebatch.Batcher
	recurring      *recurring.Scheduler
	config         *configmanager.Manager
	autoscaler     *autoscaler.Autoscaler
}

// authority is the term, the leader lease and how long the leader may act.
type authority struct {
	term                    uint64
	termRevision            uint64 // of the term record; the condition of every write fences old leaders
	leaseID                 uint64
	expiresAt               time.Time // end of the authority, extended by each lease renewal
	electedAt               time.Time
	clockSkew               time.Duration   // of the wall clock, when the last successful renewal was sent
	termAcks                map[string]bool // peers that have acknowledged the term, by host name
	allAcknowledgedAt       time.Time       // when all peers had acknowledged the term, or zero
	suspended               bool            // authority has expired: heartbeats are answered, no tasks start
	lastMajorityReportingAt time.Time       // last tick at which most machines were reporting
	resumedAt               time.Time       // when authority was last regained
	verifying               bool            // a read of the term record is in flight
}

func (a *authority) start(term, termRevision, leaseID uint64, expiresAt, now time.Time, clockSkew time.Duration) {
	a.term, a.termRevision, a.leaseID, a.expiresAt, a.electedAt, a.clockSkew = term, termRevision, leaseID, expiresAt, now, clockSkew
}

// failoverState holds what a new leader takes over from earlier terms, and the heartbeats that wait
// for it.
type failoverState struct {
	loaded               bool                 // all records have been loaded
	recovery             *failover.Recovery   // determines which records exist; nil once they are loaded
	restorer             *restore.Restorer    // writes lost records back to the store
	pendingHeartbeats    []heartbeat.Received // received before the records were loaded
	pendingScheduled     bool                 // a step that processes more of them is scheduled
	unreadableJobs       map[string]bool      // IDs of jobs whose records cannot be decoded
	noEarlierTerm        bool                 // the store had no record of an earlier term
	newerTokens          map[string]uint64    // fencing tokens above the term, reported by workers, by host
	earlierLeaderOverlap time.Duration        // time after electedAt in which an earlier leader may have acted
}

// workload holds the live jobs and the quota accounts of their teams.
type workload struct {
	lifecycle *lifecycle.Manager
	jobs      map[string]*fleet.Job
	admitter  *admission.Admitter
	teams     quota.Accounts
}

// heartbeatState holds what this node knew from heartbeats before it was elected.
type heartbeatState struct {
	knownReporters map[string]*forwarder.Worker // by host
}

// replicationState keeps the followers' replicas up to date and fetches final records of earlier
// terms from them.
type replicationState struct {
	publisher    *replication.Publisher
	scrubber     *replication.Scrubber
	finalRecords replication.FinalRecordFetch
}

// startComponents constructs the components. The outage monitor, autoscaler, write batcher, relay
// links and publisher must already be set.
func (l *leadership) startComponents(c *Core) {
	l.inventory = inventory.New(c.Engine, l.outages.Zones, c.workerLease, l.autoscaler.InstanceType)
	l.machineRecords = inventory.NewRecords(c.Engine, l.scope, c.cfg.Settings.State, l.inventory, inventoryLeader{c, l}, l.term)
	l.placement = placement.New(c.Engine, l.scope, c.cfg, placementLeader{l.inventory, c, l}, l.term)
	l.lifecycle = c.newLifecycle()
	l.admitter = c.newAdmitter()
	l.recurring = c.newRecurringScheduler(l)
	l.restorer = c.newRestorer(l)
	l.attempts = attempts.New(c.Engine, l.placement, attemptJobs{c, l})
	l.reconciler = reconcile.New(c.Engine, reconcileLeader{c, l}, l.inventory, l.attempts, l.placement, l.term, c.workerLease)
	l.prober = probe.NewProber(c.Engine, l.scope, probeLeader{c, l}, l.inventory, l.term)
	l.dispatcher = dispatch.New(c.Engine, l.scope, dispatchLeader{c, l}, l.relays, l.placement, l.term)
	l.config = configmanager.New(c.Engine, l.scope, c.cfg, l.writes, configLeader{c, l}, l.term)
}

func newLeadership(cfg *config.Config) *leadership {
	return &leadership{
		authority:     authority{termAcks: map[string]bool{}},
		failoverState: failoverState{unreadableJobs: map[string]bool{}, newerTokens: map[string]uint64{}},
		workload:      workload{jobs: map[string]*fleet.Job{}, teams: quota.Accounts{}},
	}
}
