package calendar

import (
	"strings"
	"testing"
	"time"
)

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

// TestRuleErrors pins the texts that users see for an invalid rule.
func TestRuleErrors(t *testing.T) {
	monday := Date(2027, 3, 29)
	for _, test := range []struct {
		rule         string
		starts, ends time.Time
		want         string
	}{
		{rule: " ", want: "missing"},
		{rule: strings.Repeat("x", 513), want: "longer than 512 bytes"},
		{rule: "FREQ", want: `"FREQ" is not of the form PART=VALUE`},
		{rule: "FREQ=", want: `"FREQ=" is not of the form PART=VALUE`},
		{rule: "FREQ=DAILY;FREQ=DAILY", want: "FREQ stands twice"},
		{rule: "FREQ=DAILY;UNTIL=soon", want: "UNTIL=SOON is no date like 20271231"},
		{rule: "FREQ=DAILY;UNTIL=20271231T99", want: "UNTIL=20271231T99 is no date like 20271231"},
		{rule: "FREQ=DAILY;BYHOUR=3", want: "BYHOUR: times of day belong in at"},
		{rule: "FREQ=DAILY;X=1", want: "unknown part X"},
		{rule: "BYDAY=MO", want: "FREQ is missing"},
		{rule: "FREQ=HOURLY", want: "FREQ=HOURLY: a rule yields dates, times of day belong in at"},
		{rule: "FREQ=OFTEN", want: "unknown FREQ=OFTEN"},
		{rule: "FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30", want: "never occurs: none of these months has such a day"},
		{rule: "FREQ=MONTHLY;BYWEEKNO=3", want: "BYWEEKNO does not go with FREQ=MONTHLY"},
		{rule: "FREQ=WEEKLY;BYYEARDAY=3", want: "BYYEARDAY does not go with FREQ=WEEKLY"},
		{rule: "FREQ=WEEKLY;BYMONTHDAY=3", want: "BYMONTHDAY does not go with FREQ=WEEKLY"},
		{rule: "FREQ=DAILY;BYSETPOS=1", want: "BYSETPOS does not go with FREQ=DAILY"},
		{rule: "FREQ=DAILY;INTERVAL=1001", want: "INTERVAL=1001 is not a number from 1 to 1000"},
		{rule: "FREQ=DAILY;COUNT=0", want: "COUNT=0 is not a number from 1 to 10000"},
		{rule: "FREQ=MONTHLY;BYMONTHDAY=1,0", want: "BYMONTHDAY=1,0 is out of range"},
		{rule: "FREQ=WEEKLY;BYDAY=2MO", want: "BYDAY=2MO: no 2MO in a period of this rule"},
		{rule: "FREQ=MONTHLY;BYDAY=6MO", want: "BYDAY=6MO: no 6MO in a period of this rule"},
		{rule: "FREQ=YEARLY;BYMONTH=3;BYDAY=6MO", want: "BYDAY=6MO: no 6MO in a period of this rule"},
		{rule: "FREQ=YEARLY;BYDAY=54MO", want: "BYDAY=54MO: no 54MO in a period of this rule"},
		{rule: "FREQ=YEARLY;BYWEEKNO=3;BYDAY=1MO", want: "BYDAY=1MO: no 1MO in a period of this rule"},
		{rule: "FREQ=MONTHLY;BYSETPOS=1", want: "BYSETPOS needs another BY part"},
		{rule: "FREQ=DAILY;COUNT=2", want: "COUNT needs starts, to count from"},
		{rule: "FREQ=DAILY;INTERVAL=2", want: "INTERVAL above 1 needs starts, to count from"},
		{rule: "FREQ=MONTHLY", want: "FREQ=MONTHLY without a day (BYDAY, BYMONTHDAY…) needs starts, whose day it takes"},
		{rule: "FREQ=DAILY", starts: monday, ends: monday.Add(-Day), want: "ends before it starts"},
		{rule: "FREQ=DAILY;INTERVAL=14;BYDAY=TU", starts: monday, want: "never occurs: INTERVAL=14 keeps to the weekday of starts"},
		{rule: "FREQ=DAILY;INTERVAL=1000;COUNT=9999", starts: monday, want: "COUNT reaches further than 50 years"},
		{rule: "FREQ=YEARLY;BYWEEKNO=53;BYMONTH=6;COUNT=1", starts: monday, want: "never occurs within 50 years"},
	} {
		t.Run(test.want, func(t *testing.T) {
			if _, err := ParseRule(test.rule, test.starts, test.ends); err == nil || err.Error() != test.want {
				t.Errorf("%s: got %v", test.rule, err)
			}
		})
	}
}

