package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// chaos is no case: it plays random troubles against random jobs and checks the rules, to look for
// faults. SEED and KINDS (of trouble, separated by commas) choose the run.
func init() { cases["chaos"] = playChaos }

// cjob is a job of a chaos run.
type cjob struct {
	id                string
	owner             string
	shards            int
	vcpus, mem        float64
	service           bool
	hall              string
	same, apart, spot bool
	flavors           []string
	accepted          bool
	toldCancelled     time.Time
	askedCancel       bool
	done              bool
	on                map[string]string // shard -> hall
	lastOK            time.Time
}

// chaos is a chaos run.
type chaos struct {
	*world
	mu   sync.Mutex
	js   map[string]*cjob
	use  map[string]float64
	lim  map[string]float64
	ends time.Time
}

func (c *chaos) bad(format string, args ...any) {
	c.world.mu.Lock()
	c.world.breaks(format, args...)
	c.world.mu.Unlock()
}

func playChaos(rec *record, trouble bool) (outcome, string) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 7))
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	halls := []string{"sofia-north", "sofia-south", "varna"}
	fl := []flavor{
		{Name: "small-box", VCPUs: 8, MemGB: 64, LocalGB: 200, FetchGBPerS: 1, Rate: 0.39, LowPrice: 0.1, ReadyS: 3, Halls: halls},
		{Name: "wide-box", VCPUs: 32, MemGB: 64, LocalGB: 200, FetchGBPerS: 1, Rate: 1.18, LowPrice: 0.31, ReadyS: 2, Halls: halls[:2]},
	}
	teams := "[[settings.teams]]\nname = \"a\"\ncpus = 10.0\ncpus_max = 24.0\n\n[[settings.teams]]\nname = \"b\"\ncpus = 16.0\ncpus_max = 40.0\n\n[[settings.teams]]\nname = \"c\"\ncpus = 0.0\ncpus_max = 0.0\n"
	w, why := begin(rec, fl, 14, settings{teams: teams, zones: halls})
	if w == nil {
		return couldNotRun, why
	}
	c := &chaos{world: w, js: map[string]*cjob{}, use: map[string]float64{}, lim: map[string]float64{"a": 24, "b": 40}, ends: time.Now().Add(105 * time.Second)}
	w.onEnter = c.enter
	w.onLeave = c.leave
	var wg sync.WaitGroup
	stop := time.Now().Add(70 * time.Second)
	calm := os.Getenv("CALM") != "" // the troubles end early, and then everything has to run
	if calm {
		stop = time.Now().Add(30 * time.Second)
		w.cloud.capacity = 60
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n := 1; time.Now().Before(stop); n++ {
			j := &cjob{id: fmt.Sprintf("wk-%06d", n), owner: []string{"a", "b", "c"}[rng.IntN(3)], shards: 1 + rng.IntN(1+rng.IntN(6)), vcpus: float64(1 + rng.IntN(4)), mem: 2,
				service: rng.IntN(4) == 0, spot: rng.IntN(2) == 0, on: map[string]string{}}
			if calm {
				j.owner = "c" // the team without a limit
			}
			if rng.IntN(4) == 0 {
				j.hall = halls[rng.IntN(3)]
			}
			if rng.IntN(4) == 0 {
				j.flavors = []string{fl[rng.IntN(2)].Name}
				if j.flavors[0] == "wide-box" && j.hall == "varna" {
					j.hall = ""
				}
			}
			switch rng.IntN(4) {
			case 0:
				j.same = true
			case 1:
				j.apart = j.hall == ""
			}
			if j.service && float64(j.shards)*j.vcpus > 20 {
				j.shards = 2
			}
			run := time.Duration(500+rng.IntN(9000)) * time.Millisecond
			if j.service {
				run = 0
			}
			w.mu.Lock()
			w.jobs[j.id] = description{bundle: fmt.Sprintf("img-%d", rng.IntN(4)), sizeGB: 0.5, run: run}
			w.mu.Unlock()
			c.mu.Lock()
			c.js[j.id] = j
			c.mu.Unlock()
			wg.Add(1)
			go func(s uint64) { defer wg.Done(); c.user(j, rand.New(rand.NewPCG(s, uint64(n))), run) }(rng.Uint64())
			time.Sleep(time.Duration(200+rng.IntN(900)) * time.Millisecond)
		}
	}()
	if trouble {
		wg.Add(1)
		go func() { defer wg.Done(); c.troubles(rand.New(rand.NewPCG(seed, 99)), kinds, stop) }()
	}
	wg.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	left := []string{}
	for _, j := range c.js {
		if j.accepted && !j.askedCancel && (!j.done && !j.service || j.service && len(j.on) < j.shards) {
			left = append(left, fmt.Sprintf("%s (%s, %d tasks of %g CPUs, hall %q, types %v, samePlace %v, apart %v, spot %v, service %v: on %v)",
				j.id, j.owner, j.shards, j.vcpus, j.hall, j.flavors, j.same, j.apart, j.spot, j.service, j.on))
		}
	}
	if len(w.broken) > 0 {
		return ruleBroken, strings.Join(w.broken, "; ")
	}
	return held, fmt.Sprintf("%d jobs, unfinished %v", len(c.js), left)
}

