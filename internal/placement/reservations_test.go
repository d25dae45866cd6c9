package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/timeline"
)

// plainReserve is a simple version of Reserve that searches all machines for every reservation.
func (c *cluster) plainReserve(j *fleet.Job) {
	base := c.paddedEstimate(j)
	target, hasDeadline := c.nextObjective(j, base)
	for n := min(j.Waiting, reservationWindow) - j.Reserved; n > 0; n = min(j.Waiting, reservationWindow) - j.Reserved {
		var delay, delayPerTask time.Duration
		var best *fleet.Machine
		var start time.Time
		var length time.Duration
		for _, m := range c.machines {
			if !m.EligibleFor(j, c.engine.Now) {
				continue
			}
			d := c.ReservationDuration(j, m)
			s, ok := c.findSlot(j, m, d, target.deadline, hasDeadline)
			if ok && (best == nil || s.Equal(start) && best.FreeResources().CPU < m.FreeResources().CPU || !s.Equal(start) && s.After(start) == hasDeadline) {
				best, start, length = m, s, d
			}
		}
		if best == nil && hasDeadline {
			j.MissedObjectivesUntil = target.deadline
			if target.wholeJob {
				c.DropReservations(j)
			}
			target, hasDeadline = c.nextObjective(j, base)
			continue
		}
		if best == nil {
			return
		}
		k := max(best.Timeline.FitCount(start, length, j.Need, n), 1)
		if !hasDeadline && (c.delayedWhenLate(j, length) || c.isBestEffort(j)) {
			delay, delayPerTask = c.queueDelay(j, start)
		}
		c.addReservation(&fleet.Reservation{Booking: timeline.Booking{Start: start, End: start.Add(length), Need: j.Need, Count: k}, Job: j, Machine: best, QueueDelay: delay, QueueDelayPerTask: delayPerTask})
		c.Queue.Reposition(j)
	}
}

// TestReserveMatchesPlainSearch checks on random fleets and queues that Reserve and plainReserve
// make the same reservations.
func TestReserveMatchesPlainSearch(t *testing.T) {
	for seed := range uint64(60) {
		rng, twin := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 1))
		n := 1 + rng.IntN(60)
		twin.IntN(60)
		fast, plain := newCluster(n), newCluster(n)
		for _, x := range []struct {
			c *cluster
			r *rand.Rand
		}{{fast, rng}, {plain, twin}} {
			for _, m := range x.c.machines {
				if x.r.IntN(2) == 0 {
					m.Images.Add(fmt.Sprint("img", x.r.IntN(6)), struct{}{})
				}
				if x.r.IntN(3) == 0 {
					m.Reported, m.ReadyAt = false, t0.Add(time.Duration(x.r.IntN(40))*time.Second)
				}
			}
		}
		for i := range 1 + rng.IntN(25) {
			if i == 0 {
				twin.IntN(25)
			}
			tasks := 1 + rng.IntN(300)
			twin.IntN(300)
			a, b := fast.newJob(i, tasks, rng), plain.newJob(i, tasks, twin)
			fast.Reserve(a)
			plain.plainReserve(b)
			if len(a.Reservations) != len(b.Reservations) {
				t.Fatalf("seed %d, job %d: %d reservations, plain search has %d", seed, i, len(a.Reservations), len(b.Reservations))
			}
			for k := range a.Reservations {
				x, y := a.Reservations[k], b.Reservations[k]
				if x.Machine.Host != y.Machine.Host || !x.Start.Equal(y.Start) || x.Count != y.Count {
					t.Fatalf("seed %d, job %d, reservation %d: %s at %v for %d, plain search has %s at %v for %d", seed, i, k,
						x.Machine.Host, x.Start.Sub(t0), x.Count, y.Machine.Host, y.Start.Sub(t0), y.Count)
				}
			}
		}
	}
}
