package calendar

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/teambition/rrule-go"
)

// Rule is a recurrence rule of RFC 5545 that yields dates. It is not for
// concurrent use: it keeps the dates that it worked out last.
//
// The library that expands rules walks from their start. Here it is started on
// the period around the date that is asked for, so an answer costs the same
// however long ago the rule began.
type Rule struct {
	opt         rrule.ROption // without start and end, and with every day part explicit
	anchor      time.Time     // a period of the rule begins here
	from, until time.Time     // the first and last date; zero: none

	known time.Time   // dates holds every date of the rule from here to its last
	dates []time.Time // ascending
	none  time.Time   // none was found from here on
}

const (
	// horizon bounds the search for a date. The rarest date that is not absurd,
	// 29 February on a given weekday across a century, comes every 40 years.
	horizon = 50
	// maxCount bounds COUNT, whose last date is worked out when a rule is read.
	maxCount = 10_000
	// maxRule bounds the text of a rule, in bytes.
	maxRule = 512
)

// ParseRule reads a rule such as FREQ=MONTHLY;BYMONTHDAY=-1. Its dates lie from
// starts to ends, both included; either may be zero. Times of day are not a
// rule's business: BYHOUR and the like are refused, and so is whatever needs a
// start (INTERVAL above 1, COUNT, a day that is left out) where there is none.
// UNTIL counts with its date.
func ParseRule(text string, starts, ends time.Time) (*Rule, error) {
	r := &Rule{anchor: Date(2001, 1, 1), from: starts, until: ends} // a Monday that begins a year
	text = strings.TrimPrefix(strings.ToUpper(strings.TrimSpace(text)), "RRULE:")
	if text == "" {
		return nil, fmt.Errorf("missing")
	}
	if len(text) > maxRule {
		return nil, fmt.Errorf("longer than %d bytes", maxRule)
	}
	seen := map[string]string{}
	var kept []string
	for _, part := range strings.Split(text, ";") {
		k, v, ok := strings.Cut(part, "=")
		if !ok || v == "" {
			return nil, fmt.Errorf("%q is not of the form PART=VALUE", part)
		}
		if _, twice := seen[k]; twice {
			return nil, fmt.Errorf("%s stands twice", k)
		}
		seen[k] = v
		switch k {
		case "FREQ", "INTERVAL", "WKST", "COUNT", "BYSETPOS", "BYMONTH", "BYMONTHDAY", "BYYEARDAY", "BYWEEKNO", "BYDAY":
			kept = append(kept, part)
		case "UNTIL":
			date, rest, timed := strings.Cut(v, "T")
			t, err := time.Parse("20060102", date)
			if err == nil && timed {
				_, err = time.Parse("150405", strings.TrimSuffix(rest, "Z"))
			}
			if err != nil {
				return nil, fmt.Errorf("UNTIL=%s is no date like 20271231", v)
			}
			if r.until.IsZero() || t.Before(r.until) {
				r.until = t
			}
		case "BYHOUR", "BYMINUTE", "BYSECOND":
			return nil, fmt.Errorf("%s: times of day belong in at", k)
		default:
			return nil, fmt.Errorf("unknown part %s", k)
		}
	}
	if err := checkParts(seen, !starts.IsZero()); err != nil {
		return nil, err
	}
	opt, err := rrule.StrToROption(strings.Join(kept, ";"))
	if err != nil {
		return nil, err
	}
	if _, err := rrule.NewRRule(*opt); err != nil {
		return nil, err
	}
	count := opt.Count
	opt.Count = 0
	opt.Interval = max(opt.Interval, 1)
	r.opt = *opt
	r.explicit(starts)
	r.align(starts)
	if !r.from.IsZero() && !r.until.IsZero() && r.until.Before(r.from) {
		return nil, fmt.Errorf("ends before it starts")
	}
	if opt.Freq == rrule.DAILY && opt.Interval%7 == 0 && len(opt.Byweekday) > 0 && !slices.ContainsFunc(opt.Byweekday, func(w rrule.Weekday) bool { return (w.Day()+1)%7 == int(starts.Weekday()) }) {
		return nil, fmt.Errorf("never occurs: INTERVAL=%d keeps to the weekday of starts", opt.Interval)
	}
	if count > 0 {
		last, end := time.Time{}, r.from.AddDate(horizon, 0, 0)
		for d, ok := r.Next(r.from); ok && count > 0; d, ok = r.Next(d.Add(Day)) {
			if d.After(end) {
				return nil, fmt.Errorf("COUNT reaches further than %d years", horizon)
			}
			last = d
			count--
		}
		if last.IsZero() {
			return nil, fmt.Errorf("never occurs within %d years", horizon)
		}
		r.until = last
	}
	return r, nil
}

