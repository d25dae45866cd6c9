package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"yewpass/internal/calendar"
	"yewpass/internal/config"
)

// yearRule is a recurrence rule with an equivalent predicate on days.
type yearRule struct {
	text string
	on   func(d time.Time) bool
}

func lastDay(d time.Time) int { return d.AddDate(0, 1, -d.Day()).Day() }

var yearRules = []yearRule{
	{"FREQ=DAILY", func(time.Time) bool { return true }},
	{"FREQ=WEEKLY;BYDAY=MO,WE,FR", func(d time.Time) bool { return d.Weekday()%2 == 1 }},
	{"FREQ=WEEKLY;BYDAY=SA,SU", func(d time.Time) bool { return d.Weekday()%6 == 0 }},
	{"FREQ=MONTHLY;BYMONTHDAY=-1", func(d time.Time) bool { return d.Day() == lastDay(d) }},
	{"FREQ=MONTHLY;BYMONTHDAY=1,15,31", func(d time.Time) bool { return d.Day() == 1 || d.Day() == 15 || d.Day() == 31 }},
	{"FREQ=MONTHLY;BYDAY=2TU,-1TH", func(d time.Time) bool {
		return d.Weekday() == time.Tuesday && (d.Day()-1)/7 == 1 || d.Weekday() == time.Thursday && d.Day() > lastDay(d)-7
	}},
	{"FREQ=MONTHLY;BYDAY=MO,TU,WE,TH,FR;BYSETPOS=-1", func(d time.Time) bool {
		for e := d.AddDate(0, 0, 1); e.Month() == d.Month(); e = e.AddDate(0, 0, 1) {
			if e.Weekday()%6 != 0 {
				return false
			}
		}
		return d.Weekday()%6 != 0
	}},
	{"FREQ=YEARLY;BYMONTH=3,10;BYDAY=SU", func(d time.Time) bool { return d.Weekday() == 0 && (d.Month() == 3 || d.Month() == 10) }},
}

// firstInstant returns the first instant, in quarter hours, at which clocks in the zone show a wall
// time or, if the wall time is in a gap, a later one.
func firstInstant(wall time.Time, zone *time.Location) time.Time {
	for t := wall.Add(-16 * time.Hour); ; t = t.Add(15 * time.Minute) {
		local := t.In(zone)
		shown := time.Date(local.Year(), local.Month(), local.Day(), local.Hour(), local.Minute(), 0, 0, time.UTC)
		if !shown.Before(wall) {
			return t.UTC()
		}
	}
}

