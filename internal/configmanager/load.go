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

// recordsPerPage limits the records in one list request.
const recordsPerPage = 400

// objectName returns the name of a record's object as operators see it, such as "team/a".
func objectName(key string) string { return strings.TrimPrefix(key, record.ConfigPrefix) }

// revisionIn returns the revision in a head record, or 0 if value is not a head record.
func revisionIn(value any) uint64 {
	if head, _ := value.(*liveconfig.HeadRecord); head != nil {
		return head.Revision
	}
	return 0
}

// Load applies a record that a new leader has read. If it cannot be decoded, it falls
// back to the newest replica or else to the settings.
func (m *Manager) Load(entry kv.Entry) {
	if entry.Key == record.ConfigHeadKey {
		m.headRevision = entry.Rev
	}
	value := entry.Value
	if value == nil {
		m.damaged[objectName(entry.Key)] = true
		source := "the settings"
		if newest := m.leader.NewestReplica(); newest != nil {
			if r, ok := newest.Get(entry.Key); ok {
				value, source = r.Value, "a replica"
			}
		}
		m.engine.Log(slog.LevelError, "record is unreadable", "key", entry.Key, "effect", "using the configuration from "+source)
	}
	switch v := value.(type) {
	case *liveconfig.HeadRecord:
		m.state.LoadHead(*v)
	case *liveconfig.TeamRecord:
		m.state.LoadTeam(*v)
	}
}

// Start applies the loaded configuration and begins to broadcast its revision to the other
// controllers. Call it once, after all records have been loaded.
func (m *Manager) Start() {
	var teams []liveconfig.Team
	for _, r := range m.state.ChangedTeams() {
		teams = append(teams, r.Team)
	}
	m.leader.ApplyTeams(teams)
	m.inForceAt = m.engine.Now
	if m.state.Revision > 0 {
		m.engine.Log(slog.LevelInfo, "configuration loaded", "term", m.term, "revision", m.state.Revision)
	}
	m.broadcastRevision()
}

// reload replaces the state with the records in the key-value store. revision and
// headRevision are as for reconcile. If the state has changed when the records have been read, they
// may be older than it, and reload reads the head record again instead.
func (m *Manager) reload(revision, headRevision uint64) {
	state, before := baseState(m.cfg), m.headRevision
	m.reloadPage("", state, func() {
		if m.headRevision != before {
			m.rereadHead(func() {})
			return
		}
		state.LoadHead(liveconfig.HeadRecord{Revision: revision})
		m.state, m.headRevision = state, headRevision
		m.leader.ApplyTeams(state.Teams(state.Names()))
	})
}

// reloadPage loads the records whose keys follow after into state, retries failed reads, and
// calls done at the end.
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
