package policy

import (
	"slices"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	p, err := Parse([]byte(`refuse = "dated and late_s > 10 and class != 'x'"` + "\n" + `idle_return_s = "backlog_s > 1 ? 30 : -5"`))
	if err != nil {
		t.Fatal(err)
	}
	if !p.Refuse(Env{HasDeadline: true, LateSeconds: 11}) {
		t.Error("Refuse returned false for a late job")
	}
	if p.Refuse(Env{HasDeadline: true, LateSeconds: 11, Class: "x"}) || p.Refuse(Env{HasDeadline: true}) {
		t.Error("Refuse returned true for an exempt job or for a job that is not late")
	}
	if p.IdleReturn(Env{BacklogSeconds: 2}) != 30 || p.IdleReturn(Env{}) != 0 {
		t.Error("IdleReturn did not return 30 with a backlog and 0 without one")
	}
	if p.Margin(Env{}) <= 0 {
		t.Error("Margin is not the positive default")
	}
}

// TestInvalidExpressionIsNamed checks that an error is one line that names the expression.
func TestInvalidExpressionIsNamed(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{`refuse = "late_s + 1"`, "refuse"},
		{`margin = "true"`, "margin"},
		{`margin = "no_such"`, "margin"},
		{`nonsense = "1.0"`, "nonsense"},
		{`margin = 3`, ""},
		{`hold_busy_s = "1.0 +"`, "hold_busy_s"},
	} {
		t.Run(test.text, func(t *testing.T) {
			_, err := Parse([]byte(test.text))
			if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want one line that names %s", err, test.want)
			}
		})
	}
}

// TestSettingsAreSorted checks that settings are in the order of their names.
func TestSettingsAreSorted(t *testing.T) {
	if !slices.IsSorted(settingNames[:]) {
		t.Error(settingNames)
	}
}
