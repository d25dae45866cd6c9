package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["nocapacity"] = playNoCapacity }

// restrictedJob is the body of a user's submission of an array with a restriction, which is a field.
func restrictedJob(id, restriction string) string {
	return fmt.Sprintf(`{"id":%q,"jobclass":"outage-trace","owner":"grid-analytics","shape":"array","urgency":"urgent","shards":5,"vcpus":1.0,"gpus":0.0,"memGb":1.3,`+
		`"bundle":"img-03","sizeGb":0.9,%s,"samePlace":false,"apart":false,"reclaimable":true,"runtimeS":18.0,"snapshotEveryS":0.0,"snapshotS":0.0,"dueS":null}`,
		id, restriction)
}

// playNoCapacity submits a job that is bound to the zone varna and then one that needs a wide-box.
// With the trouble, the cloud has no machine left in varna; in the other zones it has, of both types.
func playNoCapacity(rec *record, trouble bool) (outcome, string) {
	halls := []string{"sofia-north", "sofia-south", "varna"}
	w, why := begin(rec, []flavor{smallBox(halls...), wideBox(halls[:2]...)}, 12, settings{teams: oneTeam, zones: halls})
	if w == nil {
		return couldNotRun, why
	}
	if trouble {
		w.cloud.setFull("varna")
		rec.add("the cloud has no capacity in varna from now on")
	}
	const first, second = "wk-000411", "wk-000412"
	for _, id := range []string{first, second} {
		w.jobs[id] = description{bundle: "img-03", sizeGB: 0.9, run: 18 * time.Second}
	}
	lead := w.leader()
	if status, _ := w.call(lead, "POST", "/v2/runs", restrictedJob(first, `"flavors":null,"hall":"varna"`)); status != 201 {
		return couldNotRun, "the first job was not accepted"
	}
	if status, _ := w.call(lead, "POST", "/v2/runs", restrictedJob(second, `"flavors":["wide-box"],"hall":null`)); status != 201 {
		return couldNotRun, "the second job was not accepted"
	}
	submitted, last := time.Now(), ""
	done := wait(100*time.Second, func() bool {
		time.Sleep(4900 * time.Millisecond)
		w.call(lead, "GET", "/v2/runs/"+first, "")
		if status, answer := w.call(lead, "GET", "/v2/runs/"+second, ""); status == 200 {
			last = strings.TrimSpace(answer)
		}
		return strings.Contains(last, `"status":"done"`)
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	text := fmt.Sprintf("%.0f s after its submission the job for a wide-box is %s, with %d start orders; requests for varna that the cloud refused: %d, wide-boxes that it was asked for: %d",
		time.Since(submitted).Seconds(), last, w.starts[second], w.cloud.refused, w.cloud.asked["wide-box"])
	if !done && w.starts[second] == 0 {
		return ruleBroken, "an accepted job does not run: " + text
	}
	return held, text
}
