package configmanager

import (
	"errors"

	"yewpass/internal/liveconfig"
	"yewpass/internal/peermsg"
	"yewpass/internal/request"
)

// Serve serves a user's request about the configuration.
func (m *Manager) Serve(r request.Request) {
	switch r.Op {
	case request.ConfigStatus:
		m.askPeerVersions()
		m.leader.Answer(r, request.Response{Status: 200, Document: m.status()})
	case request.ConfigGet:
		team, ok := m.team(r.Config.Name)
		if !ok {
			m.leader.Answer(r, request.Response{Status: 404, Field: "name", Reason: "no team " + r.Config.Name})
			return
		}
		m.leader.Answer(r, request.Response{Status: 200, Document: team})
	case request.ConfigList:
		m.leader.Answer(r, request.Response{Status: 200, Document: m.teams(r.Config)})
	case request.ConfigSet:
		m.acceptChange(r)
	}
}

// acceptChange queues a change to be written, if one is accepted at present.
func (m *Manager) acceptChange(r request.Request) {
	c := &change{request: r, Change: liveconfig.Change{Teams: r.Config.Teams, IfRevision: r.Config.IfRevision}}
	if err := c.Check(m.cfg.Settings.State.TxnOps - 1); err != nil {
		m.leader.Answer(r, rejection(err))
		return
	}
	if reason := m.refusal(); reason != "" {
		m.askPeerVersions()
		m.leader.Answer(r, request.Unavailable(reason))
		return
	}
	m.waiting = append(m.waiting, c)
	m.queueBatch()
}

// refusal returns why no change is accepted at present, or an empty string.
func (m *Manager) refusal() string {
	switch {
	case m.leader.RestoresConfig():
		return "the configuration is being written back after a loss of data"
	case len(m.waiting) >= maxWaitingChanges:
		return "too many changes wait"
	case m.state.Revision > 0:
		return ""
	}
	// A controller of a version without live configuration knows only the settings, and
	// would go by them if it came to lead after a change. So the first change has to wait
	// until all controllers have told that they support it.
	for _, seed := range m.cfg.Seeds {
		if p := m.peers[seed.HostName]; p == nil || p.version < peermsg.Version {
			return "controller " + seed.HostName + " has not said that it knows live configuration"
		}
	}
	return ""
}

// rejection is the response to a change that cannot be made.
func rejection(err error) request.Response {
	var invalid *liveconfig.Error
	if !errors.As(err, &invalid) {
		return request.Response{Status: 400, Reason: err.Error()}
	}
	status := 400
	if invalid.Stale {
		status = 412
	}
	return request.Response{Status: status, Field: invalid.Path(), Reason: invalid.Error()}
}
