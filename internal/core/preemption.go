package core

import (
	"cmp"
	"log/slog"
	"slices"
	"time"
	"yewpass/internal/heartbeat"
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
	seen := map[*team]int64{}
	for _, j := range l.queue {
		t := j.team
		if t.guaranteed.CPU == 0 || !c.mayStart(j) || c.Now.Sub(j.submitted) < preemptAfter || t.allocated.CPU+j.need.CPU > t.guaranteed.CPU {
			continue
		}
		left, ok := seen[t]
		if !ok {
			left = t.guaranteed.CPU - t.allocated.CPU
		}
		n := min(left, int64(j.reserved)*j.need.CPU)
		seen[t] = left - n
		short += n
	}
	for _, m := range l.fleet {
		if m.usable() && m.reported {
			short -= m.room().CPU
		}
	}
	if short <= 0 {
		return
	}
	for _, m := range l.fleet { // what is being stopped already
		for _, r := range m.attempts {
			if r.stopRequested && r.occupies {
				short -= r.need.CPU
			}
		}
	}
	if short <= 0 {
		return
	}
	type borrower struct {
		r    *attempt
		loss time.Duration
	}
	var bs []borrower
	lasts := map[*job]time.Duration{} // as estimated: a job's tasks are many
	for _, m := range l.fleet {
		if !m.usable() || !m.reported {
			continue
		}
		for _, r := range m.attempts {
			if !r.occupies || r.stopRequested || r.phase != heartbeat.TaskRuns || r.job.team.allocated.CPU <= r.job.team.guaranteed.CPU {
				continue
			}
			// What cannot save loses all: it is stopped only when it has hardly
			// begun and would keep the room for long.
			loss := r.job.spec.CheckpointTime
			if r.job.spec.CheckpointInterval <= 0 {
				if r.foundRunning {
					continue // it may have run for long: to a new leader all look begun just now
				}
				loss = c.Now.Sub(r.startedAt)
				if !r.job.spec.Service {
					d, ok := lasts[r.job]
					if !ok {
						d = c.estimate(r.job)
						lasts[r.job] = d
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
	over := map[*team]int64{}
	stopped := 0
	for _, b := range bs {
		t := b.r.job.team
		if _, ok := over[t]; !ok {
			over[t] = t.allocated.CPU - t.guaranteed.CPU
		}
		if short <= 0 || over[t] < b.r.need.CPU {
			continue
		}
		over[t] -= b.r.need.CPU
		short -= b.r.need.CPU
		b.r.stopRequested = true
		c.requestDispatch(b.r.machine)
		if b.r.job.spec.CheckpointInterval > 0 {
			b.r.drainTime = b.r.job.spec.CheckpointTime + time.Second
		}
		stopped++
	}
	if stopped > 0 {
		c.Log(slog.LevelInfo, "borrowers give back", "tasks", stopped)
	}
}
