package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["kept"] = playKept }

const furrowlineTeams = `[[settings.teams]]
name = "tenant-ops"
cpus = 56.0
cpus_max = 144.0

[[settings.teams]]
name = "fleet-data"
cpus = 72.0
cpus_max = 112.0

[[settings.teams]]
name = "dealer-care"
cpus = 112.0
cpus_max = 168.0

[[settings.teams]]
name = "agronomy-coop"
cpus = 0.0
cpus_max = 0.0
`

const furrowlineWait = `[[settings.objectives]]
kind = "wait"
class = "fault-alert"
within_s = 6.0
share = 0.82
`

// furrowlineJob is the body of a submission of tasks of 1 CPU.
func furrowlineJob(id, class, owner, shape, urgency string, shards int, memGB float64, flavors string, reclaimable bool, runtime float64) string {
	return fmt.Sprintf(`{"id":%q,"jobclass":%q,"owner":%q,"shape":%q,"urgency":%q,"shards":%d,"vcpus":1.0,"gpus":0.0,"memGb":%g,"bundle":"img-01","sizeGb":0.5,`+
		`"flavors":%s,"hall":null,"samePlace":false,"apart":false,"reclaimable":%v,"runtimeS":%g,"snapshotEveryS":0.0,"snapshotS":0.0,"dueS":null}`,
		id, class, owner, shape, urgency, shards, memGB, flavors, reclaimable, runtime)
}

// playKept runs a job of the guest team on a spot machine, beside a big-node with room that is kept for
// urgent jobs. With the trouble the spot machine is taken, and the cloud has no other. The job then
// waits beside the room, as the team has no guarantee.
func playKept(rec *record, trouble bool) (outcome, string) {
	useFurrowline()
	halls := []string{"hartford", "worcester"}
	tiny := flavor{Name: "tiny-node", VCPUs: 4, MemGB: 16, LocalGB: 200, FetchGBPerS: 0.5, Rate: 0.27, LowPrice: 0.09, ReadyS: 2, Halls: halls[:1]}
	big := flavor{Name: "big-node", VCPUs: 32, MemGB: 256, LocalGB: 200, FetchGBPerS: 0.5, Rate: 2.4, LowPrice: 0.86, ReadyS: 2, Halls: halls[:1]}
	w, why := begin(rec, []flavor{tiny, big}, 2, settings{teams: furrowlineTeams, objectives: furrowlineWait, zones: halls, sites: []string{"hartford", "worcester", "hartford"}})
	if w == nil {
		return couldNotRun, why
	}
	w.cloud.limit(map[string]int{"tiny-node": 1, "big-node": 1})
	lead := w.leader()
	const guest, service = "wk-000412", "wk-000400"
	w.jobs[guest] = description{bundle: "img-01", sizeGB: 0.5, run: 150 * time.Second}
	w.jobs[service] = description{bundle: "img-01", sizeGB: 0.5}
	if s, _ := w.call(lead, "POST", "/v2/runs", furrowlineJob(guest, "soil-idle", "agronomy-coop", "array", "standard", 3, 1, "null", true, 150)); s != 201 {
		return couldNotRun, "the guest's job was not accepted"
	}
	if !wait(15*time.Second, func() bool { return w.tasksOn(guest) == 3 }) {
		return couldNotRun, "the guest's job does not start"
	}
	if s, _ := w.call(lead, "POST", "/v2/runs", furrowlineJob(service, "dispatch", "dealer-care", "service", "standard", 24, 4, `["big-node"]`, false, 0)); s != 201 {
		return couldNotRun, "the service was not accepted"
	}
	if !wait(15*time.Second, func() bool { return w.tasksOn(service) == 24 }) {
		return couldNotRun, "the service does not start"
	}
	rec.add("the guest's job is on %v, the service on %v", w.machinesOf(guest), w.machinesOf(service))
	// Urgent jobs come three times a minute, each of six tasks that run for 8 s.
	alerts, stop := 0, make(chan struct{})
	defer close(stop)
	alert := func() {
		alerts++
		id := fmt.Sprintf("wk-%06d", 500+alerts)
		w.mu.Lock()
		w.jobs[id] = description{bundle: "img-01", sizeGB: 0.5, run: 8 * time.Second}
		w.mu.Unlock()
		w.call(lead, "POST", "/v2/runs", furrowlineJob(id, "fault-alert", "fleet-data", "array", "urgent", 6, 1.6, "null", true, 8))
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
	time.Sleep(time.Second)
	if trouble {
		for _, k := range w.cloud.workers() {
			if k.machine.flavor.Name == "tiny-node" {
				rec.add("the cloud takes %s back, without a notice, and has no other tiny-node", k.host)
				w.cloud.limit(map[string]int{"big-node": 1})
				w.cloud.take(k.host)
			}
		}
	}
	var waiting time.Time
	longest, least := time.Duration(0), 99.0
	for started := time.Now(); time.Since(started) < 98*time.Second; time.Sleep(250 * time.Millisecond) {
		room := w.cloud.room("big-node")
		if w.tasksOn(guest) > 0 || room < 1 {
			waiting = time.Time{}
			continue
		}
		if waiting.IsZero() {
			waiting, least = time.Now(), 99
		}
		least = min(least, room)
		longest = max(longest, time.Since(waiting))
	}
	_, answer := w.call(lead, "GET", "/v2/runs/"+guest, "")
	text := fmt.Sprintf("the guest's job waited for %.0f s without a task on any machine, while the big-node had room for %.0f CPUs at the least; at the end it is %s", longest.Seconds(), least, strings.TrimSpace(answer))
	if longest >= 90*time.Second {
		return ruleBroken, text
	}
	return held, text
}

// machinesOf returns the machines that a job's tasks are on.
func (w *world) machinesOf(id string) map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := map[string]int{}
	for shard, hosts := range w.on {
		if strings.HasPrefix(shard, id+"/") {
			for _, h := range hosts {
				count[h]++
			}
		}
	}
	return count
}

// limit sets how many machines of each type may exist.
func (c *cloud) limit(byType map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byType = byType
}

// take takes a machine back.
func (c *cloud) take(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(host)
}

// room returns the CPUs of the machine of a type that no task holds, fetching tasks included, when
// every task takes 1 CPU. It is 0 without such a machine.
func (c *cloud) room(flavor string) float64 {
	for _, k := range c.workers() {
		if k.machine.flavor.Name == flavor {
			k.mu.Lock()
			defer k.mu.Unlock()
			free := k.machine.flavor.VCPUs
			for _, t := range k.tasks {
				if t.Status != "exited" {
					free--
				}
			}
			return free
		}
	}
	return 0
}
