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

// leader is a fake leader without machines; tests reply to its store requests explicitly.
type leader struct {
	*admission.Admitter
	t         *testing.T
	engine    *engine.Engine
	scope     *engine.Scope
	suspended bool // IsActive returns false
	lostData  bool
	late      time.Duration
	served    []request.Request
	added     []string
}

func (l *leader) IsActive() bool                   { return !l.suspended }
func (l *leader) Serve(r request.Request)          { l.served = append(l.served, r) }
func (l *leader) Lateness(*spec.Job) time.Duration { return l.late }
func (l *leader) PolicyEnv() policy.Env            { return policy.Env{} }
func (l *leader) MayHaveLostJobs() bool            { return l.lostData }
func (l *leader) Unreadable(id string) bool        { return id == "unreadable" }
func (l *leader) JobAdded(j *fleet.Job)            { l.added = append(l.added, j.Spec.ID) }
func (l *leader) ConfirmTerm(more []kv.Condition, f func(kv.Response)) {
	l.scope.CallStore(kv.Request{Op: kv.Txn, Conditions: more}, f)
}

// Methods that the embedded components require of the leader.
func (l *leader) AllAccounted() bool                          { return true }
func (l *leader) CancelSafeAt() time.Time                     { return l.engine.Now }
func (l *leader) RequestDispatch(*fleet.Machine)              {}
func (l *leader) JobFinished(*fleet.Job, spec.JobState)       {}
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
func (l *leader) Queue() fleet.Queue                          { return nil }
func (l *leader) Zone(string) *zones.Zone                     { return nil }
func (l *leader) Estimate(*fleet.Job) time.Duration           { return time.Minute }
func (l *leader) MayStartOn(*fleet.Job, *fleet.Machine) bool  { return true }
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
	scaler.CatalogLoaded = true
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

// submit serves a submission and returns the request that writes its record.
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

// sent returns the request sent to the store; the test fails if there is not exactly one.
func (l *leader) sent() kv.Request {
	l.t.Helper()
	calls := takeOutputs[kv.Request](l)
	if len(calls) != 1 {
		l.t.Fatalf("got %d requests to the store, want 1: %+v", len(calls), calls)
	}
	return calls[0]
}

// reply responds to the only store request.
func (l *leader) reply(r kv.Response) {
	l.t.Helper()
	r.Ref = l.sent().Ref
	l.engine.HandleStore(r)
}

// replyEntry responds to the only store request with an entry.
func (l *leader) replyEntry(key string, value any) {
	l.t.Helper()
	l.reply(kv.Response{Outcome: rpc.OK, Rev: 60, Entries: []kv.Entry{{Key: key, Value: value, Rev: 60}}})
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

func liveRecord() *record.Job { return &record.Job{Spec: *submission(1).Spec} }

// TestSubmission checks that clients are told of a job only after its record is committed, and that
// the write requires that the job has no record yet.
func TestSubmission(t *testing.T) {
	l := newLeader(t, "false")
	call := l.submit()
	for _, want := range record.JobAbsent("wk-1") {
		if !slices.Contains(call.Conditions, want) {
			t.Errorf("write lacks the condition %+v", want)
		}
	}
	if len(call.Writes) != 1 || call.Writes[0].Key != liveKey {
		t.Errorf("writes %+v, want one of the live record", call.Writes)
	}
	l.Admitter.Serve(submission(2))
	l.Admitter.Serve(request.Request{Ref: 3, Op: request.Get, ID: "wk-1"})
	l.wantStatuses(503) // to the Get request
	l.engine.HandleStore(kv.Response{Ref: call.Ref, Outcome: rpc.OK, Rev: 60})
	l.wantStatuses(201, 201)
	if !slices.Equal(l.added, []string{"wk-1"}) || l.Lifecycle.Jobs["wk-1"].Waiting != 3 {
		t.Errorf("added jobs %q, want wk-1 with 3 waiting tasks", l.added)
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
		l.replyEntry(liveKey, liveRecord())
		l.replyEntry(liveKey, liveRecord()) // second read, to adopt the job
		l.wantStatuses(200)
		if l.Lifecycle.Jobs["wk-1"] == nil {
			t.Error("job was not adopted")
		}
	})
	t.Run("ended", func(t *testing.T) {
		l := conflict(t)
		l.reply(kv.Response{Outcome: rpc.NotFound})
		l.replyEntry(finalKey, &record.Final{State: spec.Done, Done: 3})
		l.wantStatuses(200)
		if l.Lifecycle.Jobs["wk-1"] != nil {
			t.Error("ended job was adopted")
		}
	})
	t.Run("store does not answer", func(t *testing.T) {
		l := conflict(t)
		l.reply(kv.Response{Outcome: rpc.Unknown})
		l.wantStatuses(503)
		l.Admitter.Serve(submission(2))
		l.advance(time.Second)
		l.replyEntry(liveKey, liveRecord())
		l.replyEntry(liveKey, liveRecord())
		l.wantStatuses(200)
	})
	t.Run("leadership ended", func(t *testing.T) {
		l := conflict(t)
		l.scope.Close()
		l.replyEntry(liveKey, liveRecord())
		if calls := takeOutputs[kv.Request](l); len(calls) != 0 {
			t.Errorf("requests to the store after the leadership ended: %+v", calls)
		}
	})
}

