package schedule

import (
	"testing"

	"yewpass/internal/calendar"
)

// TestMergeUpdates checks that a modified clone receives later updates of the original.
func TestMergeUpdates(t *testing.T) {
	changed := &Record{Number: 7}
	changed.AddOccurrence(Entry{Job: "wk-1", State: StateMade})
	stored := changed.Clone()
	changed.AddOccurrence(Entry{Job: "wk-2", State: StateMade})
	stored.Late = 3
	stored.UpdateEntry("wk-1", func(entry *Entry) { entry.State = StateDone })

	changed.MergeUpdates(stored)
	if entry, ok := changed.Entry("wk-1"); !ok || entry.State != StateDone {
		t.Errorf("wk-1: got %+v, want state done", entry)
	}
	if entry, ok := changed.Entry("wk-2"); !ok || entry.State != StateMade {
		t.Errorf("wk-2: got %+v, want state made", entry)
	}
	if changed.Late != 3 {
		t.Errorf("Late = %d, want 3", changed.Late)
	}
}

func TestAddMissed(t *testing.T) {
	record := &Record{Number: 7}
	nominal := at("2027-02-02T03:30:00Z")
	occurrence := calendar.Occurrence{Nominal: nominal, Start: at("2027-02-02T01:30:00Z")}
	cursor := Cursor{Nominal: nominal}
	record.AddMissed(cursor, []MissedOccurrence{{occurrence, StateMissed, "why"}, {occurrence, StateFailed, "taken"}})
	if record.Cursor != cursor || record.Missed != 2 || record.Made != 0 {
		t.Errorf("got %+v, want the cursor at the occurrence and 2 missed", record)
	}
	entry, ok := record.Entry("wk-00000007202702020330")
	if !ok || entry.State != StateMissed || entry.Reason != "why" || !entry.Planned.Equal(occurrence.Start) {
		t.Errorf("got %+v, want the missed occurrence", entry)
	}
}
