package schedule

import (
	"fmt"
	"math"
	"time"

	"yewpass/internal/calendar"
	"yewpass/internal/spec"
)

// OverlapPolicy determines what happens to an occurrence that becomes due before the job of
// the previous one has ended.
type OverlapPolicy string

// The values of the field overlap. OverlapAllow is the default.
const (
	OverlapAllow OverlapPolicy = "allow" // run in parallel
	OverlapSkip  OverlapPolicy = "skip"  // do not run
	OverlapWait  OverlapPolicy = "wait"  // run after the previous job has ended
)

// CatchUpPolicy determines what happens to late occurrences, for instance if there was no
// leader when they became due.
type CatchUpPolicy string

// The values of the field catch_up. CatchUpLatest is the default.
const (
	CatchUpLatest CatchUpPolicy = "latest" // run only the latest of them
	CatchUpNone   CatchUpPolicy = "none"   // run none of them
	CatchUpAll    CatchUpPolicy = "all"    // run all of them
)

const (
	// OnTimeTolerance is the delay up to which an occurrence counts as on time, so that
	// CatchUpPolicy does not apply. It is longer than a failover.
	OnTimeTolerance = time.Minute
	// Default and upper limit of the field catch_up_within_s.
	defaultCatchUpWindow = 24 * time.Hour
	maxCatchUpWindow     = 366 * 24 * time.Hour
)

// Definition is a validated schedule. It is not safe for concurrent use, because
// its Timing caches dates.
type Definition struct {
	Timing        *calendar.Timing
	Overlap       OverlapPolicy
	CatchUp       CatchUpPolicy
	CatchUpWindow time.Duration // occurrences with a longer delay do not run
	job           spec.Job      // template; see Template
}

// Compile validates the schedule, which may refer to the calendars in set. The
// error is a *calendar.FieldError for the first invalid field.
func (f *File) Compile(set *calendar.Set) (*Definition, error) {
	if !ValidName(f.Name) {
		return nil, fieldErrorf("name", "%q must consist of at most %d lower-case letters, digits, dots, underscores and hyphens", f.Name, maxNameBytes)
	}
	timing, err := set.ParseTiming(f.timingSpec())
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
	within, err := f.catchUpWindow()
	if err != nil {
		return nil, err
	}
	job, err := f.jobTemplate()
	if err != nil {
		return nil, err
	}
	return &Definition{Timing: timing, Overlap: overlap, CatchUp: catchUp, CatchUpWindow: within, job: *job}, nil
}

// timingSpec returns the fields that determine when the schedule runs.
func (f *File) timingSpec() calendar.TimingSpec {
	times := calendar.TimingSpec{
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
		return OverlapAllow, nil
	case OverlapAllow, OverlapSkip, OverlapWait:
		return policy, nil
	}
	return "", fieldErrorf("overlap", "%q is not one of allow, skip, wait", f.Overlap)
}

func (f *File) catchUpPolicy() (CatchUpPolicy, error) {
	switch policy := CatchUpPolicy(f.CatchUp); policy {
	case "":
		return CatchUpLatest, nil
	case CatchUpNone, CatchUpLatest, CatchUpAll:
		return policy, nil
	}
	return "", fieldErrorf("catch_up", "%q is not one of none, latest, all", f.CatchUp)
}

func (f *File) catchUpWindow() (time.Duration, error) {
	if f.CatchUpWithinS == nil {
		return defaultCatchUpWindow, nil
	}
	seconds := *f.CatchUpWithinS
	if !(seconds >= 0 && seconds <= maxCatchUpWindow.Seconds()) { // rejects NaN too
		return 0, fieldErrorf("catch_up_within_s", "out of range")
	}
	return time.Duration(math.Round(seconds*1000)) * time.Millisecond, nil
}

// jobTemplate validates the [job] table. The ID of the result is a placeholder.
func (f *File) jobTemplate() (*spec.Job, error) {
	submission := f.Job
	if submission.ID != nil {
		return nil, fieldErrorf("job.id", "not allowed in a schedule: each occurrence gets its own id")
	}
	if submission.DueS != nil {
		return nil, fieldErrorf("job.dueS", "not allowed in a schedule: use due_at")
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

// Template returns the job description that Job completes. Its ID is a placeholder, and it
// has no deadline.
func (d *Definition) Template() spec.Job { return d.job }

// Job returns the job of an occurrence. The number is that of the schedule's record.
func (d *Definition) Job(number uint64, occurrence calendar.Occurrence) spec.Job {
	job := d.job
	job.ID = JobID(number, occurrence.Nominal)
	if !occurrence.Deadline.IsZero() {
		job.Deadline = occurrence.Deadline.Sub(occurrence.Start)
		job.HasDeadline = true
	}
	return job
}
