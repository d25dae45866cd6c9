package calendar

import (
	"fmt"
	"testing"
	"time"
)

// TestOccurrences checks the start, deadline and remark of occurrences on holidays, at
// the end of short months, and when clocks change.
func TestOccurrences(t *testing.T) {
	set := calendars(t)
	for _, test := range []occurrenceTest{
		{"month-end with holidays", TimingSpec{Zone: "Europe/Sofia", Rule: "FREQ=MONTHLY;BYMONTHDAY=-1", At: []string{"03:30"}, Calendar: "bg", OnHoliday: "previous", DueAt: "06:00"}, "2027-01-01", []string{
			"2027-01-29T03:30:00+02:00 2027-01-29T06:00:00+02:00 moved from 2027-01-31: Sunday",
			"2027-02-26T03:30:00+02:00 2027-02-26T06:00:00+02:00 moved from 2027-02-28: Sunday",
			"2027-03-31T03:30:00+03:00 2027-03-31T06:00:00+03:00 ",
			"2027-04-29T03:30:00+03:00 2027-04-29T06:00:00+03:00 moved from 2027-04-30: Велики петък",
		}},
		{"holiday on the last business day", TimingSpec{Zone: "Europe/Sofia", Rule: "FREQ=MONTHLY;BYMONTHDAY=-1", At: []string{"03:30"}, Calendar: "bank", OnHoliday: "previous"}, "2027-02-01", []string{
			"2027-02-25T03:30:00+02:00 - moved from 2027-02-28: Sunday",
		}},
		{"no weekend", TimingSpec{Zone: "Europe/Sofia", Rule: "FREQ=WEEKLY;BYDAY=FR,SA", At: []string{"03:30"}, Calendar: "every", OnHoliday: "next"}, "2027-02-24", []string{
			"2027-02-27T03:30:00+02:00 - ", "2027-03-05T03:30:00+02:00 - ",
		}},
		{"the 31st in short months", TimingSpec{Zone: "UTC", Rule: "FREQ=MONTHLY;BYMONTHDAY=31", At: []string{"00:00"}}, "2027-01-31", []string{
			"2027-01-31T00:00:00Z - ", "2027-03-31T00:00:00Z - ", "2027-05-31T00:00:00Z - ",
		}},
		{"29 February", TimingSpec{Zone: "UTC", Rule: "FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=29", At: []string{"00:00"}}, "2093-01-01", []string{
			"2096-02-29T00:00:00Z - ", "2104-02-29T00:00:00Z - ",
		}},
		{"next, two that fall together", TimingSpec{Zone: "UTC", Rule: "FREQ=DAILY", At: []string{"05:00", "17:00"}, Calendar: "us", OnHoliday: "next"}, "2027-11-24T17:00:00", []string{
			"2027-11-26T05:00:00Z - ", "2027-11-26T17:00:00Z - ", "2027-11-29T05:00:00Z - ",
		}},
		{"spring gap of an hour", TimingSpec{Zone: "Europe/Sofia", Rule: "FREQ=DAILY", At: []string{"02:59", "03:30", "04:00"}, DueAt: "03:45"}, "2027-03-28", []string{
			"2027-03-28T02:59:00+02:00 2027-03-28T04:00:00+03:00 ", "2027-03-28T04:00:00+03:00 2027-03-29T03:45:00+03:00 clocks skip 03:30",
			"2027-03-28T04:00:00+03:00 2027-03-29T03:45:00+03:00 ", "2027-03-29T02:59:00+03:00 2027-03-29T03:45:00+03:00 ",
		}},
		{"autumn hour, first pass; the deadline follows the clock", TimingSpec{Zone: "Europe/Sofia", Rule: "FREQ=DAILY", At: []string{"03:30"}, DueAt: "06:00"}, "2027-10-31", []string{
			"2027-10-31T03:30:00+03:00 2027-10-31T06:00:00+02:00 ", "2027-11-01T03:30:00+02:00 2027-11-01T06:00:00+02:00 ",
		}},
		{"a deadline in the repeated hour", TimingSpec{Zone: "Europe/Sofia", Rule: "FREQ=DAILY", At: []string{"03:30"}, DueAt: "03:15"}, "2027-10-31", []string{
			"2027-10-31T03:30:00+03:00 2027-10-31T03:15:00+02:00 ",
		}},
		{"half an hour of shift, spring", TimingSpec{Zone: "Australia/Lord_Howe", Rule: "FREQ=DAILY", At: []string{"02:15"}}, "2027-10-02", []string{
			"2027-10-02T02:15:00+10:30 - ", "2027-10-03T02:30:00+11:00 - clocks skip 02:15", "2027-10-04T02:15:00+11:00 - ",
		}},
		{"half an hour of shift, autumn", TimingSpec{Zone: "Australia/Lord_Howe", Rule: "FREQ=DAILY", At: []string{"01:45"}}, "2027-04-04", []string{
			"2027-04-04T01:45:00+11:00 - ", "2027-04-05T01:45:00+10:30 - ",
		}},
		{"a day that clocks skip", TimingSpec{Zone: "Pacific/Apia", Rule: "FREQ=DAILY", At: []string{"12:00"}}, "2011-12-29", []string{
			"2011-12-29T12:00:00-10:00 - ", "2011-12-31T00:00:00+14:00 - clocks skip 12:00", "2011-12-31T12:00:00+14:00 - ",
		}},
		{"starts, ends, every second week", TimingSpec{Zone: "UTC", Rule: "FREQ=WEEKLY;INTERVAL=2;BYDAY=MO,FR", At: []string{"01:00"}, Starts: date("2027-01-06"), Ends: date("2027-01-22")}, "2026-01-01", []string{
			"2027-01-08T01:00:00Z - ", "2027-01-18T01:00:00Z - ", "2027-01-22T01:00:00Z - ", "end",
		}},
		{"COUNT", TimingSpec{Zone: "UTC", Rule: "FREQ=DAILY;COUNT=2", At: []string{"01:00"}, Starts: date("2027-01-06")}, "2026-01-01", []string{
			"2027-01-06T01:00:00Z - ", "2027-01-07T01:00:00Z - ", "end",
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			timing := mustTiming(t, set, test.times)
			after := test.after()
			for _, want := range test.want {
				occurrence, ok := timing.Next(after)
				got := "end"
				if ok {
					got = describe(occurrence, timing.Zone())
				}
				if got != want {
					t.Errorf("got  %s\nwant %s", got, want)
				}
				after = occurrence.Nominal
			}
		})
	}
}

