package core

import (
	"log/slog"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/recovery"
	"yewpass/internal/rpc"
)

// How a controller learns who leads, and stands for election when nobody does.

// watchLeader reads who leads, follows the key, and stands for election when nobody
// does.
func (c *Core) watchLeader() {
	if c.leadership != nil {
		return
	}
	// A list tells the revision of the whole store, from which the key is then
	// followed. The key's own is as old as the term, and the service forgets what
	// is 10,000 changes old: following from there would be turned away at once,
	// again and again, by every node, until the service serves nobody else.
	asked := c.LastRef
	c.CallStore(kv.Request{Op: kv.List, Key: record.LeaderKey, Limit: 1}, func(r kv.Response) {
		if r.Outcome == rpc.OK && c.firstStoreRevision == 0 {
			c.firstStoreRevision = max(1, r.Rev)
		}
		switch {
		case c.leadership != nil:
		case r.Outcome != rpc.OK:
			c.After(c.Jitter(400*time.Millisecond), c.watchLeader)
		case len(r.Entries) == 0 || r.Entries[0].Key != record.LeaderKey:
			// A small random delay keeps the nodes from all standing at once. One without
			// a copy of the records leaves it to others first.
			wait := c.Jitter(40 * time.Millisecond)
			if c.newestReplica() == nil && len(c.cfg.Seeds) > 0 {
				wait += noReplicaDelay
			}
			c.After(wait, func() { c.campaign(0) })
		default:
			c.followLeaderRecord(r.Entries[0], r.Rev, asked)
		}
	})
}

// followLeaderRecord follows the leader's key, which is there.
func (c *Core) followLeaderRecord(e kv.Entry, from, asked uint64) {
	rec, _ := e.Value.(*record.Leader)
	known := e.Rev == c.leaderKeyRevision
	c.leaderKeyRevision = e.Rev
	if rec != nil {
		c.adoptRecordedLeader(rec, e.Rev, asked)
	} else if !known {
		c.Log(slog.LevelError, "record is unreadable", "key", e.Key, "effect", "if its grant lives its leader goes on, unknown to us")
	}
	own := rec != nil && rec.Node == c.cfg.HostName
	if rec != nil && !own && !known {
		c.watchLeaderKey(from)
		return
	}
	// A leader's key is under its grant. One that stands without, because it was damaged
	// or brought back from a copy, stands for nobody, and would keep the nodes from a
	// leader for ever.
	c.CallStore(kv.Request{Op: kv.Get, Key: record.LeaderKey}, func(r kv.Response) {
		still := r.Outcome == rpc.OK && r.Entries[0].Rev == e.Rev
		switch {
		case c.leadership != nil:
		case still && r.Entries[0].LeaseID == 0:
			c.Log(slog.LevelError, "leader key has no lease, campaigning for it", "key", e.Key)
			c.After(c.Jitter(40*time.Millisecond), func() { c.campaign(e.Rev) })
		case own && still:
			c.revokeFormerLease(r.Entries[0], rec, from)
		case own:
			c.After(c.Jitter(40*time.Millisecond), c.watchLeader)
		case rec == nil:
			c.After(c.Jitter(time.Second), c.watchLeader)
		default:
			c.watchLeaderKey(from)
		}
	})
}

// revokeFormerLease ends a leadership of our own name that nobody can be exercising: this
// process's own, which it has given up, or that of the process before it. Its grant would
// keep the nodes from a leader until it runs out, and a process is back long before.
//
// Nothing of it is taken on: whoever leads next has a term and a grant of its own. What
// was written under our name after this process had begun to read is neither, but a
// transaction that came late, or a second process of this name; it runs out by itself.
func (c *Core) revokeFormerLease(e kv.Entry, rec *record.Leader, from uint64) {
	if rec.ProcessID != c.processID && e.Rev > c.firstStoreRevision {
		c.Log(slog.LevelError, "another process holds leadership under this node's name", "key", e.Key, "term", rec.Term)
		c.watchLeaderKey(from)
		return
	}
	c.Log(slog.LevelInfo, "revoking lease of former process", "term", rec.Term)
	c.CallStore(kv.Request{Op: kv.RevokeLease, LeaseID: e.LeaseID}, func(d kv.Response) {
		if d.Outcome == rpc.OK || d.Outcome == rpc.NotFound {
			c.watchLeader()
		} else {
			c.watchLeaderKey(from)
		}
	})
}

// leaderWatchTimeout is for how long the leader's key is followed before it is read anew: what
// is lost from record is gone without a word.
const leaderWatchTimeout = 4 * time.Second

func (c *Core) watchLeaderKey(from uint64) {
	call := kv.WatchPrefix(record.LeaderKey, from)
	call.Block = leaderWatchTimeout
	c.CallStore(call, func(r kv.Response) {
		if r.Outcome == rpc.OK {
			c.watchLeader()
		} else {
			c.After(c.Jitter(400*time.Millisecond), c.watchLeader)
		}
	})
}

// adoptRecordedLeader takes note of the leader that the state service names. That goes
// above everything that peers have said, unless it was read before they said it: an answer
// that has been on its way for long must not have a term forgotten that we have taken note
// of. Its leader counts on our not passing on an older one's replies any more.
func (c *Core) adoptRecordedLeader(rec *record.Leader, rev, asked uint64) {
	if rec.Term < c.highestTerm {
		if asked < c.lastClaimRef {
			return
		}
		if rec.Term < c.observed.Term && rec.Era == c.observed.Era {
			c.reportDataLoss("the term on record is older than one that was")
		}
		c.Log(slog.LevelWarn, "claimed term does not exist", "claimed", c.highestTerm, "term", rec.Term)
		c.highestTerm = rec.Term
	}
	c.noteLeader(rec.Node, rec.Term)
	c.confirmedTerm, c.confirmedTermRevision = rec.Term, rev
	c.observeTerm(rec.Era, rec.Term, rec.ProcessID)
}

