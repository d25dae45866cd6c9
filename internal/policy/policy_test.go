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
	if !p.Refuse(Env{Dated: true, LateS: 11}) {
		t.Error("a late job is not refused")
	}
	if p.Refuse(Env{Dated: true, LateS: 11, Class: "x"}) || p.Refuse(Env{Dated: true}) {
		t.Error("a job that is exempt, or not late, is refused")
	}
	if p.IdleReturn(Env{BacklogS: 2}) != 30 || p.IdleReturn(Env{}) != 0 {
		t.Error("idle_return_s")
	}
	if p.Margin(Env{}) <= 0 {
		t.Error("a default is lost")
	}
}

// TestInvalidExpressionIsNamed checks that the error is one line that names the
// invalid expression.
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
				t.Errorf("%v, want one line that names %s", err, test.want)
			}
		})
	}
}

// TestSettingsAreSorted checks the order in which errors are looked for.
func TestSettingsAreSorted(t *testing.T) {
	if !slices.IsSorted(settingNames[:]) {
		t.Error(settingNames)
	}
}
