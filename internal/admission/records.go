package admission

import (
	"log/slog"
	"strings"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/writebatch"
)

// serveFromStore responds with the stored state of a job, or with ifMissing if it has none.
func (a *Admitter) serveFromStore(r request.Request, ifMissing request.Response) {
	a.answerFromStore(r, func() { a.answer(r, ifMissing) })
}

// answerFromStore responds with the stored state of a job, or calls missing if it has none. It
// adopts a job with a live record that is not in memory: its write was applied after it had been
// given up, or it was accepted without a leader.
func (a *Admitter) answerFromStore(r request.Request, missing func()) {
	unavailable := func() { a.answer(r, request.Unavailable(storeUnavailable)) }
	a.Lifecycle.Store.Read(r.ID, func(status *request.JobStatus, known bool) {
		switch {
		case a.scope.Closed() || !a.leader.IsActive() || !known:
			unavailable()
		case a.Lifecycle.Jobs[r.ID] != nil || a.pending[r.ID] != nil:
			a.leader.Serve(r) // accepted after the read was sent
		case status == nil && a.leader.MayHaveLostJobs():
			a.answer(r, request.Unavailable("the state service may have lost data, and jobs are still being restored"))
		case status == nil:
			a.leader.ConfirmTerm(record.JobAbsent(r.ID), func(reply kv.Response) {
				if reply.Outcome == rpc.OK && a.leader.IsActive() {
					missing()
				} else {
					unavailable()
				}
			})
		case status.State.Final():
			a.answer(r, request.Response{Status: 200, Job: *status})
		default:
			a.adopt(r.ID, func() { a.leader.Serve(r) }, unavailable)
		}
	})
}

// adopt reads the live record of a job that is not in memory and adds the job. It calls onAdopted
// if the job is in memory afterwards, otherwise onFailure. Several reads of one job may be in
// flight, and the job may end before the last of them is answered: Writes.Read does not return the
// record that the job had before.
func (a *Admitter) adopt(id string, onAdopted, onFailure func()) {
	a.Writes.Read(record.JobPrefix+id, func(reply kv.Response) {
		if reply.Outcome != rpc.OK {
			onFailure()
			return
		}
		a.Replicas.PublishRead(reply.Entries[0])
		if rec, _ := reply.Entries[0].Value.(*record.Job); rec != nil && a.Lifecycle.Jobs[id] == nil {
			s := a.pending[id]
			delete(a.pending, id)
			a.engine.Log(slog.LevelDebug, "job adopted", "job", id, "revision", reply.Entries[0].Rev)
			j := a.Lifecycle.Add(rec, false)
			a.Lifecycle.Queue(j)
			if s != nil { // another controller wrote the record; no callback answers the waiters
				a.answerSubmission(s, request.Response{Status: 200, Job: j.View()})
			}
		}
		if a.Lifecycle.Jobs[id] == nil {
			onFailure()
			return
		}
		onAdopted()
	})
}

// markerPageSize bounds the number of leaderless markers read per list request.
const markerPageSize = 200

// WatchLeaderless lists and then watches the markers of jobs that controllers accepted without a
// leader, and adopts those jobs. It runs until the scope is closed.
func (a *Admitter) WatchLeaderless() {
	retry := func() { a.scope.After(a.engine.Jitter(time.Second), a.WatchLeaderless) }
	a.scope.CallStore(kv.Request{Op: kv.List, Key: record.LeaderlessPrefix, Limit: markerPageSize}, func(reply kv.Response) {
		switch {
		case reply.Outcome != rpc.OK:
			retry()
		case len(reply.Entries) > 0:
			for _, e := range reply.Entries {
				a.AdoptLeaderless(e.Key)
			}
			retry()
		default:
			a.scope.CallStore(kv.WatchPrefix(record.LeaderlessPrefix, reply.Rev), func(change kv.Response) {
				if change.Outcome == rpc.OK {
					a.WatchLeaderless()
				} else {
					retry()
				}
			})
		}
	})
}

// AdoptLeaderless adopts the job that a leaderless marker names and deletes the marker, unless the
// state of the job cannot be read.
func (a *Admitter) AdoptLeaderless(key string) {
	id := strings.TrimPrefix(key, record.LeaderlessPrefix)
	deleteMarker := func() {
		a.Writes.Add(&writebatch.Change{Priority: writebatch.Bulk, Writes: []kv.Write{{Key: key}}})
	}
	if a.Lifecycle.Jobs[id] != nil || a.leader.Unreadable(id) {
		deleteMarker()
		return
	}
	a.adoptUnlessEnded(id, deleteMarker, func() {})
}

// AdoptCommitted adds a job whose record was committed earlier, in its present state, and calls done
// once the job is in memory or is known to have ended. It retries until the store responds.
func (a *Admitter) AdoptCommitted(id string, done func()) {
	a.adoptUnlessEnded(id, done, func() {
		a.scope.After(a.engine.Jitter(conflictRetryDelay), func() { a.AdoptCommitted(id, done) })
	})
}

// adoptUnlessEnded adopts a job that is not in memory. It calls done if the job is in memory
// afterwards, has ended or was never recorded, and onUnknown if its state cannot be read.
func (a *Admitter) adoptUnlessEnded(id string, done, onUnknown func()) {
	if a.Lifecycle.Jobs[id] != nil {
		done()
		return
	}
	a.adopt(id, done, func() {
		a.Lifecycle.Store.Read(id, func(status *request.JobStatus, known bool) {
			switch {
			case a.scope.Closed():
			case known && (status == nil || status.State.Final()):
				done()
			default:
				onUnknown()
			}
		})
	})
}
