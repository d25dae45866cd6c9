package scenario

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/kv"
	"yewpass/internal/kvclient"
	"yewpass/internal/request"
	"yewpass/internal/schedule"
)

// scheduledWorld returns a world with n stored schedules, due daily at the time that at returns,
// and with controllers that are not started.
func scheduledWorld(tb testing.TB, n int, limits config.State, at func(i int) string) *world {
	tb.Helper()
	w := newWorld()
	begin := time.Date(2027, 1, 4, 1, 0, 0, 0, time.UTC)
	w.clock.start, w.clock.now, w.store.refilled = begin, begin, begin
	w.clock.rng = rand.New(rand.NewPCG(3, 3))
	w.cfg.Settings.Teams = []config.Team{{Name: "t"}}
	w.cfg.Settings.State = limits
	w.calendarDefs["bg"] = parseCalendar(map[string]string{"country": "BG"})
	w.cloud.instanceTypes = append(w.cloud.instanceTypes, &instanceType{name: "s", cpus: 8, mem: 64, price: 1, bootTime: time.Minute, fetchRate: 1, zones: []string{"a"}})
	w.applySettings(nil)
	s := &script{world: w}
	for i := range n {
		name := fmt.Sprintf("s%05d", i)
		s.putSchedule(name, keyValues([]string{"tz=Europe/Sofia", "at=" + at(i), "calendar=bg", "on=next", "catch=all", "by=06:00"}))
		w.queue = nil // no controller is running; write the record directly
		c := s.scheduleClients[name]
		c.number = uint64(i + 1)
		file, err := json.Marshal(c.file)
		if err != nil {
			tb.Fatal(err)
		}
		rec := &schedule.Record{Number: c.number, Seq: 1, Edition: 1, File: file, Cursor: schedule.Cursor{Nominal: begin}}
		for d := range schedule.HistoryLength {
			rec.AddOccurrence(schedule.Entry{Job: schedule.JobID(c.number, begin.AddDate(0, 0, d-30)), Planned: begin, Deadline: begin, Made: begin, Started: begin, Ended: begin, State: schedule.StateDone})
		}
		_, _, body := kvclient.EncodeRequest(kv.Request{Op: kv.Txn, Writes: []kv.Write{{Key: "yewpass/schedule/" + name, Value: rec}}})
		var t txn
		if err := json.Unmarshal(body, &t); err != nil {
			tb.Fatal(err)
		}
		w.store.applyTxn(&t, func(int, []byte) {})
	}
	for i := range 3 {
		w.nodes = append(w.nodes, &node{world: w, name: fmt.Sprintf("n%d", i)})
	}
	return w
}

// submitSteadily submits a job every 200 ms. It returns the longest time until acceptance, which it
// updates; a failed submission counts as an hour.
func (w *world) submitSteadily() *time.Duration {
	longest := new(time.Duration)
	n := 0
	var submit func()
	submit = func() {
		n++
		s := &script{world: w}
		j := s.parseJob(fmt.Sprintf("wk-7%05d", n), map[string]string{})
		began := w.now
		w.call(request.Request{Op: request.Submit, ID: j.spec.ID, Spec: &j.spec}, 5*time.Second, func(status int, a request.Response) {
			if status != 201 {
				*longest = time.Hour
			}
			*longest = max(*longest, w.now.Sub(began))
		})
		w.after(200*time.Millisecond, submit)
	}
	submit()
	return longest
}

// smallLimits are the store limits of a small deployment.
var smallLimits = config.State{RPS: 250, WriteRPS: 60, ValueKB: 16, TxnOps: 12}

