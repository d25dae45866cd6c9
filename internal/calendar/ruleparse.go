package calendar

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/teambition/rrule-go"
)

const (
	maxRuleBytes = 512
	// maxCount is the largest COUNT. ParseRule computes all COUNT dates.
	maxCount    = 10_000
	maxInterval = 1000
	// maxWeekdaysPerMonth and maxWeekdaysPerYear limit the ordinals of BYDAY.
	maxWeekdaysPerMonth = 5
	maxWeekdaysPerYear  = 53
)

// Formats of the date and the time in UNTIL. The time is optional and ignored.
const (
	untilDateFormat = "20060102"
	untilTimeFormat = "150405"
)

// dayParts are the parts that select days within a period.
var dayParts = []string{"BYMONTHDAY", "BYYEARDAY", "BYWEEKNO", "BYDAY"}

// numericParts are the parts whose values are lists of numbers other than 0.
var numericParts = []string{"BYSETPOS", "BYMONTH", "BYMONTHDAY", "BYYEARDAY", "BYWEEKNO"}

// defaultAnchor is the anchor of rules without a start. As a Monday and the first day of a
// year, it begins a period of every frequency.
var defaultAnchor = Date(2001, time.January, 1)

// ParseRule parses a rule such as FREQ=MONTHLY;BYMONTHDAY=-1. The rule yields dates
// from starts to ends, both inclusive; zero means no limit. The time of day in UNTIL
// is ignored.
//
// Parts for times of day such as BYHOUR are rejected. Without starts, rules that depend on
// their start are rejected too: those with COUNT, with INTERVAL above 1, or without a day
// part unless FREQ is DAILY.
func ParseRule(text string, starts, ends time.Time) (*Rule, error) {
	text = strings.TrimPrefix(strings.ToUpper(strings.TrimSpace(text)), "RRULE:")
	if text == "" {
		return nil, errors.New("missing")
	}
	if len(text) > maxRuleBytes {
		return nil, fmt.Errorf("longer than %d bytes", maxRuleBytes)
	}
	parts, err := splitRule(text)
	if err != nil {
		return nil, err
	}
	if err := parts.check(!starts.IsZero()); err != nil {
		return nil, err
	}
	option, err := parts.option()
	if err != nil {
		return nil, err
	}
	if parts.has("UNTIL") && (ends.IsZero() || parts.until.Before(ends)) {
		ends = parts.until
	}
	return newRule(option, starts, ends)
}

// newRule returns the rule for the option, limited to the dates from starts to ends.
func newRule(option *rrule.ROption, starts, ends time.Time) (*Rule, error) {
	count := option.Count
	r := &Rule{option: *option, anchor: defaultAnchor, from: starts, until: ends}
	r.option.Count = 0
	r.option.Interval = max(option.Interval, 1)
	r.setImplicitDay(starts)
	r.alignAnchor(starts)
	if !r.from.IsZero() && !r.until.IsZero() && r.until.Before(r.from) {
		return nil, errors.New("UNTIL or ends is before the start of the rule")
	}
	if r.neverMatchesWeekday(starts) {
		return nil, fmt.Errorf("never occurs: with INTERVAL=%d, every date has the weekday of starts, which BYDAY excludes", r.option.Interval)
	}
	if count > 0 {
		last, err := r.lastCountedDate(count)
		if err != nil {
			return nil, err
		}
		r.until = last
	}
	return r, nil
}

// neverMatchesWeekday reports whether the interval of a daily rule is a multiple of 7 and
// BYDAY excludes the weekday of starts. Such a rule has no dates, and the library would search
// for very long.
func (r *Rule) neverMatchesWeekday(starts time.Time) bool {
	option := &r.option
	if option.Freq != rrule.DAILY || option.Interval%daysPerWeek != 0 || len(option.Byweekday) == 0 {
		return false
	}
	return !slices.ContainsFunc(option.Byweekday, func(weekday rrule.Weekday) bool {
		return weekday.Day() == mondayBased(starts.Weekday())
	})
}

// lastCountedDate returns the last date of a rule with the given COUNT, or its last date if
// it has fewer within horizonYears.
func (r *Rule) lastCountedDate(count int) (time.Time, error) {
	var last time.Time
	limit := r.from.AddDate(horizonYears, 0, 0)
	for date, ok := r.Next(r.from); ok && count > 0; date, ok = r.Next(date.Add(Day)) {
		if date.After(limit) {
			return time.Time{}, fmt.Errorf("COUNT extends beyond %d years", horizonYears)
		}
		last = date
		count--
	}
	if last.IsZero() {
		return time.Time{}, fmt.Errorf("never occurs within %d years", horizonYears)
	}
	return last, nil
}

