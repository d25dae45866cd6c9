package placement

import (
	"container/heap"
	"time"

	"yewpass/internal/fleet"
)

// offer is a slot on a machine for a task of a job.
type offer struct {
	machine      *fleet.Machine
	start        time.Time
	length       time.Duration
	machineIndex int // index in Leader.Machines
}

// offerHeap is a heap of the offers for one job, best first: the latest start if the job has a
// deadline to meet, otherwise the earliest. Ties go to the machine with the most free CPUs.
type offerHeap struct {
	list        []offer
	hasDeadline bool
}

// Len implements heap.Interface.
func (h *offerHeap) Len() int { return len(h.list) }

// Swap implements heap.Interface.
func (h *offerHeap) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }

// Less implements heap.Interface: the best offer first.
func (h *offerHeap) Less(i, j int) bool {
	a, b := &h.list[i], &h.list[j]
	if x := a.start.Compare(b.start); x != 0 {
		return x > 0 == h.hasDeadline
	}
	if x, y := a.machine.FreeResources().CPU, b.machine.FreeResources().CPU; x != y {
		return x > y
	}
	return a.machineIndex < b.machineIndex
}

// Push implements heap.Interface.
func (h *offerHeap) Push(x any) { h.list = append(h.list, x.(offer)) }

// Pop implements heap.Interface.
func (h *offerHeap) Pop() any {
	last := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return last
}

// collectOffers returns the best slot of every eligible machine, and whether any machine is
// eligible. A reservation changes only the offer of its own machine, so one search serves many
// tasks of the job.
func (s *Scheduler) collectOffers(j *fleet.Job, base time.Duration, deadline time.Time, hasDeadline bool) (h *offerHeap, anyMachine bool) {
	h = &offerHeap{list: s.offerBuffer[:0], hasDeadline: hasDeadline}
	for i, m := range s.leader.Machines() {
		if !m.EligibleFor(j, s.now()) {
			continue
		}
		anyMachine = true
		d := fleet.ReservationDuration(j, m, base)
		if start, ok := s.findSlot(j, m, d, deadline, hasDeadline); ok {
			h.list = append(h.list, offer{m, start, d, i})
		}
	}
	s.offerBuffer = h.list
	heap.Init(h)
	return h, anyMachine
}

func (s *Scheduler) earliestStart(m *fleet.Machine) time.Time {
	if !m.Reported && m.ReadyAt.After(s.now()) {
		return m.ReadyAt
	}
	return s.now()
}

// findSlot returns the latest start on the machine that meets the deadline, or the earliest
// possible start if there is no deadline to meet.
func (s *Scheduler) findSlot(j *fleet.Job, m *fleet.Machine, length time.Duration, deadline time.Time, hasDeadline bool) (time.Time, bool) {
	from := s.earliestStart(m)
	if hasDeadline {
		return m.Timeline.LatestStart(from, deadline, length, j.Need)
	}
	return m.Timeline.EarliestStart(from, length, j.Need)
}
