package autoscaler

import (
	"log/slog"
	"time"

	"yewpass/internal/fleet"
)

const (
	// maxTimeBesideDraining is how long a job may wait for its next start while a draining machine
	// has room for it.
	maxTimeBesideDraining = 10 * time.Second
	// maxJobsCompared bounds how many jobs are compared with the draining machines in one call.
	maxJobsCompared = 32
)

// returnNeededMachines returns draining machines to service for jobs that wait although one of them
// has room. A drain may last for as long as the tasks on the machine, and the machine may be the
// only one that fits.
func (a *Autoscaler) returnNeededMachines() {
	draining := a.drainingMachines()
	if len(draining) == 0 {
		return
	}
	var waiting []*fleet.Job
	for _, j := range a.state.Queue() {
		if a.Now.Sub(j.WaitsSince()) >= maxTimeBesideDraining {
			waiting = append(waiting, j)
		}
	}
	for _, j := range leastRecent(waiting, maxJobsCompared, func(j *fleet.Job) time.Time { return j.ExaminedForReturn }) {
		j.ExaminedForReturn = a.Now
		if a.returnToService(draining, j) {
			if draining = a.drainingMachines(); len(draining) == 0 {
				return
			}
		}
	}
}

func (a *Autoscaler) drainingMachines() (list []*fleet.Machine) {
	for _, m := range a.state.Machines() {
		if m.Draining && !m.Releasing {
			list = append(list, m)
		}
	}
	return list
}

// returnToService returns the first of the draining machines that has room for a task of the job,
// and reports whether there is one.
func (a *Autoscaler) returnToService(draining []*fleet.Machine, j *fleet.Job) bool {
	for _, m := range draining {
		if m.HasRoomAfterDrain(j, a.Now) && a.state.MayStartOn(j, m) {
			m.Draining, m.ReturnedAt = false, a.Now
			a.Log(slog.LevelInfo, "returning draining machine to service", "machine", m.Host, "type", m.TypeName, "job", j.Spec.ID)
			return true
		}
	}
	return false
}
