package core

import (
	"log/slog"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"yewpass/internal/admission"
	"yewpass/internal/kv"
	"yewpass/internal/provider"
	"yewpass/internal/record"
	"yewpass/internal/replica"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
	"yewpass/internal/writebatch"
)

// A submission needs a durable record, not a leader. While a node knows of none, or the
// one it knows does not answer, it writes the record itself, on the condition that the
// job has neither a live nor a final one, and answers 201. To the leader, the next or
// the same, that record is what one of its own is whose transaction came through after
// it had been given up: whoever asks for the job has it taken on (answerFromRecords, adopt). So
// that it need not wait for somebody to ask, a note goes along in the same transaction,
// and the leader follows the notes.
//
// Nothing is started, cancelled or refused without a leader. Tasks of the job start
// once a leader has taken it on. A leader whose term began before the record was
// written has it from the note, and no earlier leader can have started anything of it,
// since its authority ended before that term began; one whose term began later reads
// it with all others, as a job accepted earlier.
const (
	leaderlessWriteShare = 0.1 // of the changes that the state service allows: a leader uses up to nine tenths
	leaderlessBurst      = 0.5 // of one second's changes: all nodes together stay below what the service takes at once
	// forwardedSubmitTimeout is how long the leader is left to answer a submission that was passed on.
	forwardedSubmitTimeout = 700 * time.Millisecond
	// instanceTypesInterval is how often a node that does not lead reads the machine types.
	instanceTypesInterval  = time.Minute
	instanceTypesFirstRead = 400 * time.Millisecond // and first so long after it has begun
)

func newLeaderlessLimit(writes float64, nodes int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(writes*leaderlessWriteShare/float64(nodes)), max(1, int(writes*leaderlessBurst/float64(nodes))))
}

// refreshInstanceTypes reads the machine types now and then: what can never run is refused, and
// who knows no types can neither refuse nor accept.
func (c *Core) refreshInstanceTypes() {
	if c.leadership != nil { // which has its own
		c.After(c.Jitter(instanceTypesInterval), c.refreshInstanceTypes)
		return
	}
	c.CallCloud(provider.Request{Op: provider.Catalog}, func(r provider.Response) {
		if r.Outcome != rpc.OK || len(r.InstanceTypes) == 0 {
			c.After(c.Jitter(4*time.Second), c.refreshInstanceTypes)
			return
		}
		c.instanceTypes = r.InstanceTypes
		c.After(c.Jitter(instanceTypesInterval), c.refreshInstanceTypes)
	})
}

// admitLeaderless records a submission without a leader.
func (c *Core) admitLeaderless(call request.Request) {
	s := call.Spec
	no := request.Unavailable("no leader at present")
	switch {
	case c.leadership != nil || call.From != "" || len(c.cfg.Seeds) == 0 || len(c.instanceTypes) == 0 || !c.pol.NeverRefuses():
		c.answer(call, no)
		return
	case !c.fitsValue(record.JobSize(s)):
		c.answer(call, tooLong)
		return
	}
	// Nor does the service know of all jobs if it has lost some. Whoever has the last
	// leader's copy knows.
	k := c.lastLeaderReplica()
	if k == nil {
		c.answer(call, no)
		return
	}
	if _, over := k.Get(record.FinalPrefix + s.ID); over {
		c.answer(call, no)
		return
	}
	if refusal := admission.CheckSchedulable(s, c.teamFromReplica(k, s.Owner), c.instanceTypes); refusal != nil {
		c.rejectLeaderless(call, k, refusal.Response())
		return
	}
	if !c.leaderlessLimit.AllowN(c.Now, 2) || !c.readLimit.AllowN(c.Now, 1) {
		c.answer(call, no)
		return
	}
	rec := &record.Job{Spec: *s, Submitted: c.Now.Round(0)}
	c.CallStore(kv.Request{Op: kv.Txn,
		// The term that we know must be on record: a service that has lost its data knows of
		// no job, not even of those that are over. Nor must the configuration have changed.
		Conditions: append(record.NoJob(s.ID), kv.Condition{Key: record.TermKey, Rev: c.confirmedTermRevision}, configHeadCond(k)),
		Writes:     []kv.Write{{Key: record.JobPrefix + s.ID, Value: rec}, {Key: record.LeaderlessPrefix + s.ID, Value: &record.Leader{Node: c.cfg.HostName, Term: max(1, c.highestTerm)}}},
	}, func(r kv.Response) {
		switch r.Outcome {
		case rpc.OK:
			c.Log(slog.LevelInfo, "job accepted without a leader", "job", s.ID)
			c.replicas.SendLeaderlessJob(rec, r.Rev)
			c.answer(call, request.Response{Status: 201, View: request.JobStatus{ID: s.ID, State: spec.Queued}})
		case rpc.Conflict, rpc.Unknown:
			// It has a record, maybe this one.
			c.readJob(s.ID, func(v *request.JobStatus, known bool) {
				if known && v != nil {
					c.answer(call, request.Response{Status: 200, View: *v})
				} else {
					c.answer(call, no)
				}
			})
		default:
			c.answer(call, no)
		}
	})
}

