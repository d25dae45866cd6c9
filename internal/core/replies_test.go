package core

import (
	"fmt"
	"testing"
	"time"

	"yewpass/internal/dispatch"
	"yewpass/internal/heartbeat"
)

// TestRepliesKeepToTheBytes: the reply to a worker that lists many tasks is held until its
// bytes fit the operators' bound, however much there is to say; a stop is not.
func TestRepliesKeepToTheBytes(t *testing.T) {
	for _, x := range []struct {
		budget float64
		tasks  int
		stop   bool
		within time.Duration // the reply goes out after this at the latest
		not    time.Duration // and not before this
	}{
		{0, 30, false, 10 * time.Millisecond, 0},
		{4096, 30, false, 900 * time.Millisecond, 700 * time.Millisecond},
		{4096, 30, true, 10 * time.Millisecond, 0},
		{500, 30, false, dispatch.MaxPaceDelay + 50*time.Millisecond, dispatch.MaxPaceDelay - 50*time.Millisecond},
	} {
		t.Run(fmt.Sprint(x), func(t *testing.T) {
			c := leaderOf(t, 3) // the third machine has 32 CPUs
			m := c.leadership.inventory.Machines()[2]
			j := newJob(c, 1, x.tasks, testRand())
			j.Spec.CPUs, j.Spec.Class, j.AnyCompleted = 1, "c", true
			j.Need = j.Spec.TaskResources()
			rep := reportOf(m)
			for i := range x.tasks {
				rep.Tasks = append(rep.Tasks, heartbeat.Task{ID: heartbeat.TaskID{Job: j.Spec.ID, Index: i}, Attempt: uint64(i) + 1, Phase: heartbeat.Running})
			}
			c.leadership.dispatcher.Pacing.BytesPerSecond = x.budget
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
					c.leadership.dispatcher.Pacing.BytesPerSecond = x.budget // housekeeping reads it from the policy
				}
				return -1
			}
			answeredAfter(rep)
			if x.stop {
				m.Attempts[0].StopRequested = true
			}
			rep.Tasks[1].Phase, rep.Tasks[1].Cause = heartbeat.Exited, heartbeat.CauseError // news that asks for orders
			if got := answeredAfter(rep); got < x.not || got > x.within {
				t.Errorf("answered after %s, not from %s to %s", got, x.not, x.within)
			}
		})
	}
}