// ruleParts holds the NAME=VALUE parts of a rule.
type ruleParts struct {
	values    map[string]string // by name, including UNTIL
	supported []string          // parts to be parsed by the rrule library, as NAME=VALUE
	until     time.Time         // date of UNTIL, if present
}

// splitRule rejects malformed, duplicate and unsupported parts.
func splitRule(text string) (*ruleParts, error) {
	parts := &ruleParts{values: map[string]string{}}
	for part := range strings.SplitSeq(text, ";") {
		name, value, ok := strings.Cut(part, "=")
		if !ok || value == "" {
			return nil, fmt.Errorf("%q is not of the form PART=VALUE", part)
		}
		if parts.has(name) {
			return nil, fmt.Errorf("%s is present twice", name)
		}
		parts.values[name] = value
		switch name {
		case "FREQ", "INTERVAL", "WKST", "COUNT", "BYSETPOS", "BYMONTH", "BYMONTHDAY", "BYYEARDAY", "BYWEEKNO", "BYDAY":
			parts.supported = append(parts.supported, part)
		case "UNTIL":
			if parts.until, ok = parseUntil(value); !ok {
				return nil, fmt.Errorf("UNTIL=%s is not a date such as 20271231", value)
			}
		case "BYHOUR", "BYMINUTE", "BYSECOND":
			return nil, fmt.Errorf("%s is not supported: specify times of day in at", name)
		default:
			return nil, fmt.Errorf("unknown part %s", name)
		}
	}
	return parts, nil
}

func parseUntil(value string) (date time.Time, ok bool) {
	dateText, timeText, timed := strings.Cut(value, "T")
	date, err := time.Parse(untilDateFormat, dateText)
	if err == nil && timed {
		_, err = time.Parse(untilTimeFormat, strings.TrimSuffix(timeText, "Z"))
	}
	return date, err == nil
}

func (p *ruleParts) has(name string) bool {
	_, ok := p.values[name]
	return ok
}

func (p *ruleParts) hasDay() bool { return slices.ContainsFunc(dayParts, p.has) }

func (p *ruleParts) frequency() string { return p.values["FREQ"] }

// option returns the rule in the form of the rrule library.
func (p *ruleParts) option() (*rrule.ROption, error) {
	option, err := rrule.StrToROption(strings.Join(p.supported, ";"))
	if err != nil {
		return nil, err
	}
	if _, err := rrule.NewRRule(*option); err != nil {
		return nil, err
	}
	return option, nil
}

