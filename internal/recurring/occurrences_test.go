package recurring_test

import (
	"slices"
	"testing"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
)

// occurrenceID is the ID of the job of the nightly schedule's first occurrence.
var occurrenceID = schedule.JobID(7, begin.Add(30*time.Minute))

// dueLeader returns a leader whose nightly schedule has just become due.
func dueLeader(t *testing.T) *leader {
	t.Helper()
	l := newLeader(t)
	l.storeNightly()
	l.load()
	l.scheduler.CreateDue(12)
	if len(l.writes) > 0 || l.scheduler.Due() {
		t.Fatal("an occurrence is created before it is due")
	}
	l.advance(30 * time.Minute)
	if !l.scheduler.Due() {
		t.Fatal("the occurrence is not due")
	}
	return l
}

// TestOccurrenceAndCursorGoTogether: the job of an occurrence is written in one change with
// the record that says so, on the condition that neither has been written before.
func TestOccurrenceAndCursorGoTogether(t *testing.T) {
	l := dueLeader(t)
	l.scheduler.CreateDue(12)
	change := l.writes[0]
	key := record.SchedulePrefix + "nightly"
	want := []kv.Condition{{Key: key, Rev: 1}, {Key: record.JobPrefix + occurrenceID}, {Key: record.FinalPrefix + occurrenceID}}
	if !slices.Equal(change.Conditions, want) {
		t.Errorf("conditions %+v, want %+v", change.Conditions, want)
	}
	if len(change.Writes) != 2 || change.Writes[0].Key != key || change.Writes[1].Key != record.JobPrefix+occurrenceID {
		t.Fatalf("writes %+v", change.Writes)
	}
	if len(l.jobs) > 0 {
		t.Error("a job runs before it is on record")
	}
	l.commit()
	if l.jobs[occurrenceID] == nil {
		t.Fatal("the occurrence has no job")
	}
	if stats := l.scheduler.Stats(); stats.OccurrencesCreated != 1 || stats.OccurrencesMissed != 0 {
		t.Errorf("%+v", stats)
	}
	l.scheduler.CreateDue(12)
	if len(l.writes) > 0 || l.scheduler.Due() {
		t.Error("the occurrence is created again")
	}
}

// TestRoom: an occurrence takes two writes, and none is decided on without room for them.
func TestRoom(t *testing.T) {
	l := dueLeader(t)
	l.scheduler.CreateDue(1)
	if len(l.writes) > 0 || !l.scheduler.Due() {
		t.Error("an occurrence is decided on without room")
	}
	l.scheduler.CreateDue(2)
	l.commit()
}

// TestUnansweredTry: a change whose first try was applied without an answer counts once.
func TestUnansweredTry(t *testing.T) {
	l := dueLeader(t)
	l.scheduler.CreateDue(12)
	change := l.takeWrite()
	if !l.apply(change) {
		t.Fatal("the conditions do not hold")
	}
	change.OnConflict() // of the second try
	if l.jobs[occurrenceID] == nil || len(l.writes) > 0 {
		t.Errorf("jobs %v, %d more changes", l.jobs, len(l.writes))
	}
	if got := l.scheduler.Stats().OccurrencesCreated; got != 1 {
		t.Errorf("%d occurrences created, want 1", got)
	}
}

// TestJobIDTaken: an occurrence whose ID another job has is recorded as failed.
func TestJobIDTaken(t *testing.T) {
	l := dueLeader(t)
	l.store(record.FinalPrefix+occurrenceID, &record.Final{})
	l.scheduler.CreateDue(12)
	l.commit() // meets the other job
	l.commit()
	if got := l.history(); !slices.Equal(got, []string{schedule.StateFailed}) {
		t.Errorf("history %v", got)
	}
	if stats := l.scheduler.Stats(); len(l.jobs) > 0 || stats.OccurrencesCreated != 0 || stats.OccurrencesMissed != 1 {
		t.Errorf("jobs %v, %+v", l.jobs, stats)
	}
}

// TestAdmission: a refused occurrence is tried again, one that can never run is left out.
func TestAdmission(t *testing.T) {
	t.Run("refused for now", func(t *testing.T) {
		l := dueLeader(t)
		l.refused = true
		l.scheduler.CreateDue(12)
		if len(l.writes) > 0 || l.scheduler.Due() {
			t.Fatal("the refused occurrence is decided on")
		}
		l.refused = false
		l.advance(2 * time.Second)
		l.scheduler.CreateDue(12)
		l.commit()
		if l.jobs[occurrenceID] == nil {
			t.Error("the occurrence is not tried again")
		}
	})
	t.Run("impossible", func(t *testing.T) {
		l := dueLeader(t)
		l.impossible = "too large"
		l.scheduler.CreateDue(12)
		l.commit()
		if got := l.history(); !slices.Equal(got, []string{schedule.StateMissed}) || len(l.jobs) > 0 {
			t.Errorf("history %v, jobs %v", got, l.jobs)
		}
	})
}

// TestHistory: start, missed deadline and end of a job reach the stored history.
func TestHistory(t *testing.T) {
	l := dueLeader(t)
	l.scheduler.CreateDue(12)
	l.commit()
	live := l.jobs[occurrenceID]
	l.scheduler.JobStarted(live)
	l.advance(3 * time.Second)
	l.commit()
	l.advance(2 * time.Hour) // beyond the deadline at 03:00
	l.commit()
	if got := l.scheduler.Stats().OccurrencesLate; got != 1 {
		t.Errorf("%d late occurrences, want 1", got)
	}
	delete(l.jobs, occurrenceID)
	l.scheduler.JobFinished(live, spec.Done)
	l.scheduler.JobFinished(live, spec.Done) // a repeated call changes nothing
	l.advance(3 * time.Second)
	l.commit()
	entry, _ := l.stored[record.SchedulePrefix+"nightly"].Value.(*schedule.Record).Entry(occurrenceID)
	if entry.State != schedule.StateDone || !entry.Late || !entry.Started.Equal(begin.Add(30*time.Minute)) || entry.Ended.Before(begin.Add(2*time.Hour)) {
		t.Errorf("%+v", entry)
	}
}

// TestManualRun: a run that a user asks for is submitted as a job and enters the history
// once it is accepted; it is no occurrence.
func TestManualRun(t *testing.T) {
	l := newLeader(t)
	l.storeNightly()
	l.load()
	l.ask(request.ScheduleRun, request.ScheduleParams{Name: "nightly", IdempotencyKey: "r"})
	id := schedule.RequestJobID(7, "r")
	if !slices.Equal(l.submitted, []string{id}) {
		t.Fatalf("submitted %v", l.submitted)
	}
	live := &fleet.Job{Spec: spec.Job{ID: id}}
	l.jobs[id] = live
	l.scheduler.JobAdded(live)
	l.advance(3 * time.Second)
	l.commit()
	if got := l.history(); !slices.Equal(got, []string{schedule.StateMade}) || l.scheduler.Stats().OccurrencesCreated != 0 {
		t.Errorf("history %v, %+v", got, l.scheduler.Stats())
	}
}

// TestEndOfLeadership: nothing of a leadership that has ended goes on.
func TestEndOfLeadership(t *testing.T) {
	l := newLeader(t)
	l.storeNightly()
	l.scheduler.Load(func() { t.Error("loading goes on") })
	l.scope.Close()
	l.serveStore()
	if l.scheduler.Loaded() || l.scheduler.Has("nightly") {
		t.Error("schedules are loaded")
	}
}
