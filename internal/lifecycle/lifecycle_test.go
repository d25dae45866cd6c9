package lifecycle_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"yewpass/internal/bitset"
	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/jobstore"
	"yewpass/internal/kv"
	"yewpass/internal/lifecycle"
	"yewpass/internal/placement"
	"yewpass/internal/quota"
	"yewpass/internal/record"
	"yewpass/internal/replication"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
	"yewpass/internal/writebatch"
)

const liveKey, finalKey = record.JobPrefix + "wk-1", record.FinalPrefix + "wk-1"

// leader is a fake leader without machines; tests reply to its store requests explicitly.
type leader struct {
	*lifecycle.Manager
	t            *testing.T
	engine       *engine.Engine
	unaccounted  bool // AllAccounted returns false
	cancelSafeAt time.Time
	dispatched   int
	finished     []spec.JobState
}

func (l *leader) AllAccounted() bool             { return !l.unaccounted }
func (l *leader) CancelSafeAt() time.Time        { return l.cancelSafeAt }
func (l *leader) RequestDispatch(*fleet.Machine) { l.dispatched++ }
func (l *leader) JobFinished(_ *fleet.Job, state spec.JobState) {
	l.finished = append(l.finished, state)
}

// Methods that the embedded components require of the leader.
func (l *leader) IsActive() bool                              { return true }
func (l *leader) Machines() []*fleet.Machine                  { return nil }
func (l *leader) IsUnaccounted(string) bool                   { return false }
func (l *leader) UnaccountedCount() int                       { return 0 }
func (l *leader) RequestDispatchAll()                         {}
func (l *leader) Backlog() (time.Duration, float64)           { return 0, 0 }
func (l *leader) ConfigBatchDue() bool                        { return false }
func (l *leader) QueueRestores()                              {}
func (l *leader) QueueDueOccurrences()                        {}
func (l *leader) HasDueOccurrences() bool                     { return false }
func (l *leader) ReplicateBatch([]*writebatch.Change, uint64) {}
func (l *leader) Replicate(kv.Entry)                          {}
func (l *leader) StepDown(why string)                         { l.t.Error("stepped down:", why) }
func (l *leader) HighestTerm() uint64                         { return 5 }
func (l *leader) ConfirmedTerm() uint64                       { return 5 }
func (l *leader) IsLinked(string) bool                        { return false }
func (l *leader) HasLoadedRecords() bool                      { return true }

func newLeader(t *testing.T) *leader {
	t.Helper()
	cfg := &config.Config{HostName: "n0"}
	cfg.Settings.State = config.State{RPS: 1000, WriteRPS: 3000, ValueKB: 64, TxnOps: 4}
	e := engine.New(rand.New(rand.NewPCG(1, 1)), 1)
	e.Begin(time.Unix(1_900_000_000, 0))
	l := &leader{t: t, engine: e}
	scope := e.NewScope()
	l.Manager = lifecycle.New(e, scope, cfg.Settings.State, lifecycle.State{
		Jobs:      map[string]*fleet.Job{},
		Teams:     quota.Accounts{},
		Placement: placement.New(e, scope, cfg, l, 5),
		Writes:    writebatch.New(e, scope, cfg.Settings.State, kv.Condition{Key: record.TermKey, Rev: 40}, l),
		Replicas:  replication.NewPublisher(replication.New(e, cfg, l), scope, 5),
		Store:     jobstore.NewReader(e, 1000, 1, 10),
	}, l)
	return l
}

// add adds and queues a job with the given number of tasks.
func (l *leader) add(tasks int, fromEarlierTerm bool) *fleet.Job {
	job := spec.Job{ID: "wk-1", Owner: "t", Tasks: tasks, CPUs: 1, MemGB: 1}
	j := l.Add(&record.Job{Spec: job, Submitted: l.engine.Now}, fromEarlierTerm)
	l.Queue(j)
	return j
}

// advance advances the clock and flushes queued writes.
func (l *leader) advance(d time.Duration) {
	l.engine.Begin(l.engine.Now.Add(d))
	l.engine.RunTimers()
	l.Writes.Flush()
}

// takeOutputs removes and returns all outputs of type T.
func takeOutputs[T any](l *leader) (found []T) {
	for _, out := range l.engine.Outputs {
		if x, ok := out.(T); ok {
			found = append(found, x)
		}
	}
	l.engine.Outputs = slices.DeleteFunc(l.engine.Outputs, func(out any) bool { _, ok := out.(T); return ok })
	return found
}

// sent flushes queued writes and returns the only request sent to the store.
func (l *leader) sent() kv.Request {
	l.t.Helper()
	return l.sentAll(1)[0]
}

