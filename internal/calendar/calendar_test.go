package calendar

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/teambition/rrule-go"
)

// date parses a civil date.
func date(s string) time.Time {
	t, err := time.Parse("2006-01-02", s)
	if err != nil {
		panic(err)
	}
	return t
}

func mustTiming(tb testing.TB, set *Set, times Times) *Timing {
	tb.Helper()
	timing, err := set.Timing(times)
	if err != nil {
		tb.Fatal(err)
	}
	return timing
}

// calendars returns a set of calendars for the tests.
func calendars(tb testing.TB) *Set {
	tb.Helper()
	m := map[string]*Calendar{}
	for name, def := range map[string]Definition{
		"bg":    {Country: "BG"},
		"us":    {Country: "us", Worked: []time.Time{date("2027-11-26"), date("2027-12-24")}},
		"every": {Weekend: []time.Weekday{}, Holidays: []time.Time{date("2027-02-26")}},
		"bank":  {Holidays: []time.Time{date("2027-02-26")}},
	} {
		c, err := New(def)
		if err != nil {
			tb.Fatal(err)
		}
		m[name] = c
	}
	return NewSet(m)
}

// TestOccurrences lists the expected occurrences for difficult dates and times, as
// start, deadline and remark.
func TestOccurrences(t *testing.T) {
	set := calendars(t)
	for _, c := range []struct {
		name string
		x    Times
		from string
		want []string
	}{
		{"month-end with holidays", Times{Zone: "Europe/Sofia", Rule: "FREQ=MONTHLY;BYMONTHDAY=-1", At: []string{"03:30"}, Calendar: "bg", OnHoliday: "previous", DueAt: "06:00"}, "2027-01-01", []string{
			"2027-01-29T03:30:00+02:00 2027-01-29T06:00:00+02:00 moved from 2027-01-31: Sunday",
			"2027-02-26T03:30:00+02:00 2027-02-26T06:00:00+02:00 moved from 2027-02-28: Sunday",
			"2027-03-31T03:30:00+03:00 2027-03-31T06:00:00+03:00 ",
			"2027-04-29T03:30:00+03:00 2027-04-29T06:00:00+03:00 moved from 2027-04-30: Велики петък",
		}},
		{"holiday on the last business day", Times{Zone: "Europe/Sofia", Rule: "FREQ=MONTHLY;BYMONTHDAY=-1", At: []string{"03:30"}, Calendar: "bank", OnHoliday: "previous"}, "2027-02-01", []string{
			"2027-02-25T03:30:00+02:00 - moved from 2027-02-28: Sunday",
		}},
		{"no weekend", Times{Zone: "Europe/Sofia", Rule: "FREQ=WEEKLY;BYDAY=FR,SA", At: []string{"03:30"}, Calendar: "every", OnHoliday: "next"}, "2027-02-24", []string{
			"2027-02-27T03:30:00+02:00 - ", "2027-03-05T03:30:00+02:00 - ",
		}},
		{"the 31st in short months", Times{Zone: "UTC", Rule: "FREQ=MONTHLY;BYMONTHDAY=31", At: []string{"00:00"}}, "2027-01-31", []string{
			"2027-01-31T00:00:00Z - ", "2027-03-31T00:00:00Z - ", "2027-05-31T00:00:00Z - ",
		}},
		{"29 February", Times{Zone: "UTC", Rule: "FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=29", At: []string{"00:00"}}, "2093-01-01", []string{
			"2096-02-29T00:00:00Z - ", "2104-02-29T00:00:00Z - ",
		}},
		{"next, two that fall together", Times{Zone: "UTC", Rule: "FREQ=DAILY", At: []string{"05:00", "17:00"}, Calendar: "us", OnHoliday: "next"}, "2027-11-24T17:00:00", []string{
			"2027-11-26T05:00:00Z - ", "2027-11-26T17:00:00Z - ", "2027-11-29T05:00:00Z - ",
		}},
		{"spring gap of an hour", Times{Zone: "Europe/Sofia", Rule: "FREQ=DAILY", At: []string{"02:59", "03:30", "04:00"}, DueAt: "03:45"}, "2027-03-28", []string{
			"2027-03-28T02:59:00+02:00 2027-03-28T04:00:00+03:00 ", "2027-03-28T04:00:00+03:00 2027-03-29T03:45:00+03:00 clocks skip 03:30",
			"2027-03-28T04:00:00+03:00 2027-03-29T03:45:00+03:00 ", "2027-03-29T02:59:00+03:00 2027-03-29T03:45:00+03:00 ",
		}},
		{"autumn hour, first passing; the deadline follows the clock", Times{Zone: "Europe/Sofia", Rule: "FREQ=DAILY", At: []string{"03:30"}, DueAt: "06:00"}, "2027-10-31", []string{
			"2027-10-31T03:30:00+03:00 2027-10-31T06:00:00+02:00 ", "2027-11-01T03:30:00+02:00 2027-11-01T06:00:00+02:00 ",
		}},
		{"a deadline in the repeated hour", Times{Zone: "Europe/Sofia", Rule: "FREQ=DAILY", At: []string{"03:30"}, DueAt: "03:15"}, "2027-10-31", []string{
			"2027-10-31T03:30:00+03:00 2027-10-31T03:15:00+02:00 ",
		}},
		{"half an hour of shift, spring", Times{Zone: "Australia/Lord_Howe", Rule: "FREQ=DAILY", At: []string{"02:15"}}, "2027-10-02", []string{
			"2027-10-02T02:15:00+10:30 - ", "2027-10-03T02:30:00+11:00 - clocks skip 02:15", "2027-10-04T02:15:00+11:00 - ",
		}},
		{"half an hour of shift, autumn", Times{Zone: "Australia/Lord_Howe", Rule: "FREQ=DAILY", At: []string{"01:45"}}, "2027-04-04", []string{
			"2027-04-04T01:45:00+11:00 - ", "2027-04-05T01:45:00+10:30 - ",
		}},
		{"a day that clocks skip", Times{Zone: "Pacific/Apia", Rule: "FREQ=DAILY", At: []string{"12:00"}}, "2011-12-29", []string{
			"2011-12-29T12:00:00-10:00 - ", "2011-12-31T00:00:00+14:00 - clocks skip 12:00", "2011-12-31T12:00:00+14:00 - ",
		}},
		{"starts, ends, every second week", Times{Zone: "UTC", Rule: "FREQ=WEEKLY;INTERVAL=2;BYDAY=MO,FR", At: []string{"01:00"}, Starts: date("2027-01-06"), Ends: date("2027-01-22")}, "2026-01-01", []string{
			"2027-01-08T01:00:00Z - ", "2027-01-18T01:00:00Z - ", "2027-01-22T01:00:00Z - ", "end",
		}},
		{"COUNT", Times{Zone: "UTC", Rule: "FREQ=DAILY;COUNT=2", At: []string{"01:00"}, Starts: date("2027-01-06")}, "2026-01-01", []string{
			"2027-01-06T01:00:00Z - ", "2027-01-07T01:00:00Z - ", "end",
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			timing := mustTiming(t, set, c.x)
			if len(c.from) == len(time.DateOnly) {
				c.from += "T00:00:00"
			}
			after, _ := time.Parse("2006-01-02T15:04:05", c.from)
			if !strings.HasSuffix(c.from, "17:00:00") {
				after = after.Add(-time.Second)
			}
			for _, want := range c.want {
				o, ok := timing.Next(after)
				got := "end"
				if ok {
					due := "-"
					if !o.Due.IsZero() {
						due = o.Due.In(timing.zone).Format(time.RFC3339)
					}
					got = o.Start.In(timing.zone).Format(time.RFC3339) + " " + due + " " + o.Remark
				}
				if got != want {
					t.Errorf("got  %s\nwant %s", got, want)
				}
				after = o.Nominal
			}
		})
	}
}

