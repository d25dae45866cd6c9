package schedule

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"yewpass/internal/calendar"
	"yewpass/internal/spec"
)

const good = `
name = "tariff-recalculation"
zone = "Europe/Sofia"
rule = "FREQ=DAILY"
at = ["03:30", "04:30"]
calendar = "bg"
on_holiday = "run"
starts = 2027-01-01
due_at = "06:00"
overlap = "skip"
catch_up = "latest"
catch_up_within_s = 7200.0
[job]
jobclass = "tariff"
owner = "t"
shape = "array"
urgency = "urgent"
shards = 16
vcpus = 1.0
gpus = 0.0
memGb = 2.0
bundle = "tariff-07"
sizeGb = 1.5
samePlace = false
apart = false
reclaimable = true
runtimeS = 60.0
snapshotEveryS = 0.0
snapshotS = 0.0
`

func set(tb testing.TB) *calendar.Set {
	tb.Helper()
	c, err := calendar.New(calendar.Definition{Country: "BG"})
	if err != nil {
		tb.Fatal(err)
	}
	return calendar.NewSet(map[string]*calendar.Calendar{"bg": c})
}

// compile reads a schedule file with some lines replaced.
func compile(tb testing.TB, edits ...string) (*Def, error) {
	tb.Helper()
	f, err := ParseTOML([]byte(strings.NewReplacer(edits...).Replace(good)))
	if err != nil {
		return nil, err
	}
	return f.Compile(set(tb))
}

func at(s string) time.Time {
	t, err := time.Parse(time.RFC3339, s)
	if err != nil {
		panic(err)
	}
	return t
}

