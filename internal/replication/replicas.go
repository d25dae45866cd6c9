// Package replication keeps replicas of the records in the key-value store at every
// controller. The leader's Publisher streams its replica to the others and its Scrubber
// checks the store against it; Replicas is what each controller holds, and passes on to a
// new leader that asks for it.
//
// The invariant: no committed change is acknowledged to anybody before it has been sent to
// the followers, and the newest replica that a process has is never given up before it holds
// a complete one of a later term.
package replication

import (
	"iter"
	"log/slog"
	"strings"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/replica"
)

// How replicas are sent.
const (
	snapshotInterval = 100 * time.Millisecond // between two lines of a snapshot
	recordsPerLine   = 200                    // to one transfer, or to all incomplete followers together
	maxLineBytes     = 96 << 10               // well below what a peer reads of one line
	finalsPerMB      = 40                     // of the machine's memory; one takes about 250 bytes in all
)

// Controller is what replication needs to know of the controller that it is part of.
type Controller interface {
	// HighestTerm returns the highest term heard of.
	HighestTerm() uint64
	// ConfirmedTerm returns the highest term that the store has told of.
	ConfirmedTerm() uint64
	// IsLinked reports whether the link to a peer is up.
	IsLinked(peer string) bool
	// HasLoadedRecords reports whether the controller leads and knows which records there are.
	HasLoadedRecords() bool
}

// FinalsLimit returns of how many jobs a controller remembers how they ended.
func FinalsLimit(cfg *config.Config) int {
	return max(4096, int(cfg.Settings.Limits.MemMB*finalsPerMB))
}

// Finals returns the ids of the jobs that a replica knows to have ended, in the order of their
// keys, with how they ended.
func Finals(r *replica.Replica) iter.Seq2[string, record.Final] {
	return func(yield func(string, record.Final) bool) {
		for _, key := range r.Keys(record.FinalPrefix) {
			rec, _ := r.Get(key)
			if final, _ := rec.Value.(*record.Final); final != nil && !yield(strings.TrimPrefix(key, record.FinalPrefix), *final) {
				return
			}
		}
	}
}

// Replicas holds the replicas of one controller, for as long as its process lives.
type Replicas struct {
	engine     *engine.Engine
	cfg        *config.Config
	controller Controller

	own       *replica.Replica // of the term that we lead, or led last
	received  replica.Receiver // what a leader sends us
	transfers map[string]*transfer
}

// transfer is a replica on its way to a controller that has asked for it, or has none.
type transfer struct {
	sender *replica.Sender
	source *replica.Replica
}

// New returns the replicas of a controller that has none yet.
func New(e *engine.Engine, cfg *config.Config, controller Controller) *Replicas {
	return &Replicas{engine: e, cfg: cfg, controller: controller, transfers: map[string]*transfer{}}
}

// NewReplica returns an empty replica of a term.
func (rs *Replicas) NewReplica(era, term uint64) *replica.Replica {
	return replica.New(era, term, record.FinalPrefix, FinalsLimit(rs.cfg))
}

// Own returns the replica of the term that this controller leads or led last, or nil.
func (rs *Replicas) Own() *replica.Replica { return rs.own }

// SetOwn sets the replica of the term that this controller leads.
func (rs *Replicas) SetOwn(r *replica.Replica) { rs.own = r }

// Newest returns the newest replica that this process has, or nil.
func (rs *Replicas) Newest() *replica.Replica {
	if received := rs.received.Replica(); received.NewerThan(rs.own) {
		return received
	}
	return rs.own
}

// ReceiveFromLeader applies a line that the leader has sent. It reports false if lines are
// missing before it; the leader is then asked to begin anew.
func (rs *Replicas) ReceiveFromLeader(from string, line *replica.Line) bool {
	return rs.Receive(&rs.received, from, line)
}

