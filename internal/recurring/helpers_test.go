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

// begin is half an hour before the nightly schedule's next occurrence.
var begin = time.Date(2030, 6, 3, 0, 30, 0, 0, time.UTC)

const nightly = `{"name":"nightly","zone":"UTC","rule":"FREQ=DAILY","at":["01:00"],"due_at":"03:00","job":{"jobclass":"c","owner":"t",
"shape":"array","urgency":"urgent","shards":1,"vcpus":1,"gpus":0,"memGb":1,"bundle":"img","sizeGb":1,"samePlace":false,"apart":false,"reclaimable":true,
"runtimeS":60,"snapshotEveryS":0,"snapshotS":0}}`

// leader is a leader whose writes are applied, or not, by the test.
type leader struct {
	testing.TB
	*engine.Engine
	scope     *engine.Scope
	scheduler *recurring.Scheduler

	jobs       map[string]*fleet.Job
	stored     map[string]kv.Entry
	revision   uint64
	writes     []*writebatch.Change
	responses  []request.Response
	submitted  []string
	refused    bool // admission refuses all jobs for now
	impossible string
}

func newLeader(t *testing.T) *leader {
	t.Helper()
	l := &leader{
		TB:     t,
		Engine: engine.New(rand.New(rand.NewPCG(1, 2)), 0),
		jobs:   map[string]*fleet.Job{},
		stored: map[string]kv.Entry{},
	}
	l.Begin(begin)
	l.scope = l.NewScope()
	settings := recurring.Settings{Calendars: calendar.NewSet(nil), Term: 1, TickInterval: 500 * time.Millisecond}
	l.scheduler = recurring.New(l.Engine, l.scope, settings, l)
	return l
}

// load has the scheduler read what is stored.
func (l *leader) load() {
	l.Helper()
	l.scheduler.Load(func() {})
	l.serveStore()
	if !l.scheduler.Loaded() {
		l.Fatal("the schedules are not loaded")
	}
}

// serveStore answers the calls to the store of this step.
func (l *leader) serveStore() {
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

// advance lets time pass in steps of the tick interval.
func (l *leader) advance(d time.Duration) {
	for end := l.Now.Add(d); l.Now.Before(end); {
		l.Begin(l.Now.Add(500 * time.Millisecond))
		l.RunTimers()
		l.scheduler.Tick()
		l.serveStore()
	}
}

// store puts a record into the store as an earlier leader has left it.
func (l *leader) store(key string, value any) {
	l.revision++
	l.stored[key] = kv.Entry{Key: key, Value: value, Rev: l.revision}
}

// storeNightly stores the nightly schedule, decided up to now.
func (l *leader) storeNightly() {
	l.store(record.SchedulePrefix+"nightly", &schedule.Record{Number: 7, Seq: 1, Edition: 1, File: json.RawMessage(nightly), Cursor: schedule.Cursor{Nominal: l.Now}})
}

// takeWrite removes the only queued change from the queue.
func (l *leader) takeWrite() *writebatch.Change {
	l.Helper()
	if len(l.writes) != 1 {
		l.Fatalf("%d changes are queued, want 1", len(l.writes))
	}
	change := l.writes[0]
	l.writes = nil
	if change.Prepare != nil && !change.Prepare() {
		l.Fatal("the change is void")
	}
	return change
}

// apply writes a change into the store if its conditions hold.
func (l *leader) apply(change *writebatch.Change) bool {
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

// commit applies the only queued change and reports the outcome.
func (l *leader) commit() {
	l.Helper()
	change := l.takeWrite()
	if l.apply(change) {
		change.OnCommit(l.revision)
	} else {
		change.OnConflict()
	}
	l.serveStore()
}

// ask serves a request and returns its response, or nil if it waits.
func (l *leader) ask(op request.Operation, params request.ScheduleParams) *request.Response {
	n := len(l.responses)
	l.scheduler.Serve(request.Request{Ref: uint64(n), Op: op, Schedule: &params})
	l.serveStore()
	if len(l.responses) == n {
		return nil
	}
	return &l.responses[n]
}

// history returns the states of the nightly schedule's stored history.
func (l *leader) history() (states []string) {
	entries, _ := l.stored[record.SchedulePrefix+"nightly"].Value.(*schedule.Record).Entries()
	for _, entry := range entries {
		states = append(states, entry.State)
	}
	return states
}

// The methods below implement recurring.Leader.

func (l *leader) Job(id string) *fleet.Job { return l.jobs[id] }

func (l *leader) FinalState(string) (spec.JobState, bool) { return "", false }

func (l *leader) ReadJob(id string, f func(status *request.JobStatus, known bool)) { f(nil, true) }

func (l *leader) AddJob(rec *record.Job) {
	l.Helper()
	if l.jobs[rec.Spec.ID] != nil {
		l.Fatalf("%s is added twice", rec.Spec.ID)
	}
	l.jobs[rec.Spec.ID] = &fleet.Job{Spec: rec.Spec}
	l.scheduler.JobAdded(l.jobs[rec.Spec.ID])
}

func (l *leader) CatalogRead() bool { return true }

func (l *leader) Unschedulable(*spec.Job) (field, reason string) { return "vcpus", l.impossible }

func (l *leader) AdmissionRefused(*spec.Job) (time.Duration, bool) { return 0, l.refused }

func (l *leader) FitsValue(size int) bool { return size <= 16<<10 }

func (l *leader) Write(change *writebatch.Change) { l.writes = append(l.writes, change) }

func (l *leader) WakeWriter() {}

func (l *leader) ReadBack(key string, f func(entry kv.Entry, found bool)) {
	entry, found := l.stored[key]
	f(entry, found)
}

func (l *leader) Replicate(kv.Entry) {}

func (l *leader) DropReplica(string) {}

func (l *leader) Answer(_ request.Request, response request.Response) {
	l.responses = append(l.responses, response)
}

func (l *leader) Serve(call request.Request) { l.submitted = append(l.submitted, call.ID) }
