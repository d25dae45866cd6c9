// Package failover recovers the records at the start of a new leader's term, before the leader acts
// on them. It reads the store, asks the other controllers what they have observed of it, and after
// a data loss merges the newest replica. Package recovery implements the decisions; package core
// loads the outcome.
package failover

import (
	"time"

	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/kv"
	"yewpass/internal/lease"
	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/recovery"
	"yewpass/internal/replica"
	"yewpass/internal/replication"
	"yewpass/internal/rpc"
)

const (
	queryInterval       = 100 * time.Millisecond
	peerResponseTimeout = 300 * time.Millisecond
	// UnknownHistoryTimeout is how long to wait for peers if the store has lost data or this
	// node knows of no earlier term.
	UnknownHistoryTimeout = time.Second
	replicaTimeout        = 5 * time.Second // between two lines of a replica transfer
	retryDelay            = 200 * time.Millisecond
	pageSize              = 400 // live records per page
)

// Term is the term whose leader recovers the records.
type Term struct {
	Number      uint64
	ProcessID   uint64        // identifies this process
	LeaderLease time.Duration // bounds how long an earlier leader may keep its authority

	Observed        recovery.Observed // state of the store observed before the campaign
	Read            recovery.TermRead // term record as read during the campaign
	LossReason      string            // why the store must have lost data, or ""
	LedPreviousTerm bool              // this process led the newest term in Observed
}

// Leader is the leader that a Recovery works for.
type Leader interface {
	// Observed returns the state of the store observed so far, including the new term.
	Observed() recovery.Observed
	// IsLinked reports whether the link to peer is up.
	IsLinked(peer string) bool
	// EndTerm ends the new term, because a peer knows another term that is not below it.
	EndTerm(higher uint64)
	// Recovered is called once, when the recovery is complete.
	Recovered(*Outcome)
}

// Recovery recovers the records at the start of one term. It is not safe for concurrent use.
type Recovery struct {
	engine   *engine.Engine
	scope    *engine.Scope
	cfg      *config.Config
	replicas *replication.Replicas
	leader   Leader

	term       Term
	startedAt  time.Time
	stored     []replica.Record              // live records read from the store
	allStored  bool                          // stored is complete
	peerStates map[string]*peermsg.PeerState // responses by peer
	phase      phase

	recordsMissing       bool // the store lacks records that a replica has
	fetch                fetch
	replica              *replica.Replica // replica to restore from, or nil
	finalRecordsSource   string           // peer to fetch final records from, or ""
	earlierLeaderOverlap time.Duration
}

// phase is the progress of a recovery.
type phase int

const (
	collecting    phase = iota // reading the store and waiting for the peers
	resolvingJobs              // looking up the final records of jobs that only the replica has
	merged                     // the outcome has been passed to the leader
)

// fetch is the state of a replica transfer from a peer.
type fetch struct {
	source   string // peer that the replica was requested from; "" if none
	deadline time.Time
	receiver replica.Receiver
	failed   map[string]bool // peers whose transfer timed out
}

// New returns a Recovery of term. Call Start to begin.
func New(e *engine.Engine, scope *engine.Scope, cfg *config.Config, replicas *replication.Replicas, leader Leader, term Term) *Recovery {
	return &Recovery{
		engine:     e,
		scope:      scope,
		cfg:        cfg,
		replicas:   replicas,
		leader:     leader,
		term:       term,
		startedAt:  e.Now,
		peerStates: map[string]*peermsg.PeerState{},
		fetch:      fetch{failed: map[string]bool{}},
	}
}

// Start begins to read the store and to query the peers. Leader.Recovered or Leader.EndTerm is
// called later.
func (r *Recovery) Start() {
	r.queryPeers()
	r.scope.After(peerResponseTimeout, r.advance)
	r.scope.After(UnknownHistoryTimeout, r.advance)
	r.scope.After(lease.WithDrift(r.term.LeaderLease)+time.Millisecond, r.advance)
	r.readStore("")
}

