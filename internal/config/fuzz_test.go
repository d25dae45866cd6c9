package config

import (
	"strings"
	"testing"

	"yewpass/internal/timeline"
)

// FuzzParse: a settings file is refused in one line, or every number in it is one
// that a deployment can have.
func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	for _, x := range [][2]string{{"20.0", "nan"}, {"5.0", "inf"}, {"48", "9223372036854775807"}, {"800", "-1"}, {"[settings]", "[[settings]]"}, {"nodes = 2", "nodes = 1e400"}} {
		f.Add([]byte(strings.Replace(good, x[0], x[1], 1)))
	}
	f.Add([]byte(strings.Repeat("a = [", 5000)))
	f.Add([]byte("\xff\xfe"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse(data)
		if err != nil {
			if strings.Contains(strings.TrimSpace(err.Error()), "\n") {
				t.Fatalf("more than a line: %q", err)
			}
			return
		}
		s := c.Settings
		if l := s.Workers.Lease.Duration(); l <= 0 && s.Workers.Lease > 1e-9 || l > timeline.Forever || !(s.State.RPS > 0 && s.State.RPS <= most) || s.State.TxnOps < 1 || s.Limits.MaxConnections < 1 {
			t.Fatalf("%+v", s)
		}
		for _, x := range s.Teams {
			if lim := timeline.Capacity(x.CPUsMax, x.GPUsMax, 0); lim.CPU < 0 || x.CPUsMax >= 0.001 && lim.CPU == 0 || !(x.GPUsMax >= 0) {
				t.Fatalf("%+v", x)
			}
		}
	})
}
