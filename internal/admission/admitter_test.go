package admission_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"yewpass/internal/admission"
	"yewpass/internal/autoscaler"
	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/jobstore"
	"yewpass/internal/kv"
	"yewpass/internal/lifecycle"
	"yewpass/internal/liveconfig"
	"yewpass/internal/placement"
	"yewpass/internal/policy"
	"yewpass/internal/provider"
	"yewpass/internal/quota"
	"yewpass/internal/record"
	"yewpass/internal/replication"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
	"yewpass/internal/writebatch"
	"yewpass/internal/zones"
)

const liveKey, finalKey = record.JobPrefix + "wk-1", record.FinalPrefix + "wk-1"

// leader is a leader with no machines and a store that answers by hand.
type leader struct {
	*admission.Admitter
	t         *testing.T
	engine    *engine.Engine
	scope     *engine.Scope
	suspended bool // without authority
	lostData  bool
	late      time.Duration
	served    []request.Request
	added     []string
}

func (l *leader) CanAct() bool                     { return !l.suspended }
func (l *leader) Serve(r request.Request)          { l.served = append(l.served, r) }
func (l *leader) Lateness(*spec.Job) time.Duration { return l.late }
func (l *leader) PolicyEnv() policy.Env            { return policy.Env{} }
func (l *leader) MayHaveLostJobs() bool            { return l.lostData }
func (l *leader) Unreadable(id string) bool        { return id == "unreadable" }
func (l *leader) JobAdded(j *fleet.Job)            { l.added = append(l.added, j.Spec.ID) }
func (l *leader) ConfirmTerm(more []kv.Condition, f func(kv.Response)) {
	l.scope.CallStore(kv.Request{Op: kv.Txn, Conditions: more}, f)
}

// What the lower parts ask of the leader.
func (l *leader) AllAccounted() bool                          { return true }
func (l *leader) CancelSafeAt() time.Time                     { return l.engine.Now }
func (l *leader) RequestDispatch(*fleet.Machine)              {}
func (l *leader) JobFinished(*fleet.Job, spec.JobState)       {}
func (l *leader) Machines() []*fleet.Machine                  { return nil }
func (l *leader) Unaccounted(string) bool                     { return false }
func (l *leader) UnaccountedCount() int                       { return 0 }
func (l *leader) DispatchAll()                                {}
func (l *leader) Backlog() (time.Duration, float64)           { return 0, 0 }
func (l *leader) ConfigBatchDue() bool                        { return false }
func (l *leader) RestoreRecords()                             {}
func (l *leader) MakeOccurrences()                            {}
func (l *leader) OccurrencesWait() bool                       { return false }
func (l *leader) ReplicateBatch([]*writebatch.Change, uint64) {}
func (l *leader) ReplicateEntry(kv.Entry)                     {}
func (l *leader) StepDown(why string)                         { l.t.Error("stepped down:", why) }
func (l *leader) HighestTerm() uint64                         { return 5 }
func (l *leader) ConfirmedTerm() uint64                       { return 5 }
func (l *leader) IsLinked(string) bool                        { return false }
func (l *leader) Queue() fleet.Queue                          { return nil }
func (l *leader) Zone(string) *zones.Zone                     { return nil }
func (l *leader) Estimate(*fleet.Job) time.Duration           { return time.Minute }
func (l *leader) MaxMachines() int                            { return 10 }
func (l *leader) Term() (term, era uint64)                    { return 5, 1 }
func (l *leader) HasLoadedRecords() bool                      { return true }

func newLeader(t *testing.T, refuse string) *leader {
	t.Helper()
	p, err := policy.New(map[string]string{"refuse": refuse})
	if err != nil {
		t.Fatal(err)
	}
	cfg := &config.Config{HostName: "n0"}
	cfg.Settings.State = config.State{RPS: 1000, WriteRPS: 3000, ValueKB: 64, TxnOps: 16}
	e := engine.New(rand.New(rand.NewPCG(1, 1)), 1)
	e.Begin(time.Unix(1_900_000_000, 0))
	l := &leader{t: t, engine: e, scope: e.NewScope()}
	teams := quota.Accounts{"t": quota.New(liveconfig.Team{Name: "t"})}
	writes := writebatch.New(e, l.scope, cfg.Settings.State, kv.Condition{Key: record.TermKey, Rev: 40}, l)
	replicas := replication.NewPublisher(replication.New(e, cfg, l), l.scope, 5)
	types := []provider.InstanceType{{Name: "plain", Capacity: timeline.Capacity(8, 0, 32), Zones: []string{"a"}}}
	scaler := autoscaler.New(autoscaler.Config{Engine: e, Scope: l.scope, State: l, Teams: teams, InstanceTypes: types, CloudRPS: 10})
	scaler.Loaded = true
	jobs := lifecycle.New(e, l.scope, cfg.Settings.State, lifecycle.State{
		Jobs:      map[string]*fleet.Job{},
		Teams:     teams,
		Placement: placement.New(e, l.scope, cfg, l, 5),
		Writes:    writes,
		Replicas:  replicas,
		Store:     jobstore.NewReader(e, 1000, 1, 10),
	}, l)
	l.Admitter = admission.New(e, l.scope, cfg.Settings.State, admission.State{Lifecycle: jobs, Writes: writes, Replicas: replicas, Autoscaler: scaler, Policy: p}, l)
	return l
}

