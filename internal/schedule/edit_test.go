package schedule

import (
	"testing"
	"time"
)

// TestCursorAfterEdit checks that an edit neither repeats an occurrence nor drops a
// due one that is also part of the new definition.
func TestCursorAfterEdit(t *testing.T) {
	old := mustCompile(t)
	now := at("2027-02-02T01:30:20Z") // 03:30:20 local time: 03:30 is due and has no job yet
	cursor := at("2027-02-01T04:30:00Z")
	for _, test := range []struct {
		name   string
		edits  []string
		cursor time.Time
		next   string // nominal time
		missed int
	}{
		{"another size", []string{`shards = 16`, `shards = 32`}, cursor, "2027-02-02T03:30:00Z", 0},
		{"another later time", []string{`"04:30"`, `"05:30"`}, cursor, "2027-02-02T03:30:00Z", 0},
		{"the due time removed", []string{`"03:30", `, ``}, cursor, "2027-02-02T04:30:00Z", 1},
		{"another time", []string{`"03:30", "04:30"`, `"02:00"`}, cursor, "2027-02-03T02:00:00Z", 1},
		{"the decided time kept", []string{`"03:30", "04:30"`, `"03:30"`}, at("2027-02-02T03:30:00Z"), "2027-02-03T03:30:00Z", 0},
		// 03:30 in Sofia has been decided and has the same nominal time as 03:30 in London,
		// where it is 01:30 now.
		{"another zone", []string{`Europe/Sofia`, `Europe/London`}, at("2027-02-02T03:30:00Z"), "2027-02-02T04:30:00Z", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			edited := mustCompile(t, test.edits...)
			cursor, missed := edited.CursorAfterEdit(old, Cursor{Nominal: test.cursor}, now)
			next, _ := edited.Next(cursor)
			if !next.Nominal.Equal(at(test.next)) || len(missed) != test.missed {
				t.Errorf("next is %s with %d missed, want %s with %d", next.Nominal, len(missed), test.next, test.missed)
			}
		})
	}
}

// TestMovedOccurrenceRunsOnce checks that an occurrence that was moved ahead of a holiday does
// not run again after an edit or a change of the calendar.
func TestMovedOccurrenceRunsOnce(t *testing.T) {
	previous := mustCompile(t, `"FREQ=DAILY"`, `"FREQ=WEEKLY;BYDAY=FR,SU"`, `"run"`, `"previous"`, `"03:30", "04:30"`, `"03:30"`)
	cursor := previous.CursorAt(at("2027-02-04T10:00:00Z")) // a Thursday
	moved, _ := previous.Next(cursor)
	if !moved.Nominal.Equal(at("2027-02-05T03:30:00Z")) || !moved.Rule.Equal(at("2027-02-07T03:30:00Z")) {
		t.Fatalf("got %+v, want the occurrence of Sunday, moved to Friday", moved)
	}
	cursor = cursor.AdvanceTo(moved)
	run := mustCompile(t, `"FREQ=DAILY"`, `"FREQ=WEEKLY;BYDAY=FR,SU"`, `"03:30", "04:30"`, `"03:30"`)
	next, missed := run.CursorAfterEdit(previous, cursor, at("2027-02-05T12:00:00Z"))
	for name, position := range map[string]Cursor{"another calendar": cursor, "another schedule": next} {
		t.Run(name, func(t *testing.T) {
			following, _ := run.Next(position)
			if !following.Nominal.Equal(at("2027-02-12T03:30:00Z")) || len(missed) > 0 {
				t.Errorf("next is %s with %d missed, want 2027-02-12 with none", following.Nominal, len(missed))
			}
		})
	}
}

// TestCursorAt checks that a new schedule runs no past occurrence, also if it is created in
// the second pass of a repeated hour.
func TestCursorAt(t *testing.T) {
	def := mustCompile(t)
	for now, want := range map[string]string{
		"2027-10-31T00:29:00Z": "2027-10-31T00:30:00Z",
		"2027-10-31T01:20:00Z": "2027-10-31T02:30:00Z", // 03:20 local time, second pass
		"2027-03-28T01:00:00Z": "2027-03-28T01:30:00Z",
		"2027-02-02T01:30:00Z": "2027-02-02T02:30:00Z",
	} {
		if first, _ := def.Next(def.CursorAt(at(now))); !first.Start.Equal(at(want)) {
			t.Errorf("schedule created at %s: first occurrence starts at %s, want %s", now, first.Start, want)
		}
	}
}

func TestCursorAfterPause(t *testing.T) {
	def := mustCompile(t)
	start := Cursor{Nominal: at("2027-02-01T04:30:00Z")}
	for _, test := range []struct {
		name   string
		now    time.Time
		next   string // nominal time
		missed int
	}{
		{"nothing due", at("2027-02-02T01:00:00Z"), "2027-02-02T03:30:00Z", 0},
		{"two due", at("2027-02-02T03:00:00Z"), "2027-02-03T03:30:00Z", 2},
		{"a year due", at("2028-02-02T03:00:00Z"), "2028-02-03T03:30:00Z", 256},
	} {
		t.Run(test.name, func(t *testing.T) {
			cursor, missed := def.CursorAfterPause(start, test.now)
			next, _ := def.Next(cursor)
			if !next.Nominal.Equal(at(test.next)) || len(missed) != test.missed {
				t.Errorf("next is %s with %d missed, want %s with %d", next.Nominal, len(missed), test.next, test.missed)
			}
		})
	}
}