// TestFile: TOML and JSON say the same, and every wrong field is named.
func TestFile(t *testing.T) {
	f, err := ParseTOML([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	g, err := ParseJSON(data)
	if err != nil {
		t.Fatal(err)
	}
	if again, _ := json.Marshal(g); string(again) != string(data) {
		t.Errorf("%s\nbecomes\n%s", data, again)
	}
	for _, c := range []struct{ old, new, want string }{
		{`name = "t`, `name = "T`, "name"}, {`Europe/Sofia`, `Europe/Sophia`, "zone"}, {`"bg"`, `"ro"`, "calendar"}, {`FREQ=DAILY`, `FREQ=DAILY;BYHOUR=3`, "rule"},
		{`"03:30"`, `"25:00"`, "at"}, {`overlap = "skip"`, `overlap = "stop"`, "overlap"}, {`catch_up = "latest"`, `catch_up = "some"`, "catch_up"},
		{`7200.0`, `-1.0`, "catch_up_within_s"}, {`shards = 16`, `shards = 0`, "job.shards"}, {`[job]`, "[job]\nid = \"wk-1\"", "job.id"},
		{`[job]`, "[job]\ndueS = 4.0", "job.dueS"}, {`[job]`, "[job]\nvcpu = 4.0", "job.vcpu"}, {`due_at`, `dew_at`, "dew_at"}, {`2027-01-01`, `2027-02-30`, "line"},
		{`vcpus = 1.0`, `vcpus = "1"`, "vcpus"}, {`urgency = "urgent"`, `urgency = "now"`, "job.urgency"},
	} {
		_, err := compile(t, c.old, c.new)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want one line that names %s", c.new, err, c.want)
		}
	}
	for _, c := range []struct{ old, new, want string }{
		{`"zone"`, `"zoom"`, "zoom"}, {`"at":[`, `"at":[3,`, "at"}, {`"starts":"2027-01-01"`, `"starts":"soon"`, "starts or ends"}, {`{`, `[`, ""},
	} {
		_, err := ParseJSON([]byte(strings.Replace(string(data), c.old, c.new, 1)))
		var fe *calendar.FieldError
		if !errors.As(err, &fe) || fe.Field != c.want {
			t.Errorf("%s: %v, want field %q", c.new, err, c.want)
		}
	}
}

func TestJobID(t *testing.T) {
	d, err := compile(t)
	if err != nil {
		t.Fatal(err)
	}
	o, _ := d.Timing.Next(at("2027-03-28T03:00:00Z"))
	job := d.Job(42, o)
	if job.ID != "wk-00000042202703280330" || !spec.ValidID(job.ID) || !job.Dated || job.Due != 2*time.Hour {
		t.Errorf("%+v", job) // 04:00 to 06:00: the clocks skip an hour
	}
	a, b := RequestID(42, "x"), RequestID(42, "y")
	if a == b || a != RequestID(42, "x") || !spec.ValidID(a) || len(a) == len(job.ID) {
		t.Error(a, b)
	}
}

// TestDecide: what becomes of the next occurrence, 03:30 local time.
func TestDecide(t *testing.T) {
	cursor := at("2027-02-01T04:30:00Z") // as a wall-clock time: the day before is decided
	due := at("2027-02-02T01:30:00Z")
	for _, c := range []struct {
		name    string
		overlap OverlapPolicy
		catchUp CatchUpPolicy
		late    time.Duration
		before  Before
		want    Verdict
		reason  string
	}{
		{"not yet", Allow, All, -time.Second, Before{}, Later, ""},
		{"now", Allow, None, 0, Before{}, Make, ""},
		{"a change of leader later", Allow, None, 50 * time.Second, Before{}, Make, ""},
		{"late, none", SkipOverlap, None, 2 * time.Minute, Before{}, Miss, "in time"},
		{"late, latest", SkipOverlap, Latest, 2 * time.Minute, Before{}, Make, ""},
		{"late, latest, a later one is due", SkipOverlap, Latest, 61 * time.Minute, Before{}, Miss, "a later one"},
		{"late, all", SkipOverlap, All, 61 * time.Minute, Before{}, Make, ""},
		{"too late", SkipOverlap, All, 121 * time.Minute, Before{}, Miss, "catch_up_within_s"},
		{"skip", SkipOverlap, All, 0, Before{Live: true}, Miss, "not over"},
		{"wait", WaitOverlap, None, 0, Before{Live: true}, Hold, ""},
		{"has waited", WaitOverlap, None, 50 * time.Minute, Before{Ended: due.Add(49*time.Minute + 30*time.Second)}, Make, ""},
		{"has waited, then nobody led", WaitOverlap, None, 50 * time.Minute, Before{Ended: due.Add(40 * time.Minute)}, Miss, "in time"},
	} {
		d, err := compile(t, `"skip"`, `"`+string(c.overlap)+`"`, `"latest"`, `"`+string(c.catchUp)+`"`)
		if err != nil {
			t.Fatal(err)
		}
		o, v, reason := d.Decide(Cursor{Nominal: cursor}, due.Add(c.late), c.before)
		if v != c.want || !strings.Contains(reason, c.reason) || !o.Start.Equal(due) {
			t.Errorf("%s: %v %v %q", c.name, o.Start, v, reason)
		}
	}
}

// TestEdited: an edit repeats nothing that was made and loses nothing that is
// owed and still there.
func TestEdited(t *testing.T) {
	old, err := compile(t)
	if err != nil {
		t.Fatal(err)
	}
	now := at("2027-02-02T01:30:20Z") // 03:30:20 local: 03:30 is due and not made
	cursor := at("2027-02-01T04:30:00Z")
	for _, c := range []struct {
		edits  []string
		cursor time.Time
		next   string // nominal
		missed int
	}{
		{[]string{`shards = 16`, `shards = 32`}, cursor, "2027-02-02T03:30:00Z", 0},
		{[]string{`"04:30"`, `"05:30"`}, cursor, "2027-02-02T03:30:00Z", 0},
		{[]string{`"03:30", `, ``}, cursor, "2027-02-02T04:30:00Z", 1},
		{[]string{`"03:30", "04:30"`, `"02:00"`}, cursor, "2027-02-03T02:00:00Z", 1},
		{[]string{`"03:30", "04:30"`, `"03:30"`}, at("2027-02-02T03:30:00Z"), "2027-02-03T03:30:00Z", 0},
		// Made at 03:30 in Sofia; in London it is 01:30, and 03:30 there is the same occurrence.
		{[]string{`Europe/Sofia`, `Europe/London`}, at("2027-02-02T03:30:00Z"), "2027-02-02T04:30:00Z", 0},
	} {
		d, err := compile(t, c.edits...)
		if err != nil {
			t.Fatal(err)
		}
		next, missed := d.Edited(old, Cursor{Nominal: c.cursor}, now)
		o, _ := d.Next(next)
		if !o.Nominal.Equal(at(c.next)) || len(missed) != c.missed {
			t.Errorf("%v: next is %s with %d missed, want %s with %d", c.edits, o.Nominal, len(missed), c.next, c.missed)
		}
	}
}

// TestMovedOnce: a date that ran on another day than its own does not run again
// on its own, whether an edit or the operators' calendar lets it.
func TestMovedOnce(t *testing.T) {
	previous, err := compile(t, `"FREQ=DAILY"`, `"FREQ=WEEKLY;BYDAY=FR,SU"`, `"run"`, `"previous"`, `"03:30", "04:30"`, `"03:30"`)
	if err != nil {
		t.Fatal(err)
	}
	cursor := previous.From(at("2027-02-04T10:00:00Z")) // a Thursday
	o, _ := previous.Next(cursor)
	if !o.Nominal.Equal(at("2027-02-05T03:30:00Z")) || !o.Rule.Equal(at("2027-02-07T03:30:00Z")) {
		t.Fatalf("Friday, and Sunday with it: %+v", o)
	}
	cursor = cursor.Past(o)
	run, err := compile(t, `"FREQ=DAILY"`, `"FREQ=WEEKLY;BYDAY=FR,SU"`, `"03:30", "04:30"`, `"03:30"`)
	if err != nil {
		t.Fatal(err)
	}
	next, missed := run.Edited(previous, cursor, at("2027-02-05T12:00:00Z"))
	for _, c := range []Cursor{cursor, next} { // the calendar has changed; the schedule has
		if o, _ := run.Next(c); !o.Nominal.Equal(at("2027-02-12T03:30:00Z")) || len(missed) > 0 {
			t.Errorf("next is %s, want the Friday after", o.Nominal)
		}
	}
}

// TestFrom: a schedule that begins owes nothing of the past, not even in the
// second passing of the autumn hour, where the clock shows times that have been.
func TestFrom(t *testing.T) {
	d, err := compile(t)
	if err != nil {
		t.Fatal(err)
	}
	for now, want := range map[string]string{
		"2027-10-31T00:29:00Z": "2027-10-31T00:30:00Z", "2027-10-31T01:20:00Z": "2027-10-31T02:30:00Z", // 03:20 for the second time
		"2027-03-28T01:00:00Z": "2027-03-28T01:30:00Z", "2027-02-02T01:30:00Z": "2027-02-02T02:30:00Z",
	} {
		if o, _ := d.Next(d.From(at(now))); !o.Start.Equal(at(want)) {
			t.Errorf("from %s the first starts at %s, want %s", now, o.Start, want)
		}
	}
}

// TestHistory: a history survives being packed, whatever its reasons hold.
func TestHistory(t *testing.T) {
	r := &Record{Number: 7}
	for i := range HistoryLength + 3 {
		r.Add(Entry{Job: JobID(7, at("2027-01-01T00:00:00Z").AddDate(0, 0, i)), Planned: at("2027-01-01T00:00:00Z").AddDate(0, 0, i), State: StateMade})
	}
	last := Entry{Job: "wk-1", Planned: at("2027-01-01T00:00:00.123Z"), Due: at("1960-01-01T00:00:00Z"), State: StateMissed, Late: true, Reason: "a, b; \"c\" % \n ü" + strings.Repeat("x", 200)}
	r.Add(last)
	es, ok := r.Entries()
	if !ok || len(es) != HistoryLength || r.Made != HistoryLength+3 || r.Missed != 1 {
		t.Fatal(len(es), ok, r.Made, r.Missed)
	}
	last.Reason = last.Reason[:maxReasonBytes]
	if es[HistoryLength-1] != last {
		t.Errorf("%+v became %+v", last, es[HistoryLength-1])
	}
	r.Update(es[0].Job, func(e *Entry) { e.State, e.Ended = StateDone, last.Planned })
	if e, ok := r.Entry(es[0].Job); !ok || e.State != StateDone || !e.Ended.Equal(last.Planned) {
		t.Errorf("%+v", e)
	}
	for _, s := range []string{"x", "a,!,,,,,s,,;", "a,,,,,,s,,%zz;"} {
		if _, ok := (&Record{Past: s}).Entries(); ok {
			t.Errorf("%q is taken for a history", s)
		}
	}
}

// FuzzFile: whatever text comes, a file is refused or has occurrences in order.
func FuzzFile(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte(strings.Replace(good, "FREQ=DAILY", "FREQ=MONTHLY;BYDAY=MO,-1FR;BYSETPOS=-1", 1)))
	f.Add([]byte(`{"name":"n","zone":"UTC","rule":"FREQ=DAILY","at":["01:00"],"job":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := ParseTOML(data)
		if err != nil {
			if file, err = ParseJSON(data); err != nil {
				return
			}
		}
		d, err := file.Compile(set(t))
		if err != nil {
			return
		}
		cursor, start := at("2027-03-27T00:00:00Z"), time.Time{}
		for range 5 {
			o, ok := d.Timing.Next(cursor)
			if !ok {
				return
			}
			if !o.Nominal.After(cursor) || o.Start.Before(start) || !o.Due.IsZero() && !o.Due.After(o.Start) {
				t.Fatalf("after %s: %+v", cursor, o)
			}
			cursor, start = o.Nominal, o.Start
		}
	})
}

// FuzzHistory: a history at rest is malformed, or comes back as it is.
func FuzzHistory(f *testing.F) {
	f.Add("wk-1,a,b,,,,done,l,why%20not;")
	f.Add("wk-1,zzzzzzzzzzzzz,,,,,made,,;wk-2,,,,,,missed,,;")
	f.Add("x")
	f.Fuzz(func(t *testing.T, past string) {
		es, ok := (&Record{Past: past}).Entries()
		if !ok {
			return
		}
		r := &Record{Past: past}
		for _, e := range es {
			r.Entry(e.Job)
		}
		r.Told(time.UTC)
	})
}