// occurrenceTest holds the expected first occurrences of a schedule on or after a
// date, or after a wall-clock time.
type occurrenceTest struct {
	name  string
	times TimingSpec
	from  string
	want  []string
}

func (test *occurrenceTest) after() time.Time {
	if wall, err := time.Parse("2006-01-02T15:04:05", test.from); err == nil {
		return wall
	}
	return date(test.from).Add(-time.Second)
}

// describe formats the start, deadline and remark of an occurrence.
func describe(occurrence Occurrence, zone *time.Location) string {
	due := "-"
	if !occurrence.Deadline.IsZero() {
		due = occurrence.Deadline.In(zone).Format(time.RFC3339)
	}
	return occurrence.Start.In(zone).Format(time.RFC3339) + " " + due + " " + occurrence.Remark
}

// TestNextMatchesAll checks that Next returns the same occurrences as All, except for the
// skipped ones.
func TestNextMatchesAll(t *testing.T) {
	set := calendars(t)
	for _, rule := range []string{"FREQ=DAILY", "FREQ=WEEKLY;BYDAY=SA,SU,MO", "FREQ=MONTHLY;BYMONTHDAY=1,-1", "FREQ=MONTHLY;BYDAY=1MO"} {
		for _, onHoliday := range []OnHoliday{HolidayRun, HolidaySkip, HolidayNext, HolidayPrevious} {
			for _, name := range set.Names() {
				t.Run(fmt.Sprintf("%s/%s/%s", rule, onHoliday, name), func(t *testing.T) {
					timing := mustTiming(t, set, TimingSpec{Zone: "Europe/Sofia", Rule: rule, At: []string{"03:30", "22:00"}, Calendar: name, OnHoliday: string(onHoliday)})
					compareNextWithAll(t, timing)
				})
			}
		}
	}
}

