package schedule

import (
	"strings"
	"testing"
	"time"

	"yewpass/internal/calendar"
)

// validFile is a valid schedule with every top-level field except ends.
const validFile = `
name = "tariff-recalculation"
zone = "Europe/Sofia"
rule = "FREQ=DAILY"
at = ["03:30", "04:30"]
calendar = "bg"
on_holiday = "run"
starts = 2027-01-01
due_at = "06:00"
overlap = "skip"
catch_up = "latest"
catch_up_within_s = 7200.0
[job]
jobclass = "tariff"
owner = "t"
shape = "array"
urgency = "urgent"
shards = 16
vcpus = 1.0
gpus = 0.0
memGb = 2.0
bundle = "tariff-07"
sizeGb = 1.5
samePlace = false
apart = false
reclaimable = true
runtimeS = 60.0
snapshotEveryS = 0.0
snapshotS = 0.0
`

// calendarSet returns the calendars that validFile refers to.
func calendarSet(tb testing.TB) *calendar.Set {
	tb.Helper()
	bulgaria, err := calendar.New(calendar.Definition{Country: "BG"})
	if err != nil {
		tb.Fatal(err)
	}
	return calendar.NewSet(map[string]*calendar.Calendar{"bg": bulgaria})
}

// compile compiles validFile after replacing text in it, given as pairs of old and new text.
func compile(tb testing.TB, replacements ...string) (*Definition, error) {
	tb.Helper()
	file, err := ParseTOML([]byte(strings.NewReplacer(replacements...).Replace(validFile)))
	if err != nil {
		return nil, err
	}
	return file.Compile(calendarSet(tb))
}

func mustCompile(tb testing.TB, replacements ...string) *Definition {
	tb.Helper()
	def, err := compile(tb, replacements...)
	if err != nil {
		tb.Fatal(err)
	}
	return def
}

// at parses a time in RFC 3339 format.
func at(s string) time.Time {
	t, err := time.Parse(time.RFC3339, s)
	if err != nil {
		panic(err)
	}
	return t
}
