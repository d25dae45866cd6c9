package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["many"] = playMany }

// playMany submits one array of 480 small tasks, or with the trouble four of them at once. All of
// them together fit onto one machine of the type that the protocol has as its example.
func playMany(rec *record, trouble bool) (outcome, string) {
	g8 := flavor{Name: "g8", VCPUs: 96, GPUs: 8, MemGB: 768, LocalGB: 200, FetchGBPerS: 1, Rate: 12, LowPrice: 4.5, ReadyS: 2, Halls: []string{"sofia-north", "sofia-south"}}
	w, why := begin(rec, []flavor{g8}, 6, settings{teams: oneTeam, zones: []string{"sofia-north", "sofia-south"}})
	if w == nil {
		return couldNotRun, why
	}
	ids := []string{"wk-000412"}
	if trouble {
		ids = append(ids, "wk-000413", "wk-000414", "wk-000415")
	}
	lead := w.leader()
	for _, id := range ids {
		w.jobs[id] = description{bundle: "img-07", sizeGB: 0.5, run: 20 * time.Second}
	}
	for _, id := range ids {
		if status, _ := w.call(lead, "POST", "/v2/runs", submission(id, 480, 0.04, 0.1)); status != 201 {
			return couldNotRun, "a job was not accepted"
		}
	}
	states := map[string]string{}
	wait(98*time.Second, func() bool {
		time.Sleep(4900 * time.Millisecond)
		done := 0
		for _, id := range ids {
			if status, answer := w.call(lead, "GET", "/v2/runs/"+id, ""); status == 200 {
				if states[id] = strings.TrimSpace(answer); strings.Contains(answer, `"done","done"`) {
					done++
				}
			}
		}
		return done == len(ids)
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	text := fmt.Sprintf("%d of %d tasks completed, each of which runs for 20 s; %d times a task got onto a machine; %d times a machine had more tasks than a report can list; at the end %v",
		len(w.doneSet), 480*len(ids), w.allEntries(), w.tooLong, states)
	if len(w.doneSet) == 0 && w.tooLong > 0 {
		return ruleBroken, "accepted jobs do not run: " + text
	}
	return held, text
}

// allEntries counts how often a task got onto a machine. The caller holds the lock.
func (w *world) allEntries() (n int) {
	for _, m := range w.entries {
		n += m
	}
	return n
}
