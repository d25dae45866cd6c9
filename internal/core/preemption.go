package core

import (
	"log/slog"

	"yewpass/internal/preemption"
)

// preemptForGuarantees stops tasks of teams that run beyond their guarantee where another team
// waits for its own.
func (c *Core) preemptForGuarantees() {
	l := c.leadership
	if !l.allAccounted() {
		return
	}
	stops := preemption.Plan(&preemption.State{Now: c.Now, Queue: l.placement.Queue, Machines: l.inventory.Machines(), MayStart: l.placement.MayStart, Estimate: l.placement.Estimate})
	for _, stop := range stops {
		r := stop.Attempt
		r.StopRequested = true
		if stop.DrainTime > 0 {
			r.DrainTime = stop.DrainTime
		}
		c.leadership.dispatcher.Request(r.Machine)
	}
	if len(stops) > 0 {
		c.Log(slog.LevelInfo, "preempting tasks over quota", "tasks", len(stops))
	}
}