// TestICalendarErrors pins the texts that operators see for an invalid event.
func TestICalendarErrors(t *testing.T) {
	for _, test := range []struct{ old, new, want string }{
		{"DTSTART;VALUE=DATE:20270510", "DTSTART;VALUE=DATE:soon", `event "Inventory": DTSTART: missing or no date`},
		{"DTEND;VALUE=DATE:20270512", "DTEND;VALUE=DATE:soon", `event "Inventory": DTEND: no date`},
		{"DTEND;VALUE=DATE:20270512", "DTEND;VALUE=DATE:20270509", `event "Inventory": DTEND: covers -1 days, not 1 to 366`},
		{"DTEND;VALUE=DATE:20270512", "DURATION:P0D", `event "Inventory": DTEND: covers 0 days, not 1 to 366`},
		{"DTEND;VALUE=DATE:20270512", "RECURRENCE-ID;VALUE=DATE:20270512", `event "Inventory": RECURRENCE-ID: is not supported; write the date as an event of its own`},
		{"EXDATE;VALUE=DATE:20280615", "EXDATE;VALUE=DATE:20280615,x", `event "Founders": EXDATE: no date`},
		{"RDATE;VALUE=DATE:20280616", "RDATE;VALUE=DATE:x", `event "Founders": RDATE: no date`},
		{"FREQ=YEARLY", "FREQ=OFTEN", `event "Founders": RRULE: unknown FREQ=OFTEN`},
		{"SUMMARY:Inventory\r\nDTSTART;VALUE=DATE:20270510", "X-A:b", `event "holiday": DTSTART: missing or no date`},
	} {
		t.Run(test.new, func(t *testing.T) {
			_, err := ParseICalendar([]byte(strings.Replace(icalendar, test.old, test.new, 1)))
			if err == nil || err.Error() != test.want {
				t.Errorf("got  %v\nwant %s", err, test.want)
			}
		})
	}
	if _, err := ParseICalendar(make([]byte, MaxICalendar+1)); err == nil || err.Error() != "larger than 1048576 bytes" {
		t.Error(err)
	}
}

// TestICalendarDuration checks how many days an event with DURATION covers.
func TestICalendarDuration(t *testing.T) {
	for duration, want := range map[string]int{"P3D": 3, "P2W": 14, "PT8H": 1, "P400D": 1, "soon": 1} {
		text := strings.Replace(icalendar, "DTEND;VALUE=DATE:20270512", "DURATION:"+duration, 1)
		events, err := ParseICalendar([]byte(text))
		if err != nil || events[0].Days != want {
			t.Errorf("%s: %+v, %v; want %d days", duration, events, err, want)
		}
	}
}

func TestNewErrors(t *testing.T) {
	all := []time.Weekday{0, 1, 2, 3, 4, 5, 6}
	for _, test := range []struct {
		definition Definition
		want       string
	}{
		{Definition{Country: "XX"}, `country: unknown country "XX"; known are BG, DE, GB, GR, RO, US`},
		{Definition{Weekend: all}, "weekend: leaves no business day"},
	} {
		if _, err := New(test.definition); err == nil || err.Error() != test.want {
			t.Errorf("got %v, want %s", err, test.want)
		}
	}
}
