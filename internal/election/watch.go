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
	// campaignDelay keeps the nodes from all campaigning at once.
	campaignDelay = 40 * time.Millisecond
	// noReplicaDelay has a node without a replica of the records leave the campaign to
	// others first.
	noReplicaDelay = 150 * time.Millisecond
	// unreadableRetryDelay is how long after a record that cannot be read it is read again.
	unreadableRetryDelay = time.Second
	// leaderWatchTimeout is for how long the leader's key is watched before it is read
	// anew: a record that the store has lost is gone without a change.
	leaderWatchTimeout = 4 * time.Second
)

// Watch reads who leads, follows the leader's key, and campaigns when nobody leads.
func (e *Election) Watch() {
	if e.host.IsLeading() {
		return
	}
	// A list tells the revision of the whole store, from which the key is then
	// followed. The key's own is as old as the term, and the service forgets what
	// is 10,000 changes old: following from there would be turned away at once,
	// again and again, by every node, until the service serves nobody else.
	asked := e.engine.LastRef
	e.engine.CallStore(kv.Request{Op: kv.List, Key: record.LeaderKey, Limit: 1}, func(r kv.Response) {
		if r.Outcome == rpc.OK && e.firstStoreRevision == 0 {
			e.firstStoreRevision = max(1, r.Rev)
		}
		switch {
		case e.host.IsLeading():
		case r.Outcome != rpc.OK:
			e.WatchAfter(watchRetryDelay)
		case len(r.Entries) == 0 || r.Entries[0].Key != record.LeaderKey:
			wait := e.engine.Jitter(campaignDelay)
			if !e.host.HasReplica() && len(e.cfg.Seeds) > 0 {
				wait += noReplicaDelay
			}
			e.engine.After(wait, func() { e.Campaign(0) })
		default:
			e.followRecord(r.Entries[0], r.Rev, asked)
		}
	})
}

// WatchAfter starts watching after a random time around d.
func (e *Election) WatchAfter(d time.Duration) { e.engine.After(e.engine.Jitter(d), e.Watch) }

// followRecord follows the leader's key, which is there.
func (e *Election) followRecord(entry kv.Entry, from, asked uint64) {
	rec, _ := entry.Value.(*record.Leader)
	known := entry.Rev == e.leaderKeyRevision
	e.leaderKeyRevision = entry.Rev
	if rec != nil {
		e.adoptRecord(rec, entry.Rev, asked)
	} else if !known {
		e.engine.Log(slog.LevelError, "record is unreadable", "key", entry.Key, "effect", "if its lease is live its leader goes on, unknown to us")
	}
	own := rec != nil && rec.Node == e.cfg.HostName
	if rec != nil && !own && !known {
		e.watchKey(from)
		return
	}
	e.checkLease(entry, rec, from)
}

// checkLease reads the leader's key for its lease. The key of a leader is under its lease.
// One without, because it was damaged or brought back from a copy, is nobody's, and would
// keep the nodes from a leader for ever.
func (e *Election) checkLease(entry kv.Entry, rec *record.Leader, from uint64) {
	own := rec != nil && rec.Node == e.cfg.HostName
	e.engine.CallStore(kv.Request{Op: kv.Get, Key: record.LeaderKey}, func(r kv.Response) {
		unchanged := r.Outcome == rpc.OK && r.Entries[0].Rev == entry.Rev
		switch {
		case e.host.IsLeading():
		case unchanged && r.Entries[0].LeaseID == 0:
			e.engine.Log(slog.LevelError, "leader key has no lease, campaigning for it", "key", entry.Key)
			e.engine.After(e.engine.Jitter(campaignDelay), func() { e.Campaign(entry.Rev) })
		case own && unchanged:
			e.revokeFormerLease(r.Entries[0], rec, from)
		case own:
			e.WatchAfter(campaignDelay)
		case rec == nil:
			e.WatchAfter(unreadableRetryDelay)
		default:
			e.watchKey(from)
		}
	})
}

// revokeFormerLease ends a leadership of our own name that nobody can be exercising: this
// process's own, which it has given up, or that of the process before it. Its lease would
// keep the nodes from a leader until it runs out, and a process is back long before.
//
// Nothing of it is taken on: whoever leads next has a term and a lease of its own. What
// was written under our name after this process had begun to read is neither, but a
// transaction that came late, or a second process of this name; it runs out by itself.
func (e *Election) revokeFormerLease(entry kv.Entry, rec *record.Leader, from uint64) {
	if rec.ProcessID != e.processID && entry.Rev > e.firstStoreRevision {
		e.engine.Log(slog.LevelError, "another process holds leadership under this node's name", "key", entry.Key, "term", rec.Term)
		e.watchKey(from)
		return
	}
	e.engine.Log(slog.LevelInfo, "revoking lease of former process", "term", rec.Term)
	e.engine.CallStore(kv.Request{Op: kv.RevokeLease, LeaseID: entry.LeaseID}, func(r kv.Response) {
		if r.Outcome == rpc.OK || r.Outcome == rpc.NotFound {
			e.Watch()
		} else {
			e.watchKey(from)
		}
	})
}

// watchKey waits for a change of the leader's key after a revision.
func (e *Election) watchKey(from uint64) {
	call := kv.WatchPrefix(record.LeaderKey, from)
	call.WatchTimeout = leaderWatchTimeout
	e.engine.CallStore(call, func(r kv.Response) {
		if r.Outcome == rpc.OK {
			e.Watch()
		} else {
			e.WatchAfter(watchRetryDelay)
		}
	})
}

// adoptRecord notes the leader that the store names. That goes above everything that peers
// have said, unless it was read before they said it: an answer that has been on its way for
// long must not have a term forgotten that this node has acknowledged. Its leader counts on
// an older one's replies not being passed on any more.
func (e *Election) adoptRecord(rec *record.Leader, rev, asked uint64) {
	if rec.Term < e.highestTerm {
		if asked < e.lastClaimRef {
			return
		}
		if seen := e.host.Observed(); rec.Term < seen.Term && rec.Era == seen.Era {
			e.host.ReportDataLoss("the term on record is older than one that was")
		}
		e.engine.Log(slog.LevelWarn, "claimed term does not exist", "claimed", e.highestTerm, "term", rec.Term)
		e.highestTerm = rec.Term
	}
	e.NoteLeader(rec.Node, rec.Term)
	e.confirmedTerm, e.confirmedTermRevision = rec.Term, rev
	e.host.ObserveTerm(rec)
}