// checkParts refuses what the RFC forbids and what the library would take in its
// own way, or not survive (BYDAY=53MO of a month).
func checkParts(p map[string]string, started bool) error {
	freq := p["FREQ"]
	switch freq {
	case "DAILY", "WEEKLY", "MONTHLY", "YEARLY":
	case "":
		return fmt.Errorf("FREQ is missing")
	case "HOURLY", "MINUTELY", "SECONDLY":
		return fmt.Errorf("FREQ=%s: a rule yields dates, times of day belong in at", freq)
	default:
		return fmt.Errorf("unknown FREQ=%s", freq)
	}
	if months, days := p["BYMONTH"], p["BYMONTHDAY"]; months != "" && days != "" && !monthDays(months, days) {
		return fmt.Errorf("never occurs: none of these months has such a day")
	}
	not := func(part string, freqs ...string) error {
		if _, ok := p[part]; ok && slices.Contains(freqs, freq) {
			return fmt.Errorf("%s does not go with FREQ=%s", part, freq)
		}
		return nil
	}
	for _, err := range []error{
		not("BYWEEKNO", "DAILY", "WEEKLY", "MONTHLY"), not("BYYEARDAY", "DAILY", "WEEKLY", "MONTHLY"), not("BYMONTHDAY", "WEEKLY"), not("BYSETPOS", "DAILY"),
	} {
		if err != nil {
			return err
		}
	}
	for part, most := range map[string]int{"INTERVAL": 1000, "COUNT": maxCount} {
		if v, ok := p[part]; ok {
			if n, err := strconv.Atoi(v); err != nil || n < 1 || n > most {
				return fmt.Errorf("%s=%s is not a number from 1 to %d", part, v, most)
			}
		}
	}
	for _, part := range []string{"BYSETPOS", "BYMONTH", "BYMONTHDAY", "BYYEARDAY", "BYWEEKNO"} {
		if v, ok := p[part]; ok {
			for x := range strings.SplitSeq(v, ",") {
				if n, err := strconv.Atoi(x); err != nil || n == 0 {
					return fmt.Errorf("%s=%s is out of range", part, v)
				}
			}
		}
	}
	if v, ok := p["BYDAY"]; ok {
		most := 0 // how many of a weekday there can be
		if _, weeks := p["BYWEEKNO"]; !weeks {
			_, months := p["BYMONTH"]
			switch {
			case freq == "MONTHLY" || freq == "YEARLY" && months:
				most = 5
			case freq == "YEARLY":
				most = 53
			}
		}
		for x := range strings.SplitSeq(v, ",") {
			num := strings.TrimRight(x, "ABCDEFGHIJKLMNOPQRSTUVWXYZ")
			if num == "" {
				continue
			}
			if n, err := strconv.Atoi(num); err != nil || n == 0 || n > most || n < -most {
				return fmt.Errorf("BYDAY=%s: no %s in a period of this rule", v, x)
			}
		}
	}
	days := false
	for _, part := range []string{"BYMONTHDAY", "BYYEARDAY", "BYWEEKNO", "BYDAY"} {
		_, ok := p[part]
		days = days || ok
	}
	if _, ok := p["BYSETPOS"]; ok && !days && p["BYMONTH"] == "" {
		return fmt.Errorf("BYSETPOS needs another BY part")
	}
	if !started {
		_, counted := p["COUNT"]
		switch {
		case counted:
			return fmt.Errorf("COUNT needs starts, to count from")
		case p["INTERVAL"] != "" && p["INTERVAL"] != "1":
			return fmt.Errorf("INTERVAL above 1 needs starts, to count from")
		case !days && freq != "DAILY":
			return fmt.Errorf("FREQ=%s without a day (BYDAY, BYMONTHDAY…) needs starts, whose day it takes", freq)
		}
	}
	return nil
}

