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

// userReadShare is how much of the requests that the key-value store allows goes into reads
// for users: so much at the leader, and so much at all other controllers together. Were
// each of those to take as much, users who ask about unknown and forgotten jobs many times
// would leave no room for renewals of the leader lease.
const userReadShare = 0.25

// maxRequestsPerRead is how many requests Read takes for a job that does not exist, including the
// one that confirms it.
const maxRequestsPerRead = 3

// Reader reads the states of jobs for users. It keeps to a share of the requests that the
// store allows, and remembers how recent jobs have ended, which never changes.
type Reader struct {
	engine *engine.Engine
	rps    float64
	limit  *rate.Limiter
	finals *lru.Cache[string, record.Final]
}

// NewReader returns a reader for a store that allows rps requests a second. It remembers
// the ends of maxFinals jobs, and has the share of one of so many controllers.
func NewReader(e *engine.Engine, rps float64, controllers, maxFinals int) *Reader {
	finals, _ := lru.New[string, record.Final](maxFinals) // fails only for a size below 1
	r := &Reader{engine: e, rps: rps, finals: finals}
	r.ShareAmong(controllers)
	return r
}

// ShareAmong divides the reads that the store allows among so many controllers, and begins
// to count anew.
func (r *Reader) ShareAmong(controllers int) {
	each := r.rps * userReadShare / float64(controllers)
	r.limit = rate.NewLimiter(rate.Limit(each), max(2, int(each))) // a poll may take two
}

// Allow reports whether so many requests may be made for users now, and counts them.
func (r *Reader) Allow(requests int) bool { return r.limit.AllowN(r.engine.Now, requests) }

// Final returns how a job has ended, if it is remembered.
func (r *Reader) Final(id string) (record.Final, bool) { return r.finals.Get(id) }

// CacheFinal remembers how a job has ended.
func (r *Reader) CacheFinal(id string, final record.Final) { r.finals.Add(id, final) }

// Read reads a job's state: first the live record, then the final one, because a job moves
// from the first to the second in one transaction. The status is nil for a job that has no
// record; known is false if the store does not say.
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

// LiveStatus returns what users are told of a job by its live record alone.
func LiveStatus(id string, job *record.Job) *request.JobStatus {
	status := &request.JobStatus{ID: id, State: spec.Queued}
	if job.Cancelled {
		status.State = spec.Cancelled
	}
	return status
}