// TestRulesAsPlain compares Rule with the library's own expansion from the start of
// the rule, for random rules, from early and late dates.
func TestRulesAsPlain(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	pick := func(s ...string) string { return s[rng.IntN(len(s))] }
	checked := 0
	for range 400 {
		starts := Date(2020, 1, 1).AddDate(0, 0, rng.IntN(1500))
		text := pick("FREQ=DAILY", "FREQ=DAILY;BYMONTH=2,7", "FREQ=WEEKLY", "FREQ=WEEKLY;BYDAY=TU,SU", "FREQ=WEEKLY;BYDAY=MO,WE,SU;WKST=SU", "FREQ=MONTHLY",
			"FREQ=MONTHLY;BYMONTHDAY=1,31,-2", "FREQ=MONTHLY;BYDAY=2TU,-1FR", "FREQ=MONTHLY;BYDAY=MO,TU,WE,TH,FR;BYSETPOS=-1", "FREQ=YEARLY", "FREQ=YEARLY;BYWEEKNO=1,20,53",
			"FREQ=YEARLY;BYYEARDAY=1,100,-1", "FREQ=YEARLY;BYDAY=20MO", "FREQ=YEARLY;BYMONTH=3,11;BYDAY=-1SU", "FREQ=YEARLY;BYMONTHDAY=13;BYDAY=FR") + pick("", "", ";INTERVAL=2", ";INTERVAL=3")
		r, err := ParseRule(text, starts, time.Time{})
		if err != nil {
			t.Fatal(text, err)
		}
		o, _ := rrule.StrToROption(text)
		o.Dtstart = starts
		plain, _ := rrule.NewRRule(*o)
		for _, after := range []time.Time{starts, starts.AddDate(0, 0, rng.IntN(700)), starts.AddDate(18, 0, rng.IntN(700))} {
			for range 5 {
				got, ok := r.Next(after)
				want := plain.After(after, true)
				if ok == want.IsZero() || ok && !got.Equal(want) {
					t.Fatalf("%s from %s: next after %s is %s, plainly %s", text, starts.Format(time.DateOnly), after.Format(time.DateOnly), got, want)
				}
				after = got.Add(Day)
				checked++
			}
		}
	}
	if checked < 4000 {
		t.Error("too few were compared:", checked)
	}
}