// rejectLeaderless refuses a submission for good without a leader: only if the records have the
// last word that nobody ever accepted it, and the last leader's copy says the same.
func (c *Core) rejectLeaderless(call request.Request, k *replica.Replica, refusal request.Response) {
	id, no := call.Spec.ID, request.Unavailable("no leader at present")
	if _, live := k.Get(record.JobPrefix + id); live || !c.readLimit.AllowN(c.Now, 1) {
		c.answer(call, no)
		return
	}
	c.CallStore(kv.Request{Op: kv.Txn, Conditions: append(record.NoJob(id), kv.Condition{Key: record.TermKey, Rev: c.confirmedTermRevision}, configHeadCond(k))}, func(r kv.Response) {
		if r.Outcome == rpc.OK {
			c.answer(call, refusal)
		} else {
			c.answer(call, no)
		}
	})
}

// watchLeaderlessNotes takes on what nodes have accepted without a leader.
func (c *Core) watchLeaderlessNotes() {
	c.storeWhileLeading(kv.Request{Op: kv.List, Key: record.LeaderlessPrefix, Limit: 200}, func(r kv.Response) {
		switch {
		case r.Outcome != rpc.OK:
			c.afterWhileLeading(c.Jitter(time.Second), c.watchLeaderlessNotes)
		case len(r.Entries) > 0:
			for _, e := range r.Entries {
				c.adoptLeaderless(e.Key)
			}
			c.afterWhileLeading(c.Jitter(time.Second), c.watchLeaderlessNotes)
		default:
			c.storeWhileLeading(watchCall(record.LeaderlessPrefix, r.Rev), func(f kv.Response) {
				if f.Outcome == rpc.OK {
					c.watchLeaderlessNotes()
				} else {
					c.afterWhileLeading(c.Jitter(time.Second), c.watchLeaderlessNotes)
				}
			})
		}
	})
}

// adoptLeaderless takes on the job that a note names, and drops the note.
func (c *Core) adoptLeaderless(key string) {
	l := c.leadership
	id := strings.TrimPrefix(key, record.LeaderlessPrefix)
	drop := func() { l.writes.Add(&writebatch.Change{Priority: writebatch.Bulk, Writes: []kv.Write{{Key: key}}}) }
	if l.jobs[id] != nil || l.unreadableJobs[id] {
		drop()
		return
	}
	c.adopt(id, drop, func() {
		c.readJob(id, func(v *request.JobStatus, known bool) {
			if c.leadership == l && known && (v == nil || v.State == spec.Done || v.State == spec.Cancelled) {
				drop() // it is over already
			}
		})
	})
}
