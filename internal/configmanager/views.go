package configmanager

import (
	"maps"
	"slices"

	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/view"
)

// team returns the configuration of a team and what the team uses.
func (m *Manager) team(name string) (v view.Team, ok bool) {
	if v.Team, v.Revision, ok = m.state.Team(name); !ok {
		return v, false
	}
	v.Damaged = m.damaged[objectOf(record.ConfigTeamPrefix+name)]
	used := m.leader.TeamUsage(name)
	v.InUse.CPUs, v.InUse.GPUs = float64(used.CPU)/1000, float64(used.GPU)/1000
	return v, true
}

// teams returns the requested page of the list of teams.
func (m *Manager) teams(params *request.ConfigParams) view.TeamPage {
	page := view.TeamPage{Revision: m.state.Revision, Teams: []view.Team{}}
	names := m.state.Names()
	i, found := slices.BinarySearch(names, params.After)
	if found {
		i++
	}
	for ; i < len(names); i++ {
		if len(page.Teams) == params.Count {
			page.Truncated = true
			break
		}
		v, _ := m.team(names[i])
		page.Teams = append(page.Teams, v)
	}
	return page
}

// status tells which revision is in force where, as far as the leader knows.
func (m *Manager) status() view.ConfigStatus {
	v := view.ConfigStatus{
		Revision:           m.state.Revision,
		Changes:            m.committed,
		Waiting:            len(m.waiting),
		PropagationSeconds: m.propagatedIn.Seconds(),
		Damaged:            slices.Sorted(maps.Keys(m.damaged)),
		Refusal:            m.refusal(),
	}
	if m.batch != nil {
		v.Waiting += len(m.batch.changes)
	}
	local := m.Local()
	v.Nodes = append(v.Nodes, view.ConfigNodeStatus{Name: m.cfg.HostName, Revision: local.Revision, AgeSeconds: local.AgeSeconds, SupportsLiveConfig: true})
	for _, seed := range m.cfg.Seeds {
		v.Nodes = append(v.Nodes, m.nodeStatus(seed.HostName))
	}
	return v
}

// nodeStatus tells which revision another controller has.
func (m *Manager) nodeStatus(name string) view.ConfigNodeStatus {
	v := view.ConfigNodeStatus{Name: name, AgeSeconds: -1}
	if p := m.peers[name]; p != nil {
		v.Revision, v.SupportsLiveConfig = p.revision, p.version >= peermsg.Version
		if !p.newestAt.IsZero() {
			v.AgeSeconds = m.engine.Now.Sub(p.newestAt).Seconds()
		}
	}
	return v
}

// Local returns which configuration the leader has.
func (m *Manager) Local() view.LocalConfig {
	return view.LocalConfig{Revision: m.state.Revision, AgeSeconds: m.leader.SinceConfirmed().Seconds()}
}

// Stats returns those figures of the configuration that only a leader has.
func (m *Manager) Stats() view.ConfigStats {
	return view.ConfigStats{
		ConfigPropagation: m.propagatedIn.Seconds(),
		ConfigChanges:     m.committed,
		ConfigDamaged:     len(m.damaged),
	}
}
