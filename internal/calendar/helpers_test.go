package calendar

import (
	"testing"
	"time"
)

// date parses a civil date in the format 2006-01-02.
func date(s string) time.Time {
	t, err := time.Parse("2006-01-02", s)
	if err != nil {
		panic(err)
	}
	return t
}

func mustTiming(tb testing.TB, set *Set, times TimingSpec) *Timing {
	tb.Helper()
	timing, err := set.ParseTiming(times)
	if err != nil {
		tb.Fatal(err)
	}
	return timing
}

// calendars returns a set of calendars with different holidays and weekends.
func calendars(tb testing.TB) *Set {
	tb.Helper()
	m := map[string]*Calendar{}
	for name, def := range map[string]Definition{
		"bg":    {Country: "BG"},
		"us":    {Country: "us", BusinessDays: []time.Time{date("2027-11-26"), date("2027-12-24")}},
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
