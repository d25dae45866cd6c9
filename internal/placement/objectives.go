package placement

import (
	"slices"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/fleet"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
)

// objective is a time by which a job's tasks should be over.
type objective struct {
	deadline time.Time
	wholeJob bool // all tasks have to meet it; otherwise each one counts
}

// nextObjective returns the objective to be met by a task of the job that runs for about
// length: of the user's deadline and the operators' objectives the most pressing one that
// can still be met. An objective on waiting counts as a deadline one run time later. ok is
// false if none can be met any more.
func (s *Scheduler) nextObjective(j *fleet.Job, length time.Duration) (best objective, ok bool) {
	return s.nextObjectiveFrom(j, s.now(), j.MissedObjectivesUntil, length)
}

// nextObjectiveFrom is nextObjective as seen at the time from, for objectives after missed.
func (s *Scheduler) nextObjectiveFrom(j *fleet.Job, from, missed time.Time, length time.Duration) (best objective, ok bool) {
	earliest := from.Add(length)
	s.forEachObjective(j, length, func(o objective) {
		if !o.deadline.Before(earliest) && o.deadline.After(missed) && (!ok || o.deadline.Before(best.deadline)) {
			best, ok = o, true
		}
	})
	return best, ok
}

// earlyFinishPercent is the part of the time that an objective gives a job to finish
// which is tried first, in hundredths: the last task of a large array takes twice as long as
// most do, and if it were started as late as possible it would be too late. Idle jobs give
// way to others instead.
const earlyFinishPercent = 60

// forEachObjective calls f with every objective of the job, whose tasks run for about length.
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

// IsLatencySensitive reports whether jobs of the class have an objective on waiting that holds
// for every team.
func (s *Scheduler) IsLatencySensitive(class string) bool {
	return slices.ContainsFunc(s.cfg.Settings.Objectives, func(o config.Objective) bool {
		return o.Kind == "wait" && (o.Class == "" || o.Class == class)
	})
}

// isBestEffort reports whether nothing is expected of an idle job: it has no deadline and
// no objective of the operators. It is put back in the queue like one that is late.
// Otherwise it would go ahead of everything that has missed an objective, and a guest's
// spare-time work would take the room of the regular classes.
func (s *Scheduler) isBestEffort(j *fleet.Job) bool {
	if j.Spec.Urgency != spec.Idle || j.Spec.Service {
		return false
	}
	none := true
	s.forEachObjective(j, 0, func(objective) { none = false })
	return none
}

// delayedWhenLate reports whether a task that takes so long and can meet no objective any more
// is put back in the queue. One that could not have met any from the start is not: such
// tasks are long, and started late they would keep machines up when all else is over.
func (s *Scheduler) delayedWhenLate(j *fleet.Job, length time.Duration) bool {
	_, ok := s.nextObjectiveFrom(j, j.Submitted, j.Submitted.Add(length*11/10), length)
	return ok
}
