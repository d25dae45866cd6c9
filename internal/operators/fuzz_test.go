package operators

import (
	"math"
	"os"
	"strings"
	"testing"

	"yewpass/internal/policy"
)

// FuzzParse checks that any input is rejected with an error of one line, or that its expressions
// yield numbers in range.
func FuzzParse(f *testing.F) {
	if data, err := os.ReadFile("../../deploy/operators.toml"); err == nil {
		f.Add(data)
		f.Add([]byte(strings.ReplaceAll(string(data), "#:", "")))
	} else {
		f.Fatal(err)
	}
	f.Add([]byte("[policy]\nmargin = \"1.0/(backlog_s-backlog_s)\"\nwarm = \"(late_s-late_s)/(late_s-late_s)\""))
	f.Add([]byte("[policy]\nrefuse = \"class[0:9] == owner\""))
	f.Add([]byte("[calendars.x]\ncountry = \"XX\"\nicalendar = [\"/dev/null/x\"]"))
	f.Add([]byte("[policy]\nmargin = \"" + strings.Repeat("(", 3000) + "\""))
	f.Add([]byte("\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if strings.Contains(string(data), "icalendar") && strings.Contains(string(data), "/") {
			return // do not read arbitrary files
		}
		x, err := Parse(data, t.TempDir())
		if err != nil {
			if strings.Contains(strings.TrimSpace(err.Error()), "\n") {
				t.Fatalf("error has more than one line: %q", err)
			}
			return
		}
		for _, e := range []policy.Env{{}, {Class: "c", HasDeadline: true, LateSeconds: 1e18, BacklogSeconds: math.MaxFloat64, ReportSeconds: 3, LeaseSeconds: 20}} {
			for _, v := range []float64{x.Policy.Margin(e), x.Policy.Warm(e), x.Policy.IdleReplyDelay(e), x.Policy.SilentRelease(e)} {
				if !(v >= 0 && v <= 1e8) {
					t.Fatalf("policy value %g, want 0 to 1e8", v)
				}
			}
			x.Policy.Refuse(e)
		}
	})
}