// queryPeers queries the peers that have not responded, every queryInterval until the recovery is
// complete, because links may still be coming up.
func (r *Recovery) queryPeers() {
	if r.phase == merged {
		return
	}
	for _, seed := range r.cfg.Seeds {
		if r.peerStates[seed.HostName] == nil {
			r.send(seed.HostName, peermsg.PeerStateRequest)
		}
	}
	r.scope.After(queryInterval, r.queryPeers)
}

func (r *Recovery) send(to string, kind peermsg.Kind) {
	r.engine.Emit(peermsg.Outgoing{To: to, Msg: peermsg.Message{Kind: kind, Term: r.term.Number}})
}

// HandlePeerState records a peer's response and continues the recovery.
func (r *Recovery) HandlePeerState(from string, k *peermsg.PeerState) {
	if r.peerStates[from] == nil && k.ReplicaTerm == 0 {
		r.replicas.StartTransfer(from)
	}
	r.peerStates[from] = k
	r.advance()
}

// ReceiveReplica applies one line of the requested replica. It returns false for a line from any
// other peer. Call AdvanceIfFetched afterwards.
func (r *Recovery) ReceiveReplica(from string, line *replica.Line) bool {
	if r.fetch.source != from || line.Term >= r.term.Number {
		return false
	}
	r.fetch.deadline = r.engine.Now.Add(replicaTimeout)
	return r.replicas.Receive(&r.fetch.receiver, from, line)
}

// AdvanceIfFetched continues the recovery if the requested replica is complete.
func (r *Recovery) AdvanceIfFetched() {
	if r.fetch.receiver.Replica() != nil {
		r.advance()
	}
}

// readStore reads the live records after the key from, page by page.
func (r *Recovery) readStore(from string) {
	r.scope.CallStore(kv.Request{Op: kv.List, Key: record.LivePrefix, From: from, Limit: pageSize}, func(page kv.Response) {
		if page.Outcome != rpc.OK {
			r.scope.After(r.engine.Jitter(retryDelay), func() { r.readStore(from) })
			return
		}
		for _, e := range page.Entries {
			r.stored = append(r.stored, replica.Record{Key: e.Key, Value: e.Value, Rev: e.Rev})
		}
		if n := len(page.Entries); page.More && n > 0 {
			r.readStore(page.Entries[n-1].Key)
			return
		}
		r.allStored = true
		r.advance()
	})
}

// awaitsPeerStates reports whether to keep waiting for a peer that may know more than this
// node.
func (r *Recovery) awaitsPeerStates() bool {
	waited := r.engine.Now.Sub(r.startedAt)
	newest, read := r.replicas.Newest(), r.term.Read
	switch {
	case r.dataLost() || read.Missing:
	case newest != nil && newest.Term == read.Term && newest.Era == read.Era:
		return false // this node holds a replica of the last term
	case newest == nil && waited < UnknownHistoryTimeout:
		// This process has just started; links to peers with replicas may not be up yet.
		for _, k := range r.peerStates {
			if k.ReplicaTerm+1 >= read.Term {
				return false
			}
		}
		return len(r.peerStates) < len(r.cfg.Seeds)
	}
	timeout, includeUnlinked := peerResponseTimeout, false
	if r.dataLost() || read.Missing && r.term.Observed.Term == 0 {
		timeout, includeUnlinked = UnknownHistoryTimeout, true
	}
	if waited >= timeout {
		return false
	}
	for _, seed := range r.cfg.Seeds {
		if r.peerStates[seed.HostName] == nil && (includeUnlinked || r.leader.IsLinked(seed.HostName)) {
			return true
		}
	}
	return false
}

// dataLost reports whether the store is known to have lost data.
func (r *Recovery) dataLost() bool { return r.term.LossReason != "" || r.recordsMissing }
