package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["crowd"] = playCrowd }

const voltarisWait = `[[settings.objectives]]
kind = "wait"
class = "outage-trace"
within_s = 1.0
share = 0.88
`

// voltarisJob is the body of a submission of tasks of 1 CPU.
func voltarisJob(id, class, shape, urgency string, shards int, memGB float64, hall string, runtime float64) string {
	return fmt.Sprintf(`{"id":%q,"jobclass":%q,"owner":"grid-analytics","shape":%q,"urgency":%q,"shards":%d,"vcpus":1.0,"gpus":0.0,"memGb":%g,"bundle":"img-01","sizeGb":0.5,`+
		`"flavors":null,"hall":%s,"samePlace":false,"apart":false,"reclaimable":true,"runtimeS":%g,"snapshotEveryS":0.0,"snapshotS":0.0,"dueS":null}`,
		id, class, shape, urgency, shards, memGB, hall, runtime)
}

// playCrowd lets a job wait beside room that is kept for urgent jobs, where it gets its first task after
// 80 s. With the trouble four times as many jobs wait for a zone that is full: 68 instead of 17.
func playCrowd(rec *record, trouble bool) (outcome, string) {
	halls := []string{"sofia-north", "sofia-south", "varna"}
	w, why := begin(rec, []flavor{wideBox("sofia-south", "varna")}, 1, settings{teams: oneTeam, objectives: voltarisWait, zones: halls})
	if w == nil {
		return couldNotRun, why
	}
	w.cloud.setFull("varna")
	rec.add("the cloud has one wide-box in sofia-south and none in varna")
	lead := w.leader()
	w.jobs["wk-000400"] = description{bundle: "img-01", sizeGB: 0.5}
	if s, _ := w.call(lead, "POST", "/v2/runs", voltarisJob("wk-000400", "dispatch", "service", "standard", 24, 1.1, `"sofia-south"`, 0)); s != 201 {
		return couldNotRun, "the service was not accepted"
	}
	if !wait(15*time.Second, func() bool { return w.tasksOn("wk-000400") == 24 }) {
		return couldNotRun, "the service does not start"
	}
	// Urgent jobs come three times a minute, each of six tasks that run for 8 s.
	alerts, stop := 0, make(chan struct{})
	defer close(stop)
	alert := func() {
		alerts++
		id := fmt.Sprintf("wk-%06d", 500+alerts)
		w.mu.Lock()
		w.jobs[id] = description{bundle: "img-01", sizeGB: 0.5, run: 8 * time.Second}
		w.mu.Unlock()
		w.call(lead, "POST", "/v2/runs", voltarisJob(id, "outage-trace", "array", "urgent", 6, 1.3, "null", 8))
	}
	alert()
	go func() {
		for {
			select {
			case <-time.After(20 * time.Second):
				alert()
			case <-stop:
				return
			}
		}
	}()
	time.Sleep(2 * time.Second) // from the next look on, room is kept for them
	crowd := 17
	if trouble {
		crowd = 68
	}
	for n := range crowd {
		id := fmt.Sprintf("wk-%06d", 1000+n)
		w.mu.Lock()
		w.jobs[id] = description{bundle: "img-01", sizeGB: 0.5, run: 30 * time.Second}
		w.mu.Unlock()
		if s, _ := w.call(lead, "POST", "/v2/runs", voltarisJob(id, "meterread-sweep", "array", "standard", 1, 1.1, `"varna"`, 30)); s != 201 {
			return couldNotRun, "a job for varna was not accepted"
		}
	}
	const waiter = "wk-000412"
	w.jobs[waiter] = description{bundle: "img-01", sizeGB: 0.5, run: 30 * time.Second}
	if s, _ := w.call(lead, "POST", "/v2/runs", voltarisJob(waiter, "firmware-audit", "array", "idle", 2, 3, `"sofia-south"`, 30)); s != 201 {
		return couldNotRun, "the job was not accepted"
	}
	var waiting time.Time
	longest, least, started := time.Duration(0), 99.0, time.Now()
	for time.Since(started) < 97*time.Second {
		room := w.cloud.room("wide-box")
		if w.tasksOn(waiter) > 0 || w.startsOf(waiter) > 0 || room < 1 {
			waiting = time.Time{}
		} else {
			if waiting.IsZero() {
				waiting, least = time.Now(), 99
			}
			least, longest = min(least, room), max(longest, time.Since(waiting))
		}
		time.Sleep(250 * time.Millisecond)
	}
	_, answer := w.call(lead, "GET", "/v2/runs/"+waiter, "")
	text := fmt.Sprintf("with %d jobs that wait for varna, the job in sofia-south waited for %.0f s without a task on any machine, while the wide-box had room for %.0f CPUs at the least; at the end it is %s",
		crowd, longest.Seconds(), least, strings.TrimSpace(answer))
	if longest >= 90*time.Second {
		return ruleBroken, text
	}
	return held, text
}

func (w *world) startsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[id]
}
