package calendar

import (
	"testing"
	"time"
)

func mustLocation(t *testing.T, name string) *time.Location {
	t.Helper()
	zone, err := time.LoadLocation(name)
	if err != nil {
		t.Fatal(err)
	}
	return zone
}

func TestInstant(t *testing.T) {
	for _, test := range []struct {
		name, zone, wall, want string
		exists                 bool
	}{
		{"ordinary time", "Europe/Sofia", "2027-02-02T03:30:00Z", "2027-02-02T01:30:00Z", true},
		{"skipped hour", "Europe/Sofia", "2027-03-28T03:30:00Z", "2027-03-28T01:00:00Z", false},
		{"repeated hour", "Europe/Sofia", "2027-10-31T03:30:00Z", "2027-10-31T00:30:00Z", true},
		{"after the repeated hour", "Europe/Sofia", "2027-10-31T04:00:00Z", "2027-10-31T02:00:00Z", true},
		{"west of UTC", "America/New_York", "2027-03-14T02:30:00Z", "2027-03-14T07:00:00Z", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, exists := Instant(mustParse(t, test.wall), mustLocation(t, test.zone))
			if !got.Equal(mustParse(t, test.want)) || exists != test.exists {
				t.Errorf("got %s, %v; want %s, %v", got, exists, test.want, test.exists)
			}
		})
	}
}

func TestFirstAfter(t *testing.T) {
	sofia := mustLocation(t, "Europe/Sofia")
	const halfPastThree = 3*time.Hour + 30*time.Minute
	for _, test := range []struct{ name, after, want string }{
		{"same day", "2027-02-02T01:29:59Z", "2027-02-02T01:30:00Z"},
		{"next day", "2027-02-02T01:30:00Z", "2027-02-03T01:30:00Z"},
		{"skipped hour", "2027-03-28T00:00:00Z", "2027-03-28T01:00:00Z"},
		{"first pass of the repeated hour", "2027-10-31T00:00:00Z", "2027-10-31T00:30:00Z"},
		{"second pass of the repeated hour", "2027-10-31T00:30:00Z", "2027-10-31T01:30:00Z"},
		{"after both passes", "2027-10-31T01:30:00Z", "2027-11-01T01:30:00Z"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := FirstAfter(mustParse(t, test.after), halfPastThree, sofia)
			if !got.Equal(mustParse(t, test.want)) {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

func mustParse(t *testing.T, text string) time.Time {
	t.Helper()
	parsed, err := time.Parse(time.RFC3339, text)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}