func compareNextWithAll(t *testing.T, timing *Timing) {
	t.Helper()
	const maxCompared = 300
	after := date("2027-01-04").Add(-time.Second)
	compared := 0
	for want := range timing.All(date("2026-12-20")) {
		if want.Skipped || !want.Nominal.After(after) {
			continue
		}
		got, ok := timing.Next(after)
		if !ok || !got.Nominal.Equal(want.Nominal) || got.Remark != want.Remark {
			t.Fatalf("after %s: Next returned %s %q, All yielded %s %q", after, got.Nominal, got.Remark, want.Nominal, want.Remark)
		}
		after = want.Nominal
		if compared++; compared > maxCompared {
			break
		}
	}
}

// TestZoneOffsetChange checks that no occurrence runs twice if a zone's UTC offset changes.
func TestZoneOffsetChange(t *testing.T) {
	set := calendars(t)
	timing := mustTiming(t, set, TimingSpec{Zone: "Europe/Sofia", Rule: "FREQ=DAILY", At: []string{"03:30"}})
	cursor := date("2027-07-01")
	seen := map[time.Time]bool{}
	for i := range 10 {
		timing.zone = time.FixedZone("", 3600*(i%5-2))
		occurrence, ok := timing.Next(cursor)
		if !ok || seen[occurrence.Nominal] || occurrence.Nominal.Sub(cursor) > Day+4*time.Hour {
			t.Fatalf("after %s: got %+v, %v; want a new occurrence on the next day", cursor, occurrence, ok)
		}
		cursor = occurrence.Nominal
		seen[cursor] = true
	}
}

func TestOccursAfter(t *testing.T) {
	set := calendars(t)
	from := date("2027-01-01")
	week53InJune := TimingSpec{Zone: "UTC", Rule: "FREQ=YEARLY;BYWEEKNO=53;BYMONTH=6", At: []string{"01:00"}}
	if mustTiming(t, set, week53InJune).OccursAfter(from) {
		t.Error("OccursAfter() = true for week 53 in June")
	}
	businessSunday := TimingSpec{Zone: "UTC", Rule: "FREQ=WEEKLY;BYDAY=SU", At: []string{"01:00"}, Calendar: "bg", OnHoliday: "skip"}
	if mustTiming(t, set, businessSunday).OccursAfter(from) {
		t.Error("OccursAfter() = true for Sundays that are business days")
	}
}

// BenchmarkNext compares the cost of Next for a new and an old schedule.
func BenchmarkNext(b *testing.B) {
	set := calendars(b)
	for _, rule := range []string{"FREQ=DAILY;INTERVAL=3", "FREQ=MONTHLY;BYMONTHDAY=-1"} {
		for _, year := range []int{1, 20} {
			b.Run(fmt.Sprintf("%s/year %d", rule, year), func(b *testing.B) {
				timing := mustTiming(b, set, TimingSpec{Zone: "Europe/Sofia", Rule: rule, At: []string{"03:30"}, Calendar: "bg", OnHoliday: "previous", Starts: date("2027-01-01")})
				from := date("2027-01-01").AddDate(year-1, 0, 0)
				after := from
				for range b.N {
					occurrence, _ := timing.Next(after)
					if after = occurrence.Nominal; after.Sub(from) > 360*Day {
						after = from
					}
				}
			})
		}
	}
}