func (c *chaos) enter(k *worker, t *task) {
	id, _, _ := strings.Cut(t.Shard, "/")
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.js[id]
	if j == nil {
		return
	}
	if j.hall != "" && j.hall != k.machine.hall || k.machine.spot && !j.spot || len(j.flavors) > 0 && j.flavors[0] != k.machine.flavor.Name {
		c.world.breaks("wrong_place: %s on %s", t.Shard, k.host)
	}
	inHall, elsewhere := 0, 0
	for s, h := range j.on {
		if s == t.Shard {
			continue
		}
		if h == k.machine.hall {
			inHall++
		} else {
			elsewhere++
		}
	}
	if j.same && elsewhere > 0 {
		c.world.breaks("wrong_place: samePlace %s in %s while %d are elsewhere %v", t.Shard, k.machine.hall, elsewhere, j.on)
	}
	if j.apart && inHall+1 > (j.shards+1)/2 {
		c.world.breaks("wrong_place: apart %s in %s with %d there", t.Shard, k.machine.hall, inHall)
	}
	if !j.toldCancelled.IsZero() && time.Since(j.toldCancelled).Seconds() > cancelS {
		c.world.breaks("ran_cancelled: %s starts", t.Shard)
	}
	if !j.toldCancelled.IsZero() {
		c.world.rec.add("NOTE %s enters %.1f s after its cancellation was confirmed", t.Shard, time.Since(j.toldCancelled).Seconds())
	}
	j.on[t.Shard] = k.machine.hall
	c.use[j.owner] += j.vcpus
	if l := c.lim[j.owner]; l > 0 && c.use[j.owner] > l {
		c.world.breaks("quota: team %s uses %g of %g", j.owner, c.use[j.owner], l)
	}
}

func (c *chaos) leave(k *worker, t *task) {
	id, _, _ := strings.Cut(t.Shard, "/")
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.js[id]; j != nil {
		delete(j.on, t.Shard)
		c.use[j.owner] -= j.vcpus
		if !j.toldCancelled.IsZero() && time.Since(j.toldCancelled).Seconds() > cancelS+1 {
			c.world.breaks("ran_cancelled: %s was on a machine %.1f s after", t.Shard, time.Since(j.toldCancelled).Seconds())
		}
	}
}

