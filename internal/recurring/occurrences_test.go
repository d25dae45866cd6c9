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

// occurrenceID is the job ID of the nightly schedule's first occurrence.
var occurrenceID = schedule.JobID(7, startTime.Add(30*time.Minute))

// newDueLeader returns a leader whose nightly schedule has just become due.
func newDueLeader(t *testing.T) *fakeLeader {
	t.Helper()
	l := newLeader(t)
	l.storeNightly()
	l.load()
	l.scheduler.CreateDue(12)
	if len(l.writes) > 0 || l.scheduler.HasDue() {
		t.Fatal("an occurrence is created before it is due")
	}
	l.advance(30 * time.Minute)
	if !l.scheduler.HasDue() {
		t.Fatal("HasDue() = false, want true at the time of the occurrence")
	}
	return l
}

// TestOccurrenceIsAtomic checks that the job of an occurrence is written in one transaction
// with the schedule's record, on the condition that neither has been written before.
func TestOccurrenceIsAtomic(t *testing.T) {
	l := newDueLeader(t)
	l.scheduler.CreateDue(12)
	change := l.writes[0]
	key := record.SchedulePrefix + "nightly"
	want := []kv.Condition{{Key: key, Rev: 1}, {Key: record.JobPrefix + occurrenceID}, {Key: record.FinalPrefix + occurrenceID}}
	if !slices.Equal(change.Conditions, want) {
		t.Errorf("conditions %+v, want %+v", change.Conditions, want)
	}
	if len(change.Writes) != 2 || change.Writes[0].Key != key || change.Writes[1].Key != record.JobPrefix+occurrenceID {
		t.Fatalf("writes %+v, want the schedule's record and the job's record", change.Writes)
	}
	if len(l.jobs) > 0 {
		t.Error("a job is added before its record is committed")
	}
	l.commit()
	if l.jobs[occurrenceID] == nil {
		t.Fatal("no job was added for the occurrence")
	}
	if stats := l.scheduler.Stats(); stats.OccurrencesCreated != 1 || stats.OccurrencesMissed != 0 {
		t.Errorf("stats %+v, want 1 created and 0 missed", stats)
	}
	l.scheduler.CreateDue(12)
	if len(l.writes) > 0 || l.scheduler.HasDue() {
		t.Error("the occurrence is created again")
	}
}

// TestRoom checks that no occurrence is decided on without room for its two writes.
func TestRoom(t *testing.T) {
	l := newDueLeader(t)
	l.scheduler.CreateDue(1)
	if len(l.writes) > 0 || !l.scheduler.HasDue() {
		t.Error("an occurrence is decided on without room for its two writes")
	}
	l.scheduler.CreateDue(2)
	l.commit()
}

// TestLostResponse checks that an occurrence counts once if the response to its first write
// is lost.
func TestLostResponse(t *testing.T) {
	l := newDueLeader(t)
	l.scheduler.CreateDue(12)
	change := l.takeWrite()
	if !l.apply(change) {
		t.Fatal("apply() = false, want the conditions to be met")
	}
	change.OnConflict() // response to the second attempt
	if l.jobs[occurrenceID] == nil || len(l.writes) > 0 {
		t.Errorf("jobs %v, %d more changes; want the occurrence's job and no changes", l.jobs, len(l.writes))
	}
	if got := l.scheduler.Stats().OccurrencesCreated; got != 1 {
		t.Errorf("%d occurrences created, want 1", got)
	}
}

// TestLostResponseOfEndedJob guards against an occurrence whose cancelled job is queued again: the
// response to its write was lost, and the job was adopted, cancelled and ended before the write was
// read back.
func TestLostResponseOfEndedJob(t *testing.T) {
	l := newDueLeader(t)
	l.scheduler.CreateDue(12)
	change := l.takeWrite()
	if !l.apply(change) {
		t.Fatal("apply() = false, want the conditions to be met")
	}
	delete(l.stored, record.JobPrefix+occurrenceID)
	l.store(record.FinalPrefix+occurrenceID, &record.Final{State: spec.Cancelled})
	change.OnConflict() // response to the second attempt
	if len(l.jobs) > 0 {
		t.Errorf("jobs %v, want none: the only one has ended", l.jobs)
	}
	if got := l.scheduler.Stats().OccurrencesCreated; got != 1 {
		t.Errorf("%d occurrences created, want 1", got)
	}
	l.advance(3 * time.Second)
	l.commit() // the history
	if got := l.history(); !slices.Equal(got, []string{schedule.StateCancelled}) {
		t.Errorf("history %v, want one cancelled occurrence", got)
	}
}