// TestYear runs a year of 200 schedules while controllers fail or are down at due times and across
// daylight saving changes. It compares the jobs with a day-by-day enumeration of the occurrences.
func TestYear(t *testing.T) {
	t.Parallel()
	w := newWorld()
	begin, end := time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC), time.Date(2027, 12, 31, 20, 0, 0, 0, time.UTC)
	w.clock.start, w.clock.now, w.store.refilled = begin, begin, begin
	w.clock.rng = rand.New(rand.NewPCG(7, 7))
	w.cfg.Settings.Teams = []config.Team{{Name: "t"}}
	w.cloud.instanceTypes = append(w.cloud.instanceTypes, &instanceType{name: "s", cpus: 8, mem: 64, price: 1, bootTime: time.Minute, fetchRate: 1, zones: []string{"a"}})
	for name, def := range map[string]string{"bg": "country=BG", "us": "country=US", "shut": "weekend=none holidays=2027-02-28,2027-03-28,2027-10-31,2027-11-30,2027-12-31"} {
		w.calendarDefs[name] = parseCalendar(keyValues(strings.Fields(def)))
	}
	days := map[string]*calendar.Calendar{}
	for name, def := range w.calendarDefs {
		days[name], _ = calendar.New(def)
	}
	w.applySettings(nil)
	for i := range 3 {
		w.nodes = append(w.nodes, &node{world: w, name: fmt.Sprintf("n%d", i)})
	}
	until := func(at time.Time) {
		for w.step(at) {
		}
		w.clock.now = at
	}
	made := map[string][]string{} // nominal times, by the schedule's prefix of job ids
	// down stops all controllers until at, expires the leases and deletes the job records, so that
	// only the schedules' records prevent duplicate jobs.
	down := func(at time.Time) {
		for _, n := range w.nodes {
			n.alive = false
			n.generation++
		}
		w.clock.queue, w.store.watchers = nil, nil
		for id := range w.store.leases {
			w.store.revokeLease(id)
		}
		for _, k := range w.store.sortedKeys("yewpass/live/job/") {
			id := strings.TrimPrefix(k, "yewpass/live/job/")
			delete(w.store.keys, k)
			w.store.rev++
			number, nominal := id[:len(id)-12], id[len(id)-12:]
			if slices.Contains(made[number], nominal) {
				t.Error(id, "was created twice")
			}
			made[number] = append(made[number], nominal)
		}
		w.clock.now = at
	}
	up := func() {
		for _, n := range w.nodes {
			n.skew = time.Duration(w.rng.IntN(10)-5) * time.Millisecond
			n.boot()
		}
	}

	s := &script{world: w}
	up()
	until(begin.Add(2 * time.Second))
	zones := []struct{ name, at string }{{"Europe/Sofia", "03:30"}, {"Europe/London", "01:30"}, {"America/New_York", "02:30,01:30"}, {"Australia/Lord_Howe", "02:15,01:45"}}
	type key struct {
		wall time.Time
		zone string
	}
	instants := map[key]time.Time{}
	var dues []time.Time
	wanted := map[string]map[string]time.Time{} // expected start, by schedule and nominal time
	for i := range 200 {
		name, z, rule := fmt.Sprintf("s%03d", i), zones[i%4], yearRules[(i/4+i)%len(yearRules)]
		calName := []string{"", "bg", "us", "shut"}[i/32%4]
		on := []string{"run", "skip", "next", "previous"}[(i/8+i)%4]
		a := map[string]string{"rule": rule.text, "tz": z.name, "at": z.at, "catch": "all", "within": "240h"}
		if calName != "" {
			a["calendar"], a["on"] = calName, on
		} else {
			on = "run"
		}
		s.putSchedule(name, a)
		zone, err := time.LoadLocation(z.name)
		if err != nil {
			t.Fatal(err)
		}
		wanted[name] = map[string]time.Time{}
		for d := begin.AddDate(0, 0, -15); d.Before(end.AddDate(0, 0, 15)); d = d.AddDate(0, 0, 1) {
			if !rule.on(d) {
				continue
			}
			open := func(e time.Time) bool {
				ok, _ := days[calName].IsBusinessDay(e)
				return ok
			}
			runs := d
			if on != "run" && !open(d) {
				if on == "skip" {
					continue
				}
				for !open(runs) {
					runs = runs.AddDate(0, 0, map[string]int{"next": 1, "previous": -1}[on])
				}
			}
			for at := range strings.SplitSeq(z.at, ",") {
				clock, _ := time.Parse("15:04", at)
				k := key{runs.Add(time.Duration(clock.Hour())*time.Hour + time.Duration(clock.Minute())*time.Minute), z.name}
				if instants[k].IsZero() {
					instants[k] = firstInstant(k.wall, zone)
				}
				if start := instants[k]; start.After(w.now.Add(time.Minute)) && start.Before(end) {
					wanted[name][k.wall.Format("200601021504")] = start
					dues = append(dues, start)
				}
			}
		}
	}
	until(begin.Add(30 * time.Second))
	for name, c := range s.scheduleClients {
		if never := len(wanted[name]) == 0; never != (c.refused == 400) || never != (c.number == 0) {
			t.Fatal(name, "got rejection status", c.refused, "with expected occurrences:", len(wanted[name]))
		}
	}
	slices.SortFunc(dues, time.Time.Compare)
	dues = slices.CompactFunc(dues, time.Time.Equal)

	// Each due time near a daylight saving change is handled on its own.
	var dstChanges []time.Time
	for _, d := range []string{"2027-03-14", "2027-03-28", "2027-04-03", "2027-10-02", "2027-10-31", "2027-11-07"} {
		at, _ := time.Parse(time.DateOnly, d)
		dstChanges = append(dstChanges, at.Add(12*time.Hour))
	}
	changes, late := 0, 0
	for len(dues) > 0 {
		first, last := dues[0], dues[0]
		for len(dues) > 0 && dues[0].Sub(first) < 3*time.Minute {
			last, dues = dues[0], dues[1:]
		}
		nearChange := slices.ContainsFunc(dstChanges, func(d time.Time) bool { return first.Sub(d).Abs() < 36*time.Hour })
		switch n := w.rng.IntN(3); {
		case n == 0 && w.rng.IntN(3) == 0 || n > 0 && !nearChange: // down at the due time and for up to 60 h after it
			span := time.Duration(w.rng.IntN(60)) * time.Hour
			for len(dues) > 0 && dues[0].Sub(first) < span && !nearChange {
				last, dues = dues[0], dues[1:]
			}
			down(last.Add(5 * time.Minute))
			up()
			until(w.now.Add(6 * time.Second))
			late++
		default:
			down(first.Add(-2 * time.Second))
			up()
			if w.rng.IntN(2) == 0 { // the leader crashes around the due time
				until(first.Add(time.Duration(w.rng.IntN(400)-200) * time.Millisecond))
				if n := s.node("leader"); n != nil {
					n.crash(time.Second)
					changes++
				}
				until(last.Add(9 * time.Second))
			} else {
				until(last.Add(4 * time.Second))
			}
		}
	}
	down(end)

	total := 0
	for name, c := range s.scheduleClients {
		if c.number == 0 {
			continue // rejected because it never occurs
		}
		r, _ := c.storedRecord()
		got := map[string]bool{}
		for _, nominal := range made[fmt.Sprintf("wk-%08d", c.number)] {
			got[nominal] = true
			if wanted[name][nominal].IsZero() {
				t.Errorf("%s %s: unexpected occurrence %s", name, c.file.Rule, nominal)
			}
		}
		for nominal := range wanted[name] {
			if !got[nominal] {
				t.Errorf("%s %s %s: missing occurrence %s", name, c.file.Rule, c.file.OnHoliday, nominal)
			}
		}
		if int(r.Made) != len(wanted[name]) || r.Missed != 0 {
			t.Errorf("%s: %d made, %d missed; want %d made, 0 missed", name, r.Made, r.Missed, len(wanted[name]))
		}
		def, err := c.file.Compile(w.calendars())
		if err != nil {
			t.Fatal(err)
		}
		for o := range def.Timing.All(begin) {
			if o.Start.After(end) {
				break
			}
			if want := wanted[name][o.Nominal.Format("200601021504")]; !o.Skipped && !want.IsZero() && !want.Equal(o.Start) {
				t.Errorf("%s: %s starts at %s, want %s", name, o.Nominal, o.Start, want)
			}
		}
		total += len(got)
	}
	if len(w.violations) > 0 {
		t.Error(w.violations)
	}
	if total < 15000 || changes < 50 || late < 50 {
		t.Error("want at least 15000 occurrences, 50 leader crashes and 50 outages")
	}
	t.Logf("%d occurrences of %d schedules; %d leader crashes at a due time, %d outages across one; %d requests", total, len(s.scheduleClients), changes, late, w.store.requests)
}
