// Package schedule is recurring work: what a schedule file says, which of its
// occurrences is to become a job now, and under which id. It is pure; the leader
// keeps the records and makes the jobs.
package schedule

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"yewpass/internal/calendar"
	"yewpass/internal/spec"
	"yewpass/internal/tomltext"
)

// File is a schedule as its owner writes it: TOML on the command line, the same
// fields as JSON over HTTP.
type File struct {
	Name           string          `toml:"name" json:"name"`
	Zone           string          `toml:"zone" json:"zone"`
	Rule           string          `toml:"rule" json:"rule"`
	At             []string        `toml:"at" json:"at"`
	Calendar       string          `toml:"calendar" json:"calendar,omitempty"`
	OnHoliday      string          `toml:"on_holiday" json:"on_holiday,omitempty"`
	Starts         *toml.LocalDate `toml:"starts" json:"starts,omitempty"`
	Ends           *toml.LocalDate `toml:"ends" json:"ends,omitempty"`
	DueAt          string          `toml:"due_at" json:"due_at,omitempty"`
	Overlap        string          `toml:"overlap" json:"overlap,omitempty"`
	CatchUp        string          `toml:"catch_up" json:"catch_up,omitempty"`
	CatchUpWithinS *float64        `toml:"catch_up_within_s" json:"catch_up_within_s,omitempty"`
	Job            spec.Submission `toml:"job" json:"job"`
}

// What may be said of overlap and catch_up; the first of each is the default.
const (
	Allow       = "allow" // the next occurrence runs beside the one before
	SkipOverlap = "skip"  // it does not run while the one before does
	WaitOverlap = "wait"  // it runs once the one before is over

	Latest = "latest" // of occurrences that are late only the latest runs
	None   = "none"   // a late occurrence does not run
	All    = "all"    // all of them run
)

const (
	// OnTime is how late an occurrence may become a job without being a matter
	// of catching up: a change of leader and a thousand others due at the same
	// time are over by then.
	OnTime = time.Minute
	// defaultWithin is catch_up_within_s where a schedule does not say it.
	defaultWithin = 24 * time.Hour
	maxWithin     = 366 * 24 * time.Hour
	maxNameBytes  = 63
)

// ParseTOML reads a schedule file. The error names line and field.
func ParseTOML(data []byte) (*File, error) {
	f := &File{}
	if err := tomltext.Decode(data, f, true); err != nil {
		return nil, err
	}
	return f, nil
}

// ParseJSON reads a schedule as it comes over HTTP. The error is a
// *calendar.FieldError, whose field may be empty.
func ParseJSON(data []byte) (*File, error) {
	f := &File{}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(f)
	if err == nil && d.More() {
		err = io.EOF // not the end: something follows
	}
	if err == nil {
		return f, nil
	}
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) && te.Field != "" {
		return nil, &calendar.FieldError{Field: te.Field, Reason: "wrong type or out of range"}
	}
	if _, name, ok := strings.Cut(err.Error(), "unknown field "); ok {
		return nil, &calendar.FieldError{Field: strings.Trim(name, `"`), Reason: "no such field"}
	}
	var se *json.SyntaxError
	if !errors.As(err, &se) && !errors.As(err, &te) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, &calendar.FieldError{Field: "starts or ends", Reason: "no date such as 2027-01-31"}
	}
	return nil, &calendar.FieldError{Field: "", Reason: "the body is not a schedule in JSON"}
}

// ValidName reports whether a schedule may have this name: 1 to 63 lower-case
// letters, digits, dots, underscores and hyphens, beginning with a letter or
// digit.
func ValidName(s string) bool {
	for i, r := range s {
		if !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || i > 0 && (r == '.' || r == '_' || r == '-')) {
			return false
		}
	}
	return s != "" && len(s) <= maxNameBytes
}

// Def is a checked schedule. It is not for concurrent use.
type Def struct {
	Timing  *calendar.Timing
	Overlap string
	CatchUp string
	Within  time.Duration
	job     spec.Job // without id and deadline
}

// Compile checks a schedule against the calendars at hand. The error is a
// *calendar.FieldError.
func (f *File) Compile(set *calendar.Set) (*Def, error) {
	wrong := func(field, format string, args ...any) (*Def, error) {
		return nil, &calendar.FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
	}
	if !ValidName(f.Name) {
		return wrong("name", "%q is not of lower-case letters, digits, dots, underscores and hyphens, %d at the most", f.Name, maxNameBytes)
	}
	x := calendar.Times{Zone: f.Zone, Rule: f.Rule, At: f.At, Calendar: f.Calendar, OnHoliday: f.OnHoliday, DueAt: f.DueAt}
	if f.Starts != nil {
		x.Starts = f.Starts.AsTime(time.UTC)
	}
	if f.Ends != nil {
		x.Ends = f.Ends.AsTime(time.UTC)
	}
	d := &Def{Overlap: f.Overlap, CatchUp: f.CatchUp, Within: defaultWithin}
	var err error
	if d.Timing, err = set.Timing(x); err != nil {
		return nil, err
	}
	switch d.Overlap {
	case "":
		d.Overlap = Allow
	case Allow, SkipOverlap, WaitOverlap:
	default:
		return wrong("overlap", "%q is none of allow, skip, wait", f.Overlap)
	}
	switch d.CatchUp {
	case "":
		d.CatchUp = Latest
	case None, Latest, All:
	default:
		return wrong("catch_up", "%q is none of none, latest, all", f.CatchUp)
	}
	if s := f.CatchUpWithinS; s != nil {
		if !(*s >= 0 && *s <= maxWithin.Seconds()) {
			return wrong("catch_up_within_s", "out of range")
		}
		d.Within = time.Duration(math.Round(*s*1000)) * time.Millisecond
	}
	job := f.Job
	if job.ID != nil {
		return wrong("job.id", "not in a schedule: each occurrence has an id of its own")
	}
	if job.DueS != nil {
		return wrong("job.dueS", "not in a schedule: say due_at")
	}
	id := spec.IDPrefix + "0"
	job.ID = &id
	s, field, reason := job.Job()
	if s == nil {
		return wrong("job."+field, "%s", reason)
	}
	d.job = *s
	return d, nil
}

// Template returns the job of the schedule, without id and deadline.
func (d *Def) Template() spec.Job { return d.job }

// Job returns the job of an occurrence.
func (d *Def) Job(number uint64, o calendar.Occurrence) spec.Job {
	s := d.job
	s.ID = JobID(number, o.Nominal)
	if !o.Due.IsZero() {
		s.Deadline, s.HasDeadline = o.Due.Sub(o.Start), true
	}
	return s
}

// MaxNumber is the largest number of a schedule: it has 8 digits of a job's id.
const MaxNumber = 99_999_999

const nominalForm = "200601021504"

// JobID returns the id of an occurrence's job: the schedule's number, which is
// never given twice, and the wall-clock time to the minute.
func JobID(number uint64, nominal time.Time) string {
	return fmt.Sprintf("%s%08d%s", spec.IDPrefix, number, nominal.Format(nominalForm))
}

// UnknownID is JobID of a schedule that has no number yet.
func UnknownID(nominal time.Time) string {
	return spec.IDPrefix + "????????" + nominal.Format(nominalForm)
}

// RequestID returns the id of the job that a request to run now makes. It has
// more digits than an occurrence's. The same request gives the same id for ever,
// so however often it is made there is one job.
func RequestID(number uint64, request string) string {
	h := fnv.New64a()
	h.Write([]byte(request))
	return fmt.Sprintf("%s%08d9%015d", spec.IDPrefix, number, h.Sum64()%1_000_000_000_000_000)
}
