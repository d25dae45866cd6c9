package config

import (
	"strings"
	"testing"

	"yewpass/internal/timeline"
)

// FuzzParse checks that any input is rejected with an error of one line or yields numbers in range.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	for _, x := range [][2]string{{"20.0", "nan"}, {"5.0", "inf"}, {"48", "9223372036854775807"}, {"800", "-1"}, {"[settings]", "[[settings]]"}, {"nodes = 2", "nodes = 1e400"}} {
		f.Add([]byte(strings.Replace(validSettings, x[0], x[1], 1)))
	}
	f.Add([]byte(strings.Repeat("a = [", 5000)))
	f.Add([]byte("\xff\xfe"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse(data)
		if err != nil {
			if strings.Contains(strings.TrimSpace(err.Error()), "\n") {
				t.Fatalf("error has more than one line: %q", err)
			}
			return
		}
		s := c.Settings
		lease := s.Workers.Lease.Duration()
		if lease <= 0 && s.Workers.Lease > 1e-9 || lease > timeline.Forever {
			t.Fatalf("lease %s out of range: %+v", lease, s)
		}
		if !(s.State.RPS > 0 && s.State.RPS <= maxNumber) || s.State.TxnOps < 1 || s.Limits.MaxConnections < 1 {
			t.Fatalf("limits out of range: %+v", s)
		}
		for _, team := range s.Teams {
			limit := timeline.Capacity(team.CPUsMax, team.GPUsMax, 0)
			if limit.CPU < 0 || team.CPUsMax >= 0.001 && limit.CPU == 0 || !(team.GPUsMax >= 0) {
				t.Fatalf("team limits out of range: %+v", team)
			}
		}
	})
}