// user submits, polls, sometimes cancels.
func (c *chaos) user(j *cjob, rng *rand.Rand, run time.Duration) {
	b, _ := json.Marshal(map[string]any{"id": j.id, "jobclass": "x", "owner": j.owner, "shape": map[bool]string{true: "service", false: "array"}[j.service], "urgency": []string{"idle", "standard", "urgent", "production"}[rng.IntN(4)],
		"shards": j.shards, "vcpus": j.vcpus, "gpus": 0.0, "memGb": j.mem, "bundle": c.world.jobs[j.id].bundle, "sizeGb": 0.5, "flavors": j.flavors, "samePlace": j.same, "apart": j.apart, "reclaimable": j.spot,
		"hall": map[bool]any{true: j.hall, false: nil}[j.hall != ""], "runtimeS": run.Seconds(), "snapshotEveryS": 0.0, "snapshotS": 0.0})
	pick := func() *controller { return c.controllers[rng.IntN(3)] }
	for i := 0; i < 40 && !j.accepted; i++ {
		st, _ := c.call(pick(), "POST", "/v2/runs", string(b))
		switch {
		case st == 200 || st == 201:
			j.accepted = true
			c.lookClosely(j, string(b), "")
		case st == 400 || st == 422:
			c.world.rec.add("%s refused %d: %s", j.id, st, b)
			if st == 400 {
				c.bad("400 for %s", j.id)
			}
			return
		default:
			time.Sleep(time.Second)
		}
	}
	if !j.accepted {
		return
	}
	j.lastOK = time.Now()
	cancelAt := time.Time{}
	if os.Getenv("CALM") == "" && j.service || rng.IntN(4) == 0 {
		cancelAt = time.Now().Add(time.Duration(rng.IntN(1+rng.IntN(35000))) * time.Millisecond)
	}
	final := ""
	for time.Now().Before(c.ends) {
		if !cancelAt.IsZero() && time.Now().After(cancelAt) && final == "" {
			j.askedCancel = true
			st, body := c.call(pick(), "POST", "/v2/runs/"+j.id+"/cancel", "")
			if st == 200 {
				cancelAt = time.Time{}
				final = c.status(body)
				c.lookClosely(j, string(b), final)
				if final == "cancelled" {
					c.mu.Lock()
					j.toldCancelled = time.Now()
					c.mu.Unlock()
				}
			}
		}
		p := pick()
		st, body := c.quiet(p, "GET", "/v2/runs/"+j.id, "")
		switch st {
		case 200:
			j.lastOK = time.Now()
			s := c.status(body)
			if s == "cancelled" && !j.askedCancel {
				c.bad("went_back: %s is called cancelled", j.id)
			}
			if final != "" && s != final {
				c.bad("went_back: %s was %s and is %s at %s", j.id, final, s, p.name)
			}
			if s == "done" || s == "cancelled" {
				if s == "done" && !j.done {
					c.world.mu.Lock()
					for i := range j.shards {
						if !c.doneSet[fmt.Sprintf("%s/%d", j.id, i)] {
							c.world.breaks("not_done: %s/%d", j.id, i)
						}
					}
					c.world.mu.Unlock()
				}
				if final == "" {
					c.lookClosely(j, string(b), s)
				}
				final = s
				j.done = s == "done"
				if s == "cancelled" && j.toldCancelled.IsZero() {
					c.mu.Lock()
					j.toldCancelled = time.Now()
					c.mu.Unlock()
				}
			}
		case 404:
			c.bad("forgotten: %s gets 404 at %s", j.id, p.name)
		}
		time.Sleep(time.Duration(300+rng.IntN(900)) * time.Millisecond)
		if final != "" && rng.IntN(3) == 0 {
			st, body := c.quiet(pick(), "POST", "/v2/runs", string(b))
			if st == 400 || st == 422 || st == 201 || st == 200 && c.status(body) != final {
				c.bad("repeat of %s: %d %s", j.id, st, body)
			}
		}
	}
}