// TestNextAsAll checks that Next returns what All yields, without the skipped ones.
func TestNextAsAll(t *testing.T) {
	set := calendars(t)
	for _, rule := range []string{"FREQ=DAILY", "FREQ=WEEKLY;BYDAY=SA,SU,MO", "FREQ=MONTHLY;BYMONTHDAY=1,-1", "FREQ=MONTHLY;BYDAY=1MO"} {
		for _, on := range []string{"run", "skip", "next", "previous"} {
			for _, name := range set.Names() {
				timing := mustTiming(t, set, Times{Zone: "Europe/Sofia", Rule: rule, At: []string{"03:30", "22:00"}, Calendar: name, OnHoliday: on})
				after := date("2027-01-04").Add(-time.Second)
				n := 0
				for o := range timing.All(date("2026-12-20")) {
					if o.Skipped || !o.Nominal.After(after) {
						continue
					}
					got, ok := timing.Next(after)
					if !ok || !got.Nominal.Equal(o.Nominal) || got.Remark != o.Remark {
						t.Fatalf("%s %s %s: after %s Next has %s %q, All %s %q", rule, on, name, after, got.Nominal, got.Remark, o.Nominal, o.Remark)
					}
					after = o.Nominal
					if n++; n > 300 {
						break
					}
				}
			}
		}
	}
}

// TestOffsetsChange checks that no occurrence runs twice if the offset of a zone
// changes with a release of the zone data, because nominal times are stored.
func TestOffsetsChange(t *testing.T) {
	set := calendars(t)
	timing := mustTiming(t, set, Times{Zone: "Europe/Sofia", Rule: "FREQ=DAILY", At: []string{"03:30"}})
	cursor := date("2027-07-01")
	seen := map[time.Time]bool{}
	for i := range 10 {
		timing.zone = time.FixedZone("", 3600*(i%5-2))
		o, ok := timing.Next(cursor)
		if !ok || seen[o.Nominal] || o.Nominal.Sub(cursor) > Day+4*time.Hour {
			t.Fatal(o, ok)
		}
		seen[o.Nominal], cursor = true, o.Nominal
	}
}

