package configmanager

import (
	"log/slog"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/rpc"
)

// renewalRetryDelay is the delay before retrying a lease renewal that conflicted with a
// configuration change by this leader.
const renewalRetryDelay = 20 * time.Millisecond

// HeadRevision returns the key-value store's revision of the head record, or 0 if there
// is no head record.
func (m *Manager) HeadRevision() uint64 { return m.headRevision }

// SetHeadRevision sets the key-value store's revision of the head record. Call it after the
// record has been restored after a data loss.
func (m *Manager) SetHeadRevision(revision uint64) { m.headRevision = revision }

// HeadCondition returns the transaction condition that the head record is unchanged. A renewal
// of the leader lease with this condition confirms that the leader's configuration is the
// newest.
func (m *Manager) HeadCondition() kv.Condition {
	return kv.Condition{Key: record.ConfigHeadKey, Rev: m.headRevision}
}

// HandleConflict handles a lease renewal that failed because the head record is not at the
// expected revision. It calls confirm to retry: after a delay if this leader has committed a
// change since, and otherwise after it has read the head record. If that starts a reload,
// renewals keep failing until the reload is done.
func (m *Manager) HandleConflict(expected uint64, confirm func()) {
	if m.headRevision != expected {
		m.scope.After(renewalRetryDelay, confirm)
		return
	}
	m.rereadHead(confirm)
}

// rereadHead reads the head record, reconciles the state with it, and calls then. It does
// nothing if a read is already in progress.
func (m *Manager) rereadHead(then func()) {
	if m.rereading {
		return
	}
	m.rereading = true
	m.writes.Read(record.ConfigHeadKey, func(r kv.Response) {
		m.rereading = false
		if r.Outcome != rpc.OK && r.Outcome != rpc.NotFound {
			return // the next renewal fails again and retries
		}
		var head kv.Entry
		if r.Outcome == rpc.OK {
			head = r.Entries[0]
		}
		m.reconcile(revisionIn(head.Value), head.Rev)
		then()
	})
}

// reconcile compares the state with a head record that was read: revision is the revision of
// the configuration, headRevision the key-value store's revision of the record. If revision
// is unexpected, it reloads all records.
func (m *Manager) reconcile(revision, headRevision uint64) {
	b := m.batch
	switch {
	case headRevision == m.headRevision:
	case b != nil && b.Batch != nil && revision == b.After.Revision:
		m.handleBatchCommit(b, headRevision) // the response to the transaction was lost
	case revision == m.state.Revision:
		m.headRevision = headRevision // the record was restored after a data loss
	default:
		m.engine.Log(slog.LevelError, "stored configuration has an unexpected revision, reloading", "revision", revision, "known", m.state.Revision)
		m.reload(revision, headRevision)
	}
}
