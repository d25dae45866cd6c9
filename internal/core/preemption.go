package core

import (
	"cmp"
	"log/slog"
	"slices"
	"time"
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/quota"
)

// preemptAfter is how long work within a guarantee waits before borrowers have to
// give back: an ordinary end of a task often makes the room sooner.
const preemptAfter = 4 * time.Second

// preemptBorrowers stops tasks that teams run beyond their own guarantee where another
// team waits for its own. Those go first that lose the least; tasks that save
// are let save.
func (c *Core) preemptBorrowers() {
	l := c.leadership
	if !l.allAccounted() {
		return
	}
	short := int64(0)
	seen := map[*quota.Account]int64{}
	for _, j := range l.placement.Queue {
		t := j.Team
		if t.Guaranteed.CPU == 0 || !c.leadership.placement.MayStart(j) || c.Now.Sub(j.Submitted) < preemptAfter || t.Allocated.CPU+j.Need.CPU > t.Guaranteed.CPU {
			continue
		}
		left, ok := seen[t]
		if !ok {
			left = t.Guaranteed.CPU - t.Allocated.CPU
		}
		n := min(left, int64(j.Reserved)*j.Need.CPU)
		seen[t] = left - n
		short += n
	}
	for _, m := range l.fleet {
		if m.Usable() && m.Reported {
			short -= m.Room().CPU
		}
	}
	if short <= 0 {
		return
	}
	for _, m := range l.fleet { // what is being stopped already
		for _, r := range m.Attempts {
			if r.StopRequested && r.Occupies {
				short -= r.Need.CPU
			}
		}
	}
	if short <= 0 {
		return
	}
	type borrower struct {
		r    *fleet.Attempt
		loss time.Duration
	}
	var bs []borrower
	lasts := map[*fleet.Job]time.Duration{} // as estimated: a job's tasks are many
	for _, m := range l.fleet {
		if !m.Usable() || !m.Reported {
			continue
		}
		for _, r := range m.Attempts {
			if !r.Occupies || r.StopRequested || r.Phase != heartbeat.TaskRuns || r.Job.Team.Allocated.CPU <= r.Job.Team.Guaranteed.CPU {
				continue
			}
			// What cannot save loses all: it is stopped only when it has hardly
			// begun and would keep the room for long.
			loss := r.Job.Spec.CheckpointTime
			if r.Job.Spec.CheckpointInterval <= 0 {
				if r.FoundRunning {
					continue // it may have run for long: to a new leader all look begun just now
				}
				loss = c.Now.Sub(r.StartedAt)
				if !r.Job.Spec.Service {
					d, ok := lasts[r.Job]
					if !ok {
						d = c.leadership.placement.Estimate(r.Job)
						lasts[r.Job] = d
					}
					if d-loss < 6*loss+time.Minute {
						continue
					}
				}
			}
			bs = append(bs, borrower{r, loss})
		}
	}
	slices.SortStableFunc(bs, func(a, b borrower) int { return cmp.Compare(a.loss, b.loss) })
	over := map[*quota.Account]int64{}
	stopped := 0
	for _, b := range bs {
		t := b.r.Job.Team
		if _, ok := over[t]; !ok {
			over[t] = t.Allocated.CPU - t.Guaranteed.CPU
		}
		if short <= 0 || over[t] < b.r.Need.CPU {
			continue
		}
		over[t] -= b.r.Need.CPU
		short -= b.r.Need.CPU
		b.r.StopRequested = true
		c.requestDispatch(b.r.Machine)
		if b.r.Job.Spec.CheckpointInterval > 0 {
			b.r.DrainTime = b.r.Job.Spec.CheckpointTime + time.Second
		}
		stopped++
	}
	if stopped > 0 {
		c.Log(slog.LevelInfo, "preempting tasks over quota", "tasks", stopped)
	}
}