// TestJobIDInUse checks that an occurrence is recorded as failed if another job has its ID.
func TestJobIDInUse(t *testing.T) {
	l := newDueLeader(t)
	l.store(record.FinalPrefix+occurrenceID, &record.Final{})
	l.scheduler.CreateDue(12)
	l.commit() // conflicts with the other job
	l.commit()
	if got := l.history(); !slices.Equal(got, []string{schedule.StateFailed}) {
		t.Errorf("history %v, want one failed occurrence", got)
	}
	if stats := l.scheduler.Stats(); len(l.jobs) > 0 || stats.OccurrencesCreated != 0 || stats.OccurrencesMissed != 1 {
		t.Errorf("jobs %v, stats %+v; want no job, 0 created and 1 missed", l.jobs, stats)
	}
}

// TestAdmission checks that an occurrence is retried if admission refuses it for now, and
// recorded as missed if its job can never run.
func TestAdmission(t *testing.T) {
	t.Run("refused for now", func(t *testing.T) {
		l := newDueLeader(t)
		l.refused = true
		l.scheduler.CreateDue(12)
		if len(l.writes) > 0 || l.scheduler.HasDue() {
			t.Fatal("an occurrence is written or still due while admission refuses its job")
		}
		l.refused = false
		l.advance(2 * time.Second)
		l.scheduler.CreateDue(12)
		l.commit()
		if l.jobs[occurrenceID] == nil {
			t.Error("the occurrence was not retried after admission accepted its job")
		}
	})
	t.Run("impossible", func(t *testing.T) {
		l := newDueLeader(t)
		l.reason = "too large"
		l.scheduler.CreateDue(12)
		l.commit()
		if got := l.history(); !slices.Equal(got, []string{schedule.StateMissed}) || len(l.jobs) > 0 {
			t.Errorf("history %v, jobs %v; want one missed occurrence and no job", got, l.jobs)
		}
	})
}

// TestHistory checks that the stored history contains a job's start, missed deadline and end.
func TestHistory(t *testing.T) {
	l := newDueLeader(t)
	l.scheduler.CreateDue(12)
	l.commit()
	live := l.jobs[occurrenceID]
	l.scheduler.JobStarted(live)
	l.advance(3 * time.Second)
	l.commit()
	l.advance(2 * time.Hour) // past the deadline at 03:00
	l.commit()
	if got := l.scheduler.Stats().OccurrencesLate; got != 1 {
		t.Errorf("%d late occurrences, want 1", got)
	}
	delete(l.jobs, occurrenceID)
	l.scheduler.JobFinished(live, spec.Done)
	l.scheduler.JobFinished(live, spec.Done) // a repeated call must have no effect
	l.advance(3 * time.Second)
	l.commit()
	entry, _ := l.stored[record.SchedulePrefix+"nightly"].Value.(*schedule.Record).Entry(occurrenceID)
	if entry.State != schedule.StateDone || !entry.Late || !entry.Started.Equal(startTime.Add(30*time.Minute)) || entry.Ended.Before(startTime.Add(2*time.Hour)) {
		t.Errorf("history entry %+v, want a late one that is done, with start and end", entry)
	}
}

// TestManualRun checks that a manual run is submitted as a job and recorded in the history
// once accepted, without counting as an occurrence.
func TestManualRun(t *testing.T) {
	l := newLeader(t)
	l.storeNightly()
	l.load()
	l.send(request.ScheduleRun, request.ScheduleParams{Name: "nightly", IdempotencyKey: "r"})
	id := schedule.RequestJobID(7, "r")
	if !slices.Equal(l.submitted, []string{id}) {
		t.Fatalf("submitted jobs %v, want only the one of request r", l.submitted)
	}
	live := &fleet.Job{Spec: spec.Job{ID: id}}
	l.jobs[id] = live
	l.scheduler.JobAdded(live)
	l.advance(3 * time.Second)
	l.commit()
	if got := l.history(); !slices.Equal(got, []string{schedule.StateMade}) || l.scheduler.Stats().OccurrencesCreated != 0 {
		t.Errorf("history %v, stats %+v; want one entry and no created occurrence", got, l.scheduler.Stats())
	}
}

// TestEndOfLeadership checks that loading stops when the leadership ends.
func TestEndOfLeadership(t *testing.T) {
	l := newLeader(t)
	l.storeNightly()
	l.scheduler.Load(func() { t.Error("loading finished after the leadership ended") })
	l.scope.Close()
	l.serveStore()
	if l.scheduler.Loaded() || l.scheduler.Has("nightly") {
		t.Error("schedules were loaded after the leadership ended")
	}
}
