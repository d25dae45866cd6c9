package schedule

import (
	"fmt"
	"math"
	"time"

	"yewpass/internal/calendar"
	"yewpass/internal/spec"
)

// OverlapPolicy says what happens to an occurrence that is due while the job of
// the previous one is still running.
type OverlapPolicy string

// The values of the field overlap. Allow is the default.
const (
	Allow       OverlapPolicy = "allow" // it runs in parallel
	SkipOverlap OverlapPolicy = "skip"  // it does not run
	WaitOverlap OverlapPolicy = "wait"  // it runs once the previous one has ended
)

// CatchUpPolicy says what happens to occurrences that are late, for instance
// because there was no leader when they were due.
type CatchUpPolicy string

// The values of the field catch_up. Latest is the default.
const (
	Latest CatchUpPolicy = "latest" // only the latest of them runs
	None   CatchUpPolicy = "none"   // none of them runs
	All    CatchUpPolicy = "all"    // all of them run
)

const (
	// OnTime is the delay up to which an occurrence does not count as late, and
	// CatchUpPolicy does not apply. A change of leader that coincides with a
	// thousand due occurrences is over within this time.
	OnTime = time.Minute
	// defaultWithin and maxWithin are the default and the upper limit of
	// catch_up_within_s.
	defaultWithin = 24 * time.Hour
	maxWithin     = 366 * 24 * time.Hour
)

// Def is the definition of a schedule after it has been checked. It is not safe
// for concurrent use.
type Def struct {
	Timing  *calendar.Timing
	Overlap OverlapPolicy
	CatchUp CatchUpPolicy
	Within  time.Duration // an occurrence later than this does not run
	job     spec.Job      // the template, without ID and deadline
}

// Compile checks the schedule. The set holds the calendars that it may refer to.
// The error is a *calendar.FieldError for the first invalid field.
func (f *File) Compile(set *calendar.Set) (*Def, error) {
	if !ValidName(f.Name) {
		return nil, fieldErrorf("name", "%q is not of lower-case letters, digits, dots, underscores and hyphens, %d at the most", f.Name, maxNameBytes)
	}
	timing, err := set.Timing(f.times())
	if err != nil {
		return nil, err
	}
	overlap, err := f.overlapPolicy()
	if err != nil {
		return nil, err
	}
	catchUp, err := f.catchUpPolicy()
	if err != nil {
		return nil, err
	}
	within, err := f.catchUpWithin()
	if err != nil {
		return nil, err
	}
	job, err := f.jobTemplate()
	if err != nil {
		return nil, err
	}
	return &Def{Timing: timing, Overlap: overlap, CatchUp: catchUp, Within: within, job: *job}, nil
}

// times returns the fields that determine when the schedule runs.
func (f *File) times() calendar.Times {
	times := calendar.Times{
		Zone:      f.Zone,
		Rule:      f.Rule,
		At:        f.At,
		Calendar:  f.Calendar,
		OnHoliday: f.OnHoliday,
		DueAt:     f.DueAt,
	}
	if f.Starts != nil {
		times.Starts = f.Starts.AsTime(time.UTC)
	}
	if f.Ends != nil {
		times.Ends = f.Ends.AsTime(time.UTC)
	}
	return times
}

func (f *File) overlapPolicy() (OverlapPolicy, error) {
	switch policy := OverlapPolicy(f.Overlap); policy {
	case "":
		return Allow, nil
	case Allow, SkipOverlap, WaitOverlap:
		return policy, nil
	}
	return "", fieldErrorf("overlap", "%q is none of allow, skip, wait", f.Overlap)
}

func (f *File) catchUpPolicy() (CatchUpPolicy, error) {
	switch policy := CatchUpPolicy(f.CatchUp); policy {
	case "":
		return Latest, nil
	case None, Latest, All:
		return policy, nil
	}
	return "", fieldErrorf("catch_up", "%q is none of none, latest, all", f.CatchUp)
}

func (f *File) catchUpWithin() (time.Duration, error) {
	if f.CatchUpWithinS == nil {
		return defaultWithin, nil
	}
	seconds := *f.CatchUpWithinS
	if !(seconds >= 0 && seconds <= maxWithin.Seconds()) { // also true for NaN
		return 0, fieldErrorf("catch_up_within_s", "out of range")
	}
	return time.Duration(math.Round(seconds*1000)) * time.Millisecond, nil
}

// jobTemplate checks the [job] table. The ID of the result is a placeholder.
func (f *File) jobTemplate() (*spec.Job, error) {
	submission := f.Job
	if submission.ID != nil {
		return nil, fieldErrorf("job.id", "not in a schedule: each occurrence has an id of its own")
	}
	if submission.DueS != nil {
		return nil, fieldErrorf("job.dueS", "not in a schedule: say due_at")
	}
	placeholder := spec.IDPrefix + "0"
	submission.ID = &placeholder
	job, field, reason := submission.Job()
	if job == nil {
		return nil, fieldErrorf("job."+field, "%s", reason)
	}
	return job, nil
}

func fieldErrorf(field, format string, args ...any) error {
	return &calendar.FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Template returns the job that occurrences are made from. Its ID is a
// placeholder, and it has no deadline.
func (d *Def) Template() spec.Job { return d.job }

// Job returns the job of an occurrence, for the schedule with the given number.
func (d *Def) Job(number uint64, occurrence calendar.Occurrence) spec.Job {
	job := d.job
	job.ID = JobID(number, occurrence.Nominal)
	if !occurrence.Due.IsZero() {
		job.Deadline = occurrence.Due.Sub(occurrence.Start)
		job.HasDeadline = true
	}
	return job
}
