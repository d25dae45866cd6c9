package schedule

import (
	"strings"
	"testing"
	"time"
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

// TestHistory checks that a history keeps its latest entries, and that encoding
// preserves them whatever a reason contains.
func TestHistory(t *testing.T) {
	record := &Record{Number: 7}
	for day := range HistoryLength + 3 {
		planned := at("2027-01-01T00:00:00Z").AddDate(0, 0, day)
		record.Add(Entry{Job: JobID(7, planned), Planned: planned, State: StateMade})
	}
	last := Entry{
		Job:     "wk-1",
		Planned: at("2027-01-01T00:00:00.123Z"),
		Due:     at("1960-01-01T00:00:00Z"),
		State:   StateMissed,
		Late:    true,
		Reason:  "a, b; \"c\" % \n ü" + strings.Repeat("x", 200),
	}
	record.Add(last)
	entries, ok := record.Entries()
	if !ok || len(entries) != HistoryLength || record.Made != HistoryLength+3 || record.Missed != 1 {
		t.Fatal(len(entries), ok, record.Made, record.Missed)
	}
	last.Reason = last.Reason[:maxReasonBytes]
	if entries[HistoryLength-1] != last {
		t.Errorf("%+v became %+v", last, entries[HistoryLength-1])
	}
	record.Update(entries[0].Job, func(entry *Entry) { entry.State, entry.Ended = StateDone, last.Planned })
	if entry, ok := record.Entry(entries[0].Job); !ok || entry.State != StateDone || !entry.Ended.Equal(last.Planned) {
		t.Errorf("%+v", entry)
	}
}

func TestMalformedHistory(t *testing.T) {
	for _, past := range []string{"x", "a,!,,,,,s,,;", "a,,,,,,s,,%zz;"} {
		if _, ok := (&Record{Past: past}).Entries(); ok {
			t.Errorf("%q is accepted", past)
		}
	}
}

// FuzzHistory checks that no stored history makes decoding it panic.
func FuzzHistory(f *testing.F) {
	f.Add("wk-1,a,b,,,,done,l,why%20not;")
	f.Add("wk-1,zzzzzzzzzzzzz,,,,,made,,;wk-2,,,,,,missed,,;")
	f.Add("x")
	f.Fuzz(func(t *testing.T, past string) {
		entries, ok := (&Record{Past: past}).Entries()
		if !ok {
			return
		}
		record := &Record{Past: past}
		for _, entry := range entries {
			record.Entry(entry.Job)
		}
		record.Told(time.UTC)
	})
}
