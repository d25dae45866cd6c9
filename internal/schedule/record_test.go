package schedule

import (
	"testing"

	"yewpass/internal/calendar"
)

// TestFollow checks that a changed record takes over what became known of its jobs
// while the change was being written.
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
