package scenario

import (
	"math"
	"slices"
	"strings"
	"time"

	"yewpass/internal/liveconfig"
	"yewpass/internal/request"
	"yewpass/internal/view"
)

// configDeadline is how soon an acknowledged configuration change must be in force.
const configDeadline = 3 * time.Second

// teamChange is a change of a team's configuration. A team's changes are sent one at a time.
type teamChange struct {
	team           liveconfig.Team
	baseRevision   uint64 // revision of the team's previous change
	sent           time.Time
	acknowledgedAt time.Time // zero until its user receives the acknowledgement
	revision       uint64
}

// inForce reports whether the change must be in force by now.
func (c *teamChange) inForce(now time.Time) bool {
	return !c.acknowledgedAt.IsZero() && now.Sub(c.acknowledgedAt) >= configDeadline
}

// configAdmin simulates an operator who changes teams. It tracks which changes may be in force.
type configAdmin struct {
	w               *world
	changes         map[string][]*teamChange
	queued          map[string][]liveconfig.Team // by team, to be sent after the pending change
	highestRevision uint64                       // highest acknowledged revision
	onAcknowledged  func(*teamChange)            // called when a change is acknowledged, unless nil
}

func newConfigAdmin(w *world) *configAdmin {
	return &configAdmin{w: w, changes: map[string][]*teamChange{}, queued: map[string][]liveconfig.Team{}}
}

// set changes a team, after its pending changes.
func (a *configAdmin) set(t liveconfig.Team) {
	last := a.latest(t.Name)
	if last != nil && last.acknowledgedAt.IsZero() {
		a.queued[t.Name] = append(a.queued[t.Name], t)
		return
	}
	c := &teamChange{team: t, sent: a.w.now}
	if last != nil {
		c.baseRevision = last.revision
	}
	a.changes[t.Name] = append(a.changes[t.Name], c)
	a.send(c)
}

func (a *configAdmin) latest(team string) *teamChange {
	cs := a.changes[team]
	if len(cs) == 0 {
		return nil
	}
	return cs[len(cs)-1]
}

// send sends a change and retries it until it is acknowledged.
func (a *configAdmin) send(c *teamChange) {
	w := a.w
	call := request.Request{Op: request.ConfigSet, Config: &request.ConfigParams{Teams: []liveconfig.TeamChange{{Team: c.team, IfRevision: &c.baseRevision}}}}
	w.call(call, 5*time.Second, func(status int, ans request.Response) {
		made, ok := changedDoc(ans)
		switch {
		case status == 200 && ok:
			a.changeApplied(c, made.Revision)
		case status == 0 || status == 503:
			w.occurrences["config-again"]++
			w.after(retryDelay(ans), func() { a.send(c) })
		default:
			w.fail("misuse", "a change of team %s gets status %d: %s", c.team.Name, status, ans.Reason)
		}
	})
}

func changedDoc(ans request.Response) (view.ConfigChanged, bool) {
	made, ok := ans.Document.(view.ConfigChanged)
	return made, ok
}

func (a *configAdmin) changeApplied(c *teamChange, revision uint64) {
	w := a.w
	if revision == 0 && !slices.Contains(w.baseTeam(c.team.Name), c.team) { // only a change without effect has revision 0
		w.fail("went_back", "a change of team %s is acknowledged without a revision", c.team.Name)
	}
	c.acknowledgedAt, c.revision = w.now, revision
	a.highestRevision = max(a.highestRevision, revision)
	w.occurrences["config-told"]++
	w.after(configDeadline, func() { w.checkLeaderRevision(revision) })
	if a.onAcknowledged != nil {
		a.onAcknowledged(c)
	}
	if next := a.queued[c.team.Name]; len(next) > 0 {
		a.queued[c.team.Name] = next[1:]
		a.set(next[0])
	}
}

// settled reports whether every change has been acknowledged.
func (a *configAdmin) settled() bool {
	for _, cs := range a.changes {
		if slices.ContainsFunc(cs, func(c *teamChange) bool { return c.acknowledgedAt.IsZero() }) {
			return false
		}
	}
	for _, ts := range a.queued {
		if len(ts) > 0 {
			return false
		}
	}
	return true
}

// possibleTeams returns the configurations of a team that may be in force at the given time or
// later: those from the latest change that must be in force by then.
func (a *configAdmin) possibleTeams(name string, at time.Time) []liveconfig.Team {
	cs := a.changes[name]
	from := -1
	for i, c := range cs {
		if c.inForce(at) {
			from = i
		}
	}
	var teams []liveconfig.Team
	if from < 0 {
		from = 0
		teams = append(teams, a.w.baseTeam(name)...)
	}
	for _, c := range cs[from:] {
		teams = append(teams, c.team)
	}
	return teams
}

