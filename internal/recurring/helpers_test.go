package recurring_test

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"yewpass/internal/calendar"
	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/recurring"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
	"yewpass/internal/writebatch"
)

// startTime is half an hour before the next occurrence of nightly.
var startTime = time.Date(2030, 6, 3, 0, 30, 0, 0, time.UTC)

const nightly = `{"name":"nightly","zone":"UTC","rule":"FREQ=DAILY","at":["01:00"],"due_at":"03:00","job":{"jobclass":"c","owner":"t",
"shape":"array","urgency":"urgent","shards":1,"vcpus":1,"gpus":0,"memGb":1,"bundle":"img","sizeGb":1,"samePlace":false,"apart":false,"reclaimable":true,
"runtimeS":60,"snapshotEveryS":0,"snapshotS":0}}`

// fakeLeader implements recurring.Leader. The test decides which queued writes are applied.
type fakeLeader struct {
	testing.TB
	*engine.Engine
	scope     *engine.Scope
	scheduler *recurring.Scheduler

	jobs      map[string]*fleet.Job
	stored    map[string]kv.Entry
	revision  uint64
	writes    []*writebatch.Change
	responses []request.Response
	submitted []string
	refused   bool   // if true, admission refuses all jobs for now
	reason    string // returned by Unschedulable
}

func newLeader(t *testing.T) *fakeLeader {
	t.Helper()
	l := &fakeLeader{
		TB:     t,
		Engine: engine.New(rand.New(rand.NewPCG(1, 2)), 0),
		jobs:   map[string]*fleet.Job{},
		stored: map[string]kv.Entry{},
	}
	l.Begin(startTime)
	l.scope = l.NewScope()
	settings := recurring.Settings{Calendars: calendar.NewSet(nil), Term: 1, TickInterval: 500 * time.Millisecond}
	l.scheduler = recurring.New(l.Engine, l.scope, settings, l)
	return l
}

func (l *fakeLeader) load() {
	l.Helper()
	l.scheduler.Load(func() {})
	l.serveStore()
	if !l.scheduler.Loaded() {
		l.Fatal("Loaded() = false after the schedules were read")
	}
}

// serveStore answers the key-value store calls of the current step.
func (l *fakeLeader) serveStore() {
	outputs := slices.Clone(l.Outputs)
	l.Outputs = l.Outputs[:0]
	for _, output := range outputs {
		call, ok := output.(kv.Request)
		if !ok {
			continue
		}
		response := kv.Response{Ref: call.Ref, Outcome: rpc.OK}
		if call.Op == kv.List {
			for key, entry := range l.stored {
				if strings.HasPrefix(key, call.Key) {
					response.Entries = append(response.Entries, entry)
				}
			}
		} else if entry, ok := l.stored[call.Key]; ok {
			response.Entries = []kv.Entry{entry}
		} else {
			response.Outcome = rpc.NotFound
		}
		l.HandleStore(response)
	}
}

// advance moves the clock forward in steps of the tick interval.
func (l *fakeLeader) advance(d time.Duration) {
	for end := l.Now.Add(d); l.Now.Before(end); {
		l.Begin(l.Now.Add(500 * time.Millisecond))
		l.RunTimers()
		l.scheduler.Tick()
		l.serveStore()
	}
}

// store puts a record into the key-value store.
func (l *fakeLeader) store(key string, value any) {
	l.revision++
	l.stored[key] = kv.Entry{Key: key, Value: value, Rev: l.revision}
}

// storeNightly stores the nightly schedule with its cursor at the current time.
func (l *fakeLeader) storeNightly() {
	l.store(record.SchedulePrefix+"nightly", &schedule.Record{Number: 7, Seq: 1, Edition: 1, File: json.RawMessage(nightly), Cursor: schedule.Cursor{Nominal: l.Now}})
}

// takeWrite dequeues the only queued change.
func (l *fakeLeader) takeWrite() *writebatch.Change {
	l.Helper()
	if len(l.writes) != 1 {
		l.Fatalf("%d changes are queued, want 1", len(l.writes))
	}
	change := l.writes[0]
	l.writes = nil
	if change.Prepare != nil && !change.Prepare() {
		l.Fatal("Prepare() = false, want a change to write")
	}
	return change
}