// sentAll flushes queued writes and returns the n requests sent to the store.
func (l *leader) sentAll(n int) []kv.Request {
	l.t.Helper()
	l.Writes.Flush()
	calls := takeOutputs[kv.Request](l)
	if len(calls) != n {
		l.t.Fatalf("got %d requests to the store, want %d: %+v", len(calls), n, calls)
	}
	return calls
}

func (l *leader) reply(call kv.Request, r kv.Response) {
	r.Ref = call.Ref
	l.engine.HandleStore(r)
}

func (l *leader) wantStatuses(statuses ...int) {
	l.t.Helper()
	var got []int
	for _, a := range takeOutputs[request.Response](l) {
		got = append(got, a.Status)
	}
	if !slices.Equal(got, statuses) {
		l.t.Errorf("response statuses %v, want %v", got, statuses)
	}
}

// keys returns the keys that a request writes, with a minus sign before deleted ones.
func keys(call kv.Request) string {
	var ks []string
	for _, w := range call.Writes {
		mark := ""
		if w.Value == nil {
			mark = "-"
		}
		ks = append(ks, mark+strings.TrimPrefix(w.Key, record.Root))
	}
	return strings.Join(ks, " ")
}

// TestProgressInOneWrite checks that completions within a second share one write, and that workers
// may forget only completions in a committed write.
func TestProgressInOneWrite(t *testing.T) {
	l := newLeader(t)
	j := l.add(10, false)
	var attempts []*fleet.Attempt
	complete := func(task int) {
		a := &fleet.Attempt{ID: heartbeat.TaskID{Job: "wk-1", Index: task}}
		attempts = append(attempts, a)
		j.UnrecordedCompletions = append(j.UnrecordedCompletions, a)
		l.CompleteTask(j, task)
	}
	complete(0)
	complete(1)
	l.advance(999 * time.Millisecond)
	if calls := takeOutputs[kv.Request](l); len(calls) != 0 {
		t.Fatalf("requests %+v before a second has passed", calls)
	}
	l.advance(time.Millisecond)
	call := l.sent()
	if len(call.Writes) != 1 || call.Writes[0].Key != record.ProgressKey("wk-1", 0) {
		t.Fatalf("writes %+v, want one of progress chunk 0", call.Writes)
	}
	if want := (kv.Condition{Key: record.ProgressKey("wk-1", 0), Rev: 0}); !slices.Contains(call.Conditions, want) {
		t.Errorf("conditions %+v, want the known revision of the record", call.Conditions)
	}
	complete(2)
	l.reply(call, kv.Response{Outcome: rpc.OK, Rev: 50})
	for i, a := range attempts {
		if a.Forgettable != (i < 2) {
			t.Errorf("attempt of task %d: Forgettable is %v", i, a.Forgettable)
		}
	}
	l.advance(time.Second)
	call = l.sent()
	if want := (kv.Condition{Key: record.ProgressKey("wk-1", 0), Rev: 50}); !slices.Contains(call.Conditions, want) {
		t.Errorf("conditions %+v, want the known revision of the record", call.Conditions)
	}
}

// TestFinalRecord checks that one transaction writes the final record and deletes the live record
// and as many progress records as fit, and that the job ends once it is committed.
func TestFinalRecord(t *testing.T) {
	l := newLeader(t)
	j := l.add(1, false)
	for chunk := range 4 {
		j.ChunkRevisions[chunk] = uint64(10 * chunk) // 0: the chunk has no record
	}
	l.CompleteTask(j, 0)
	calls := l.sentAll(2)
	call, rest := calls[0], calls[1]
	want := fmt.Sprintf("%s -%s -%s -%s", strings.TrimPrefix(finalKey, record.Root), strings.TrimPrefix(liveKey, record.Root),
		strings.TrimPrefix(record.ProgressKey("wk-1", 1), record.Root), strings.TrimPrefix(record.ProgressKey("wk-1", 2), record.Root))
	if got := keys(call); got != want {
		t.Errorf("writes %q, want %q", got, want)
	}
	if l.Jobs["wk-1"] != j || len(l.finished) != 0 {
		t.Error("job finished before its final record was committed")
	}
	l.reply(call, kv.Response{Outcome: rpc.OK, Rev: 60})
	if final, ok := l.Store.Final("wk-1"); !ok || final != (record.Final{State: spec.Done, Done: 1}) {
		t.Errorf("cached final record %+v", final)
	}
	if l.Jobs["wk-1"] != nil || j.Team.JobCount != 0 || !slices.Equal(l.finished, []spec.JobState{spec.Done}) {
		t.Errorf("job is still in memory, or finished with states %v, want done", l.finished)
	}
	if got, want := keys(rest), "-"+strings.TrimPrefix(record.ProgressKey("wk-1", 3), record.Root); got != want {
		t.Errorf("second transaction writes %q, want the remaining progress record %q", got, want)
	}
}

