// Package failover finds out, before a new leader's term begins its work, which records there
// are: it reads those in the store, asks the other controllers what they know of it, decides
// whether the store has lost data, and then merges the store's records with those of the
// newest replica. Package recovery has the decisions; package core loads the outcome.
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
	askInterval       = 100 * time.Millisecond
	peerAnswerTimeout = 300 * time.Millisecond
	// UnknownPastTimeout is how long peers are left to answer if nothing is known here and
	// nothing on record.
	UnknownPastTimeout = time.Second
	replicaTimeout     = 5 * time.Second // between two lines of a requested replica
	retryDelay         = 200 * time.Millisecond
	pageSize           = 400 // records of a page of the live records
)

// Term is the term whose leader recovers the records.
type Term struct {
	Number      uint64
	ProcessID   uint64        // of this process
	LeaderLease time.Duration // for so long an earlier leader may go on

	Observed    recovery.Observed // what this process had seen of the store before the campaign
	Read        recovery.TermRead // the term's record as the campaign found it
	LossReason  string            // why data must have been lost, or ""
	LedLastTerm bool              // the last term that this process knew of was its own
}

// Leader is what a recovery needs of the leader that it is part of.
type Leader interface {
	// Observed returns what has been seen of the store by now, with the new term.
	Observed() recovery.Observed
	// IsLinked reports whether the link to a peer is up.
	IsLinked(peer string) bool
	// EndTerm ends the term, because a higher one is known.
	EndTerm(higher uint64)
	// Recovered is called once, when it is known which records there are.
	Recovered(*Outcome)
}

// Recovery is the state of one new leader's search for its records.
type Recovery struct {
	engine   *engine.Engine
	scope    *engine.Scope
	cfg      *config.Config
	replicas *replication.Replicas
	leader   Leader

	term      Term
	startedAt time.Time
	stored    []replica.Record // that were read from the store
	allStored bool             // those are all of them
	knowledge map[string]*peermsg.PeerState
	phase     phase

	fetch            fetch
	replica          *replica.Replica // to restore from
	finalsSource     string
	earlierLeaderLag time.Duration
}

// phase is how far a recovery has come.
type phase int

const (
	gathering     phase = iota // from the store and the peers
	resolvingJobs              // the store is asked about jobs that only the replica has
	merged                     // the outcome is known
)

// fetch is a replica that was requested from a peer.
type fetch struct {
	source   string // "": none
	deadline time.Time
	receiver replica.Receiver
	failed   map[string]bool // peers that did not send theirs
}

// New returns a recovery that has not begun.
func New(e *engine.Engine, scope *engine.Scope, cfg *config.Config, replicas *replication.Replicas, leader Leader, term Term) *Recovery {
	return &Recovery{
		engine:    e,
		scope:     scope,
		cfg:       cfg,
		replicas:  replicas,
		leader:    leader,
		term:      term,
		startedAt: e.Now,
		knowledge: map[string]*peermsg.PeerState{},
		fetch:     fetch{failed: map[string]bool{}},
	}
}

// Start begins to gather.
func (r *Recovery) Start() {
	r.askPeers()
	r.scope.After(peerAnswerTimeout, r.advance)
	r.scope.After(UnknownPastTimeout, r.advance)
	r.scope.After(lease.WithDrift(r.term.LeaderLease)+time.Millisecond, r.advance)
	r.readStore("")
}

// askPeers asks the peers that have not told what they know, again and again: the link to a
// process that has just begun comes up later than the link from it.
func (r *Recovery) askPeers() {
	if r.phase == merged {
		return
	}
	for _, seed := range r.cfg.Seeds {
		if r.knowledge[seed.HostName] == nil {
			r.send(seed.HostName, peermsg.PeerStateRequest)
		}
	}
	r.scope.After(askInterval, r.askPeers)
}

func (r *Recovery) send(to string, kind peermsg.Kind) {
	r.engine.Emit(peermsg.Outgoing{To: to, Msg: peermsg.Message{Kind: kind, Term: r.term.Number}})
}

// HandleKnowledge takes in what a peer knows.
func (r *Recovery) HandleKnowledge(from string, k *peermsg.PeerState) {
	if r.knowledge[from] == nil && k.ReplicaTerm == 0 {
		r.replicas.StartTransfer(from)
	}
	r.knowledge[from] = k
	r.advance()
}

// ReceiveReplica applies a line of the replica that was requested, and reports whether it did.
// AdvanceIfFetched is to be called after it.
func (r *Recovery) ReceiveReplica(from string, line *replica.Line) bool {
	if r.fetch.source != from || line.Term >= r.term.Number {
		return false
	}
	r.fetch.deadline = r.engine.Now.Add(replicaTimeout)
	return r.replicas.Receive(&r.fetch.receiver, from, line)
}

// AdvanceIfFetched goes on if the requested replica is complete.
func (r *Recovery) AdvanceIfFetched() {
	if r.fetch.receiver.Replica() != nil {
		r.advance()
	}
}

// readStore reads the records of the earlier terms, page by page.
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

// awaitsPeers reports whether a peer may still tell what is not known here.
func (r *Recovery) awaitsPeers() bool {
	waited := r.engine.Now.Sub(r.startedAt)
	newest, read := r.replicas.Newest(), r.term.Read
	switch {
	case r.term.LossReason != "" || read.Missing:
	case newest != nil && newest.Term == read.Term && newest.Era == read.Era:
		return false // nobody knows more
	case newest == nil && waited < UnknownPastTimeout:
		// A process that has just begun: the others may have replicas, and the links to it
		// come up.
		for _, k := range r.knowledge {
			if k.ReplicaTerm+1 >= read.Term {
				return false
			}
		}
		return len(r.knowledge) < len(r.cfg.Seeds)
	}
	timeout, unlinkedToo := peerAnswerTimeout, false
	if r.term.LossReason != "" || read.Missing && r.term.Observed.Term == 0 {
		timeout, unlinkedToo = UnknownPastTimeout, true // their links may not be up yet
	}
	if waited >= timeout {
		return false
	}
	for _, seed := range r.cfg.Seeds {
		if r.knowledge[seed.HostName] == nil && (unlinkedToo || r.leader.IsLinked(seed.HostName)) {
			return true
		}
	}
	return false
}
