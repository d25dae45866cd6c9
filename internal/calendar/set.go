package calendar

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Set holds the calendars defined by operators, and caches the time zones and rules of
// schedules. It is not safe for concurrent use.
type Set struct {
	calendars map[string]*Calendar
	zones     map[string]*time.Location
	rules     map[ruleKey]*Rule
}

type ruleKey struct {
	text         string
	starts, ends time.Time
}

const maxCachedRules = 4096

// NewSet returns a set of calendars, given by name. It keeps a reference to the map.
func NewSet(calendars map[string]*Calendar) *Set {
	return &Set{
		calendars: calendars,
		zones:     map[string]*time.Location{},
		rules:     map[ruleKey]*Rule{},
	}
}

// Names returns the names of the calendars, sorted.
func (s *Set) Names() []string { return slices.Sorted(maps.Keys(s.calendars)) }

// zone returns the time zone with an IANA name. The error is a *FieldError.
func (s *Set) zone(name string) (*time.Location, error) {
	if zone := s.zones[name]; zone != nil {
		return zone, nil
	}
	switch name {
	case "":
		return nil, fieldErrorf("zone", "missing")
	case "Local": // accepted by time.LoadLocation, but differs between machines
		return nil, fieldErrorf("zone", "Local is not a time zone; use an IANA name such as Europe/Sofia")
	}
	zone, err := time.LoadLocation(name)
	if err != nil {
		return nil, fieldErrorf("zone", "unknown zone %q; use an IANA name such as Europe/Sofia", name)
	}
	s.zones[name] = zone
	return zone, nil
}

// rule returns the parsed rule. Schedules with equal rules share one *Rule, unless
// the cache was cleared in between. The error is a *FieldError.
func (s *Set) rule(text string, starts, ends time.Time) (*Rule, error) {
	key := ruleKey{text, starts, ends}
	if rule := s.rules[key]; rule != nil {
		return rule, nil
	}
	rule, err := ParseRule(text, starts, ends)
	if err != nil {
		return nil, fieldErrorf("rule", "%v", err)
	}
	if len(s.rules) >= maxCachedRules {
		clear(s.rules)
	}
	s.rules[key] = rule
	return rule, nil
}

// calendar returns the named calendar, or nil for the empty name. The error is a *FieldError.
func (s *Set) calendar(name string) (*Calendar, error) {
	if name == "" {
		return nil, nil
	}
	if calendar := s.calendars[name]; calendar != nil {
		return calendar, nil
	}
	known := "no calendars are defined, see [calendars] in the operators' file"
	if names := s.Names(); len(names) > 0 {
		known = "defined calendars are " + strings.Join(names, ", ")
	}
	return nil, fieldErrorf("calendar", "unknown calendar %q; %s", name, known)
}
