package configmanager

import (
	"log/slog"
	"strings"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/liveconfig"
	"yewpass/internal/record"
	"yewpass/internal/rpc"
)

// recordsPerPage is how many records are read at a time.
const recordsPerPage = 400

// objectOf returns the name by which users know the object that a record holds.
func objectOf(key string) string { return strings.TrimPrefix(key, record.ConfigPrefix) }

// revisionIn returns the revision in a head record, or 0 if the value is not one.
func revisionIn(value any) uint64 {
	if head, _ := value.(*liveconfig.HeadRecord); head != nil {
		return head.Revision
	}
	return 0
}

// Load adds a record that the new leader has read. One that cannot be read leaves its
// object as a replica has it, or else as in the settings.
func (m *Manager) Load(entry kv.Entry) {
	if entry.Key == record.ConfigHeadKey {
		m.headRevision = entry.Rev
	}
	value := entry.Value
	if value == nil {
		m.damaged[objectOf(entry.Key)] = true
		source := "the settings"
		if newest := m.leader.NewestReplica(); newest != nil {
			if r, ok := newest.Get(entry.Key); ok {
				value, source = r.Value, "a copy"
			}
		}
		m.engine.Log(slog.LevelError, "record is unreadable", "key", entry.Key, "effect", "the object stays as "+source+" has it")
	}
	switch v := value.(type) {
	case *liveconfig.HeadRecord:
		m.state.LoadHead(*v)
	case *liveconfig.TeamRecord:
		m.state.LoadTeam(*v)
	}
}

// Start puts into force what has been loaded.
func (m *Manager) Start() {
	var teams []liveconfig.Team
	for _, r := range m.state.Changed() {
		teams = append(teams, r.Team)
	}
	m.leader.ApplyTeams(teams)
	m.inForceAt = m.engine.Now
	if m.state.Revision > 0 {
		m.engine.Log(slog.LevelInfo, "configuration loaded", "term", m.term, "revision", m.state.Revision)
	}
	m.broadcastRevision()
}

// reload reads all records again, because the head record is not one that is known.
func (m *Manager) reload(revision, headRevision uint64) {
	state := baseState(m.cfg)
	m.reloadPage("", state, func() {
		state.LoadHead(liveconfig.HeadRecord{Revision: revision})
		m.state, m.headRevision = state, headRevision
		m.leader.ApplyTeams(state.Teams(state.Names()))
	})
}

// reloadPage reads the records after a key into state, page by page, and then calls done.
func (m *Manager) reloadPage(after string, state *liveconfig.State, done func()) {
	m.scope.CallStore(kv.Request{Op: kv.List, Key: record.ConfigPrefix, From: after, Limit: recordsPerPage}, func(r kv.Response) {
		if r.Outcome != rpc.OK {
			m.scope.After(m.engine.Jitter(200*time.Millisecond), func() { m.reloadPage(after, state, done) })
			return
		}
		for _, entry := range r.Entries {
			if team, _ := entry.Value.(*liveconfig.TeamRecord); team != nil {
				state.LoadTeam(*team)
			}
			m.leader.Replicate(entry)
		}
		if n := len(r.Entries); r.More && n > 0 {
			m.reloadPage(r.Entries[n-1].Key, state, done)
			return
		}
		done()
	})
}
