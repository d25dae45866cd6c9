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

// leader is a leader with no machines and an empty store that answers by hand.
type leader struct {
	*lifecycle.Manager
	t          *testing.T
	engine     *engine.Engine
	unresolved bool // machines of an earlier term are not accounted for
	cancelAt   time.Time
	dispatched int
	finished   []spec.JobState
}

func (l *leader) AllAccounted() bool             { return !l.unresolved }
func (l *leader) CancelSafeAt() time.Time        { return l.cancelAt }
func (l *leader) RequestDispatch(*fleet.Machine) { l.dispatched++ }
func (l *leader) JobFinished(_ *fleet.Job, state spec.JobState) {
	l.finished = append(l.finished, state)
}

// What the lower parts ask of the leader.
func (l *leader) CanAct() bool                                { return true }
func (l *leader) Machines() []*fleet.Machine                  { return nil }
func (l *leader) Unaccounted(string) bool                     { return false }
func (l *leader) UnaccountedCount() int                       { return 0 }
func (l *leader) DispatchAll()                                {}
func (l *leader) Backlog() (time.Duration, float64)           { return 0, 0 }
func (l *leader) ConfigBatchDue() bool                        { return false }
func (l *leader) QueueRestores()                              {}
func (l *leader) QueueDueOccurrences()                        {}
func (l *leader) HasDueOccurrences() bool                     { return false }
func (l *leader) ReplicateBatch([]*writebatch.Change, uint64) {}
func (l *leader) ReplicateEntry(kv.Entry)                     {}
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

func (l *leader) add(tasks int, earlier bool) *fleet.Job {
	job := spec.Job{ID: "wk-1", Owner: "t", Tasks: tasks, CPUs: 1, MemGB: 1}
	j := l.Add(&record.Job{Spec: job, Submitted: l.engine.Now}, earlier)
	l.Queue(j)
	return j
}

// pass lets time pass, and sends what waits.
func (l *leader) pass(d time.Duration) {
	l.engine.Begin(l.engine.Now.Add(d))
	l.engine.RunTimers()
	l.Writes.Flush()
}

func take[T any](l *leader) (found []T) {
	for _, out := range l.engine.Outputs {
		if x, ok := out.(T); ok {
			found = append(found, x)
		}
	}
	l.engine.Outputs = slices.DeleteFunc(l.engine.Outputs, func(out any) bool { _, ok := out.(T); return ok })
	return found
}

// sent sends what waits and returns the one request to the store.
func (l *leader) sent() kv.Request {
	l.t.Helper()
	return l.sentAll(1)[0]
}

func (l *leader) sentAll(n int) []kv.Request {
	l.t.Helper()
	l.Writes.Flush()
	calls := take[kv.Request](l)
	if len(calls) != n {
		l.t.Fatalf("%d requests to the store, want %d: %+v", len(calls), n, calls)
	}
	return calls
}

func (l *leader) reply(call kv.Request, r kv.Response) {
	r.Ref = call.Ref
	l.engine.HandleStore(r)
}

func (l *leader) wantAnswers(statuses ...int) {
	l.t.Helper()
	var got []int
	for _, a := range take[request.Response](l) {
		got = append(got, a.Status)
	}
	if !slices.Equal(got, statuses) {
		l.t.Errorf("answers %v, want %v", got, statuses)
	}
}

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

// TestProgressInOneWrite: the news of a second go in one write; workers may forget what it
// has, and not what came since.
func TestProgressInOneWrite(t *testing.T) {
	l := newLeader(t)
	j := l.add(10, false)
	var attempts []*fleet.Attempt
	complete := func(task int) {
		a := &fleet.Attempt{ID: heartbeat.TaskID{Job: "wk-1", Index: task}}
		attempts = append(attempts, a)
		j.Completed = append(j.Completed, a)
		l.CompleteTask(j, task)
	}
	complete(0)
	complete(1)
	l.pass(999 * time.Millisecond)
	if calls := take[kv.Request](l); len(calls) != 0 {
		t.Fatalf("%+v before a second has passed", calls)
	}
	l.pass(time.Millisecond)
	call := l.sent()
	if len(call.Writes) != 1 || call.Writes[0].Key != record.ProgressKey("wk-1", 0) {
		t.Fatalf("%+v", call.Writes)
	}
	if want := (kv.Condition{Key: record.ProgressKey("wk-1", 0), Rev: 0}); !slices.Contains(call.Conditions, want) {
		t.Errorf("%+v", call.Conditions)
	}
	complete(2)
	l.reply(call, kv.Response{Outcome: rpc.OK, Rev: 50})
	for i, a := range attempts {
		if a.Forgettable != (i < 2) {
			t.Errorf("task %d forgettable: %v", i, a.Forgettable)
		}
	}
	l.pass(time.Second)
	call = l.sent()
	if want := (kv.Condition{Key: record.ProgressKey("wk-1", 0), Rev: 50}); !slices.Contains(call.Conditions, want) {
		t.Errorf("%+v", call.Conditions)
	}
}