// TestCancelWaitsUntilSafe checks that a cancellation is not written before CancelSafeAt while
// machines may have tasks of the job, and that clients get the remaining time as Retry-After.
func TestCancelWaitsUntilSafe(t *testing.T) {
	l := newLeader(t)
	l.unaccounted, l.cancelSafeAt = true, l.engine.Now.Add(700*time.Millisecond)
	j := l.add(1, true)
	l.Cancel(j, request.Request{Ref: 1, Op: request.Cancel})
	answers := takeOutputs[request.Response](l)
	if len(answers) != 1 || answers[0].Status != 503 || answers[0].RetryAfter != 700*time.Millisecond {
		t.Fatalf("responses %+v, want one with status 503 and RetryAfter 700ms", answers)
	}
	l.Cancel(j, request.Request{Ref: 2, Op: request.Cancel})
	l.advance(500 * time.Millisecond)
	l.wantStatuses(503)
	l.Cancel(j, request.Request{Ref: 3, Op: request.Cancel})
	l.advance(200 * time.Millisecond)
	call := l.sent()
	if rec, _ := call.Writes[0].Value.(*record.Job); len(call.Writes) != 1 || call.Writes[0].Key != liveKey || !rec.Cancelled {
		t.Fatalf("writes %+v, want one of the cancelled live record", call.Writes)
	}
	if !slices.Contains(call.Conditions, kv.Condition{Key: finalKey, Rev: 0}) {
		t.Errorf("conditions %+v, want that no final record exists", call.Conditions)
	}
	l.wantStatuses()
	l.reply(call, kv.Response{Outcome: rpc.OK, Rev: 60})
	l.wantStatuses(200)

	// The live record is kept while any machine may have a task of the job.
	l.advance(time.Second)
	if calls := takeOutputs[kv.Request](l); len(calls) != 0 || l.Jobs["wk-1"] == nil {
		t.Fatalf("job ended while machines are unaccounted for, requests %+v", calls)
	}
	l.unaccounted = false
	l.FinishIfEnded(j)
	l.reply(l.sent(), kv.Response{Outcome: rpc.OK, Rev: 61})
	if !slices.Equal(l.finished, []spec.JobState{spec.Cancelled}) {
		t.Errorf("finished with states %v, want cancelled", l.finished)
	}
}

// TestCancelStopsAtOnce checks that stop orders for a job are sent before its cancellation is
// committed.
func TestCancelStopsAtOnce(t *testing.T) {
	l := newLeader(t)
	j := l.add(2, false)
	for i := range 2 {
		j.Attempts[i] = &fleet.Attempt{ID: heartbeat.TaskID{Job: "wk-1", Index: i}, Job: j}
	}
	l.Cancel(j, request.Request{Ref: 1, Op: request.Cancel})
	if l.dispatched != 2 || !j.Halted() {
		t.Errorf("dispatch requested for %d machines, want 2; halted: %v", l.dispatched, j.Halted())
	}
}

// TestRequestWaitsForEnding checks that requests about a job are held once its final record has
// been sent, until the outcome is known or the wait times out.
func TestRequestWaitsForEnding(t *testing.T) {
	l := newLeader(t)
	j := l.add(1, false)
	poll := request.Request{Ref: 1, Op: request.Get}
	l.CompleteTask(j, 0)
	if l.WaitForEnding(j, poll) {
		t.Error("request is held before the final record is sent")
	}
	call := l.sent()
	if !l.WaitForEnding(j, poll) {
		t.Fatal("request is not held")
	}
	l.advance(599 * time.Millisecond)
	l.wantStatuses()
	l.advance(time.Millisecond)
	l.wantStatuses(503)
	if !l.WaitForEnding(j, poll) {
		t.Fatal("second request is not held")
	}
	l.reply(call, kv.Response{Outcome: rpc.OK, Rev: 60})
	l.wantStatuses(200)
	l.advance(time.Second)
	l.wantStatuses()
}

// TestRequeue checks that a task is queued again only if it has to run and has no attempt.
func TestRequeue(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*fleet.Job)
		queued bool
	}{
		"pending run":  {func(*fleet.Job) {}, true},
		"completed":    {func(j *fleet.Job) { j.Done.Add(0) }, false},
		"on a machine": {func(j *fleet.Job) { j.Attempts[0] = &fleet.Attempt{} }, false},
		"cancelled":    {func(j *fleet.Job) { j.Cancelled = true }, false},
		"finishing":    {func(j *fleet.Job) { j.Finishing = true }, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLeader(t)
			j := l.add(bitset.ChunkSize, false)
			j.Pending.Remove(0)
			j.Waiting--
			test.change(j)
			l.Requeue(j, 0)
			if j.Pending.Has(0) != test.queued || j.Waiting == bitset.ChunkSize != test.queued {
				t.Errorf("task pending: %v, %d tasks waiting", j.Pending.Has(0), j.Waiting)
			}
		})
	}
}
