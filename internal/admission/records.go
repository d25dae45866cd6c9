package admission

import (
	"strings"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/writebatch"
)

// serveFromRecords answers by the records, or with the given answer if there are none.
func (a *Admitter) serveFromRecords(r request.Request, otherwise request.Response) {
	a.answerFromRecords(r, func() { a.answer(r, otherwise) })
}

// answerFromRecords answers by the records, or calls missing for a job that has none. A
// record that memory does not have is an acceptance whose write was applied after it had
// been given up, or one without a leader: the job is taken on.
func (a *Admitter) answerFromRecords(r request.Request, missing func()) {
	no := func() { a.answer(r, request.Unavailable(unanswered)) }
	a.Lifecycle.Store.Read(r.ID, func(status *request.JobStatus, known bool) {
		switch {
		case a.scope.Closed() || !a.leader.CanAct() || !known:
			no()
		case a.Lifecycle.Jobs[r.ID] != nil || a.pending[r.ID] != nil:
			a.leader.Serve(r) // accepted since the read began, which saw nothing of it
		case status == nil && a.leader.MayHaveLostJobs():
			a.answer(r, request.Unavailable("data was lost, and what there is is being looked for"))
		case status == nil:
			a.leader.ConfirmTerm(record.JobAbsent(r.ID), func(reply kv.Response) {
				if reply.Outcome == rpc.OK && a.leader.CanAct() {
					missing()
				} else {
					no()
				}
			})
		case status.State.Final():
			a.answer(r, request.Response{Status: 200, Job: *status})
		default:
			a.adopt(r.ID, func() { a.leader.Serve(r) }, no)
		}
	})
}

// adopt takes on a job whose record exists but which memory lacks.
func (a *Admitter) adopt(id string, then, otherwise func()) {
	a.scope.CallStore(kv.Request{Op: kv.Get, Key: record.JobPrefix + id}, func(reply kv.Response) {
		if reply.Outcome != rpc.OK {
			otherwise()
			return
		}
		a.Replicas.PutRead(reply.Entries[0])
		if rec, _ := reply.Entries[0].Value.(*record.Job); rec != nil && a.Lifecycle.Jobs[id] == nil {
			s := a.pending[id]
			delete(a.pending, id)
			j := a.Lifecycle.Add(rec, false)
			a.Lifecycle.Queue(j)
			if s != nil { // accepted by another controller meanwhile: nobody else tells them
				a.answerWaiters(s, request.Response{Status: 200, Job: j.View()})
			}
		}
		if a.Lifecycle.Jobs[id] == nil {
			otherwise()
			return
		}
		then()
	})
}

// leaderlessPageSize is how many notes of jobs accepted without a leader are read at once.
const leaderlessPageSize = 200

// WatchLeaderless follows the notes of jobs that controllers accept without a leader, and
// takes the jobs on.
func (a *Admitter) WatchLeaderless() {
	again := func() { a.scope.After(a.engine.Jitter(time.Second), a.WatchLeaderless) }
	a.scope.CallStore(kv.Request{Op: kv.List, Key: record.LeaderlessPrefix, Limit: leaderlessPageSize}, func(reply kv.Response) {
		switch {
		case reply.Outcome != rpc.OK:
			again()
		case len(reply.Entries) > 0:
			for _, e := range reply.Entries {
				a.AdoptLeaderless(e.Key)
			}
			again()
		default:
			a.scope.CallStore(kv.WatchPrefix(record.LeaderlessPrefix, reply.Rev), func(change kv.Response) {
				if change.Outcome == rpc.OK {
					a.WatchLeaderless()
				} else {
					again()
				}
			})
		}
	})
}

// AdoptLeaderless takes on the job that a note names, and drops the note.
func (a *Admitter) AdoptLeaderless(key string) {
	id := strings.TrimPrefix(key, record.LeaderlessPrefix)
	drop := func() {
		a.Writes.Add(&writebatch.Change{Priority: writebatch.Bulk, Writes: []kv.Write{{Key: key}}})
	}
	if a.Lifecycle.Jobs[id] != nil || a.leader.Unreadable(id) {
		drop()
		return
	}
	a.adopt(id, drop, func() {
		a.Lifecycle.Store.Read(id, func(status *request.JobStatus, known bool) {
			if !a.scope.Closed() && known && (status == nil || status.State.Final()) {
				drop() // it is over already
			}
		})
	})
}
