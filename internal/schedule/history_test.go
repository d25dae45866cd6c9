package schedule

import (
	"strings"
	"testing"
	"time"
)

func TestHistoryFormat(t *testing.T) {
	record := &Record{Number: 7}
	record.AddOccurrence(Entry{
		Job:     "wk-1",
		Planned: time.UnixMilli(36 * 36),
		Made:    time.UnixMilli(35),
		State:   StateMade,
	})
	record.AddOccurrence(Entry{Job: "wk-2", State: StateMissed, Late: true, Reason: "a, b;"})
	if want := "wk-1,100,,z,,,made,,;wk-2,,,,,,missed,l,a%2C+b%3B;"; record.EncodedHistory != want {
		t.Errorf("got  %s\nwant %s", record.EncodedHistory, want)
	}
}

// TestHistory checks that a history keeps its latest entries, and that encoding and
// decoding preserves special characters in a reason.
func TestHistory(t *testing.T) {
	record := &Record{Number: 7}
	for day := range HistoryLength + 3 {
		planned := at("2027-01-01T00:00:00Z").AddDate(0, 0, day)
		record.AddOccurrence(Entry{Job: JobID(7, planned), Planned: planned, State: StateMade})
	}
	last := Entry{
		Job:      "wk-1",
		Planned:  at("2027-01-01T00:00:00.123Z"),
		Deadline: at("1960-01-01T00:00:00Z"),
		State:    StateMissed,
		Late:     true,
		Reason:   "a, b; \"c\" % \n ü" + strings.Repeat("x", 200),
	}
	record.AddOccurrence(last)
	entries, ok := record.Entries()
	if !ok || len(entries) != HistoryLength || record.Made != HistoryLength+3 || record.Missed != 1 {
		t.Fatalf("got %d entries (%v), %d made, %d missed", len(entries), ok, record.Made, record.Missed)
	}
	last.Reason = last.Reason[:maxReasonBytes]
	if entries[HistoryLength-1] != last {
		t.Errorf("last entry: got %+v, want %+v", entries[HistoryLength-1], last)
	}
	record.UpdateEntry(entries[0].Job, func(entry *Entry) { entry.State, entry.Ended = StateDone, last.Planned })
	if entry, ok := record.Entry(entries[0].Job); !ok || entry.State != StateDone || !entry.Ended.Equal(last.Planned) {
		t.Errorf("got %+v, want the updated state and end", entry)
	}
}

func TestMalformedHistory(t *testing.T) {
	for _, past := range []string{"x", "a,!,,,,,s,,;", "a,,,,,,s,,%zz;"} {
		if _, ok := (&Record{EncodedHistory: past}).Entries(); ok {
			t.Errorf("malformed history %q: got no error", past)
		}
	}
}

// FuzzHistory checks that decoding an arbitrary stored history does not panic.
func FuzzHistory(f *testing.F) {
	f.Add("wk-1,a,b,,,,done,l,why%20not;")
	f.Add("wk-1,zzzzzzzzzzzzz,,,,,made,,;wk-2,,,,,,missed,,;")
	f.Add("x")
	f.Fuzz(func(t *testing.T, past string) {
		entries, ok := (&Record{EncodedHistory: past}).Entries()
		if !ok {
			return
		}
		record := &Record{EncodedHistory: past}
		for _, entry := range entries {
			record.Entry(entry.Job)
		}
		record.HistoryView(time.UTC)
	})
}