// apply writes a change to the store and reports whether its conditions were met.
func (l *fakeLeader) apply(change *writebatch.Change) bool {
	for _, condition := range change.Conditions {
		if l.stored[condition.Key].Rev != condition.Rev {
			return false
		}
	}
	l.revision++
	for _, write := range change.Writes {
		if write.Value == nil {
			delete(l.stored, write.Key)
			continue
		}
		l.stored[write.Key] = kv.Entry{Key: write.Key, Value: write.Value, Rev: l.revision}
	}
	return true
}

// commit applies the only queued change and reports the outcome to its callbacks.
func (l *fakeLeader) commit() {
	l.Helper()
	change := l.takeWrite()
	if l.apply(change) {
		change.OnCommit(l.revision)
	} else {
		change.OnConflict()
	}
	l.serveStore()
}

// send serves a request and returns its response, or nil if the request waits.
func (l *fakeLeader) send(op request.Operation, params request.ScheduleParams) *request.Response {
	n := len(l.responses)
	l.scheduler.Serve(request.Request{Ref: uint64(n), Op: op, Schedule: &params})
	l.serveStore()
	if len(l.responses) == n {
		return nil
	}
	return &l.responses[n]
}

// history returns the states of the entries in the nightly schedule's stored history.
func (l *fakeLeader) history() (states []string) {
	entries, _ := l.stored[record.SchedulePrefix+"nightly"].Value.(*schedule.Record).Entries()
	for _, entry := range entries {
		states = append(states, entry.State)
	}
	return states
}

// The methods below implement recurring.Leader.

func (l *fakeLeader) Job(id string) *fleet.Job { return l.jobs[id] }

func (l *fakeLeader) FinalState(string) (spec.JobState, bool) { return "", false }

func (l *fakeLeader) ReadJob(id string, f func(status *request.JobStatus, known bool)) {
	if final, _ := l.stored[record.FinalPrefix+id].Value.(*record.Final); final != nil {
		f(&request.JobStatus{ID: id, State: final.State}, true)
		return
	}
	f(nil, true)
}

func (l *fakeLeader) AdoptJob(id string, f func()) {
	l.Helper()
	if rec, _ := l.stored[record.JobPrefix+id].Value.(*record.Job); rec != nil && l.jobs[id] == nil {
		l.AddJob(rec)
	}
	f()
}

func (l *fakeLeader) AddJob(rec *record.Job) {
	l.Helper()
	if l.jobs[rec.Spec.ID] != nil {
		l.Fatalf("job %s is added twice", rec.Spec.ID)
	}
	l.jobs[rec.Spec.ID] = &fleet.Job{Spec: rec.Spec}
	l.scheduler.JobAdded(l.jobs[rec.Spec.ID])
}

func (l *fakeLeader) CatalogLoaded() bool { return true }

func (l *fakeLeader) Unschedulable(*spec.Job) (field, reason string) { return "vcpus", l.reason }

func (l *fakeLeader) CheckDeadline(*spec.Job) (time.Duration, bool) { return 0, l.refused }

func (l *fakeLeader) FitsValue(size int) bool { return size <= 16<<10 }

func (l *fakeLeader) Write(change *writebatch.Change) { l.writes = append(l.writes, change) }

func (l *fakeLeader) ScheduleFlush() {}

func (l *fakeLeader) ReadBack(key string, f func(entry kv.Entry, found bool)) {
	entry, found := l.stored[key]
	f(entry, found)
}

func (l *fakeLeader) Replicate(kv.Entry) {}

func (l *fakeLeader) ReplicateDelete(string) {}

func (l *fakeLeader) Answer(_ request.Request, response request.Response) {
	l.responses = append(l.responses, response)
}

func (l *fakeLeader) Serve(call request.Request) { l.submitted = append(l.submitted, call.ID) }
