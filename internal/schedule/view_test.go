package schedule

import (
	"encoding/json"
	"testing"
	"time"
)

// TestJSONViews checks the JSON form of an occurrence and of a history.
func TestJSONViews(t *testing.T) {
	def := mustCompile(t)
	occurrence, _ := def.Timing.Next(at("2027-02-02T03:00:00Z"))
	record := &Record{Number: 7}
	record.AddEntry(Entry{Job: "wk-1", Planned: at("2027-02-02T01:30:00Z"), State: StateDone, Late: true})
	record.AddEntry(Entry{Job: "wk-2", State: StateMissed, Reason: "why"})
	for _, test := range []struct {
		name, want string
		value      any
	}{
		{"occurrence", `{"id":"wk-00000007202702020330","start":"2027-02-02T03:30:00+02:00","due":"2027-02-02T06:00:00+02:00"}`, def.Upcoming(7, occurrence)},
		{"history", `{"history":[{"id":"wk-2","planned":null,"due":null,"made":null,"started":null,"done":null,"state":"missed","late":false,"reason":"why"},` +
			`{"id":"wk-1","planned":"2027-02-02T03:30:00+02:00","due":null,"made":null,"started":null,"done":null,"state":"done","late":true}]}`, record.HistoryView(def.Timing.Zone())},
		{"empty history", `{"history":[]}`, (&Record{}).HistoryView(time.UTC)},
	} {
		t.Run(test.name, func(t *testing.T) {
			data, err := json.Marshal(test.value)
			if err != nil || string(data) != test.want {
				t.Errorf("got  %s (%v)\nwant %s", data, err, test.want)
			}
		})
	}
}