// lookClosely asks at all controllers, again and again within milliseconds, right after a user was told
// something: no answer may be older than that.
func (c *chaos) lookClosely(j *cjob, body, final string) {
	var wg sync.WaitGroup
	for _, p := range c.controllers {
		for k := range 5 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(time.Duration(k) * 7 * time.Millisecond)
				st, answer := 0, ""
				if k == 4 {
					st, answer = c.quiet(p, "POST", "/v2/runs", body)
				} else {
					st, answer = c.quiet(p, "GET", "/v2/runs/"+j.id, "")
				}
				s := c.status(answer)
				if st == 404 || st == 400 || st == 422 || st == 201 && k == 4 || st == 200 && final != "" && s != final || st == 200 && s == "cancelled" && !j.askedCancel {
					c.bad("close look at %s, known as %q: %d %s at %s", j.id, final, st, short(answer), p.name)
				}
			}()
		}
	}
	wg.Wait()
}

func (c *chaos) status(body string) string {
	var v struct{ Status string }
	json.Unmarshal([]byte(body), &v)
	return v.Status
}

func (c *chaos) troubles(rng *rand.Rand, kinds []string, stop time.Time) {
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(2000+rng.IntN(5000)) * time.Millisecond)
		for range 1 + rng.IntN(2) {
			kind := kinds[rng.IntN(len(kinds))]
			go c.trouble(kind, rng.IntN(3), rng.IntN(1<<30), time.Duration(500+rng.IntN(9000))*time.Millisecond)
		}
	}
	time.Sleep(10 * time.Second)
}

func (c *chaos) trouble(kind string, i, r int, d time.Duration) {
	p := c.controllers[i]
	c.rec.add("TROUBLE %s %s %v", kind, p.name, d)
	switch kind {
	case "kill":
		if p.alive() {
			c.kill(p)
			time.Sleep(d / 3)
			c.startController(p)
		}
	case "killleader":
		if l := c.leader(); l != nil {
			c.kill(l)
			time.Sleep(d / 3)
			c.startController(l)
		}
	case "stop":
		if p.alive() {
			p.cmd.Process.Signal(sigStop)
			time.Sleep(d)
			p.cmd.Process.Signal(sigCont)
		}
	case "stopleader":
		if l := c.leader(); l != nil {
			l.cmd.Process.Signal(sigStop)
			time.Sleep(d)
			l.cmd.Process.Signal(sigCont)
		}
	case "links":
		j := (i + 1 + r%2) % 3
		c.refuseLinks(i, j)
		time.Sleep(d)
		c.links[[2]int{i, j}].allow()
		c.links[[2]int{j, i}].allow()
	case "oneway":
		j := (i + 1 + r%2) % 3
		c.links[[2]int{i, j}].refuse()
		time.Sleep(3 * d)
		c.links[[2]int{i, j}].allow()
	case "onewayall": // the controller has no free sockets
		for a := range 3 {
			if a != i {
				c.links[[2]int{a, i}].refuse()
			}
		}
		time.Sleep(3 * d)
		for a := range 3 {
			if a != i {
				c.links[[2]int{a, i}].allow()
			}
		}
	case "slow":
		c.state.setSlow(time.Duration(r%1200) * time.Millisecond)
		time.Sleep(d)
		c.state.setSlow(0)
	case "alllinks":
		for a := range 3 {
			for b := range a {
				c.refuseLinks(a, b)
			}
		}
		time.Sleep(d)
		for _, l := range c.links {
			l.allow()
		}
	case "refused":
		c.state.setRefused(p.name, true)
		time.Sleep(d)
		c.state.setRefused(p.name, false)
	case "down":
		c.state.setDown(true)
		time.Sleep(d)
		c.state.setDown(false)
	case "late":
		c.state.setLate(0.3)
		time.Sleep(d)
		c.state.setLate(0)
	case "cut":
		ws := c.cloud.workers()
		if len(ws) > 0 {
			k := ws[r%len(ws)]
			k.setCut(true)
			time.Sleep(3 * d)
			k.setCut(false)
		}
	case "taken":
		ws := c.cloud.workers()
		if len(ws) > 0 {
			k := ws[r%len(ws)]
			c.cloud.mu.Lock()
			c.cloud.end(k.host)
			c.cloud.mu.Unlock()
		}
	}
	c.rec.add("TROUBLE %s %s ends", kind, p.name)
}
