package calendar

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/teambition/rrule-go"
)

// TestNextMatchesLibrary compares Rule.Next with the library's expansion from the start of
// the rule, for random rules and for dates soon and long after the start.
func TestNextMatchesLibrary(t *testing.T) {
	rules := []string{
		"FREQ=DAILY",
		"FREQ=DAILY;BYMONTH=2,7",
		"FREQ=WEEKLY",
		"FREQ=WEEKLY;BYDAY=TU,SU",
		"FREQ=WEEKLY;BYDAY=MO,WE,SU;WKST=SU",
		"FREQ=MONTHLY",
		"FREQ=MONTHLY;BYMONTHDAY=1,31,-2",
		"FREQ=MONTHLY;BYDAY=2TU,-1FR",
		"FREQ=MONTHLY;BYDAY=MO,TU,WE,TH,FR;BYSETPOS=-1",
		"FREQ=YEARLY",
		"FREQ=YEARLY;BYWEEKNO=1,20,53",
		"FREQ=YEARLY;BYYEARDAY=1,100,-1",
		"FREQ=YEARLY;BYDAY=20MO",
		"FREQ=YEARLY;BYMONTH=3,11;BYDAY=-1SU",
		"FREQ=YEARLY;BYMONTHDAY=13;BYDAY=FR",
	}
	intervals := []string{"", "", ";INTERVAL=2", ";INTERVAL=3"}
	rng := rand.New(rand.NewPCG(1, 2))
	compared := 0
	for range 400 {
		starts := Date(2020, 1, 1).AddDate(0, 0, rng.IntN(1500))
		text := rules[rng.IntN(len(rules))] + intervals[rng.IntN(len(intervals))]
		rule, err := ParseRule(text, starts, time.Time{})
		if err != nil {
			t.Fatal(text, err)
		}
		plain := expandFromStart(t, text, starts)
		for _, after := range []time.Time{starts, starts.AddDate(0, 0, rng.IntN(700)), starts.AddDate(18, 0, rng.IntN(700))} {
			for range 5 {
				got, ok := rule.Next(after)
				want := plain.After(after, true)
				if ok == want.IsZero() || ok && !got.Equal(want) {
					t.Fatalf("%s from %s: next after %s is %s, want %s", text, starts.Format(time.DateOnly), after.Format(time.DateOnly), got, want)
				}
				after = got.Add(Day)
				compared++
			}
		}
	}
	if compared < 4000 {
		t.Errorf("%d dates were compared, want at least 4000", compared)
	}
}

// expandFromStart returns the library's expansion of a rule from its start.
func expandFromStart(t *testing.T, text string, starts time.Time) *rrule.RRule {
	t.Helper()
	option, err := rrule.StrToROption(text)
	if err != nil {
		t.Fatal(text, err)
	}
	option.Dtstart = starts
	expansion, err := rrule.NewRRule(*option)
	if err != nil {
		t.Fatal(text, err)
	}
	return expansion
}

// FuzzRule checks that arbitrary text is rejected or yields ascending dates.
func FuzzRule(f *testing.F) {
	for _, seed := range []string{
		"FREQ=MONTHLY;BYMONTHDAY=-1",
		"FREQ=YEARLY;BYWEEKNO=53;WKST=SU",
		"FREQ=MONTHLY;BYDAY=MO,-1FR;BYSETPOS=-2",
		"FREQ=YEARLY;BYDAY=-53MO,53TU",
		"FREQ=WEEKLY;INTERVAL=1000;BYDAY=SU",
		"FREQ=DAILY;COUNT=10000;UNTIL=20300101T000000Z",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		rule, err := ParseRule(text, Date(2027, 3, 29), time.Time{})
		if err != nil {
			return
		}
		date := Date(2027, 3, 1)
		for range 40 {
			next, ok := rule.Next(date)
			if !ok {
				return
			}
			if next.Before(date) || !next.Equal(DateOf(next)) {
				t.Fatalf("%s: Next(%s) = %s, want a date on or after it", text, date, next)
			}
			date = next.Add(Day)
		}
	})
}
