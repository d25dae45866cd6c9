package core

import (
	"fmt"
	"testing"
	"time"

	"yewpass/internal/dispatch"
	"yewpass/internal/heartbeat"
)

// TestReplyPacingByBytes checks that the reply to a worker with many tasks is delayed to keep the
// configured byte rate, up to a maximum delay, and that a reply with a stop order is not delayed.
func TestReplyPacingByBytes(t *testing.T) {
	for _, x := range []struct {
		bytesPerSecond float64
		tasks          int
		stop           bool
		latest         time.Duration
		earliest       time.Duration
	}{
		{0, 30, false, 10 * time.Millisecond, 0},
		{4096, 30, false, 900 * time.Millisecond, 700 * time.Millisecond},
		{4096, 30, true, 10 * time.Millisecond, 0},
		{500, 30, false, dispatch.MaxPaceDelay + 50*time.Millisecond, dispatch.MaxPaceDelay - 50*time.Millisecond},
	} {
		t.Run(fmt.Sprint(x), func(t *testing.T) {
			c := newLeader(t, 3) // the third machine has 32 CPUs
			m := c.leadership.inventory.Machines()[2]
			j := newJob(c, 1, x.tasks, testRand())
			j.Spec.CPUs, j.Spec.Class, j.AnyCompleted = 1, "c", true
			j.Need = j.Spec.TaskResources()
			rep := nextReport(m)
			for i := range x.tasks {
				rep.Tasks = append(rep.Tasks, heartbeat.Task{ID: heartbeat.TaskID{Job: j.Spec.ID, Index: i}, Attempt: uint64(i) + 1, Phase: heartbeat.Running})
			}
			c.leadership.dispatcher.Pacing.BytesPerSecond = x.bytesPerSecond
			answeredAfter := func(rep heartbeat.Report) time.Duration {
				rep.Counter = m.Counter + 1
				at := c.Now
				outs := c.Step(at, heartbeat.Received{Ref: uint64(rep.Counter), Report: rep})
				for d := time.Duration(0); d < 4*time.Second; d += 10 * time.Millisecond {
					for _, o := range outs {
						if a, ok := o.(heartbeat.Reply); ok && a.Status == 200 {
							return d
						}
					}
					outs = c.Step(at.Add(d), Tick{})
					c.leadership.dispatcher.Pacing.BytesPerSecond = x.bytesPerSecond // the fleet tick resets it from the policy
				}
				return -1
			}
			answeredAfter(rep)
			if x.stop {
				m.Attempts[0].StopRequested = true
			}
			rep.Tasks[1].Phase, rep.Tasks[1].Cause = heartbeat.Exited, heartbeat.CauseError // a change that requires orders
			if got := answeredAfter(rep); got < x.earliest || got > x.latest {
				t.Errorf("answered after %s, want between %s and %s", got, x.earliest, x.latest)
			}
		})
	}
}
