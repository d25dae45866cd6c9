package calendar

import (
	"testing"
)

// TestInvalidFieldIsNamed checks that the error contains the invalid field.
func TestInvalidFieldIsNamed(t *testing.T) {
	set := calendars(t)
	for _, test := range []struct {
		field string
		edit  func(x *TimingSpec)
	}{
		{"zone", func(x *TimingSpec) { x.Zone = "Europe/Sophia" }},
		{"zone", func(x *TimingSpec) { x.Zone = "" }},
		{"zone", func(x *TimingSpec) { x.Zone = "Local" }},
		{"at", func(x *TimingSpec) { x.At = nil }},
		{"at", func(x *TimingSpec) { x.At = []string{"25:00"} }},
		{"at", func(x *TimingSpec) { x.At = []string{"3:30"} }},
		{"at", func(x *TimingSpec) { x.At = []string{"03:30", "03:30"} }},
		{"due_at", func(x *TimingSpec) { x.DueAt = "06:60" }},
		{"calendar", func(x *TimingSpec) { x.Calendar = "no-such" }},
		{"on_holiday", func(x *TimingSpec) { x.Calendar, x.OnHoliday = "bg", "sometimes" }},
		{"on_holiday", func(x *TimingSpec) { x.OnHoliday = "next" }},
		{"on_holiday", func(x *TimingSpec) { x.Calendar = "bg" }},
		{"ends", func(x *TimingSpec) { x.Starts, x.Ends = date("2027-01-02"), date("2027-01-01") }},
	} {
		times := TimingSpec{Zone: "UTC", Rule: "FREQ=DAILY", At: []string{"01:00"}}
		test.edit(&times)
		_, err := set.ParseTiming(times)
		if fieldError, ok := err.(*FieldError); !ok || fieldError.Field != test.field {
			t.Errorf("%+v: %v, want an error about %s", times, err, test.field)
		}
	}
}

// TestTimingErrors checks the errors that users get for an invalid schedule.
func TestTimingErrors(t *testing.T) {
	set := calendars(t)
	const reasonNoZone = "use an IANA name such as Europe/Sofia"
	for _, test := range []struct {
		edit func(x *TimingSpec)
		want string
	}{
		{func(x *TimingSpec) { x.Zone = "" }, "zone: missing"},
		{func(x *TimingSpec) { x.Zone = "Local" }, "zone: Local is not a time zone; " + reasonNoZone},
		{func(x *TimingSpec) { x.Zone = "Europe/Sophia" }, `zone: unknown zone "Europe/Sophia"; ` + reasonNoZone},
		{func(x *TimingSpec) { x.Starts, x.Ends = date("2027-01-02"), date("2027-01-01") }, "ends: is before starts"},
		{func(x *TimingSpec) { x.Rule = "" }, "rule: missing"},
		{func(x *TimingSpec) { x.At = nil }, `at: missing; must be a list of times of day such as ["03:30"]`},
		{func(x *TimingSpec) { x.At = make([]string, MaxTimesOfDay+1) }, "at: has more than 1440 times of day"},
		{func(x *TimingSpec) { x.At = []string{"3:30"} }, `at: "3:30" is not a time of day such as 03:30`},
		{func(x *TimingSpec) { x.At = []string{"03:30", "02:00", "03:30"} }, "at: contains a time of day twice; a schedule runs at most once a minute"},
		{func(x *TimingSpec) { x.DueAt = "06:60" }, `due_at: "06:60" is not a time of day such as 06:00`},
		{func(x *TimingSpec) { x.Calendar = "no-such" }, `calendar: unknown calendar "no-such"; defined calendars are bank, bg, every, us`},
		{func(x *TimingSpec) { x.Calendar, x.OnHoliday = "bg", "sometimes" }, `on_holiday: "sometimes" is not one of run, skip, next, previous`},
		{func(x *TimingSpec) { x.OnHoliday = "next" }, "on_holiday: next requires a calendar"},
		{func(x *TimingSpec) { x.Calendar = "bg" }, "on_holiday: missing; required with a calendar, must be one of run, skip, next, previous"},
	} {
		t.Run(test.want, func(t *testing.T) {
			times := TimingSpec{Zone: "UTC", Rule: "FREQ=DAILY", At: []string{"01:00"}}
			test.edit(&times)
			if _, err := set.ParseTiming(times); err == nil || err.Error() != test.want {
				t.Errorf("got error %v, want %s", err, test.want)
			}
		})
	}
	_, err := NewSet(nil).ParseTiming(TimingSpec{Zone: "UTC", Rule: "FREQ=DAILY", At: []string{"01:00"}, Calendar: "bg"})
	if want := `calendar: unknown calendar "bg"; no calendars are defined, see [calendars] in the operators' file`; err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}