const icalendar = "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nPRODID:-//t//EN\r\n" +
	"BEGIN:VEVENT\r\nUID:1\r\nSUMMARY:Inventory\r\nDTSTART;VALUE=DATE:20270510\r\nDTEND;VALUE=DATE:20270512\r\nEND:VEVENT\r\n" +
	"BEGIN:VEVENT\r\nUID:2\r\nSUMMARY:Founders\r\nDTSTART;VALUE=DATE:20200615\r\nRRULE:FREQ=YEARLY\r\nEXDATE;VALUE=DATE:20280615\r\nRDATE;VALUE=DATE:20280616\r\nEND:VEVENT\r\n" +
	"BEGIN:VEVENT\r\nUID:3\r\nSUMMARY:Off\r\nSTATUS:CANCELLED\r\nDTSTART;VALUE=DATE:20270520\r\nEND:VEVENT\r\n" +
	"BEGIN:VEVENT\r\nUID:4\r\nSUMMARY:Half\\n day\r\nDTSTART:20270524T120000Z\r\nDTEND:20270524T180000Z\r\nEND:VEVENT\r\n" +
	"END:VCALENDAR\r\n"

func TestICalendar(t *testing.T) {
	events, err := ParseICalendar([]byte(icalendar))
	if err != nil || len(events) != 3 {
		t.Fatal(events, err)
	}
	c, err := New(Definition{Events: events})
	if err != nil {
		t.Fatal(err)
	}
	for day, want := range map[string]string{"2027-05-07": "", "2027-05-10": "Inventory", "2027-05-11": "Inventory", "2027-05-12": "", "2027-06-15": "Founders",
		"2027-05-20": "", "2027-05-24": "Half day", "2028-06-15": "", "2028-06-16": "Founders", "2027-05-08": "Saturday", "2020-06-15": "Founders", "2019-06-14": ""} {
		if ok, why := c.Day(date(day)); why != want || ok != (want == "") {
			t.Errorf("%s: %v %q, want %q", day, ok, why, want)
		}
	}
	for text, want := range map[string]string{"BEGIN:VCALENDAR\r\nBEGIN:VEVENT\r\nSUMMARY:x\r\nEND:VEVENT\r\nEND:VCALENDAR\r\n": "DTSTART",
		strings.Replace(icalendar, "FREQ=YEARLY", "FREQ=OFTEN", 1): "RRULE", strings.Replace(icalendar, "20270512", "20290512", 1): "DTEND"} {
		if _, err := ParseICalendar([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

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

// TestSlowRulesAreRejected checks rules that would keep the library searching.
func TestSlowRulesAreRejected(t *testing.T) {
	monday := Date(2027, 3, 29)
	for _, rule := range []string{
		"FREQ=DAILY;INTERVAL=14;BYDAY=TU",
		"FREQ=DAILY;INTERVAL=1000;BYMONTH=2;BYMONTHDAY=29;COUNT=9999",
	} {
		began := time.Now()
		if _, err := ParseRule(rule, monday, time.Time{}); err == nil || time.Since(began) > 5*time.Second {
			t.Errorf("%s: error %v after %s", rule, err, time.Since(began))
		}
	}
}

func TestInvalidRulesAreRejected(t *testing.T) {
	for _, rule := range []string{
		"",
		"FREQ=OFTEN",
		"FREQ=HOURLY",
		"FREQ=DAILY;BYHOUR=3",
		"FREQ=DAILY;FREQ=DAILY",
		"FREQ=MONTHLY",
		"FREQ=DAILY;INTERVAL=2",
		"FREQ=DAILY;COUNT=3",
		"BYDAY=MO",
		"FREQ=MONTHLY;BYDAY=53MO",
		"FREQ=MONTHLY;BYDAY=0MO",
		"FREQ=WEEKLY;BYDAY=2MO",
		"FREQ=WEEKLY;BYDAY=XX",
		"FREQ=MONTHLY;BYMONTHDAY=32",
		"FREQ=MONTHLY;BYMONTHDAY=0",
		"FREQ=DAILY;X=1",
		"FREQ",
		"FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30",
		"FREQ=DAILY;UNTIL=soon",
		"FREQ=MONTHLY;BYWEEKNO=3",
		"FREQ=DAILY;BYSETPOS=1",
		"FREQ=DAILY;BYEASTER=1",
		"FREQ=DAILY;" + strings.Repeat("BYMONTH=1", 100),
	} {
		if _, err := ParseRule(rule, time.Time{}, time.Time{}); err == nil {
			t.Errorf("%s is accepted", rule)
		}
	}
}

func TestOccurs(t *testing.T) {
	set := calendars(t)
	from := date("2027-01-01")
	week53InJune := Times{Zone: "UTC", Rule: "FREQ=YEARLY;BYWEEKNO=53;BYMONTH=6", At: []string{"01:00"}}
	if mustTiming(t, set, week53InJune).Occurs(from) {
		t.Error("week 53 in June occurs")
	}
	businessSunday := Times{Zone: "UTC", Rule: "FREQ=WEEKLY;BYDAY=SU", At: []string{"01:00"}, Calendar: "bg", OnHoliday: "skip"}
	if mustTiming(t, set, businessSunday).Occurs(from) {
		t.Error("a business Sunday occurs")
	}
}

// FuzzRule checks that arbitrary text is rejected or yields ascending dates.
func FuzzRule(f *testing.F) {
	for _, s := range []string{"FREQ=MONTHLY;BYMONTHDAY=-1", "FREQ=YEARLY;BYWEEKNO=53;WKST=SU", "FREQ=MONTHLY;BYDAY=MO,-1FR;BYSETPOS=-2", "FREQ=YEARLY;BYDAY=-53MO,53TU", "FREQ=WEEKLY;INTERVAL=1000;BYDAY=SU", "FREQ=DAILY;COUNT=10000;UNTIL=20300101T000000Z"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		r, err := ParseRule(s, Date(2027, 3, 29), time.Time{})
		if err != nil {
			return
		}
		d := Date(2027, 3, 1)
		for range 40 {
			next, ok := r.Next(d)
			if !ok {
				return
			}
			if next.Before(d) || !next.Equal(DateOf(next)) {
				t.Fatalf("%s: after %s comes %s", s, d, next)
			}
			d = next.Add(Day)
		}
	})
}

// FuzzICalendar checks that arbitrary input is rejected or makes a usable calendar.
func FuzzICalendar(f *testing.F) {
	f.Add([]byte(icalendar))
	f.Fuzz(func(t *testing.T, data []byte) {
		events, err := ParseICalendar(data)
		if err != nil {
			return
		}
		c, err := New(Definition{Events: events})
		if err != nil {
			t.Fatal(err)
		}
		for i := range 3 {
			c.Day(Date(2027, 1, 1).AddDate(i, i, i))
		}
	})
}

// BenchmarkNext shows that the cost does not depend on the age of the schedule.
func BenchmarkNext(b *testing.B) {
	set := calendars(b)
	for _, rule := range []string{"FREQ=DAILY;INTERVAL=3", "FREQ=MONTHLY;BYMONTHDAY=-1"} {
		for _, year := range []int{1, 20} {
			b.Run(fmt.Sprintf("%s/year %d", rule, year), func(b *testing.B) {
				timing := mustTiming(b, set, Times{Zone: "Europe/Sofia", Rule: rule, At: []string{"03:30"}, Calendar: "bg", OnHoliday: "previous", Starts: date("2027-01-01")})
				from := date("2027-01-01").AddDate(year-1, 0, 0)
				after := from
				for range b.N {
					o, _ := timing.Next(after)
					if after = o.Nominal; after.Sub(from) > 360*Day {
						after = from
					}
				}
			})
		}
	}
}