// TestTakeOverOf10000 checks that a new leader serves users while it loads 10,000 schedules, and
// creates the first due occurrence.
func TestTakeOverOf10000(t *testing.T) {
	t.Parallel()
	const n = 10_000
	w := scheduledWorld(t, n, smallLimits, func(i int) string {
		if i == n-1 {
			return "03:01"
		}
		return "04:00"
	})
	for _, n := range w.nodes {
		n.boot()
	}
	leads := func(n *node) bool {
		return n.core != nil && n.core.Stats().Authority && n.core.Stats().Machines == 0 && n.core.Ready()
	}
	for !slices.ContainsFunc(w.nodes, leads) && w.step(w.start.Add(time.Minute)) {
	}
	w.step(w.now.Add(20 * time.Millisecond)) // wait for the machine types
	longest := w.submitSteadily()
	began, loaded := w.store.requests, time.Duration(0)
	for w.step(w.start.Add(70 * time.Second)) {
		if loaded == 0 {
			for _, x := range w.nodes {
				if x.core.Stats().Schedules == n {
					loaded = w.elapsed()
				}
			}
		}
	}
	c := &scheduleClient{s: &script{world: w}, number: n}
	if made := c.jobsMade(); len(made) != 1 {
		t.Error("want one job for the occurrence due after a minute, got", made)
	}
	if loaded == 0 || loaded > 20*time.Second || *longest > 500*time.Millisecond {
		t.Errorf("schedules loaded after %s, want within 20s; longest user wait %s, want at most 500ms", loaded, *longest)
	}
	t.Logf("%d schedules loaded after %s of virtual time; longest user wait %s; %d requests in 70 s", n, loaded, *longest, w.store.requests-began)
}

// TestThousandAtOnce checks that 1,000 occurrences due in the same minute are created within a
// minute, without exceeding the store's limits or delaying users.
func TestThousandAtOnce(t *testing.T) {
	t.Parallel()
	for _, limits := range []config.State{smallLimits, {RPS: 250, WriteRPS: 100, ValueKB: 16, TxnOps: 48}} {
		w := scheduledWorld(t, 1000, limits, func(int) string { return "03:01" })
		for _, n := range w.nodes {
			n.boot()
		}
		for w.step(w.start.Add(59 * time.Second)) {
		}
		longest := w.submitSteadily()
		requests, refused, puts := w.store.requests, w.store.refused, w.store.writes
		took := time.Duration(0)
		for w.step(w.start.Add(3 * time.Minute)) {
			if took == 0 && w.elapsed() > time.Minute {
				for _, n := range w.nodes {
					if n.core.Stats().OccurrencesCreated == 1000 {
						took = w.elapsed() - time.Minute
						requests, puts = w.store.requests-requests, w.store.writes-puts
					}
				}
			}
		}
		if took == 0 || took > time.Minute || *longest > 500*time.Millisecond || w.store.refused > refused || len(w.violations) > 0 {
			t.Errorf("created after %s, longest user wait %s, %d store requests refused, violations %v", took, *longest, w.store.refused-refused, w.violations)
		}
		t.Logf("%.0f writes/s, %d per transaction: 1,000 occurrences created within %s with %d requests and %d writes, including five submissions/s; longest user wait %s",
			limits.WriteRPS, limits.TxnOps, took, requests, puts, *longest)
	}
}

// BenchmarkLoadSchedules measures the work of a failover per 100 schedules: decoding a page of
// records, compiling them and finding the next occurrence.
func BenchmarkLoadSchedules(b *testing.B) {
	w := scheduledWorld(b, 100, smallLimits, func(i int) string { return fmt.Sprintf("%02d:30", i%24) })
	var page []byte
	w.store.requestTokens = 1
	w.store.serve("n0", "GET", "/store?under=yewpass/schedule/&limit=100", nil, func(_ int, data []byte) { page = data })
	set := w.calendars()
	if n := len(kvclient.DecodeResponse(kv.Request{Op: kv.List}, 200, page).Entries); n != 100 {
		b.Fatal(n, "records in a page, want 100")
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, e := range kvclient.DecodeResponse(kv.Request{Op: kv.List}, 200, page).Entries {
			f, err := schedule.ParseJSON(e.Value.(*schedule.Record).File)
			if err != nil {
				b.Fatal(err)
			}
			def, err := f.Compile(set)
			if err != nil {
				b.Fatal(err)
			}
			def.Timing.Next(w.now)
		}
	}
	b.ReportMetric(float64(len(page))/100, "bytes/schedule")
}
