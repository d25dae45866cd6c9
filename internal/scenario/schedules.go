package scenario

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"yewpass/internal/calendar"
	"yewpass/internal/kv"
	"yewpass/internal/kvclient"
	"yewpass/internal/request"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
)

// scheduleClient is the owner of a schedule: asks for it, reads its history, and has the
// jobs described under the ids to come.
type scheduleClient struct {
	s       *script
	file    schedule.File
	args    map[string]string
	number  uint64    // 0: not yet accepted
	since   time.Time // when it was accepted
	refused int       // the status that refused it for good
	begun   bool
}

// definition reads a calendar: country=BG holidays=2030-01-02,… worked=… weekend=none.
func definition(a map[string]string) calendar.Definition {
	def := calendar.Definition{Country: a["country"]}
	list := func(k string) (ds []time.Time) {
		for s := range strings.SplitSeq(a[k], ",") {
			if t, err := time.Parse(time.DateOnly, s); err == nil {
				ds = append(ds, t)
			}
		}
		return ds
	}
	def.Holidays, def.Worked = list("holidays"), list("worked")
	if a["weekend"] == "none" {
		def.Weekend = []time.Weekday{}
	}
	return def
}

func ptr[T any](v T) *T { return &v }

// putSchedule creates or edits a schedule. The words are those of the file, and
// those of submit for the job.
func (s *script) putSchedule(name string, a map[string]string) {
	c := s.scheduleClients[name]
	if c == nil {
		c = &scheduleClient{s: s, args: map[string]string{"rule": "FREQ=DAILY", "tz": "UTC"}}
		s.scheduleClients[name] = c
	}
	for k, v := range a {
		c.args[k] = v
	}
	a = c.args
	sp := s.parseJob("wk-0", a).spec
	shape := "array"
	if sp.Service {
		shape = "service"
	}
	c.file = schedule.File{Name: name, Zone: a["tz"], Rule: a["rule"], At: strings.Split(a["at"], ","), Calendar: a["calendar"], OnHoliday: a["on"],
		DueAt: a["by"], Overlap: a["overlap"], CatchUp: a["catch"], CatchUpWithinS: ptr(durationArg(a, "within", 24*time.Hour).Seconds()),
		Job: spec.Submission{JobClass: &sp.Class, Owner: &sp.Owner, Shape: &shape, Urgency: ptr(sp.Urgency.String()), Shards: &sp.Tasks, VCPUs: &sp.CPUs,
			GPUs: &sp.GPUs, MemGB: &sp.MemGB, Bundle: &sp.Image, SizeGB: &sp.ImageGB, SamePlace: &sp.SamePlace, Apart: &sp.Apart, Reclaimable: &sp.AllowSpot,
			RuntimeS: ptr(sp.Runtime.Seconds()), SnapshotEveryS: ptr(sp.CheckpointInterval.Seconds()), SnapshotS: ptr(sp.CheckpointTime.Seconds())}}
	c.ask(request.SchedulePut, nil)
}

// ask repeats a call until it is answered for good.
func (c *scheduleClient) ask(op request.Operation, a map[string]string) {
	w := c.s.world
	q := &request.ScheduleParams{Name: c.file.Name, Request: a["request"]}
	if op == request.SchedulePut {
		f := c.file
		q.File = &f
	}
	w.call(request.Request{Op: op, Schedule: q}, 5*time.Second, func(status int, ans request.Response) {
		switch {
		case status == 200 || status == 201:
			if op == request.SchedulePut && c.number == 0 {
				v := reread[schedule.View](ans.Doc)
				c.number, c.since = v.Number, w.now
				if !c.begun {
					c.begun = true
					c.readHistory()
				}
			}
			if op == request.ScheduleRun {
				c.s.described(ans.View.ID)
				w.hear(w.jobs[ans.View.ID], ans.View)
				w.poll(w.jobs[ans.View.ID])
			}
		case status >= 400 && status < 429:
			c.refused = status
		default:
			w.after(again(ans), func() { c.ask(op, a) })
		}
	})
}

