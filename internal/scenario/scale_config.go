package scenario

import (
	"math"
	"time"

	"yewpass/internal/liveconfig"
	"yewpass/internal/request"
	"yewpass/internal/view"
)

// configure begins the plan's changes of configuration.
func (r *scaleRun) configure() {
	r.admin.onAcknowledged = r.toldOfChange
	if r.plan.ChangesADay > 0 {
		r.changeEvery(time.Duration(float64(24*time.Hour) / r.plan.ChangesADay))
	}
}

func (r *scaleRun) changeEvery(gap time.Duration) {
	if !r.now.Before(r.ended) {
		return
	}
	r.changeTeam()
	r.after(gap, func() { r.changeEvery(gap) })
}

// changeTeam moves a team's limit up or down.
func (r *scaleRun) changeTeam() {
	t := r.cfg.Settings.Teams[r.rng.IntN(len(r.cfg.Settings.Teams))]
	most := math.Ceil(t.CPUsMax * (0.5 + r.rng.Float64()))
	r.admin.set(liveconfig.Team{Name: t.Name, CPUs: t.CPUs, CPUsMax: max(most, t.CPUs)})
}

// lookAgain is how often a controller is asked whether it has a revision.
const lookAgain = 20 * time.Millisecond

// toldOfChange measures how long a change takes to be in force at every controller that can
// be reached.
func (r *scaleRun) toldOfChange(c *teamChange) {
	r.measures.changes.record(c.acknowledgedAt.Sub(c.sent))
	waiting := 0
	for _, n := range r.nodes {
		if !n.alive || !r.net.reachable(n.name, outsider) {
			continue
		}
		waiting++
		r.awaitRevision(n, c.revision, func() {
			if waiting--; waiting == 0 {
				r.measures.inForce.record(r.now.Sub(c.acknowledgedAt))
			}
		})
	}
}

// awaitRevision calls then once a controller has a revision, or is away.
func (r *scaleRun) awaitRevision(n *node, revision uint64, then func()) {
	call := request.Request{Op: request.ConfigLocal, Config: &request.ConfigParams{}}
	r.callAt(n, call, time.Second, func(status int, a request.Response) {
		here, _ := a.Document.(view.LocalConfig)
		if status == 200 && here.Revision >= revision || !n.alive || !r.net.reachable(n.name, outsider) {
			then()
			return
		}
		r.after(lookAgain, func() { r.awaitRevision(n, revision, then) })
	})
}
