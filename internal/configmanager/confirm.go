package configmanager

import (
	"log/slog"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/rpc"
)

// renewalRetryDelay is when the renewal of a lease is tried again that met a change of
// the configuration.
const renewalRetryDelay = 20 * time.Millisecond

// HeadRevision returns the head record's revision in the state service, 0 without one.
func (m *Manager) HeadRevision() uint64 { return m.headRevision }

// SetHeadRevision sets the head record's revision once the record was written back.
func (m *Manager) SetHeadRevision(revision uint64) { m.headRevision = revision }

// Condition returns the condition on which a renewal of the leader lease confirms that
// the leader's configuration is the newest.
func (m *Manager) Condition() kv.Condition {
	return kv.Condition{Key: record.ConfigHeadKey, Rev: m.headRevision}
}

// HandleConflict handles a renewal on condition of a revision of the head record that the
// state service does not have. Unless a change of this leader has been committed
// meanwhile, the records are read, and the lease is not renewed until they have been.
// Then confirm is called.
func (m *Manager) HandleConflict(expected uint64, confirm func()) {
	if m.headRevision != expected {
		m.scope.After(renewalRetryDelay, confirm)
		return
	}
	m.rereadHead(confirm)
}

// rereadHead reads the head record to learn what became of a batch, and all records if
// the head record is not one that is known.
func (m *Manager) rereadHead(then func()) {
	if m.rereading {
		return
	}
	m.rereading = true
	m.scope.CallStore(kv.Request{Op: kv.Get, Key: record.ConfigHeadKey}, func(r kv.Response) {
		m.rereading = false
		if r.Outcome != rpc.OK && r.Outcome != rpc.NotFound {
			return // the next renewal finds the same
		}
		var head kv.Entry
		if r.Outcome == rpc.OK {
			head = r.Entries[0]
		}
		m.reconcile(revisionIn(head.Value), head.Rev)
		then()
	})
}

// reconcile adapts to a head record that was read: the configuration's revision in it,
// and the record's own in the state service.
func (m *Manager) reconcile(revision, headRevision uint64) {
	b := m.batch
	switch {
	case headRevision == m.headRevision:
	case b != nil && b.Batch != nil && revision == b.After.Revision:
		m.batchCommitted(b, headRevision) // and the response was lost
	case revision == m.state.Revision:
		m.headRevision = headRevision // written back after a data loss
	default:
		m.engine.Log(slog.LevelError, "stored configuration differs, reloading it", "revision", revision, "known", m.state.Revision)
		m.reload(revision, headRevision)
	}
}
