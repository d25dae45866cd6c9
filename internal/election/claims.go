package election

import (
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/rpc"
)

const verifyRetryDelay = 500 * time.Millisecond

// AcceptClaim handles a peer's claim to lead a term that is not below the highest known one.
// version is the peer's protocol version. The claim takes effect immediately and is acknowledged
// with ownVersion; a term that the store has not confirmed is then verified.
func (e *Election) AcceptClaim(from string, term, version, ownVersion uint64) {
	confirmed := term == e.confirmedTerm && (e.leader == from || e.leader == "")
	e.SetLeader(from, term)
	e.leaderVersion = version
	e.engine.Emit(peermsg.Outgoing{To: from, Msg: peermsg.Message{Kind: peermsg.Ack, Term: term, Version: ownVersion}})
	if !confirmed {
		e.verifyClaim(term)
	}
}

// verifyClaim reads the leader record and discards a claimed term that the store does not confirm.
func (e *Election) verifyClaim(term uint64) {
	retry := func() {
		if !e.host.IsLeader() && e.highestTerm == term && e.confirmedTerm != term {
			e.verifyClaim(term)
		}
	}
	lastRef := e.engine.LastRef
	e.engine.CallStore(kv.Request{Op: kv.Get, Key: record.LeaderKey}, func(r kv.Response) {
		if e.host.IsLeader() || e.highestTerm != term {
			return
		}
		var rec *record.Leader
		if r.Outcome == rpc.OK {
			rec, _ = r.Entries[0].Value.(*record.Leader)
		}
		switch {
		case rec != nil:
			e.adoptRecord(rec, r.Entries[0].Rev, lastRef)
		case r.Outcome == rpc.OK || r.Outcome == rpc.NotFound:
			e.verifyTermRecord(term, retry)
		default:
			e.engine.After(e.engine.Jitter(verifyRetryDelay), retry)
		}
	})
}

// verifyTermRecord verifies a claimed term against the term record when there is no leader record.
// A term that has already ended is recorded as confirmed, so that older claims are still rejected.
func (e *Election) verifyTermRecord(term uint64, retry func()) {
	e.engine.CallStore(kv.Request{Op: kv.Get, Key: record.TermKey}, func(r kv.Response) {
		if e.host.IsLeader() || e.highestTerm != term {
			return
		}
		var rec *record.Term
		if r.Outcome == rpc.OK {
			rec, _ = r.Entries[0].Value.(*record.Term)
		}
		switch {
		case rec != nil && rec.Term >= term:
			if e.confirmedTerm < term {
				e.confirmedTerm, e.confirmedTermRevision = term, r.Entries[0].Rev
			}
		case r.Outcome == rpc.OK || r.Outcome == rpc.NotFound:
			e.highestTerm, e.leader = e.confirmedTerm, ""
		default:
			e.engine.After(e.engine.Jitter(verifyRetryDelay), retry)
		}
	})
}