// TestFinalRecord: it goes with the drops of the live record and of as much progress as the
// transaction has room for; the job is over once it is committed.
func TestFinalRecord(t *testing.T) {
	l := newLeader(t)
	j := l.add(1, false)
	for chunk := range 4 {
		j.ChunkRevisions[chunk] = uint64(10 * chunk) // 0: has no record
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
		t.Error("over before the record is committed")
	}
	l.reply(call, kv.Response{Outcome: rpc.OK, Rev: 60})
	if final, ok := l.Store.Final("wk-1"); !ok || final != (record.Final{State: spec.Done, Done: 1}) {
		t.Errorf("end remembered: %+v", final)
	}
	if l.Jobs["wk-1"] != nil || j.Team.JobCount != 0 || !slices.Equal(l.finished, []spec.JobState{spec.Done}) {
		t.Errorf("still in memory, or finished %v", l.finished)
	}
	if got, want := keys(rest), "-"+strings.TrimPrefix(record.ProgressKey("wk-1", 3), record.Root); got != want {
		t.Errorf("writes %q, want the progress that had no room, %q", got, want)
	}
}

// TestCancelWaitsUntilSafe: while tasks may be on machines a cancellation is not recorded
// before it is safe to be read, and whoever asks meanwhile is told for how long.
func TestCancelWaitsUntilSafe(t *testing.T) {
	l := newLeader(t)
	l.unresolved, l.cancelAt = true, l.engine.Now.Add(700*time.Millisecond)
	j := l.add(1, true)
	l.Cancel(j, request.Request{Ref: 1, Op: request.Cancel})
	answers := take[request.Response](l)
	if len(answers) != 1 || answers[0].Status != 503 || answers[0].RetryAfter != 700*time.Millisecond {
		t.Fatalf("%+v", answers)
	}
	l.Cancel(j, request.Request{Ref: 2, Op: request.Cancel})
	l.pass(500 * time.Millisecond)
	l.wantAnswers(503)
	l.Cancel(j, request.Request{Ref: 3, Op: request.Cancel})
	l.pass(200 * time.Millisecond)
	call := l.sent()
	if rec, _ := call.Writes[0].Value.(*record.Job); len(call.Writes) != 1 || call.Writes[0].Key != liveKey || !rec.Cancelled {
		t.Fatalf("%+v", call.Writes)
	}
	if !slices.Contains(call.Conditions, kv.Condition{Key: finalKey, Rev: 0}) {
		t.Errorf("%+v", call.Conditions)
	}
	l.wantAnswers()
	l.reply(call, kv.Response{Outcome: rpc.OK, Rev: 60})
	l.wantAnswers(200)

	// It stays on record until none of its tasks can be on any machine.
	l.pass(time.Second)
	if calls := take[kv.Request](l); len(calls) != 0 || l.Jobs["wk-1"] == nil {
		t.Fatalf("over with machines unaccounted for: %+v", calls)
	}
	l.unresolved = false
	l.FinishIfOver(j)
	l.reply(l.sent(), kv.Response{Outcome: rpc.OK, Rev: 61})
	if !slices.Equal(l.finished, []spec.JobState{spec.Cancelled}) {
		t.Errorf("finished %v", l.finished)
	}
}

// TestCancelStopsAtOnce: the machines that have tasks of a job hear of its cancellation
// before that is on record.
func TestCancelStopsAtOnce(t *testing.T) {
	l := newLeader(t)
	j := l.add(2, false)
	for i := range 2 {
		j.Attempts[i] = &fleet.Attempt{ID: heartbeat.TaskID{Job: "wk-1", Index: i}, Job: j}
	}
	l.Cancel(j, request.Request{Ref: 1, Op: request.Cancel})
	if l.dispatched != 2 || !j.Halted() {
		t.Errorf("%d machines told, halted: %v", l.dispatched, j.Halted())
	}
}

// TestRequestWaitsForEnding: once the record of a job's end has been sent it may be on
// record, and nobody is told anything older.
func TestRequestWaitsForEnding(t *testing.T) {
	l := newLeader(t)
	j := l.add(1, false)
	poll := request.Request{Ref: 1, Op: request.Get}
	l.CompleteTask(j, 0)
	if l.WaitForEnding(j, poll) {
		t.Error("waits before the record is sent")
	}
	call := l.sent()
	if !l.WaitForEnding(j, poll) {
		t.Fatal("does not wait")
	}
	l.pass(599 * time.Millisecond)
	l.wantAnswers()
	l.pass(time.Millisecond)
	l.wantAnswers(503)
	if !l.WaitForEnding(j, poll) {
		t.Fatal("does not wait again")
	}
	l.reply(call, kv.Response{Outcome: rpc.OK, Rev: 60})
	l.wantAnswers(200)
	l.pass(time.Second)
	l.wantAnswers()
}

// TestRequeue: a task waits again only if it is still to be run and nowhere else.
func TestRequeue(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*fleet.Job)
		waits  bool
	}{
		"to be run":    {func(*fleet.Job) {}, true},
		"done":         {func(j *fleet.Job) { j.Done.Add(0) }, false},
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
			if j.Pending.Has(0) != test.waits || j.Waiting == bitset.ChunkSize != test.waits {
				t.Errorf("pending: %v, %d tasks wait", j.Pending.Has(0), j.Waiting)
			}
		})
	}
}
