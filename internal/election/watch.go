package election

import (
	"log/slog"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/rpc"
)

const (
	watchRetryDelay = 400 * time.Millisecond
	// campaignDelay is jittered so that the nodes do not campaign simultaneously.
	campaignDelay = 40 * time.Millisecond
	// noReplicaCampaignDelay is the extra delay of a node without a replica, so that nodes with one
	// campaign first.
	noReplicaCampaignDelay = 150 * time.Millisecond
	unreadableRetryDelay   = time.Second
	// leaderKeyWatchTimeout is how long the leader key is watched before it is read again, because
	// a loss of the record causes no watch event.
	leaderKeyWatchTimeout = 4 * time.Second
)

// Watch follows the leader key, and campaigns when it does not exist. It does nothing on the
// leader.
func (e *Election) Watch() {
	if e.host.IsLeader() {
		return
	}
	// List returns the revision of the whole store, from which the watch starts. The key's own
	// revision may be compacted, as the store keeps only the last 10,000 changes: such a
	// watch fails immediately, and the retries of all nodes
	// would overload the store.
	lastRef := e.engine.LastRef
	e.engine.CallStore(kv.Request{Op: kv.List, Key: record.LeaderKey, Limit: 1}, func(r kv.Response) {
		if r.Outcome == rpc.OK && e.firstStoreRevision == 0 {
			e.firstStoreRevision = max(1, r.Rev)
		}
		switch {
		case e.host.IsLeader():
		case r.Outcome != rpc.OK:
			e.WatchAfter(watchRetryDelay)
		case len(r.Entries) == 0 || r.Entries[0].Key != record.LeaderKey:
			wait := e.engine.Jitter(campaignDelay)
			if !e.host.HasReplica() && len(e.cfg.Seeds) > 0 {
				wait += noReplicaCampaignDelay
			}
			e.engine.After(wait, func() { e.Campaign(0) })
		default:
			e.followRecord(r.Entries[0], r.Rev, lastRef)
		}
	})
}

// WatchAfter calls Watch after d with jitter.
func (e *Election) WatchAfter(d time.Duration) { e.engine.After(e.engine.Jitter(d), e.Watch) }

// followRecord adopts the leader record in entry and watches the leader key from revision from.
// lastRef is the last store call sent before entry was requested.
func (e *Election) followRecord(entry kv.Entry, from, lastRef uint64) {
	rec, _ := entry.Value.(*record.Leader)
	known := entry.Rev == e.leaderKeyRevision
	e.leaderKeyRevision = entry.Rev
	if rec != nil {
		e.adoptRecord(rec, entry.Rev, lastRef)
	} else if !known {
		e.engine.Log(slog.LevelError, "record is unreadable", "key", entry.Key, "effect", "the leader is unknown to this node until the record is rewritten or its lease expires")
	}
	own := rec != nil && rec.Node == e.cfg.HostName
	if rec != nil && !own && !known {
		e.watchKey(from)
		return
	}
	e.verifyLeaderKeyLease(entry, rec, from)
}

// verifyLeaderKeyLease checks that the leader key is attached to a lease. A key without a lease,
// for example one restored from a backup, never expires, so this node campaigns to replace it.
func (e *Election) verifyLeaderKeyLease(entry kv.Entry, rec *record.Leader, from uint64) {
	own := rec != nil && rec.Node == e.cfg.HostName
	e.engine.CallStore(kv.Request{Op: kv.Get, Key: record.LeaderKey}, func(r kv.Response) {
		unchanged := r.Outcome == rpc.OK && r.Entries[0].Rev == entry.Rev
		switch {
		case e.host.IsLeader():
		case unchanged && r.Entries[0].LeaseID == 0:
			e.engine.Log(slog.LevelError, "leader key has no lease; campaigning to replace it", "key", entry.Key)
			e.engine.After(e.engine.Jitter(campaignDelay), func() { e.Campaign(entry.Rev) })
		case own && unchanged:
			e.revokePreviousLease(r.Entries[0], rec, from)
		case own:
			e.WatchAfter(campaignDelay)
		case rec == nil:
			e.WatchAfter(unreadableRetryDelay)
		default:
			e.watchKey(from)
		}
	})
}

// revokePreviousLease revokes the lease of a leader key written by this process in an earlier term
// or by an earlier process of this node. Nobody acts under that lease, but it would delay an
// election until its expiry.
//
// A key of another process written after this one first read the store may belong to a second
// running process of this name, or to a delayed transaction. Its lease is left to expire.
func (e *Election) revokePreviousLease(entry kv.Entry, rec *record.Leader, from uint64) {
	if rec.ProcessID != e.processID && entry.Rev > e.firstStoreRevision {
		e.engine.Log(slog.LevelError, "another process with this node's name holds the leader key", "key", entry.Key, "term", rec.Term)
		e.watchKey(from)
		return
	}
	e.engine.Log(slog.LevelInfo, "revoking the leader lease of an earlier term of this node", "term", rec.Term)
	e.engine.CallStore(kv.Request{Op: kv.RevokeLease, LeaseID: entry.LeaseID}, func(r kv.Response) {
		if r.Outcome == rpc.OK || r.Outcome == rpc.NotFound {
			e.Watch()
		} else {
			e.watchKey(from)
		}
	})
}

// watchKey waits for a change of the leader key after revision from and then calls Watch.
func (e *Election) watchKey(from uint64) {
	call := kv.WatchPrefix(record.LeaderKey, from)
	call.WatchTimeout = leaderKeyWatchTimeout
	e.engine.CallStore(call, func(r kv.Response) {
		if r.Outcome == rpc.OK {
			e.Watch()
		} else {
			e.WatchAfter(watchRetryDelay)
		}
	})
}

// adoptRecord records the leader named by the leader record, which takes precedence over claims
// from peers. A record with a lower term is ignored if it was requested before the higher term
// became known: this node has acknowledged that term, whose leader relies on older leaders' replies
// no longer being forwarded.
func (e *Election) adoptRecord(rec *record.Leader, rev, lastRef uint64) {
	if rec.Term < e.highestTerm {
		if lastRef < e.lastClaimRef {
			return
		}
		if seen := e.host.Observed(); rec.Term < seen.Term && rec.Era == seen.Era {
			e.host.ReportDataLoss("the stored term is older than an observed one")
		}
		e.engine.Log(slog.LevelWarn, "claimed term is not in the store; reverting to the stored term", "claimed", e.highestTerm, "term", rec.Term)
		e.highestTerm = rec.Term
	}
	e.SetLeader(rec.Node, rec.Term)
	e.confirmedTerm, e.confirmedTermRevision = rec.Term, rev
	e.host.ObserveTerm(rec)
}
