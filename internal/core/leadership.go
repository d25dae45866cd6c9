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

// leadership is everything that only a leader has, in parts. Stepping down drops it whole.
type leadership struct {
	scope *engine.Scope // bounds the timers and calls of the leadership's parts

	authority
	inherited
	workload
	reporting
	replicating

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

// authority is the term, the leader lease, and for how long the leader may act by them.
type authority struct {
	term              uint64
	termRevision      uint64 // every write is conditional on it: a late one fails under a successor
	leaseID           uint64
	expiresAt         time.Time // unless a renewal succeeds
	electedAt         time.Time
	clockSkew         time.Duration // of the wall clock, when the last successful renewal was sent
	acknowledged      map[string]bool
	allAcknowledgedAt time.Time // when the last peer had acknowledged the term
	suspended         bool      // without authority: heartbeats are answered, nothing starts
	lastMostlyHeardAt time.Time // when most machines were last heard
	resumedAt         time.Time // when authority was last regained
	verifying         bool      // the store is being asked whether the term is still ours
}

func (a *authority) start(term, rev, leaseID uint64, until, now time.Time, ahead time.Duration) {
	a.term, a.termRevision, a.leaseID, a.expiresAt, a.electedAt, a.clockSkew = term, rev, leaseID, until, now, ahead
}

// inherited is what is left of earlier terms: records to be read, written back or missing, and
// machines that are not accounted for.
type inherited struct {
	loaded            bool                 // the records have been read
	recovery          *failover.Recovery   // while the records are looked for
	restorer          *restore.Restorer    // of records that were lost
	pendingHeartbeats []heartbeat.Received // reports that came while loading
	takingPending     bool                 // there are more of them than go in one step
	unreadableJobs    map[string]bool      // jobs whose records cannot be read
	noEarlierTerm     bool                 // no term was on record before ours
	newerTokens       map[string]uint64    // fencing tokens above our term that workers have seen, by machine
	earlierLeaderLag  time.Duration        // for so long into our term an earlier leader may have led
}

// workload is the jobs and their teams.
type workload struct {
	lifecycle *lifecycle.Manager
	jobs      map[string]*fleet.Job
	admitter  *admission.Admitter
	teams     quota.Accounts
}

// reporting is what the machines have reported.
type reporting struct {
	knownReporters map[string]*forwarder.Worker // workers that reported to us before
}

// replicating keeps the followers' replicas up to date, and learns from theirs.
type replicating struct {
	publisher *replication.Publisher
	scrubber  *replication.Scrubber
	finals    replication.FinalRecordFetch
}

// startParts makes the parts of a leadership that are packages of their own. Its zones and
// its autoscaler have to be there.
func (l *leadership) startParts(c *Core) {
	l.inventory = inventory.New(c.Engine, l.outages.Zones, c.workerLease, l.autoscaler.InstanceType)
	l.machineRecords = inventory.NewRecords(c.Engine, l.scope, c.cfg.Settings.State, l.inventory, recordsLeader{c, l}, l.term)
	l.placement = placement.New(c.Engine, l.scope, c.cfg, placementLeader{l.inventory, c, l}, l.term)
	l.lifecycle = c.newLifecycle()
	l.admitter = c.newAdmitter()
	l.recurring = c.newScheduler(l)
	l.restorer = c.newRestorer(l)
	l.attempts = attempts.New(c.Engine, l.placement, attemptJobs{c, l})
	l.reconciler = reconcile.New(c.Engine, reconcilerLeader{c, l}, l.inventory, l.attempts, l.placement, l.term, c.workerLease)
	l.prober = probe.NewProber(c.Engine, l.scope, proberLeader{c, l}, l.inventory, l.term)
	l.dispatcher = dispatch.New(c.Engine, l.scope, dispatchLeader{c, l}, l.relays, l.placement, l.term)
	l.config = configmanager.New(c.Engine, l.scope, c.cfg, l.writes, configLeader{c, l}, l.term)
}

func newLeadership(cfg *config.Config) *leadership {
	return &leadership{
		authority: authority{acknowledged: map[string]bool{}},
		inherited: inherited{unreadableJobs: map[string]bool{}, newerTokens: map[string]uint64{}},
		workload:  workload{jobs: map[string]*fleet.Job{}, teams: quota.Accounts{}},
	}
}
