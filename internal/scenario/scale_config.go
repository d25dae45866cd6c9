package scenario

import (
	"math"
	"time"

	"yewpass/internal/liveconfig"
	"yewpass/internal/request"
	"yewpass/internal/view"
)

func (r *scaleRun) startConfigChanges() {
	r.admin.onAcknowledged = r.recordConfigChange
	if r.plan.ChangesADay > 0 {
		r.repeatTeamChange(time.Duration(float64(24*time.Hour) / r.plan.ChangesADay))
	}
}

func (r *scaleRun) repeatTeamChange(gap time.Duration) {
	if !r.now.Before(r.holdEnd) {
		return
	}
	r.changeTeamLimit()
	r.after(gap, func() { r.repeatTeamChange(gap) })
}

// changeTeamLimit sets a random team's CPU limit to 0.5 to 1.5 times that of the settings, but not
// below its guarantee.
func (r *scaleRun) changeTeamLimit() {
	t := r.cfg.Settings.Teams[r.rng.IntN(len(r.cfg.Settings.Teams))]
	limit := math.Ceil(t.CPUsMax * (0.5 + r.rng.Float64()))
	r.admin.set(liveconfig.Team{Name: t.Name, CPUs: t.CPUs, CPUsMax: max(limit, t.CPUs)})
}

// revisionPollInterval is the interval at which a controller's configuration revision is polled.
const revisionPollInterval = 20 * time.Millisecond

// recordConfigChange records the time until a change was acknowledged, and from then until every
// reachable controller applied it.
func (r *scaleRun) recordConfigChange(c *teamChange) {
	r.measures.configAccepted.record(c.acknowledgedAt.Sub(c.sent))
	waiting := 0
	for _, n := range r.nodes {
		if !n.alive || !r.net.reachable(n.name, unpartitionedHost) {
			continue
		}
		waiting++
		r.waitForRevision(n, c.revision, func() {
			if waiting--; waiting == 0 {
				r.measures.configApplied.record(r.now.Sub(c.acknowledgedAt))
			}
		})
	}
}

// waitForRevision calls then when a controller has applied the revision or is unreachable.
func (r *scaleRun) waitForRevision(n *node, revision uint64, then func()) {
	call := request.Request{Op: request.ConfigLocal, Config: &request.ConfigParams{}}
	r.callAt(n, call, time.Second, func(status int, a request.Response) {
		here, _ := a.Document.(view.LocalConfig)
		if status == 200 && here.Revision >= revision || !n.alive || !r.net.reachable(n.name, unpartitionedHost) {
			then()
			return
		}
		r.after(revisionPollInterval, func() { r.waitForRevision(n, revision, then) })
	})
}
