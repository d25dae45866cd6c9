package policy

import (
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	p, err := Parse([]byte(`refuse = "dated and late_s > 10 and class != 'x'"` + "\n" + `idle_return_s = "backlog_s > 1 ? 30 : -5"`))
	if err != nil {
		t.Fatal(err)
	}
	if !p.Refuse(Env{Dated: true, LateS: 11}) || p.Refuse(Env{Dated: true, LateS: 11, Class: "x"}) || p.Refuse(Env{Dated: true}) {
		t.Error("refuse")
	}
	if p.IdleReturn(Env{BacklogS: 2}) != 30 || p.IdleReturn(Env{}) != 0 {
		t.Error("idle_return_s")
	}
	if p.Margin(Env{}) <= 0 {
		t.Error("a default is lost")
	}
	for text, want := range map[string]string{
		`refuse = "late_s + 1"`: "refuse", `margin = "true"`: "margin", `margin = "no_such"`: "margin", `nonsense = "1.0"`: "nonsense",
		`margin = 3`: "", `hold_busy_s = "1.0 +"`: "hold_busy_s",
	} {
		_, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want one line that names %s", text, err, want)
		}
	}
}