// Receive applies a line from a peer to a receiver. It reports false if lines are missing
// before it; the peer is then asked to begin anew.
func (rs *Replicas) Receive(receiver *replica.Receiver, from string, line *replica.Line) bool {
	err := receiver.Receive(line, record.FinalPrefix, FinalsLimit(rs.cfg))
	if err != nil {
		rs.engine.Log(slog.LevelWarn, "replica out of sequence, requesting it again", "from", from, "reason", err)
		rs.engine.Emit(peermsg.Outgoing{To: from, Msg: peermsg.Message{Kind: peermsg.ReplicaRestart, Term: max(1, line.Term), Ref: line.Session}})
	}
	return err == nil
}

// DropOutdatedOwn drops the replica of a term that this controller led, once it holds a
// complete one of a later term. How far terms have gone on does not matter: after a data
// loss they continue far above the last one, and its replica is then the newest there is.
func (rs *Replicas) DropOutdatedOwn() {
	if received := rs.received.Replica(); rs.own != nil && received != nil && received.Term > rs.own.Term {
		rs.own = nil
	}
}

// SendLeaderlessJob adds a job that was accepted without a leader to the replicas of all
// controllers in reach: until a leader has adopted it, nobody else knows of it.
func (rs *Replicas) SendLeaderlessJob(job *record.Job, rev uint64) {
	rec := replica.Record{Key: record.JobPrefix + job.Spec.ID, Value: job, Rev: rev}
	if newest := rs.Newest(); newest != nil {
		newest.Put(rec.Key, rec.Value, rec.Rev)
	}
	term := rs.controller.ConfirmedTerm()
	for _, seed := range rs.cfg.Seeds {
		line := &replica.Line{Term: term, Session: 1, Puts: []replica.Record{rec}}
		rs.engine.Emit(peermsg.Outgoing{To: seed.HostName, Msg: peermsg.Message{Kind: peermsg.LeaderlessJob, Term: term, Replica: line}})
	}
}

// ReceiveLeaderlessJob adds a job that another controller has accepted without a leader.
func (rs *Replicas) ReceiveLeaderlessJob(line *replica.Line) {
	newest := rs.Newest()
	if newest == nil || newest.Term != line.Term {
		return
	}
	for _, rec := range line.Puts {
		if _, known := newest.Get(rec.Key); !known && strings.HasPrefix(rec.Key, record.JobPrefix) {
			newest.Put(rec.Key, rec.Value, rec.Rev)
		}
	}
}

// StartTransfer sends the newest replica to a new leader that wants it, or, before this
// controller leads itself, to one that has none: it would be lost if this process ended.
func (rs *Replicas) StartTransfer(peer string) {
	newest := rs.Newest()
	if newest == nil {
		return
	}
	t := &transfer{sender: replica.NewSender(rs.newSession(), newest), source: newest}
	rs.transfers[peer] = t
	rs.continueTransfer(peer, t)
}

// RestartTransfer begins a transfer anew of which the peer has missed lines.
func (rs *Replicas) RestartTransfer(peer string, session uint64) {
	if t := rs.transfers[peer]; t != nil && t.sender.Session() == session {
		rs.StartTransfer(peer)
	}
}

func (rs *Replicas) continueTransfer(peer string, t *transfer) {
	if rs.transfers[peer] != t {
		return
	}
	line, more := t.sender.NextSnapshotLine(t.source, recordsPerLine, maxLineBytes, recordSize)
	if !more || rs.controller.HasLoadedRecords() {
		delete(rs.transfers, peer)
		return
	}
	rs.send(peer, line)
	rs.engine.After(snapshotInterval/5, func() { rs.continueTransfer(peer, t) })
}

// newSession returns a number for a new stream.
func (rs *Replicas) newSession() uint64 { return rs.engine.Rand.Uint64() | 1 }

func (rs *Replicas) send(to string, line replica.Line) {
	rs.engine.Emit(peermsg.Outgoing{To: to, Msg: peermsg.Message{Kind: peermsg.Replica, Term: max(1, rs.controller.HighestTerm()), Replica: &line}})
}
