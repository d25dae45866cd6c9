package jobstore

import (
	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"

	"yewpass/internal/engine"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
)

// userReadShare is the share of the store's request limit that reads for clients may use: once for
// the leader, and once for all other controllers together. With that much for each controller,
// reads of unknown jobs could block renewals of the leader lease.
const userReadShare = 0.25

// maxRequestsPerRead is the number of store requests for a job that does not exist: two by Read,
// and one by which the leader confirms the result.
const maxRequestsPerRead = 3

// Reader reads the status of jobs for clients. It limits its rate of store requests, and caches
// final records, which never change.
type Reader struct {
	engine *engine.Engine
	rps    float64
	limit  *rate.Limiter
	finals *lru.Cache[string, record.Final]
}

// NewReader returns a reader for a store that allows rps requests per second, of which the share
// for clients is divided among the given number of controllers. It caches up to maxFinals final
// records, at least 1.
func NewReader(e *engine.Engine, rps float64, controllers, maxFinals int) *Reader {
	finals, _ := lru.New[string, record.Final](maxFinals) // fails only for a size below 1
	r := &Reader{engine: e, rps: rps, finals: finals}
	r.ShareAmong(controllers)
	return r
}

// ShareAmong divides the rate of reads for clients among the given number of controllers and resets
// the rate limiter.
func (r *Reader) ShareAmong(controllers int) {
	perController := r.rps * userReadShare / float64(controllers)
	// The burst is at least 2, the number of requests that one Read may send.
	r.limit = rate.NewLimiter(rate.Limit(perController), max(2, int(perController)))
}

// Allow reports whether the given number of store requests may be sent for clients now, and if so
// counts them against the rate limit.
func (r *Reader) Allow(requests int) bool { return r.limit.AllowN(r.engine.Now, requests) }

// Final returns the final record of a job if it is cached.
func (r *Reader) Final(id string) (record.Final, bool) { return r.finals.Get(id) }

// CacheFinal caches the final record of a job.
func (r *Reader) CacheFinal(id string, final record.Final) { r.finals.Add(id, final) }

// Read reads the status of a job and calls f with the result. It reads the live record before the
// final one, because one transaction replaces the first by the second. The status is nil for a job
// without a record. known is false if the rate limit is exceeded, the store does not answer or the
// record cannot be decoded.
func (r *Reader) Read(id string, f func(status *request.JobStatus, known bool)) {
	if !r.Allow(maxRequestsPerRead) {
		f(nil, false)
		return
	}
	r.engine.CallStore(kv.Request{Op: kv.Get, Key: record.JobPrefix + id}, func(reply kv.Response) {
		switch reply.Outcome {
		case rpc.OK:
			job, _ := reply.Entries[0].Value.(*record.Job)
			if job == nil {
				f(nil, false)
				return
			}
			f(LiveStatus(id, job), true)
		case rpc.NotFound:
			r.readFinal(id, f)
		default:
			f(nil, false)
		}
	})
}

func (r *Reader) readFinal(id string, f func(status *request.JobStatus, known bool)) {
	r.engine.CallStore(kv.Request{Op: kv.Get, Key: record.FinalPrefix + id}, func(reply kv.Response) {
		switch reply.Outcome {
		case rpc.OK:
			final, _ := reply.Entries[0].Value.(*record.Final)
			if final == nil {
				f(nil, false)
				return
			}
			r.CacheFinal(id, *final)
			status := FinalStatus(id, *final)
			f(&status, true)
		case rpc.NotFound:
			f(nil, true)
		default:
			f(nil, false)
		}
	})
}

// LiveStatus returns the client-visible status of a job according to its live record: queued or
// cancelled, without task counts.
func LiveStatus(id string, job *record.Job) *request.JobStatus {
	status := &request.JobStatus{ID: id, State: spec.Queued}
	if job.Cancelled {
		status.State = spec.Cancelled
	}
	return status
}
