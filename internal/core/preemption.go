package core

import (
	"log/slog"

	"yewpass/internal/preemption"
)

// preemptForGuarantees stops tasks of teams above their guaranteed quota while another team waits
// for its own, once the failover is complete.
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
		c.leadership.dispatcher.Enqueue(r.Machine)
	}
	if len(stops) > 0 {
		c.Log(slog.LevelInfo, "preempting tasks of teams above their guarantee", "tasks", len(stops))
	}
}
