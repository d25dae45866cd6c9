package calendar

import (
	"strings"
	"testing"
	"time"
)

// TestRuleErrors checks the errors that users get for an invalid rule.
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
		{rule: "FREQ=DAILY;FREQ=DAILY", want: "FREQ is present twice"},
		{rule: "FREQ=DAILY;UNTIL=soon", want: "UNTIL=SOON is not a date such as 20271231"},
		{rule: "FREQ=DAILY;UNTIL=20271231T99", want: "UNTIL=20271231T99 is not a date such as 20271231"},
		{rule: "FREQ=DAILY;BYHOUR=3", want: "BYHOUR is not supported: specify times of day in at"},
		{rule: "FREQ=DAILY;X=1", want: "unknown part X"},
		{rule: "BYDAY=MO", want: "FREQ is missing"},
		{rule: "FREQ=HOURLY", want: "FREQ=HOURLY is not supported: a rule yields dates, specify times of day in at"},
		{rule: "FREQ=OFTEN", want: "unknown FREQ=OFTEN"},
		{rule: "FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30", want: "never occurs: no month in BYMONTH has a day in BYMONTHDAY"},
		{rule: "FREQ=MONTHLY;BYWEEKNO=3", want: "BYWEEKNO is not allowed with FREQ=MONTHLY"},
		{rule: "FREQ=WEEKLY;BYYEARDAY=3", want: "BYYEARDAY is not allowed with FREQ=WEEKLY"},
		{rule: "FREQ=WEEKLY;BYMONTHDAY=3", want: "BYMONTHDAY is not allowed with FREQ=WEEKLY"},
		{rule: "FREQ=DAILY;BYSETPOS=1", want: "BYSETPOS is not allowed with FREQ=DAILY"},
		{rule: "FREQ=DAILY;INTERVAL=1001", want: "INTERVAL=1001 is not a number from 1 to 1000"},
		{rule: "FREQ=DAILY;COUNT=0", want: "COUNT=0 is not a number from 1 to 10000"},
		{rule: "FREQ=MONTHLY;BYMONTHDAY=1,0", want: "BYMONTHDAY=1,0 is out of range"},
		{rule: "FREQ=WEEKLY;BYDAY=2MO", want: "BYDAY=2MO: 2MO does not exist in a period of this rule"},
		{rule: "FREQ=MONTHLY;BYDAY=6MO", want: "BYDAY=6MO: 6MO does not exist in a period of this rule"},
		{rule: "FREQ=YEARLY;BYMONTH=3;BYDAY=6MO", want: "BYDAY=6MO: 6MO does not exist in a period of this rule"},
		{rule: "FREQ=YEARLY;BYDAY=54MO", want: "BYDAY=54MO: 54MO does not exist in a period of this rule"},
		{rule: "FREQ=YEARLY;BYWEEKNO=3;BYDAY=1MO", want: "BYDAY=1MO: 1MO does not exist in a period of this rule"},
		{rule: "FREQ=MONTHLY;BYSETPOS=1", want: "BYSETPOS requires another BY part"},
		{rule: "FREQ=DAILY;COUNT=2", want: "COUNT requires starts"},
		{rule: "FREQ=DAILY;INTERVAL=2", want: "INTERVAL above 1 requires starts"},
		{rule: "FREQ=MONTHLY", want: "FREQ=MONTHLY without a day part (BYDAY, BYMONTHDAY…) requires starts, which determines the day"},
		{rule: "FREQ=DAILY", starts: monday, ends: monday.Add(-Day), want: "UNTIL or ends is before the start of the rule"},
		{rule: "FREQ=DAILY;INTERVAL=14;BYDAY=TU", starts: monday, want: "never occurs: with INTERVAL=14, every date has the weekday of starts, which BYDAY excludes"},
		{rule: "FREQ=DAILY;INTERVAL=1000;COUNT=9999", starts: monday, want: "COUNT extends beyond 50 years"},
		{rule: "FREQ=YEARLY;BYWEEKNO=53;BYMONTH=6;COUNT=1", starts: monday, want: "never occurs within 50 years"},
	} {
		t.Run(test.want, func(t *testing.T) {
			if _, err := ParseRule(test.rule, test.starts, test.ends); err == nil || err.Error() != test.want {
				t.Errorf("%s: got error %v, want %s", test.rule, err, test.want)
			}
		})
	}
}

// TestSlowRulesAreRejected checks that rules for which the library would search for very long
// are rejected.
func TestSlowRulesAreRejected(t *testing.T) {
	monday := Date(2027, 3, 29)
	for _, rule := range []string{
		"FREQ=DAILY;INTERVAL=14;BYDAY=TU",
		"FREQ=DAILY;INTERVAL=1000;BYMONTH=2;BYMONTHDAY=29;COUNT=9999",
	} {
		began := time.Now()
		if _, err := ParseRule(rule, monday, time.Time{}); err == nil || time.Since(began) > 5*time.Second {
			t.Errorf("%s: got error %v after %s, want an error within 5s", rule, err, time.Since(began))
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
			t.Errorf("%s: got no error", rule)
		}
	}
}
