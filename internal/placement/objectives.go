package placement

import (
	"slices"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/fleet"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
)

// objective is a time by which the tasks of a job should finish.
type objective struct {
	deadline time.Time
	wholeJob bool // all tasks have to meet it; otherwise each task counts individually
}

// nextObjective returns the earliest objective that a task with the given expected runtime can
// still meet, among the user's deadline and the service-level objectives. An objective on the
// waiting time counts as a deadline one runtime later. ok is false if none can be met.
func (s *Scheduler) nextObjective(j *fleet.Job, length time.Duration) (best objective, ok bool) {
	return s.nextObjectiveFrom(j, s.now(), j.MissedObjectivesUntil, length)
}

// nextObjectiveFrom is nextObjective for a task that starts no earlier than from. It ignores
// objectives up to missed.
func (s *Scheduler) nextObjectiveFrom(j *fleet.Job, from, missed time.Time, length time.Duration) (best objective, ok bool) {
	earliest := from.Add(length)
	s.forEachObjective(j, length, func(o objective) {
		if !o.deadline.Before(earliest) && o.deadline.After(missed) && (!ok || o.deadline.Before(best.deadline)) {
			best, ok = o, true
		}
	})
	return best, ok
}

// earlyFinishPercent is the percentage of the time allowed by a "finished" objective that is tried
// as a deadline first, because the slowest tasks of a large array, which take twice as long as most,
// would miss the objective if they
// started as late as possible. Idle jobs have no early deadline.
const earlyFinishPercent = 60

// forEachObjective calls f with every objective of the job, given its tasks' expected runtime.
// Services have none.
func (s *Scheduler) forEachObjective(j *fleet.Job, length time.Duration, f func(objective)) {
	if j.Spec.Service {
		return
	}
	if j.Spec.HasDeadline {
		f(objective{j.Submitted.Add(j.Spec.Deadline), true})
	}
	for _, o := range s.cfg.Settings.Objectives {
		if o.Class != "" && o.Class != j.Spec.Class {
			continue
		}
		within := o.Within.Duration()
		switch o.Kind {
		case "deadline":
			if j.Spec.HasDeadline && o.Times > 1 {
				f(objective{j.Submitted.Add(timeline.Seconds(j.Spec.Deadline.Seconds() * o.Times)), true})
			}
		case "wait":
			f(objective{j.Submitted.Add(within + length), false})
		case "finished":
			if j.Spec.Urgency > spec.Idle {
				f(objective{j.Submitted.Add(within * earlyFinishPercent / 100), true})
			}
			f(objective{j.Submitted.Add(within), true})
		case "guarantee":
			if j.Team.Guaranteed.CPU > 0 || j.Team.Guaranteed.GPU > 0 {
				f(objective{j.Submitted.Add(within + length), false})
			}
		}
	}
}

// IsLatencySensitive reports whether jobs of the class have an objective on their waiting time that
// applies to every team.
func (s *Scheduler) IsLatencySensitive(class string) bool {
	return slices.ContainsFunc(s.cfg.Settings.Objectives, func(o config.Objective) bool {
		return o.Kind == "wait" && (o.Class == "" || o.Class == class)
	})
}

// isBestEffort reports whether an idle job has neither a deadline nor an objective. Such a job is
// delayed in the queue; otherwise it would start before every job that has missed an objective.
func (s *Scheduler) isBestEffort(j *fleet.Job) bool {
	if j.Spec.Urgency != spec.Idle || j.Spec.Service {
		return false
	}
	none := true
	s.forEachObjective(j, 0, func(objective) { none = false })
	return none
}

// delayedWhenLate reports whether a task with the given expected runtime is delayed in the queue
// once it can meet no objective. Tasks that could not meet any even when submitted are not: they
// are long, and starting them late would keep machines running after all other work has finished.
func (s *Scheduler) delayedWhenLate(j *fleet.Job, length time.Duration) bool {
	_, ok := s.nextObjectiveFrom(j, j.Submitted, j.Submitted.Add(length*11/10), length)
	return ok
}