// submit serves a submission and returns the record that is sent for it.
func (l *leader) submit() kv.Request {
	l.t.Helper()
	l.Admitter.Serve(submission(1))
	l.Writes.Flush()
	return l.sent()
}

func submission(ref uint64) request.Request {
	job := &spec.Job{ID: "wk-1", Owner: "t", Tasks: 3, CPUs: 1, MemGB: 1}
	return request.Request{Ref: ref, Op: request.Submit, ID: "wk-1", Spec: job}
}

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

// sent returns the one request to the store.
func (l *leader) sent() kv.Request {
	l.t.Helper()
	calls := take[kv.Request](l)
	if len(calls) != 1 {
		l.t.Fatalf("%d requests to the store, want one: %+v", len(calls), calls)
	}
	return calls[0]
}

// reply answers the one request to the store.
func (l *leader) reply(r kv.Response) {
	l.t.Helper()
	r.Ref = l.sent().Ref
	l.engine.HandleStore(r)
}

func (l *leader) found(key string, value any) {
	l.t.Helper()
	l.reply(kv.Response{Outcome: rpc.OK, Rev: 60, Entries: []kv.Entry{{Key: key, Value: value, Rev: 60}}})
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

func recorded() *record.Job { return &record.Job{Spec: *submission(1).Spec} }

// TestSubmission: nobody is told of a job before its record is committed, which is written on
// the condition that it has none.
func TestSubmission(t *testing.T) {
	l := newLeader(t, "false")
	call := l.submit()
	for _, want := range record.JobAbsent("wk-1") {
		if !slices.Contains(call.Conditions, want) {
			t.Errorf("no condition %+v", want)
		}
	}
	if len(call.Writes) != 1 || call.Writes[0].Key != liveKey {
		t.Errorf("%+v", call.Writes)
	}
	l.Admitter.Serve(submission(2))
	l.Admitter.Serve(request.Request{Ref: 3, Op: request.Get, ID: "wk-1"})
	l.wantAnswers(503) // to the poll
	l.engine.HandleStore(kv.Response{Ref: call.Ref, Outcome: rpc.OK, Rev: 60})
	l.wantAnswers(201, 201)
	if !slices.Equal(l.added, []string{"wk-1"}) || l.Lifecycle.Jobs["wk-1"].Waiting != 3 {
		t.Errorf("added %q", l.added)
	}
}

func TestConflictingSubmission(t *testing.T) {
	conflict := func(t *testing.T) *leader {
		t.Helper()
		l := newLeader(t, "false")
		call := l.submit()
		l.engine.HandleStore(kv.Response{Ref: call.Ref, Outcome: rpc.Conflict, FailedKeys: []string{liveKey}})
		return l
	}
	t.Run("live", func(t *testing.T) {
		l := conflict(t)
		l.found(liveKey, recorded())
		l.found(liveKey, recorded()) // read again to be taken on
		l.wantAnswers(200)
		if l.Lifecycle.Jobs["wk-1"] == nil {
			t.Error("not taken on")
		}
	})
	t.Run("over", func(t *testing.T) {
		l := conflict(t)
		l.reply(kv.Response{Outcome: rpc.NotFound})
		l.found(finalKey, &record.Final{State: spec.Done, Done: 3})
		l.wantAnswers(200)
		if l.Lifecycle.Jobs["wk-1"] != nil {
			t.Error("taken on")
		}
	})
	t.Run("store does not answer", func(t *testing.T) {
		l := conflict(t)
		l.reply(kv.Response{Outcome: rpc.Unknown})
		l.wantAnswers(503)
		l.Admitter.Serve(submission(2))
		l.pass(time.Second)
		l.found(liveKey, recorded())
		l.found(liveKey, recorded())
		l.wantAnswers(200)
	})
	t.Run("leadership ended", func(t *testing.T) {
		l := conflict(t)
		l.scope.Close()
		l.found(liveKey, recorded())
		if calls := take[kv.Request](l); len(calls) != 0 {
			t.Errorf("%+v", calls)
		}
	})
}

// TestRefusals: a refusal has to be confirmed by the records.
func TestRefusals(t *testing.T) {
	never := func(r *request.Request) { r.Spec.CPUs = 9 }
	dated := func(r *request.Request) { r.Spec.HasDeadline = true }
	for _, test := range []struct {
		name   string
		change func(*request.Request)
		lost   bool
		status int
		retry  time.Duration
	}{
		{"never schedulable", never, false, 422, 0},
		{"never schedulable, data lost", never, true, 503, time.Second},
		{"late", dated, false, 429, 7 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newLeader(t, "dated")
			l.late, l.lostData = 7*time.Second, test.lost
			r := submission(1)
			test.change(&r)
			l.Admitter.Serve(r)
			l.reply(kv.Response{Outcome: rpc.NotFound})
			l.reply(kv.Response{Outcome: rpc.NotFound})
			if !test.lost {
				l.wantAnswers()
				l.reply(kv.Response{Outcome: rpc.OK})
			}
			answers := take[request.Response](l)
			if len(answers) != 1 || answers[0].Status != test.status || answers[0].RetryAfter != test.retry {
				t.Errorf("%+v", answers)
			}
		})
	}
	t.Run("accepted once", func(t *testing.T) {
		l := newLeader(t, "false")
		r := submission(1)
		never(&r)
		l.Admitter.Serve(r)
		l.found(liveKey, recorded())
		l.found(liveKey, recorded())
		if l.Lifecycle.Jobs["wk-1"] == nil || len(l.served) != 1 {
			t.Errorf("not taken on, or served %d times", len(l.served))
		}
		l.wantAnswers()
	})
	t.Run("term not confirmed", func(t *testing.T) {
		l := newLeader(t, "false")
		l.Admitter.Serve(request.Request{Ref: 1, Op: request.Get, ID: "wk-1"})
		l.reply(kv.Response{Outcome: rpc.NotFound})
		l.reply(kv.Response{Outcome: rpc.NotFound})
		l.reply(kv.Response{Outcome: rpc.Conflict})
		l.wantAnswers(503)
	})
}

