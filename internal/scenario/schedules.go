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

// scheduleClient simulates a schedule's owner, who creates it and polls its history. It also
// describes the jobs of its occurrences.
type scheduleClient struct {
	s          *script
	file       schedule.File
	args       map[string]string
	number     uint64 // 0 until accepted
	acceptedAt time.Time
	refused    int // status of a final rejection, or 0
	polling    bool
}

// parseCalendar parses country=BG holidays=2030-01-02,… worked=… weekend=none.
func parseCalendar(a map[string]string) calendar.Definition {
	def := calendar.Definition{Country: a["country"]}
	list := func(k string) (ds []time.Time) {
		for s := range strings.SplitSeq(a[k], ",") {
			if t, err := time.Parse(time.DateOnly, s); err == nil {
				ds = append(ds, t)
			}
		}
		return ds
	}
	def.Holidays, def.BusinessDays = list("holidays"), list("worked")
	if a["weekend"] == "none" {
		def.Weekend = []time.Weekday{}
	}
	return def
}

func ptr[T any](v T) *T { return &v }

// putSchedule creates or edits a schedule. The arguments are the fields of the schedule file and
// the job arguments of the submit action.
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
	c.callUntilAnswered(request.SchedulePut, nil)
}

// callUntilAnswered retries a request until it gets a final answer.
func (c *scheduleClient) callUntilAnswered(op request.Operation, a map[string]string) {
	w := c.s.world
	q := &request.ScheduleParams{Name: c.file.Name, IdempotencyKey: a["request"]}
	if op == request.SchedulePut {
		f := c.file
		q.File = &f
	}
	w.call(request.Request{Op: op, Schedule: q}, 5*time.Second, func(status int, ans request.Response) {
		switch {
		case status == 200 || status == 201:
			if op == request.SchedulePut && c.number == 0 {
				v := decodeAs[schedule.View](ans.Document)
				c.number, c.acceptedAt = v.Number, w.now
				if !c.polling {
					c.polling = true
					c.readHistory()
				}
			}
			if op == request.ScheduleRun {
				c.s.describedJob(ans.Job.ID)
				w.observeStatus(w.jobs[ans.Job.ID], ans.Job)
				w.poll(w.jobs[ans.Job.ID])
			}
		case status >= 400 && status < 429:
			c.refused = status
		default:
			w.after(retryDelay(ans), func() { c.callUntilAnswered(op, a) })
		}
	})
}

// decodeAs converts a document to T by encoding it as JSON, as on the wire.
func decodeAs[T any](doc any) (v T) {
	if json.Unmarshal(encode(doc), &v) != nil {
		panic("document does not decode as the expected type")
	}
	return v
}

// readHistory polls the history of the schedule and starts polling the jobs that appear in it.
func (c *scheduleClient) readHistory() {
	w := c.s.world
	w.call(request.Request{Op: request.ScheduleHistory, Schedule: &request.ScheduleParams{Name: c.file.Name}}, 2*time.Second, func(status int, ans request.Response) {
		if status == 200 {
			for _, e := range decodeAs[schedule.History](ans.Document).History {
				if e.Made == nil {
					continue
				}
				j := w.describedJob(e.ID)
				if !j.accepted {
					j.accepted, j.acceptedAt, j.status = true, w.now, 201
					w.poll(j)
				}
			}
		}
		w.after(w.jitter(4*time.Second, 0.5), c.readHistory)
	})
}

// describedJob returns the job with an ID, which a user submitted or which belongs to an occurrence
// of a schedule. It creates the latter, and returns nil if there is none.
func (w *world) describedJob(id string) *userJob {
	if j := w.jobs[id]; j != nil {
		return j
	}
	for _, c := range w.scheduleClients {
		if c.number == 0 || !strings.HasPrefix(id, fmt.Sprintf("%s%08d", spec.IDPrefix, c.number)) {
			continue
		}
		j := c.s.parseJob(id, c.args)
		j.firstSubmitted = w.now
		w.history[id] = append(w.history[id], call{op: request.Submit, invoked: w.start}) // created by the leader, before all calls
		w.jobs[id] = j
		w.jobOrder = append(w.jobOrder, j)
		return j
	}
	return nil
}

// storedRecord returns the schedule's stored record and whether it exists.
func (c *scheduleClient) storedRecord() (*schedule.Record, bool) {
	key := "yewpass/schedule/" + c.file.Name
	k := c.s.store.keys[key]
	if k == nil {
		return &schedule.Record{}, false
	}
	r, ok := kvclient.DecodeResponse(kv.Request{Op: kv.Get, Key: key}, 200, encode(object{"k": key, "v": k.value, "keyRev": k.rev})).Entries[0].Value.(*schedule.Record)
	return r, ok
}

// holds reports whether an expectation about the schedule holds: made NAME N, missed NAME N, late
// NAME N, history NAME STATE N, removed NAME, or whole NAME: every occurrence is one job or counted
// as missed, and there are no other jobs.
func (c *scheduleClient) holds(e []string) bool {
	r, ok := c.storedRecord()
	switch e[0] {
	case "removed":
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
	for o := range def.Timing.All(calendar.DateOf(c.acceptedAt.AddDate(0, 0, -3))) {
		if o.Skipped || !o.Start.After(c.acceptedAt) {
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
		c.s.fail("schedule", "%s: %d occurrences, %d made, %d missed, unexpected jobs: %v", c.file.Name, expected, r.Made, r.Missed, jobs)
		return false
	}
	return true
}

// jobsMade returns the IDs of the schedule's jobs in the store.
func (c *scheduleClient) jobsMade() (ids []string) {
	for _, under := range []string{"yewpass/live/job/", "yewpass/final/"} {
		for _, k := range c.s.store.sortedKeys(under + fmt.Sprintf("%s%08d", spec.IDPrefix, c.number)) {
			if id := strings.TrimPrefix(k, under); len(id) == len(schedule.PlaceholderJobID(time.Time{})) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}