// check rejects rules that RFC 5545 forbids, and rules that the library interprets
// differently or panics on, such as BYDAY=53MO with FREQ=MONTHLY.
func (p *ruleParts) check(hasStart bool) error {
	checks := []func() error{
		p.checkFrequency,
		p.checkMonthDays,
		p.checkCombinations,
		p.checkCounts,
		p.checkNumericLists,
		p.checkWeekdays,
		p.checkSetPosition,
	}
	if !hasStart {
		checks = append(checks, p.checkWithoutStart)
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (p *ruleParts) checkFrequency() error {
	switch frequency := p.frequency(); frequency {
	case "DAILY", "WEEKLY", "MONTHLY", "YEARLY":
		return nil
	case "":
		return errors.New("FREQ is missing")
	case "HOURLY", "MINUTELY", "SECONDLY":
		return fmt.Errorf("FREQ=%s is not supported: a rule yields dates, specify times of day in at", frequency)
	default:
		return fmt.Errorf("unknown FREQ=%s", frequency)
	}
}

// checkMonthDays rejects rules whose dates do not exist, such as 30 February.
func (p *ruleParts) checkMonthDays() error {
	months, days := p.values["BYMONTH"], p.values["BYMONTHDAY"]
	if months != "" && days != "" && !anyMonthHasDay(months, days) {
		return errors.New("never occurs: no month in BYMONTH has a day in BYMONTHDAY")
	}
	return nil
}

// anyMonthHasDay reports whether, in a leap year, any listed month has any listed day. It
// returns true for values that are not numbers, which checkNumericLists rejects.
func anyMonthHasDay(months, days string) bool {
	for monthText := range strings.SplitSeq(months, ",") {
		month, err := strconv.Atoi(monthText)
		if err != nil {
			return true
		}
		for dayText := range strings.SplitSeq(days, ",") {
			day, err := strconv.Atoi(dayText)
			if err != nil || max(day, -day) <= daysInMonth(month) {
				return true
			}
		}
	}
	return false
}

// daysInMonth returns the number of days of a month in a leap year.
func daysInMonth(month int) int {
	return Date(2028, time.Month(month+1), 1).AddDate(0, 0, -1).Day()
}

// checkCombinations rejects parts that RFC 5545 does not allow for the frequency.
func (p *ruleParts) checkCombinations() error {
	for _, forbidden := range []struct {
		part        string
		frequencies []string
	}{
		{"BYWEEKNO", []string{"DAILY", "WEEKLY", "MONTHLY"}},
		{"BYYEARDAY", []string{"DAILY", "WEEKLY", "MONTHLY"}},
		{"BYMONTHDAY", []string{"WEEKLY"}},
		{"BYSETPOS", []string{"DAILY"}},
	} {
		if p.has(forbidden.part) && slices.Contains(forbidden.frequencies, p.frequency()) {
			return fmt.Errorf("%s is not allowed with FREQ=%s", forbidden.part, p.frequency())
		}
	}
	return nil
}

func (p *ruleParts) checkCounts() error {
	for _, part := range []struct {
		name  string
		limit int
	}{
		{"INTERVAL", maxInterval},
		{"COUNT", maxCount},
	} {
		value, ok := p.values[part.name]
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err != nil || n < 1 || n > part.limit {
			return fmt.Errorf("%s=%s is not a number from 1 to %d", part.name, value, part.limit)
		}
	}
	return nil
}

func (p *ruleParts) checkNumericLists() error {
	for _, name := range numericParts {
		list, ok := p.values[name]
		if !ok {
			continue
		}
		for value := range strings.SplitSeq(list, ",") {
			if n, err := strconv.Atoi(value); err != nil || n == 0 {
				return fmt.Errorf("%s=%s is out of range", name, list)
			}
		}
	}
	return nil
}

// checkWeekdays rejects ordinals in BYDAY that the period does not have, such as 6MO with
// FREQ=MONTHLY. The library validates the names of weekdays.
func (p *ruleParts) checkWeekdays() error {
	list, ok := p.values["BYDAY"]
	if !ok {
		return nil
	}
	limit := p.maxWeekdayOrdinal()
	for value := range strings.SplitSeq(list, ",") {
		ordinal := strings.TrimRight(value, "ABCDEFGHIJKLMNOPQRSTUVWXYZ")
		if ordinal == "" {
			continue
		}
		if n, err := strconv.Atoi(ordinal); err != nil || n == 0 || n > limit || n < -limit {
			return fmt.Errorf("BYDAY=%s: %s does not exist in a period of this rule", list, value)
		}
	}
	return nil
}

// maxWeekdayOrdinal returns the largest ordinal allowed in BYDAY, or 0 for none.
func (p *ruleParts) maxWeekdayOrdinal() int {
	frequency := p.frequency()
	switch {
	case p.has("BYWEEKNO"):
		return 0
	case frequency == "MONTHLY", frequency == "YEARLY" && p.has("BYMONTH"):
		return maxWeekdaysPerMonth
	case frequency == "YEARLY":
		return maxWeekdaysPerYear
	}
	return 0
}

func (p *ruleParts) checkSetPosition() error {
	if p.has("BYSETPOS") && !p.hasDay() && !p.has("BYMONTH") {
		return errors.New("BYSETPOS requires another BY part")
	}
	return nil
}

// checkWithoutStart rejects a rule that depends on its start.
func (p *ruleParts) checkWithoutStart() error {
	interval := p.values["INTERVAL"]
	switch {
	case p.has("COUNT"):
		return errors.New("COUNT requires starts")
	case interval != "" && interval != "1":
		return errors.New("INTERVAL above 1 requires starts")
	case !p.hasDay() && p.frequency() != "DAILY":
		return fmt.Errorf("FREQ=%s without a day part (BYDAY, BYMONTHDAY…) requires starts, which determines the day", p.frequency())
	}
	return nil
}