const noteKey = record.LeaderlessPrefix + "wk-1"

// watchNote returns a leader that has just read a note.
func watchNote(t *testing.T, key string) *leader {
	t.Helper()
	l := newLeader(t, "false")
	l.WatchLeaderless()
	l.reply(kv.Response{Outcome: rpc.OK, Rev: 60, Entries: []kv.Entry{{Key: key}}})
	return l
}

// drops reports whether the key is being deleted.
func (l *leader) drops(key string) bool {
	l.Writes.Flush()
	return slices.ContainsFunc(take[kv.Request](l), func(call kv.Request) bool {
		return slices.Contains(call.Writes, kv.Write{Key: key})
	})
}

// TestLeaderlessNotes: the jobs that notes name are taken on and their notes dropped, except
// while it is not known what there is.
func TestLeaderlessNotes(t *testing.T) {
	t.Run("live", func(t *testing.T) {
		l := watchNote(t, noteKey)
		l.found(liveKey, recorded())
		if l.Lifecycle.Jobs["wk-1"] == nil || !l.drops(noteKey) {
			t.Error("not taken on, or its note not dropped")
		}
	})
	t.Run("over", func(t *testing.T) {
		l := watchNote(t, noteKey)
		l.reply(kv.Response{Outcome: rpc.NotFound})
		l.reply(kv.Response{Outcome: rpc.NotFound})
		l.found(finalKey, &record.Final{State: spec.Done})
		if !l.drops(noteKey) {
			t.Error("note not dropped")
		}
	})
	t.Run("not known", func(t *testing.T) {
		l := watchNote(t, noteKey)
		l.reply(kv.Response{Outcome: rpc.Unknown})
		l.reply(kv.Response{Outcome: rpc.Unknown})
		if l.drops(noteKey) {
			t.Error("note dropped")
		}
	})
	t.Run("unreadable", func(t *testing.T) {
		key := record.LeaderlessPrefix + "unreadable"
		if l := watchNote(t, key); !l.drops(key) {
			t.Error("note not dropped")
		}
	})
}

// TestWatchLeaderless: without a note it waits for one, from the revision of the list on.
func TestWatchLeaderless(t *testing.T) {
	l := newLeader(t, "false")
	l.WatchLeaderless()
	l.reply(kv.Response{Outcome: rpc.OK, Rev: 60})
	watch := l.sent()
	if watch.Op != kv.Watch || watch.Key != record.LeaderlessPrefix || watch.FromRev != 60 {
		t.Fatalf("%+v", watch)
	}
	l.engine.HandleStore(kv.Response{Ref: watch.Ref, Outcome: rpc.OK, Rev: 61})
	if call := l.sent(); call.Op != kv.List {
		t.Errorf("%+v", call)
	}
}