// TestRefusals checks that a job is rejected only after the store has confirmed that it has no
// record of the job.
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
				l.wantStatuses()
				l.reply(kv.Response{Outcome: rpc.OK})
			}
			answers := takeOutputs[request.Response](l)
			if len(answers) != 1 || answers[0].Status != test.status || answers[0].RetryAfter != test.retry {
				t.Errorf("unexpected responses %+v", answers)
			}
		})
	}
	t.Run("accepted once", func(t *testing.T) {
		l := newLeader(t, "false")
		r := submission(1)
		never(&r)
		l.Admitter.Serve(r)
		l.replyEntry(liveKey, liveRecord())
		l.replyEntry(liveKey, liveRecord())
		if l.Lifecycle.Jobs["wk-1"] == nil || len(l.served) != 1 {
			t.Errorf("job was not adopted, or served %d times, want 1", len(l.served))
		}
		l.wantStatuses()
	})
	t.Run("term not confirmed", func(t *testing.T) {
		l := newLeader(t, "false")
		l.Admitter.Serve(request.Request{Ref: 1, Op: request.Get, ID: "wk-1"})
		l.reply(kv.Response{Outcome: rpc.NotFound})
		l.reply(kv.Response{Outcome: rpc.NotFound})
		l.reply(kv.Response{Outcome: rpc.Conflict})
		l.wantStatuses(503)
	})
}

const markerKey = record.LeaderlessPrefix + "wk-1"

// watchMarker returns a leader that has just read a leaderless marker with the given key.
func watchMarker(t *testing.T, key string) *leader {
	t.Helper()
	l := newLeader(t, "false")
	l.WatchLeaderless()
	l.reply(kv.Response{Outcome: rpc.OK, Rev: 60, Entries: []kv.Entry{{Key: key}}})
	return l
}

// deletes reports whether a request that deletes the key has been sent.
func (l *leader) deletes(key string) bool {
	l.Writes.Flush()
	return slices.ContainsFunc(takeOutputs[kv.Request](l), func(call kv.Request) bool {
		return slices.Contains(call.Writes, kv.Write{Key: key})
	})
}

