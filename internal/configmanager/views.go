package configmanager

import (
	"maps"
	"slices"

	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/view"
)

// team returns the configuration and resource usage of a team.
func (m *Manager) team(name string) (v view.Team, ok bool) {
	if v.Team, v.Revision, ok = m.state.Team(name); !ok {
		return v, false
	}
	v.Damaged = m.damaged[objectName(record.ConfigTeamPrefix+name)]
	used := m.leader.TeamUsage(name)
	v.InUse.CPUs, v.InUse.GPUs = float64(used.CPU)/1000, float64(used.GPU)/1000
	return v, true
}

// teams returns one page of the teams, sorted by name.
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

// status returns the current revision and the last known revision of each controller.
func (m *Manager) status() view.ConfigStatus {
	v := view.ConfigStatus{
		Revision:           m.state.Revision,
		Changes:            m.committed,
		Waiting:            len(m.waiting),
		PropagationSeconds: m.propagationTime.Seconds(),
		Damaged:            slices.Sorted(maps.Keys(m.damaged)),
		Refusal:            m.refusalReason(),
	}
	if m.batch != nil {
		v.Waiting += len(m.batch.changes)
	}
	local := m.LocalConfig()
	v.Nodes = append(v.Nodes, view.ConfigNodeStatus{Name: m.cfg.HostName, Revision: local.Revision, AgeSeconds: local.AgeSeconds, SupportsLiveConfig: true})
	for _, seed := range m.cfg.Seeds {
		v.Nodes = append(v.Nodes, m.nodeStatus(seed.HostName))
	}
	return v
}

// nodeStatus returns the last known revision of another controller. AgeSeconds is -1 if
// the controller has never reported the current revision.
func (m *Manager) nodeStatus(name string) view.ConfigNodeStatus {
	v := view.ConfigNodeStatus{Name: name, AgeSeconds: -1}
	if p := m.peers[name]; p != nil {
		v.Revision, v.SupportsLiveConfig = p.revision, p.version >= peermsg.Version
		if !p.upToDateAt.IsZero() {
			v.AgeSeconds = m.engine.Now.Sub(p.upToDateAt).Seconds()
		}
	}
	return v
}

// LocalConfig returns the leader's revision and the time since its last confirmation.
func (m *Manager) LocalConfig() view.LocalConfig {
	return view.LocalConfig{Revision: m.state.Revision, AgeSeconds: m.leader.SinceConfirmed().Seconds()}
}

// Stats returns the configuration metrics that only the leader reports.
func (m *Manager) Stats() view.ConfigStats {
	return view.ConfigStats{
		ConfigPropagation: m.propagationTime.Seconds(),
		ConfigChanges:     m.committed,
		ConfigDamaged:     len(m.damaged),
	}
}
