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

// configWithin is within what time a change that its user was told of is in force.
const configWithin = 3 * time.Second

// teamChange is a change of a team's configuration and what its user knows of it. The
// changes of one team go one after the other.
type teamChange struct {
	team     liveconfig.Team
	before   uint64 // the revision at which the team was changed last
	sent     time.Time
	told     time.Time // when its user heard that it is on record; zero until then
	revision uint64
}

// inForce reports whether the change is surely in force.
func (c *teamChange) inForce(now time.Time) bool {
	return !c.told.IsZero() && now.Sub(c.told) >= configWithin
}

// configAdmin changes teams as operators do, and knows what may be in force.
type configAdmin struct {
	w       *world
	changes map[string][]*teamChange
	waiting map[string][]liveconfig.Team // behind the change that is on its way
	highest uint64                       // revision that anybody was told of
	onTold  func(*teamChange)            // called when a change is told of, unless it is nil
}

func newConfigAdmin(w *world) *configAdmin {
	return &configAdmin{w: w, changes: map[string][]*teamChange{}, waiting: map[string][]liveconfig.Team{}}
}

// set has a team changed, after what is on its way for it.
func (a *configAdmin) set(t liveconfig.Team) {
	last := a.latest(t.Name)
	if last != nil && last.told.IsZero() {
		a.waiting[t.Name] = append(a.waiting[t.Name], t)
		return
	}
	c := &teamChange{team: t, sent: a.w.now}
	if last != nil {
		c.before = last.revision
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

// send asks until the change is on record.
func (a *configAdmin) send(c *teamChange) {
	w := a.w
	call := request.Request{Op: request.ConfigSet, Config: &request.ConfigParams{Teams: []liveconfig.TeamChange{{Team: c.team, IfRevision: &c.before}}}}
	w.call(call, 5*time.Second, func(status int, ans request.Response) {
		made, ok := madeOf(ans)
		switch {
		case status == 200 && ok:
			a.changeApplied(c, made.Revision)
		case status == 0 || status == 503:
			w.occurrences["config-again"]++
			w.after(again(ans), func() { a.send(c) })
		default:
			w.fail("misuse", "a change of team %s gets %d %s", c.team.Name, status, ans.Reason)
		}
	})
}

// madeOf reads the answer to a change, which a process gives as JSON.
func madeOf(ans request.Response) (view.ConfigChanged, bool) {
	made, ok := ans.Doc.(view.ConfigChanged)
	return made, ok
}

func (a *configAdmin) changeApplied(c *teamChange, revision uint64) {
	w := a.w
	if revision == 0 && !slices.Contains(w.baseTeam(c.team.Name), c.team) { // which alone is so without a change
		w.fail("went_back", "a change of team %s is on record at no revision", c.team.Name)
	}
	c.told, c.revision = w.now, revision
	a.highest = max(a.highest, revision)
	w.occurrences["config-told"]++
	w.after(configWithin, func() { w.checkLeads(revision) })
	if a.onTold != nil {
		a.onTold(c)
	}
	if next := a.waiting[c.team.Name]; len(next) > 0 {
		a.waiting[c.team.Name] = next[1:]
		a.set(next[0])
	}
}

// settled reports whether every change was told of.
func (a *configAdmin) settled() bool {
	for _, cs := range a.changes {
		if slices.ContainsFunc(cs, func(c *teamChange) bool { return c.told.IsZero() }) {
			return false
		}
	}
	for _, ts := range a.waiting {
		if len(ts) > 0 {
			return false
		}
	}
	return true
}

// possibleTeams returns what of a team may be in force for a decision that was made at a time or
// later: from the latest change that surely was on.
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

// baseTeam is the team as the settings have it; none if they have not.
func (w *world) baseTeam(name string) []liveconfig.Team {
	for _, t := range w.cfg.Settings.Teams {
		if t.Name == name {
			return []liveconfig.Team{{Name: t.Name, CPUs: t.CPUs, CPUsMax: t.CPUsMax, GPUs: t.GPUs, GPUsMax: t.GPUsMax}}
		}
	}
	return nil
}

// changedLive reports whether a team was ever changed: its limit is then looked at as tasks
// start, since what runs goes on under a lower one.
func (w *world) changedLive(name string) bool { return len(w.admin.changes[name]) > 0 }

// checkLiveLimit holds that a start keeps to a limit that may be in force. The decision is
// not older than the report that it answers.
func (w *world) checkLiveLimit(t *task, reported time.Time) {
	name := t.job.spec.Owner
	if w.unchecked || !w.changedLive(name) {
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
		w.fail("stale_config", "%s starts with team %s at %.1f CPUs of %.1f", t.id, name, u.cpus, cpus)
	}
}

// checkAdmitted holds that a new job was accepted, or refused for its team, by what may have
// been in force since its user asked: for the first time, or for that answer.
func (w *world) checkAdmitted(j *userJob, accepted bool) {
	name := j.spec.Owner
	if !w.changedLive(name) {
		return
	}
	retired := func(t liveconfig.Team) bool { return t.Retired }
	if accepted {
		if teams := w.admin.possibleTeams(name, j.first); len(teams) > 0 && !slices.ContainsFunc(teams, func(t liveconfig.Team) bool { return !t.Retired }) {
			w.fail("stale_config", "%s is accepted for team %s, which is retired", j.spec.ID, name)
		}
		return
	}
	unknown := len(w.baseTeam(name)) == 0 && !slices.ContainsFunc(w.admin.changes[name], func(c *teamChange) bool { return c.inForce(j.asking) })
	if !unknown && !slices.ContainsFunc(w.admin.possibleTeams(name, j.asking), retired) {
		w.fail("stale_config", "%s is refused for team %s, which is there", j.spec.ID, name)
	}
}

// checkLeads holds that whoever leads in authority decides by a revision, or a newer one.
func (w *world) checkLeads(revision uint64) {
	for _, n := range w.nodes {
		if n.core == nil || !n.alive || w.now.Before(n.asleep) || !n.core.HasAuthority(n.local()) {
			continue
		}
		if here := n.core.LocalConfig(); n.core.Ready() && here.Revision < revision {
			w.fail("stale_config", "%s leads by revision %d, %d was told of %s ago", n.name, here.Revision, revision, configWithin)
		}
	}
}

// configured reports whether all changes are told of and every controller in reach of the
// leader has the newest revision.
func (w *world) configured() bool {
	if !w.admin.settled() {
		return false
	}
	for _, n := range w.nodes {
		if n.core != nil && n.alive && n.core.LocalConfig().Revision < w.admin.highest {
			return false
		}
	}
	return true
}

// configure does what a script's word asks for: config TEAM [max=N] [cpus=N] [retired], or
// configs N every=D teams=A,B max=LOW..HIGH: changes one after the other.
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
