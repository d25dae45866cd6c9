// Package operators reads and validates the operators' file, which has one section for each
// subsystem. A subsystem without a section is disabled or uses its defaults.
package operators

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"yewpass/internal/calendar"
	"yewpass/internal/policy"
	"yewpass/internal/tomltext"
	"yewpass/internal/zones"
)

// File is a validated operators' file.
type File struct {
	Policy    *policy.Policy
	Calendars *calendar.Set
	Regions   *zones.Regions
}

// sections is the decoded file. The names of this type and of calendarTOML appear in error
// messages about values of the wrong type.
type sections struct {
	Policy    map[string]any          `toml:"policy"`
	Calendars map[string]calendarTOML `toml:"calendars"`
	Regions   map[string][]string     `toml:"regions"`
}

// calendarTOML is the decoded table [calendars.NAME].
type calendarTOML struct {
	Country   string           `toml:"country"`
	Holidays  []toml.LocalDate `toml:"holidays"`
	Worked    []toml.LocalDate `toml:"worked"`
	Weekend   *[]string        `toml:"weekend"`
	ICalendar []string         `toml:"icalendar"`
}

// Load reads and validates the file at path. An empty path means an empty file. The error is
// one line that names the file, the field and the reason.
func Load(path string) (*File, error) {
	if path == "" {
		return Parse(nil, "")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	file, err := Parse(data, filepath.Dir(path))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return file, nil
}

// Parse decodes and validates the text of a file. Relative paths in it are resolved against
// the directory dir.
func Parse(data []byte, dir string) (*File, error) {
	var s sections
	if err := tomltext.Decode(data, &s, true); err != nil {
		return nil, err
	}
	checkedPolicy, err := newPolicy(s.Policy)
	if err != nil {
		return nil, fmt.Errorf("policy.%w", err)
	}
	calendars, err := newCalendars(s.Calendars, dir)
	if err != nil {
		return nil, fmt.Errorf("calendars.%w", err)
	}
	regions, err := zones.NewRegions(s.Regions)
	if err != nil {
		return nil, fmt.Errorf("regions.%w", err)
	}
	return &File{Policy: checkedPolicy, Calendars: calendars, Regions: regions}, nil
}

// newPolicy compiles the section [policy], whose values must be strings.
func newPolicy(section map[string]any) (*policy.Policy, error) {
	expressions := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(section)) {
		expression, ok := section[name].(string)
		if !ok {
			return nil, fmt.Errorf("%s: expression must be a string in quotes", name)
		}
		expressions[name] = expression
	}
	return policy.New(expressions)
}

func newCalendars(section map[string]calendarTOML, dir string) (*calendar.Set, error) {
	calendars := map[string]*calendar.Calendar{}
	for _, name := range slices.Sorted(maps.Keys(section)) {
		table := section[name]
		checked, err := table.calendar(dir)
		if err != nil {
			return nil, fmt.Errorf("%s.%w", name, err)
		}
		calendars[name] = checked
	}
	return calendar.NewSet(calendars), nil
}

func (c *calendarTOML) calendar(dir string) (*calendar.Calendar, error) {
	weekend, err := c.weekend()
	if err != nil {
		return nil, err
	}
	events, err := c.events(dir)
	if err != nil {
		return nil, err
	}
	return calendar.New(calendar.Definition{
		Country:      c.Country,
		Holidays:     dates(c.Holidays),
		BusinessDays: dates(c.Worked),
		Weekend:      weekend,
		Events:       events,
	})
}

// weekend returns the days of the weekend, empty if there is none, or nil for the default.
func (c *calendarTOML) weekend() ([]time.Weekday, error) {
	if c.Weekend == nil {
		return nil, nil
	}
	weekend := []time.Weekday{}
	for _, name := range *c.Weekend {
		weekday, ok := parseWeekday(name)
		if !ok {
			return nil, &calendar.FieldError{Field: "weekend", Reason: fmt.Sprintf("%q is not a day of the week such as saturday", name)}
		}
		weekend = append(weekend, weekday)
	}
	return weekend, nil
}

// parseWeekday parses the English name of a weekday, ignoring case.
func parseWeekday(name string) (weekday time.Weekday, ok bool) {
	for weekday = time.Sunday; weekday <= time.Saturday; weekday++ {
		if strings.EqualFold(name, weekday.String()) {
			return weekday, true
		}
	}
	return 0, false
}

// events reads the events of all iCalendar files of the calendar.
func (c *calendarTOML) events(dir string) ([]calendar.Event, error) {
	var events []calendar.Event
	for _, path := range c.ICalendar {
		if !filepath.IsAbs(path) {
			path = filepath.Join(dir, path)
		}
		fileEvents, err := readICalendar(path)
		if err != nil {
			return nil, &calendar.FieldError{Field: "icalendar", Reason: err.Error()}
		}
		events = append(events, fileEvents...)
	}
	return events, nil
}

func readICalendar(path string) ([]calendar.Event, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err // already names the path
	}
	events, err := calendar.ParseICalendar(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return events, nil
}

func dates(localDates []toml.LocalDate) []time.Time {
	var dates []time.Time
	for _, date := range localDates {
		dates = append(dates, date.AsTime(time.UTC))
	}
	return dates
}