// TestLeaderlessMarkers checks that jobs named by leaderless markers are adopted and the markers
// deleted, and that a marker is kept while the state of its job cannot be read.
func TestLeaderlessMarkers(t *testing.T) {
	t.Run("live", func(t *testing.T) {
		l := watchMarker(t, markerKey)
		l.replyEntry(liveKey, liveRecord())
		if l.Lifecycle.Jobs["wk-1"] == nil || !l.deletes(markerKey) {
			t.Error("job was not adopted, or its marker not deleted")
		}
	})
	t.Run("ended", func(t *testing.T) {
		l := watchMarker(t, markerKey)
		l.reply(kv.Response{Outcome: rpc.NotFound})
		l.reply(kv.Response{Outcome: rpc.NotFound})
		l.replyEntry(finalKey, &record.Final{State: spec.Done})
		if !l.deletes(markerKey) {
			t.Error("marker was not deleted")
		}
	})
	t.Run("not known", func(t *testing.T) {
		l := watchMarker(t, markerKey)
		l.reply(kv.Response{Outcome: rpc.Unknown})
		l.reply(kv.Response{Outcome: rpc.Unknown})
		if l.deletes(markerKey) {
			t.Error("marker was deleted")
		}
	})
	t.Run("unreadable", func(t *testing.T) {
		key := record.LeaderlessPrefix + "unreadable"
		if l := watchMarker(t, key); !l.deletes(key) {
			t.Error("marker was not deleted")
		}
	})
}

// TestWatchLeaderless checks that an empty list is followed by a watch from its revision.
func TestWatchLeaderless(t *testing.T) {
	l := newLeader(t, "false")
	l.WatchLeaderless()
	l.reply(kv.Response{Outcome: rpc.OK, Rev: 60})
	watch := l.sent()
	if watch.Op != kv.Watch || watch.Key != record.LeaderlessPrefix || watch.FromRev != 60 {
		t.Fatalf("request %+v, want a watch of the markers from revision 60", watch)
	}
	l.engine.HandleStore(kv.Response{Ref: watch.Ref, Outcome: rpc.OK, Rev: 61})
	if call := l.sent(); call.Op != kv.List {
		t.Errorf("request %+v after a change, want a list", call)
	}
}

// commit flushes the queued writes and responds to each transaction that it has been committed.
func (l *leader) commit(rev uint64) {
	l.t.Helper()
	l.Writes.Flush()
	for _, call := range takeOutputs[kv.Request](l) {
		if call.Op != kv.Txn {
			l.t.Fatalf("request to the store %+v, want only transactions", call)
		}
		l.engine.HandleStore(kv.Response{Ref: call.Ref, Outcome: rpc.OK, Rev: rev})
	}
}

// TestLateReadOfEndedJob guards against a cancelled job that is queued again: of two reads of its
// live record, one adds the job, and the response to the other, as old, arrives once the job has
// ended.
func TestLateReadOfEndedJob(t *testing.T) {
	l := watchMarker(t, markerKey)
	l.AdoptLeaderless(markerKey)
	reads := takeOutputs[kv.Request](l)
	if len(reads) != 2 || reads[0].Key != liveKey || reads[1].Key != liveKey {
		t.Fatalf("requests to the store %+v, want two reads of the live record", reads)
	}
	before := kv.Response{Outcome: rpc.OK, Rev: 60, Entries: []kv.Entry{{Key: liveKey, Value: liveRecord(), Rev: 60}}}
	before.Ref = reads[0].Ref
	l.engine.HandleStore(before)
	job := l.Lifecycle.Jobs["wk-1"]
	if job == nil {
		t.Fatal("job was not adopted")
	}
	l.Lifecycle.Cancel(job, request.Request{Ref: 1, Op: request.Cancel, ID: "wk-1"})
	l.commit(61) // the cancellation
	l.wantStatuses(200)
	l.commit(62) // the final record
	if l.Lifecycle.Jobs["wk-1"] != nil {
		t.Fatal("cancelled job has not ended")
	}
	before.Ref = reads[1].Ref
	l.engine.HandleStore(before)
	if l.Lifecycle.Jobs["wk-1"] != nil {
		t.Error("cancelled job was added again")
	}
	l.reply(kv.Response{Outcome: rpc.NotFound}) // to the read that is sent again
	if l.Lifecycle.Jobs["wk-1"] != nil {
		t.Error("cancelled job was added again")
	}
}
