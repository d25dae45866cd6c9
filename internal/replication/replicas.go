// Package replication replicates the records of the key-value store to every controller, to restore
// them after a data loss. The leader's Publisher streams its replica, and its Scrubber compares the
// store with it. Replicas holds the replicas of one controller and transfers the newest to a new
// leader.
//
// Invariants: a committed change is sent to the followers before it is acknowledged, and a process
// discards its newest replica only after it has a complete one of a later term.
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
	maxLineBytes      = 96 << 10               // well below a peer's limit
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

// MaxFinalRecords returns how many final records a controller keeps, in proportion to its memory
// limit.
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

// Replicas holds the replicas of one controller across leadership terms.
type Replicas struct {
	engine     *engine.Engine
	cfg        *config.Config
	controller Controller

	own       *replica.Replica     // of the current or last term that this controller led
	received  replica.Receiver     // from the leader's stream
	transfers map[string]*transfer // by destination
}

type transfer struct {
	sender *replica.Sender
	source *replica.Replica
}

// New returns an empty Replicas for a controller.
func New(e *engine.Engine, cfg *config.Config, controller Controller) *Replicas {
	return &Replicas{engine: e, cfg: cfg, controller: controller, transfers: map[string]*transfer{}}
}

// NewReplica returns an empty replica with a limit of MaxFinalRecords. SetOwn stores it.
func (rs *Replicas) NewReplica(era, term uint64) *replica.Replica {
	return replica.New(era, term, record.FinalPrefix, MaxFinalRecords(rs.cfg))
}

// Own returns the replica of the current or last term that this controller led, or nil.
func (rs *Replicas) Own() *replica.Replica { return rs.own }

// SetOwn sets the replica of the term that this controller leads.
func (rs *Replicas) SetOwn(r *replica.Replica) { rs.own = r }

// Newest returns the newer of the own and the complete received replica, or nil without either.
func (rs *Replicas) Newest() *replica.Replica {
	if received := rs.received.Replica(); received.NewerThan(rs.own) {
		return received
	}
	return rs.own
}

// ReceiveFromLeader applies a line that the leader has sent. It returns false after a gap, like
// Receive.
func (rs *Replicas) ReceiveFromLeader(from string, line *replica.Line) bool {
	return rs.Receive(&rs.received, from, line)
}

// Receive applies a line from a peer to a receiver. After a gap it requests a new stream and
// returns false.
func (rs *Replicas) Receive(receiver *replica.Receiver, from string, line *replica.Line) bool {
	err := receiver.Receive(line, record.FinalPrefix, MaxFinalRecords(rs.cfg))
	if err != nil {
		rs.engine.Log(slog.LevelWarn, "gap in replica stream, requesting a new stream", "from", from, "reason", err)
		rs.engine.Emit(peermsg.Outgoing{To: from, Msg: peermsg.Message{Kind: peermsg.ReplicaRestart, Term: max(1, line.Term), Ref: line.Session}})
	}
	return err == nil
}

// DropOutdatedOwn discards the own replica once this controller holds a complete replica of a later
// term. It ignores the highest observed term: after a data loss terms skip ahead, and the own
// replica may still be the cluster's newest.
func (rs *Replicas) DropOutdatedOwn() {
	if received := rs.received.Replica(); rs.own != nil && received != nil && received.Term > rs.own.Term {
		rs.own = nil
	}
}

// SendLeaderlessJob adds a job that was accepted without a leader to this controller's newest
// replica and sends it to all controllers. No replica stream carries it until a leader adopts it.
func (rs *Replicas) SendLeaderlessJob(job *record.Job, rev uint64) {
	rec := replica.Record{Key: record.JobPrefix + job.Spec.ID, Value: job, Rev: rev}
	if newest := rs.Newest(); newest != nil {
		addLeaderlessJob(newest, rec)
	}
	term := rs.controller.ConfirmedTerm()
	for _, seed := range rs.cfg.Seeds {
		line := &replica.Line{Term: term, Session: 1, Puts: []replica.Record{rec}}
		rs.engine.Emit(peermsg.Outgoing{To: seed.HostName, Msg: peermsg.Message{Kind: peermsg.LeaderlessJob, Term: term, Replica: line}})
	}
}

// addLeaderlessJob adds the record of a job that was accepted without a leader to a replica. The
// leader may have adopted the job since then, and it may even have ended: the replica's own record
// of the job is newer.
func addLeaderlessJob(r *replica.Replica, rec replica.Record) {
	id, isJob := strings.CutPrefix(rec.Key, record.JobPrefix)
	if !isJob {
		return
	}
	_, live := r.Get(rec.Key)
	_, ended := r.Get(record.FinalPrefix + id)
	if !live && !ended {
		r.Put(rec.Key, rec.Value, rec.Rev)
	}
}

// ReceiveLeaderlessJob adds a job that a peer has accepted without a leader to the newest replica,
// unless that is of another term.
func (rs *Replicas) ReceiveLeaderlessJob(line *replica.Line) {
	newest := rs.Newest()
	if newest == nil || newest.Term != line.Term {
		return
	}
	for _, rec := range line.Puts {
		addLeaderlessJob(newest, rec)
	}
}

// StartTransfer starts to send the newest replica to a peer, replacing any transfer in progress.
// The peer is a new leader that has requested it or, before this controller leads, one without a
// replica.
func (rs *Replicas) StartTransfer(peer string) {
	newest := rs.Newest()
	if newest == nil {
		return
	}
	t := &transfer{sender: replica.NewSender(rs.newSession(), newest), source: newest}
	rs.transfers[peer] = t
	rs.continueTransfer(peer, t)
}

// RestartTransfer restarts the given session's transfer after a gap.
func (rs *Replicas) RestartTransfer(peer string, session uint64) {
	if t := rs.transfers[peer]; t != nil && t.sender.Session() == session {
		rs.StartTransfer(peer)
	}
}

// continueTransfer sends the next line and schedules the one after it, until the transfer is
// complete or replaced, or this controller has loaded records as the leader.
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

// newSession returns a random, nonzero session number.
func (rs *Replicas) newSession() uint64 { return rs.engine.Rand.Uint64() | 1 }

func (rs *Replicas) send(to string, line replica.Line) {
	rs.engine.Emit(peermsg.Outgoing{To: to, Msg: peermsg.Message{Kind: peermsg.Replica, Term: max(1, rs.controller.HighestTerm()), Replica: &line}})
}