// noteLeader takes note of a leader.
func (c *Core) noteLeader(node string, term uint64) {
	if term < c.highestTerm {
		return
	}
	if term > c.highestTerm || c.knownLeader != node {
		c.Log(slog.LevelInfo, "leader discovered", "leader", node, "term", term)
	}
	if c.knownLeader != node {
		c.leaderLinkLostAt, c.leaderVersion = c.Now, 0
	}
	if term > c.highestTerm {
		c.lastClaimRef = c.LastRef
	}
	c.highestTerm = term
	if node == c.cfg.HostName {
		node = "" // our own earlier life: its key lasts until its grant ends
	}
	c.knownLeader = node
}

// campaign stands for election: one transaction takes the leader's key, which must be
// at a revision (0: not there), under a short grant and raises the term.
func (c *Core) campaign(keyRev uint64) {
	if c.leadership != nil {
		return
	}
	if wait := c.handedOverAt.Add(handOverCooldown).Sub(c.Now); wait > 0 {
		c.After(wait, c.watchLeader)
		return
	}
	retry := func() { c.After(c.Jitter(200*time.Millisecond), c.watchLeader) }
	sent, ahead := c.Now, c.ClockSkew(c.Now) // authority counts from before the grant was asked for
	c.CallStore(kv.Request{Op: kv.GrantLease, TTL: leaseTTL}, func(g kv.Response) {
		if g.Outcome != rpc.OK {
			retry()
			return
		}
		drop := func() {
			// Ends the grant at once: should the transaction have been applied
			// all the same, its key goes with it.
			c.CallStore(kv.Request{Op: kv.RevokeLease, LeaseID: g.LeaseID}, func(kv.Response) {})
			retry()
		}
		c.CallStore(kv.Request{Op: kv.Get, Key: record.TermKey}, func(t kv.Response) {
			if t.Outcome != rpc.OK && t.Outcome != rpc.NotFound {
				drop()
				return
			}
			before := c.observed
			found := recovery.TermRead{Missing: t.Outcome == rpc.NotFound, StoreRevision: t.Rev}
			if t.Outcome == rpc.OK {
				if rec, _ := t.Entries[0].Value.(*record.Term); rec != nil {
					found.Term, found.Era = rec.Term, rec.Era
				}
			}
			if c.dataLossReason == "" {
				c.dataLossReason = before.LossReason(found)
			}
			era := found.Era
			if c.dataLossReason != "" || era == 0 {
				era = c.RandomID()
			}
			term, rev := c.nextTerm(t)
			if term > record.MaxTerm {
				c.Log(slog.LevelError, "terms exhausted", "key", record.TermKey, "term", term)
				drop()
				return
			}
			c.CallStore(kv.Request{Op: kv.Txn,
				Conditions: []kv.Condition{{Key: record.LeaderKey, Rev: keyRev}, {Key: record.TermKey, Rev: rev}},
				Writes:     []kv.Write{{Key: record.LeaderKey, Value: &record.Leader{Node: c.cfg.HostName, Term: term, ProcessID: c.processID, Era: era}, LeaseID: g.LeaseID}, {Key: record.TermKey, Value: &record.Term{Term: term, Era: era}, LeaseID: 0}},
			}, func(r kv.Response) {
				// What was heard of terms does not count here, only the record: a
				// peer may say anything. An answer that comes this late finds the
				// grant over.
				if r.Outcome != rpc.OK || !c.Now.Before(c.authorityUntil(sent)) {
					drop()
					return
				}
				ours := c.lastLedTerm != 0 && c.lastLedTerm == before.Term
				c.becomeLeader(term, r.Rev, g.LeaseID, sent, ahead)
				c.observed = c.observed.AdvanceTo(era, term, c.processID)
				c.observed.Revision = max(c.observed.Revision, r.Rev)
				c.startRecovery(before, found, ours)
			})
		})
	})
}

// nextTerm returns the term to begin and the revision that the term's key must have.
//
// A record that is damaged or gone must not begin the count anew: epochs and attempts
// would fall and names of rentals repeat. No term was ever above the revision of the
// transaction that began it, because each begins with a change of its own; so one
// above the revision at hand is above them all.
func (c *Core) nextTerm(t kv.Response) (term, rev uint64) {
	if t.Outcome == rpc.NotFound {
		if term = max(t.Rev, c.confirmedTerm, c.observed.Term) + 1; t.Rev > 0 {
			c.Log(slog.LevelWarn, "no term on record, continuing above the store's revision", "key", record.TermKey, "term", term)
		}
		return term, 0
	}
	e := t.Entries[0]
	if rec, _ := e.Value.(*record.Term); rec != nil {
		return max(rec.Term, c.confirmedTerm, c.observed.Term) + 1, e.Rev // the record may be of an old copy
	}
	term = max(e.Rev, c.confirmedTerm, c.observed.Term) + 1
	c.Log(slog.LevelError, "record is unreadable", "key", record.TermKey, "effect", "terms go on above its revision", "term", term)
	return term, e.Rev
}
