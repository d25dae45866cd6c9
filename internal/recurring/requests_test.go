package recurring_test

import (
	"testing"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/schedule"
)

func nightlyFile(t *testing.T) *schedule.File {
	t.Helper()
	file, err := schedule.ParseJSON([]byte(nightly))
	if err != nil {
		t.Fatal(err)
	}
	return file
}

func wantStatus(t *testing.T, response *request.Response, want int) {
	t.Helper()
	switch {
	case response == nil:
		t.Errorf("no response, want status %d", want)
	case response.Status != want:
		t.Errorf("%+v, want status %d", *response, want)
	}
}

// TestCreateAndRemove: users hear of a schedule's creation and removal once they are on
// record, and a schedule that is created again has another number.
func TestCreateAndRemove(t *testing.T) {
	l := newLeader(t)
	wantStatus(t, l.ask(request.ScheduleGet, request.ScheduleParams{Name: "nightly"}), 503)
	l.load()
	wantStatus(t, l.ask(request.ScheduleGet, request.ScheduleParams{Name: "nightly"}), 404)
	put := request.ScheduleParams{Name: "nightly", File: nightlyFile(t)}
	for _, number := range []uint64{1, 2} {
		n := len(l.responses)
		if response := l.ask(request.SchedulePut, put); response != nil {
			t.Fatalf("%+v before the record is written", *response)
		}
		wantStatus(t, l.ask(request.ScheduleGet, request.ScheduleParams{Name: "nightly"}), 503)
		l.commit() // a block of numbers; the second time a conflict, as the removal has written their record
		l.commit()
		wantStatus(t, &l.responses[n+1], 201)
		if view := l.responses[n+1].Document.(schedule.View); view.Number != number {
			t.Errorf("number %d, want %d", view.Number, number)
		}
		wantStatus(t, l.ask(request.SchedulePut, put), 200) // a retry
		if len(l.writes) > 0 {
			t.Error("a retry writes")
		}
		if response := l.ask(request.ScheduleDelete, request.ScheduleParams{Name: "nightly"}); response != nil {
			t.Fatalf("%+v before the record is deleted", *response)
		}
		l.commit()
		wantStatus(t, &l.responses[len(l.responses)-1], 200)
		if l.scheduler.Has("nightly") {
			t.Error("the schedule is still known")
		}
	}
}

// TestLateCreation: a try to create a schedule that is carried out late, after the schedule
// was removed again, meets another revision of the numbers.
func TestLateCreation(t *testing.T) {
	l := newLeader(t)
	l.load()
	l.ask(request.SchedulePut, request.ScheduleParams{Name: "nightly", File: nightlyFile(t)})
	l.commit() // a block of numbers
	creation := l.writes[0]
	l.commit()
	l.ask(request.ScheduleDelete, request.ScheduleParams{Name: "nightly"})
	l.commit()
	if l.apply(creation) {
		t.Error("the removed schedule is back")
	}
}

// TestNumbers: a block that another try has taken is passed over.
func TestNumbers(t *testing.T) {
	l := newLeader(t)
	l.load()
	l.ask(request.SchedulePut, request.ScheduleParams{Name: "nightly", File: nightlyFile(t)})
	block := l.takeWrite()
	if !l.apply(block) {
		t.Fatal("the conditions do not hold")
	}
	block.OnConflict() // of the second try
	l.serveStore()
	l.commit()
	l.commit()
	if rec := l.stored[record.SchedulePrefix+"nightly"].Value.(*schedule.Record); rec.Number != 51 {
		t.Errorf("number %d, want 51", rec.Number)
	}
	if got, want := l.scheduler.NumberRevision(), l.stored[record.ScheduleNumberKey].Rev; got != want {
		t.Errorf("revision %d of the numbers, want %d", got, want)
	}
}