// baseTeam returns the team of the settings, or none if the settings lack it.
func (w *world) baseTeam(name string) []liveconfig.Team {
	for _, t := range w.cfg.Settings.Teams {
		if t.Name == name {
			return []liveconfig.Team{{Name: t.Name, CPUs: t.CPUs, CPUsMax: t.CPUsMax, GPUs: t.GPUs, GPUsMax: t.GPUsMax}}
		}
	}
	return nil
}

// changedAtRuntime reports whether a team was ever changed. Its limit is then checked only at task
// starts, since running tasks continue under a lower limit.
func (w *world) changedAtRuntime(name string) bool { return len(w.admin.changes[name]) > 0 }

// checkLiveLimit checks that a task start respects a limit that may be in force. The leader decided
// it no earlier than the report that the order answers.
func (w *world) checkLiveLimit(t *task, reported time.Time) {
	name := t.job.spec.Owner
	if w.checksOff || !w.changedAtRuntime(name) {
		return
	}
	most := func(amount func(liveconfig.Team) float64) float64 {
		largest := 0.0
		for _, team := range w.admin.possibleTeams(name, reported) {
			if v := amount(team); v == 0 {
				return math.Inf(1)
			} else {
				largest = max(largest, v)
			}
		}
		return largest
	}
	const eps = 1e-6
	u := w.allocations.used(name)
	cpus, gpus := most(func(t liveconfig.Team) float64 { return t.CPUsMax }), most(func(t liveconfig.Team) float64 { return t.GPUsMax })
	if t.job.spec.CPUs > 0 && u.cpus > cpus+eps || t.job.spec.GPUs > 0 && u.gpus > gpus+eps {
		w.fail("stale_config", "%s starts while team %s uses %.1f CPUs, limit %.1f", t.id, name, u.cpus, cpus)
	}
}

// checkAdmitted checks the decision on a job against the team configurations that may have been in
// force since its first submission (accepted) or its latest one (rejected).
func (w *world) checkAdmitted(j *userJob, accepted bool) {
	name := j.spec.Owner
	if !w.changedAtRuntime(name) {
		return
	}
	retired := func(t liveconfig.Team) bool { return t.Retired }
	if accepted {
		if teams := w.admin.possibleTeams(name, j.firstSubmitted); len(teams) > 0 && !slices.ContainsFunc(teams, func(t liveconfig.Team) bool { return !t.Retired }) {
			w.fail("stale_config", "%s is accepted for retired team %s", j.spec.ID, name)
		}
		return
	}
	unknown := len(w.baseTeam(name)) == 0 && !slices.ContainsFunc(w.admin.changes[name], func(c *teamChange) bool { return c.inForce(j.lastSubmitted) })
	if !unknown && !slices.ContainsFunc(w.admin.possibleTeams(name, j.lastSubmitted), retired) {
		w.fail("stale_config", "%s is rejected for existing team %s", j.spec.ID, name)
	}
}

// checkLeaderRevision checks that a leader with authority uses the revision or a newer one.
func (w *world) checkLeaderRevision(revision uint64) {
	for _, n := range w.nodes {
		if n.core == nil || !n.alive || w.now.Before(n.stalledUntil) || !n.core.HasAuthority(n.localNow()) {
			continue
		}
		if here := n.core.LocalConfig(); n.core.Ready() && here.Revision < revision {
			w.fail("stale_config", "leader %s uses revision %d; revision %d was acknowledged %s ago", n.name, here.Revision, revision, configDeadline)
		}
	}
}

// configConverged reports whether all changes are acknowledged and known to every running
// controller.
func (w *world) configConverged() bool {
	if !w.admin.settled() {
		return false
	}
	for _, n := range w.nodes {
		if n.core != nil && n.alive && n.core.LocalConfig().Revision < w.admin.highestRevision {
			return false
		}
	}
	return true
}

// configure executes config TEAM [max=N] [cpus=N] [retired], or
// configs N every=D teams=A,B max=LOW..HIGH, which sends N changes, D apart.
func (s *script) configure(f []string) {
	a := keyValues(f[2:])
	if f[0] == "config" {
		s.admin.set(liveconfig.Team{Name: f[1], CPUs: numberArg(a, "cpus", 0), CPUsMax: numberArg(a, "max", 0), GPUs: numberArg(a, "gpus", 0), GPUsMax: numberArg(a, "gpus_max", 0), Retired: a["retired"] != ""})
		return
	}
	n := int(numberArg(keyValues([]string{"n=" + f[1]}), "n", 1))
	teams := strings.Split(a["teams"], ",")
	low, high, _ := strings.Cut(a["max"], "..")
	bounds := keyValues([]string{"low=" + low, "high=" + high})
	for i := range n {
		s.after(time.Duration(i)*durationArg(a, "every", time.Second), func() {
			most := numberArg(bounds, "low", 1) + float64(s.rng.IntN(1+int(numberArg(bounds, "high", 1)-numberArg(bounds, "low", 1))))
			s.admin.set(liveconfig.Team{Name: teams[i%len(teams)], CPUsMax: most})
		})
	}
}