// monthDays reports whether any of the months ever has one of the days; what is
// no number is found out elsewhere.
func monthDays(months, days string) bool {
	for m := range strings.SplitSeq(months, ",") {
		month, err := strconv.Atoi(m)
		for d := range strings.SplitSeq(days, ",") {
			day, err2 := strconv.Atoi(d)
			if err != nil || err2 != nil || max(day, -day) <= Date(2028, time.Month(month+1), 1).AddDate(0, 0, -1).Day() {
				return true
			}
		}
	}
	return false
}

// explicit writes out the day that a rule takes from its start, so that windows
// may begin anywhere.
func (r *Rule) explicit(starts time.Time) {
	o := &r.opt
	if len(o.Byweekno)+len(o.Byyearday)+len(o.Bymonthday)+len(o.Byweekday) > 0 {
		return
	}
	switch o.Freq {
	case rrule.YEARLY:
		if len(o.Bymonth) == 0 {
			o.Bymonth = []int{int(starts.Month())}
		}
		o.Bymonthday = []int{starts.Day()}
	case rrule.MONTHLY:
		o.Bymonthday = []int{starts.Day()}
	case rrule.WEEKLY:
		o.Byweekday = []rrule.Weekday{[]rrule.Weekday{rrule.SU, rrule.MO, rrule.TU, rrule.WE, rrule.TH, rrule.FR, rrule.SA}[starts.Weekday()]}
	}
}

// align puts the anchor on the beginning of the period that holds starts.
func (r *Rule) align(starts time.Time) {
	if !starts.IsZero() {
		r.anchor = starts
	}
	switch r.opt.Freq {
	case rrule.YEARLY:
		r.anchor = Date(r.anchor.Year(), 1, 1)
	case rrule.MONTHLY:
		r.anchor = Date(r.anchor.Year(), r.anchor.Month(), 1)
	case rrule.WEEKLY:
		monday := (int(r.anchor.Weekday()) + 6) % 7
		r.anchor = r.anchor.AddDate(0, 0, -((monday - r.opt.Wkst.Day() + 7) % 7))
	}
}

// period returns the beginning of the period that holds d.
func (r *Rule) period(d time.Time) time.Time {
	floor := func(n, k int) int { // the multiple of k at or below n
		return n - ((n%k)+k)%k
	}
	k := r.opt.Interval
	switch r.opt.Freq {
	case rrule.WEEKLY:
		k *= 7
		fallthrough
	case rrule.DAILY:
		return r.anchor.AddDate(0, 0, floor(int(d.Sub(r.anchor)/Day), k))
	case rrule.YEARLY:
		k *= 12
	}
	since := 12*(d.Year()-r.anchor.Year()) + int(d.Month()-r.anchor.Month())
	return r.anchor.AddDate(0, floor(since, k), 0)
}

// fill works out some dates from a little before d on. The library is never
// given an end: with one, it looks for a date that is not there as far as the
// year 9999.
func (r *Rule) fill(d time.Time) {
	const before, some = 10, 24 // days, dates
	r.known = r.period(d.AddDate(0, 0, -before))
	r.dates = r.dates[:0]
	o := r.opt
	o.Dtstart = r.known
	rr, err := rrule.NewRRule(o)
	if err != nil {
		return // has been checked
	}
	next, end := rr.Iterator(), d.AddDate(horizon, 0, 0)
	for n := 0; n < some; {
		t, ok := next()
		if !ok || t.After(end) {
			return
		}
		r.dates = append(r.dates, t)
		if !t.Before(d) {
			n++
		}
	}
}

// Next returns the first date of the rule on or after d; false if there is none
// within 50 years.
func (r *Rule) Next(d time.Time) (time.Time, bool) {
	if d.Before(r.from) {
		d = r.from
	}
	if !r.until.IsZero() && d.After(r.until) {
		return time.Time{}, false
	}
	if !r.none.IsZero() && !d.Before(r.none) {
		return time.Time{}, false
	}
	if len(r.dates) == 0 || d.Before(r.known) || d.After(r.dates[len(r.dates)-1]) {
		r.fill(d)
	}
	i, _ := slices.BinarySearchFunc(r.dates, d, time.Time.Compare)
	if i == len(r.dates) {
		r.none = d
	}
	if i == len(r.dates) || !r.until.IsZero() && r.dates[i].After(r.until) {
		return time.Time{}, false
	}
	return r.dates[i], true
}

// Has reports whether d is a date of the rule.
func (r *Rule) Has(d time.Time) bool {
	next, ok := r.Next(d)
	return ok && next.Equal(d)
}