// reread has a document as it comes over the wire.
func reread[T any](doc any) (v T) {
	if json.Unmarshal(encode(doc), &v) != nil {
		panic("a document that is not JSON of its kind")
	}
	return v
}

// readHistory polls for occurrences that have become jobs, and polls those.
func (c *scheduleClient) readHistory() {
	w := c.s.world
	w.call(request.Request{Op: request.ScheduleHistory, Schedule: &request.ScheduleParams{Name: c.file.Name}}, 2*time.Second, func(status int, ans request.Response) {
		if status == 200 {
			for _, e := range reread[schedule.History](ans.Doc).History {
				if e.Made == nil {
					continue
				}
				j := w.described(e.ID)
				if !j.accepted {
					j.accepted, j.since, j.status = true, w.now, 201
					w.poll(j)
				}
			}
		}
		w.after(w.spread(4*time.Second, 0.5), c.readHistory)
	})
}

// described returns a job whose description a worker can fetch: submitted by its
// user, or uploaded ahead under the id of an occurrence to come.
func (w *world) described(id string) *userJob {
	if j := w.jobs[id]; j != nil {
		return j
	}
	for _, c := range w.scheduleClients {
		if c.number == 0 || !strings.HasPrefix(id, fmt.Sprintf("%s%08d", spec.IDPrefix, c.number)) {
			continue
		}
		j := c.s.parseJob(id, c.args)
		j.first = w.now
		w.history[id] = append(w.history[id], call{op: request.Submit, invoked: w.start}) // the leader's own, at a time that no user sees
		w.jobs[id] = j
		w.order = append(w.order, j)
		return j
	}
	return nil
}

// kept is what the state service has of the schedule.
func (c *scheduleClient) kept() (*schedule.Record, bool) {
	key := "yewpass/schedule/" + c.file.Name
	k := c.s.store.keys[key]
	if k == nil {
		return &schedule.Record{}, false
	}
	r, ok := kvclient.Decode(kv.Request{Op: kv.Get, Key: key}, 200, encode(object{"k": key, "v": k.value, "keyRev": k.rev})).Entries[0].Value.(*schedule.Record)
	return r, ok
}

// holds reports on: made NAME N, missed NAME N, late NAME N, history NAME STATE N,
// and whole NAME: every occurrence of a plain enumeration has become one job or
// is counted as missed, and there are no others.
func (c *scheduleClient) holds(e []string) bool {
	r, ok := c.kept()
	switch e[0] {
	case "removed": // and is not on record
		return !ok
	case "made":
		return ok && compare(int(r.Made), e[2])
	case "missed":
		return ok && compare(int(r.Missed), e[2])
	case "late":
		return ok && compare(int(r.Late), e[2])
	case "history":
		n := 0
		es, _ := r.Entries()
		for _, x := range es {
			if x.State == e[2] {
				n++
			}
		}
		return ok && compare(n, e[3])
	}
	jobs := c.jobsMade()
	def, err := c.file.Compile(c.s.calendars())
	if err != nil {
		return false
	}
	expected := 0
	for o := range def.Timing.All(calendar.DateOf(c.since.AddDate(0, 0, -3))) {
		if o.Skipped || !o.Start.After(c.since) {
			continue
		}
		if o.Start.After(c.s.now.Add(-2 * time.Second)) {
			break
		}
		expected++
		if i := slices.Index(jobs, schedule.JobID(c.number, o.Nominal)); i >= 0 {
			jobs = slices.Delete(jobs, i, i+1)
		}
	}
	if len(jobs) > 0 || int(r.Made+r.Missed) != expected {
		c.s.fail("schedule", "%s: %d occurrences, %d made, %d missed, jobs that should not be: %v", c.file.Name, expected, r.Made, r.Missed, jobs)
		return false
	}
	return true
}

// jobsMade lists the occurrences that have a record as a job.
func (c *scheduleClient) jobsMade() (ids []string) {
	for _, under := range []string{"yewpass/live/job/", "yewpass/final/"} {
		for _, k := range c.s.store.sorted(under + fmt.Sprintf("%s%08d", spec.IDPrefix, c.number)) {
			if id := strings.TrimPrefix(k, under); len(id) == len(schedule.UnknownID(time.Time{})) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}
