package calendar

import (
	"testing"
)

// TestInvalidFieldIsNamed checks which field is named as the invalid one.
func TestInvalidFieldIsNamed(t *testing.T) {
	set := calendars(t)
	for _, test := range []struct {
		field string
		edit  func(x *Times)
	}{
		{"zone", func(x *Times) { x.Zone = "Europe/Sophia" }},
		{"zone", func(x *Times) { x.Zone = "" }},
		{"zone", func(x *Times) { x.Zone = "Local" }},
		{"at", func(x *Times) { x.At = nil }},
		{"at", func(x *Times) { x.At = []string{"25:00"} }},
		{"at", func(x *Times) { x.At = []string{"3:30"} }},
		{"at", func(x *Times) { x.At = []string{"03:30", "03:30"} }},
		{"due_at", func(x *Times) { x.DueAt = "06:60" }},
		{"calendar", func(x *Times) { x.Calendar = "no-such" }},
		{"on_holiday", func(x *Times) { x.Calendar, x.OnHoliday = "bg", "sometimes" }},
		{"on_holiday", func(x *Times) { x.OnHoliday = "next" }},
		{"on_holiday", func(x *Times) { x.Calendar = "bg" }},
		{"ends", func(x *Times) { x.Starts, x.Ends = date("2027-01-02"), date("2027-01-01") }},
	} {
		times := Times{Zone: "UTC", Rule: "FREQ=DAILY", At: []string{"01:00"}}
		test.edit(&times)
		_, err := set.Timing(times)
		if fieldError, ok := err.(*FieldError); !ok || fieldError.Field != test.field {
			t.Errorf("%+v: %v, want an error about %s", times, err, test.field)
		}
	}
}

// TestTimingErrors pins the texts that users see for an invalid schedule time.
func TestTimingErrors(t *testing.T) {
	set := calendars(t)
	const reasonNoZone = "give an IANA name such as Europe/Sofia"
	for _, test := range []struct {
		edit func(x *Times)
		want string
	}{
		{func(x *Times) { x.Zone = "" }, "zone: missing"},
		{func(x *Times) { x.Zone = "Local" }, "zone: Local is no zone; " + reasonNoZone},
		{func(x *Times) { x.Zone = "Europe/Sophia" }, `zone: unknown zone "Europe/Sophia"; ` + reasonNoZone},
		{func(x *Times) { x.Starts, x.Ends = date("2027-01-02"), date("2027-01-01") }, "ends: lies before starts"},
		{func(x *Times) { x.Rule = "" }, "rule: missing"},
		{func(x *Times) { x.At = nil }, `at: missing; give times of day such as ["03:30"]`},
		{func(x *Times) { x.At = make([]string, MaxAt+1) }, "at: more than 1440 times"},
		{func(x *Times) { x.At = []string{"3:30"} }, `at: "3:30" is no time of day such as 03:30`},
		{func(x *Times) { x.At = []string{"03:30", "02:00", "03:30"} }, "at: a time stands twice; a schedule runs once a minute at the most"},
		{func(x *Times) { x.DueAt = "06:60" }, `due_at: "06:60" is no time of day such as 06:00`},
		{func(x *Times) { x.Calendar = "no-such" }, `calendar: unknown calendar "no-such"; known are bank, bg, every, us`},
		{func(x *Times) { x.Calendar, x.OnHoliday = "bg", "sometimes" }, `on_holiday: "sometimes" is none of run, skip, next, previous`},
		{func(x *Times) { x.OnHoliday = "next" }, "on_holiday: next needs a calendar"},
		{func(x *Times) { x.Calendar = "bg" }, "on_holiday: missing; say what becomes of an occurrence on a day that is no business day"},
	} {
		t.Run(test.want, func(t *testing.T) {
			times := Times{Zone: "UTC", Rule: "FREQ=DAILY", At: []string{"01:00"}}
			test.edit(&times)
			if _, err := set.Timing(times); err == nil || err.Error() != test.want {
				t.Errorf("got %v", err)
			}
		})
	}
	_, err := NewSet(nil).Timing(Times{Zone: "UTC", Rule: "FREQ=DAILY", At: []string{"01:00"}, Calendar: "bg"})
	if want := `calendar: unknown calendar "bg"; none is defined, see [calendars] in the operators' file`; err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}
