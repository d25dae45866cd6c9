package schedule

import (
	"encoding/json"
	"testing"
	"time"

	"yewpass/internal/calendar"
)

// TestHistoryFormat pins the stored form of a history.
func TestHistoryFormat(t *testing.T) {
	record := &Record{Number: 7}
	record.Add(Entry{
		Job:     "wk-1",
		Planned: time.UnixMilli(36 * 36),
		Made:    time.UnixMilli(35),
		State:   StateMade,
	})
	record.Add(Entry{Job: "wk-2", State: StateMissed, Late: true, Reason: "a, b;"})
	if want := "wk-1,100,,z,,,made,,;wk-2,,,,,,missed,l,a%2C+b%3B;"; record.Past != want {
		t.Errorf("got  %s\nwant %s", record.Past, want)
	}
}

// TestFollow: a changed record takes over what became known of its jobs while the
// change was under way.
func TestFollow(t *testing.T) {
	changed := &Record{Number: 7}
	changed.Add(Entry{Job: "wk-1", State: StateMade})
	stored := changed.Clone()
	changed.Add(Entry{Job: "wk-2", State: StateMade})
	stored.Late = 3
	stored.Update("wk-1", func(entry *Entry) { entry.State = StateDone })

	changed.Follow(stored)
	if entry, ok := changed.Entry("wk-1"); !ok || entry.State != StateDone {
		t.Errorf("wk-1: %+v", entry)
	}
	if entry, ok := changed.Entry("wk-2"); !ok || entry.State != StateMade {
		t.Errorf("wk-2: %+v", entry)
	}
	if changed.Late != 3 {
		t.Errorf("late: %d, want 3", changed.Late)
	}
}

func TestPass(t *testing.T) {
	record := &Record{Number: 7}
	nominal := at("2027-02-02T03:30:00Z")
	occurrence := calendar.Occurrence{Nominal: nominal, Start: at("2027-02-02T01:30:00Z")}
	cursor := Cursor{Nominal: nominal}
	record.Pass(cursor, []Passed{{occurrence, StateMissed, "why"}, {occurrence, StateFailed, "taken"}})
	if record.Cursor != cursor || record.Missed != 2 || record.Made != 0 {
		t.Errorf("%+v", record)
	}
	entry, ok := record.Entry("wk-00000007202702020330")
	if !ok || entry.State != StateMissed || entry.Reason != "why" || !entry.Planned.Equal(occurrence.Start) {
		t.Errorf("%+v", entry)
	}
}

// TestViews pins the JSON that users see of an occurrence and of a history.
func TestViews(t *testing.T) {
	def, err := compile(t)
	if err != nil {
		t.Fatal(err)
	}
	occurrence, _ := def.Timing.Next(at("2027-02-02T03:00:00Z"))
	record := &Record{Number: 7}
	record.Note(Entry{Job: "wk-1", Planned: at("2027-02-02T01:30:00Z"), State: StateDone, Late: true})
	record.Note(Entry{Job: "wk-2", State: StateMissed, Reason: "why"})
	for _, test := range []struct {
		name, want string
		value      any
	}{
		{"occurrence", `{"id":"wk-00000007202702020330","start":"2027-02-02T03:30:00+02:00","due":"2027-02-02T06:00:00+02:00"}`, def.Tell(7, occurrence)},
		{"history", `{"history":[{"id":"wk-2","planned":null,"due":null,"made":null,"started":null,"done":null,"state":"missed","late":false,"reason":"why"},` +
			`{"id":"wk-1","planned":"2027-02-02T03:30:00+02:00","due":null,"made":null,"started":null,"done":null,"state":"done","late":true}]}`, record.Told(def.Timing.Zone())},
		{"empty history", `{"history":[]}`, (&Record{}).Told(time.UTC)},
	} {
		t.Run(test.name, func(t *testing.T) {
			data, err := json.Marshal(test.value)
			if err != nil || string(data) != test.want {
				t.Errorf("got  %s (%v)\nwant %s", data, err, test.want)
			}
		})
	}
}

func TestResumed(t *testing.T) {
	def, err := compile(t)
	if err != nil {
		t.Fatal(err)
	}
	start := Cursor{Nominal: at("2027-02-01T04:30:00Z")}
	for _, test := range []struct {
		name   string
		now    time.Time
		next   string // nominal
		missed int
	}{
		{"nothing due", at("2027-02-02T01:00:00Z"), "2027-02-02T03:30:00Z", 0},
		{"two due", at("2027-02-02T03:00:00Z"), "2027-02-03T03:30:00Z", 2},
		{"a year due", at("2028-02-02T03:00:00Z"), "2028-02-03T03:30:00Z", 256},
	} {
		t.Run(test.name, func(t *testing.T) {
			cursor, missed := def.Resumed(start, test.now)
			next, _ := def.Next(cursor)
			if !next.Nominal.Equal(at(test.next)) || len(missed) != test.missed {
				t.Errorf("next is %s with %d missed, want %s with %d", next.Nominal, len(missed), test.next, test.missed)
			}
		})
	}
}
