// Package replication replicates the records of the key-value store to every controller, so
// that they can be restored after the store has lost data. The leader's Publisher streams its
// replica to the other controllers, and its Scrubber compares the store with that replica.
// Replicas holds the replicas of one controller and transfers the newest to a new leader.
//
// Invariants: a committed change is sent to the followers before it is acknowledged, and a
// process discards its newest replica only after it has a complete one of a later term.
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

const (
	snapshotInterval  = 100 * time.Millisecond // between two lines of a snapshot
	recordsPerLine    = 200                    // for one transfer, or shared by all incomplete followers
	maxLineBytes      = 96 << 10               // well below the longest line that a peer accepts
	finalRecordsPerMB = 40                     // per MB of memory; a record takes about 250 bytes
)

// Controller is the view that replication has of its controller.
type Controller interface {
	// HighestTerm returns the highest term observed from any source.
	HighestTerm() uint64
	// ConfirmedTerm returns the highest term read from the store.
	ConfirmedTerm() uint64
	// IsLinked reports whether the link to a peer is up.
	IsLinked(peer string) bool
	// HasLoadedRecords reports whether the controller is the leader and has loaded all records.
	HasLoadedRecords() bool
}

// MaxFinalRecords returns the number of final records of jobs that a controller keeps, in
// proportion to its memory limit.
func MaxFinalRecords(cfg *config.Config) int {
	return max(4096, int(cfg.Settings.Limits.MemMB*finalRecordsPerMB))
}

// FinalRecords iterates over the ids of the ended jobs in a replica and their final records, in
// key order.
func FinalRecords(r *replica.Replica) iter.Seq2[string, record.Final] {
	return func(yield func(string, record.Final) bool) {
		for _, key := range r.Keys(record.FinalPrefix) {
			rec, _ := r.Get(key)
			if final, _ := rec.Value.(*record.Final); final != nil && !yield(strings.TrimPrefix(key, record.FinalPrefix), *final) {
				return
			}
		}
	}
}

// Replicas holds the replicas of one controller in memory. It outlives leadership terms.
type Replicas struct {
	engine     *engine.Engine
	cfg        *config.Config
	controller Controller

	own       *replica.Replica     // of the current or last term that this controller led
	received  replica.Receiver     // from the leader's stream
	transfers map[string]*transfer // by destination
}

// transfer is the ongoing transfer of a replica to another controller.
type transfer struct {
	sender *replica.Sender
	source *replica.Replica
}

// New returns an empty Replicas for a controller.
func New(e *engine.Engine, cfg *config.Config, controller Controller) *Replicas {
	return &Replicas{engine: e, cfg: cfg, controller: controller, transfers: map[string]*transfer{}}
}

// NewReplica returns an empty replica for a term that keeps at most MaxFinalRecords final
// records. It is not stored; see SetOwn.
func (rs *Replicas) NewReplica(era, term uint64) *replica.Replica {
	return replica.New(era, term, record.FinalPrefix, MaxFinalRecords(rs.cfg))
}

// Own returns the replica of the current or last term that this controller led, or nil.
func (rs *Replicas) Own() *replica.Replica { return rs.own }

// SetOwn sets the replica of the term that this controller leads.
func (rs *Replicas) SetOwn(r *replica.Replica) { rs.own = r }

// Newest returns the newer of the own replica and the complete one received from a leader, or
// nil if there is neither.
func (rs *Replicas) Newest() *replica.Replica {
	if received := rs.received.Replica(); received.NewerThan(rs.own) {
		return received
	}
	return rs.own
}

// ReceiveFromLeader applies a line that the leader has sent. If an earlier line is missing, it
// requests a new stream from the leader and returns false.
func (rs *Replicas) ReceiveFromLeader(from string, line *replica.Line) bool {
	return rs.Receive(&rs.received, from, line)
}

// Receive applies a line from a peer to a receiver. If an earlier line is missing, it requests
// a new stream from the peer and returns false.
func (rs *Replicas) Receive(receiver *replica.Receiver, from string, line *replica.Line) bool {
	err := receiver.Receive(line, record.FinalPrefix, MaxFinalRecords(rs.cfg))
	if err != nil {
		rs.engine.Log(slog.LevelWarn, "gap in replica stream, requesting a new stream", "from", from, "reason", err)
		rs.engine.Emit(peermsg.Outgoing{To: from, Msg: peermsg.Message{Kind: peermsg.ReplicaRestart, Term: max(1, line.Term), Ref: line.Session}})
	}
	return err == nil
}

// DropOutdatedOwn discards the own replica once this controller holds a complete replica of a
// later term. It deliberately ignores the highest observed term: after a data loss terms skip
// far ahead, and the own replica may still be the newest one in the cluster.
func (rs *Replicas) DropOutdatedOwn() {
	if received := rs.received.Replica(); rs.own != nil && received != nil && received.Term > rs.own.Term {
		rs.own = nil
	}
}

// SendLeaderlessJob adds a job that was accepted without a leader to this controller's newest
// replica and sends it to all controllers. Until a leader adopts the job, no replica stream
// carries it.
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

// ReceiveLeaderlessJob adds a job that another controller has accepted without a leader to the
// newest replica. It ignores the job if the replica is of another term or already has it.
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

// StartTransfer starts to send the newest replica to a peer, replacing any transfer in
// progress. The peer is a new leader that has requested it, or, before this controller leads, one
// without a replica, so that the data survives if this process ends.
func (rs *Replicas) StartTransfer(peer string) {
	newest := rs.Newest()
	if newest == nil {
		return
	}
	t := &transfer{sender: replica.NewSender(rs.newSession(), newest), source: newest}
	rs.transfers[peer] = t
	rs.continueTransfer(peer, t)
}

// RestartTransfer restarts a transfer in which the peer has missed lines. Requests for any
// other session are ignored.
func (rs *Replicas) RestartTransfer(peer string, session uint64) {
	if t := rs.transfers[peer]; t != nil && t.sender.Session() == session {
		rs.StartTransfer(peer)
	}
}

// continueTransfer sends the next line and schedules the one after it. A transfer stops when it
// is complete, has been replaced, or this controller has loaded records as the leader.
func (rs *Replicas) continueTransfer(peer string, t *transfer) {
	if rs.transfers[peer] != t {
		return
	}
	line, more := t.sender.NextSnapshotLine(t.source, recordsPerLine, maxLineBytes, estimateRecordSize)
	if !more || rs.controller.HasLoadedRecords() {
		delete(rs.transfers, peer)
		return
	}
	rs.send(peer, line)
	rs.engine.After(snapshotInterval/5, func() { rs.continueTransfer(peer, t) })
}

// newSession returns a random, nonzero session number for a new stream.
func (rs *Replicas) newSession() uint64 { return rs.engine.Rand.Uint64() | 1 }

func (rs *Replicas) send(to string, line replica.Line) {
	rs.engine.Emit(peermsg.Outgoing{To: to, Msg: peermsg.Message{Kind: peermsg.Replica, Term: max(1, rs.controller.HighestTerm()), Replica: &line}})
}
