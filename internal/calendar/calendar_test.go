package calendar

import (
	"testing"
	"time"
)

func TestNewErrors(t *testing.T) {
	all := []time.Weekday{0, 1, 2, 3, 4, 5, 6}
	for _, test := range []struct {
		definition Definition
		want       string
	}{
		{Definition{Country: "XX"}, `country: unknown country "XX"; known are BG, DE, GB, GR, RO, US`},
		{Definition{Weekend: all}, "weekend: leaves no business day"},
	} {
		if _, err := New(test.definition); err == nil || err.Error() != test.want {
			t.Errorf("got %v, want %s", err, test.want)
		}
	}
}