// TestRequestsWait: while a schedule is written, reads are served, changes wait, and what
// would wait too long is sent away.
func TestRequestsWait(t *testing.T) {
	l := newLeader(t)
	l.storeNightly()
	l.load()
	name := request.ScheduleParams{Name: "nightly"}
	if l.ask(request.SchedulePause, name) != nil {
		t.Fatal("paused before it is on record")
	}
	wantStatus(t, l.ask(request.ScheduleGet, name), 200)
	for range 8 {
		if response := l.ask(request.SchedulePause, name); response != nil {
			t.Fatalf("%+v while a write is in flight", *response)
		}
	}
	wantStatus(t, l.ask(request.SchedulePause, name), 503)
	n := len(l.responses)
	l.commit()
	if got := len(l.responses) - n; got != 9 {
		t.Fatalf("%d responses, want 9", got)
	}
	for _, response := range l.responses[n:] {
		wantStatus(t, &response, 200)
	}
}

// TestRefusals: requests that are refused, and by which status.
func TestRefusals(t *testing.T) {
	l := newLeader(t)
	l.storeNightly()
	l.store(record.SchedulePrefix+"broken", kv.Entry{}) // no schedule
	l.load()
	daily := nightlyFile(t)
	daily.Rule = "FREQ=DAILY;COUNT=0x"
	for name, x := range map[string]struct {
		op     request.Operation
		params request.ScheduleParams
		want   int
	}{
		"unreadable record":       {request.ScheduleGet, request.ScheduleParams{Name: "broken"}, 503},
		"no definition":           {request.SchedulePut, request.ScheduleParams{Name: "other"}, 400},
		"no rule":                 {request.SchedulePut, request.ScheduleParams{Name: "other", File: daily}, 400},
		"changed since":           {request.SchedulePause, request.ScheduleParams{Name: "nightly", IfMatch: `"7-9"`}, 412},
		"exists":                  {request.SchedulePause, request.ScheduleParams{Name: "nightly", IfMatch: request.IfAbsent}, 412},
		"does not exist":          {request.SchedulePut, request.ScheduleParams{Name: "other", File: nightlyFile(t), IfMatch: `"7-1"`}, 412},
		"unknown":                 {request.SchedulePause, request.ScheduleParams{Name: "other"}, 404},
		"resumed while it is not": {request.ScheduleResume, request.ScheduleParams{Name: "nightly"}, 200},
	} {
		t.Run(name, func(t *testing.T) {
			wantStatus(t, l.ask(x.op, x.params), x.want)
			if len(l.writes) > 0 {
				t.Error("a write is queued")
			}
		})
	}
}

// TestAnswerWaiting: whoever waits hears at the end of the leader's authority.
func TestAnswerWaiting(t *testing.T) {
	l := newLeader(t)
	l.storeNightly()
	l.load()
	for range 3 {
		l.ask(request.SchedulePause, request.ScheduleParams{Name: "nightly"})
	}
	l.scheduler.AnswerWaiting(request.Unavailable("leadership was lost"))
	if len(l.responses) != 3 {
		t.Fatalf("%d responses, want 3", len(l.responses))
	}
	for _, response := range l.responses {
		wantStatus(t, &response, 503)
	}
}

// TestList: pages of the list follow one another by name.
func TestList(t *testing.T) {
	l := newLeader(t)
	for _, name := range []string{"c", "a", "b"} {
		l.store(record.SchedulePrefix+name, &schedule.Record{Number: 1, Seq: 1, Edition: 1, File: []byte(nightly), Cursor: schedule.Cursor{Nominal: begin}})
	}
	l.load()
	var names []string
	after := ""
	for range 3 {
		page := l.ask(request.ScheduleList, request.ScheduleParams{After: after, Count: 2}).Document.(schedule.ListPage)
		for _, brief := range page.Schedules {
			names = append(names, brief.Name)
			after = brief.Name
		}
		if !page.Truncated {
			break
		}
	}
	if len(names) != 3 || names[0] != "a" || names[1] != "b" || names[2] != "c" {
		t.Errorf("names %v", names)
	}
}
