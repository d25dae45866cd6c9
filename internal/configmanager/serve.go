package configmanager

import (
	"errors"

	"yewpass/internal/liveconfig"
	"yewpass/internal/peermsg"
	"yewpass/internal/request"
)

// Serve handles a user's request to read or change the configuration.
func (m *Manager) Serve(r request.Request) {
	switch r.Op {
	case request.ConfigStatus:
		m.requestPeerVersions()
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

// acceptChange validates a change and queues it for writing, or answers the request with
// an error.
func (m *Manager) acceptChange(r request.Request) {
	c := &change{request: r, Change: liveconfig.Change{Teams: r.Config.Teams, IfRevision: r.Config.IfRevision}}
	if err := c.Validate(m.cfg.Settings.State.TxnOps - 1); err != nil {
		m.leader.Answer(r, rejectionResponse(err))
		return
	}
	if reason := m.refusalReason(); reason != "" {
		m.requestPeerVersions()
		m.leader.Answer(r, request.Unavailable(reason))
		return
	}
	m.waiting = append(m.waiting, c)
	m.queueBatch()
}

// refusalReason returns why changes cannot be accepted now, or an empty string.
func (m *Manager) refusalReason() string {
	switch {
	case m.leader.ConfigPending():
		return "the configuration is being restored after a data loss"
	case len(m.waiting) >= maxWaitingChanges:
		return "too many configuration changes are pending"
	case m.state.Revision > 0:
		return ""
	}
	// A leader whose version lacks live configuration would use only the settings. The first
	// change is therefore refused until all controllers have confirmed their support.
	for _, seed := range m.cfg.Seeds {
		if p := m.peers[seed.HostName]; p == nil || p.version < peermsg.Version {
			return "controller " + seed.HostName + " has not confirmed that it supports live configuration"
		}
	}
	return ""
}

// rejectionResponse returns the response to a change that was rejected with err: status 412
// for a failed revision precondition, 400 otherwise.
func rejectionResponse(err error) request.Response {
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
