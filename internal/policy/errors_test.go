package policy

import (
	"strings"
	"testing"
)

// TestNewErrors checks the error messages for invalid expressions.
func TestNewErrors(t *testing.T) {
	for _, test := range []struct{ name, expression, want string }{
		{"nonsense", "1.0", "nonsense: no such setting"},
		{"margin", "true", "margin: expected float64, but got bool"},
		{"refuse", "1.0", "refuse: expected bool, but got float64"},
		{"margin", "no_such", "margin: unknown name no_such (1:1)"},
		{"hold_busy_s", "1.0 +", "hold_busy_s: unexpected token EOF (1:5)"},
		{"refuse", "class[0:1][0] == ''", ""}, // the rest of the message is the library's
	} {
		t.Run(test.name+" = "+test.expression, func(t *testing.T) {
			_, err := New(map[string]string{test.name: test.expression})
			if test.want == "" {
				if err == nil || !strings.HasPrefix(err.Error(), test.name+": ") || strings.Contains(err.Error(), "\n") {
					t.Errorf("error %v, want one line that begins with %s", err, test.name)
				}
				return
			}
			if err == nil || err.Error() != test.want {
				t.Errorf("got  %v\nwant %s", err, test.want)
			}
		})
	}
}

// TestSettings checks that each method evaluates the setting of its name.
func TestSettings(t *testing.T) {
	for name, value := range map[string]func(*Policy, Env) float64{
		"margin":             (*Policy).Margin,
		"warm":               (*Policy).Warm,
		"rent_backlog_s":     (*Policy).RentBacklog,
		"ordinary_backlog_s": (*Policy).OrdinaryBacklog,
		"idle_return_s":      (*Policy).IdleReturn,
		"silent_release_s":   (*Policy).SilentRelease,
		"takeover_release_s": (*Policy).TakeoverRelease,
		"zone_keep_s":        (*Policy).ZoneKeep,
		"begin_within_s":     (*Policy).BeginWithin,
		"hold_idle_s":        (*Policy).IdleReplyDelay,
		"hold_busy_s":        (*Policy).BusyReplyDelay,
		"report_bytes_s":     (*Policy).ReportBytes,
	} {
		t.Run(name, func(t *testing.T) {
			p, err := New(map[string]string{name: "report_s + 4321.0"})
			if err != nil {
				t.Fatal(err)
			}
			if got := value(p, Env{ReportSeconds: 3}); got != 4324 {
				t.Errorf("got %g, want 4324", got)
			}
		})
	}
}

// TestValueBounds checks that results are clamped to [0, maxValue] and that NaN becomes 0.
func TestValueBounds(t *testing.T) {
	for expression, want := range map[string]float64{
		"-1.0":                      0,
		"1e9":                       1e8,
		"1.0 / backlog_s":           1e8,
		"backlog_s / backlog_s":     0,
		"-1.0 / backlog_s":          0,
		`class == "a" ? 1.0 : 2.0`:  2,
		"late_s > 0.0 ? 5.0 : 0.25": 0.25,
	} {
		p, err := New(map[string]string{"margin": expression})
		if err != nil {
			t.Fatal(expression, err)
		}
		if got := p.Margin(Env{}); got != want {
			t.Errorf("%s: got %g, want %g", expression, got, want)
		}
	}
}

func TestNeverRefuses(t *testing.T) {
	for expression, want := range map[string]bool{" false ": true, "false and dated": false, "dated": false} {
		p, err := New(map[string]string{"refuse": expression})
		if err != nil {
			t.Fatal(expression, err)
		}
		if got := p.NeverRefuses(); got != want {
			t.Errorf("%q: got %v, want %v", expression, got, want)
		}
	}
}
