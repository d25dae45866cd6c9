package election

import (
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/rpc"
)

const verifyRetryDelay = 500 * time.Millisecond

// AcceptClaim takes a peer's word, which speaks a version of the protocol, that it leads a
// term not below the highest known. It is believed at once, because workers are led to a
// new leader by that, and acknowledged in our own version; the store is asked about it
// unless it has confirmed the term already.
func (e *Election) AcceptClaim(from string, term, version, ownVersion uint64) {
	confirmed := term == e.confirmedTerm && (e.leader == from || e.leader == "")
	e.NoteLeader(from, term)
	e.leaderVersion = version
	e.engine.Emit(peermsg.Outgoing{To: from, Msg: peermsg.Message{Kind: peermsg.Ack, Term: term, Version: ownVersion}})
	if !confirmed {
		e.verifyClaim(term)
	}
}

// verifyClaim asks the store about a term that a peer has claimed to lead. What is not on
// record is forgotten again.
func (e *Election) verifyClaim(term uint64) {
	again := func() {
		if !e.host.IsLeading() && e.highestTerm == term && e.confirmedTerm != term {
			e.verifyClaim(term)
		}
	}
	asked := e.engine.LastRef
	e.engine.CallStore(kv.Request{Op: kv.Get, Key: record.LeaderKey}, func(r kv.Response) {
		if e.host.IsLeading() || e.highestTerm != term {
			return
		}
		var rec *record.Leader
		if r.Outcome == rpc.OK {
			rec, _ = r.Entries[0].Value.(*record.Leader)
		}
		switch {
		case rec != nil:
			e.adoptRecord(rec, r.Entries[0].Rev, asked)
		case r.Outcome == rpc.OK || r.Outcome == rpc.NotFound:
			e.verifyEndedClaim(term, again)
		default:
			e.engine.After(e.engine.Jitter(verifyRetryDelay), again)
		}
	})
}

// verifyEndedClaim is verifyClaim where nobody leads: the term may have been, and be over.
// Then no older one must be listened to either.
func (e *Election) verifyEndedClaim(term uint64, again func()) {
	e.engine.CallStore(kv.Request{Op: kv.Get, Key: record.TermKey}, func(r kv.Response) {
		if e.host.IsLeading() || e.highestTerm != term {
			return
		}
		var began *record.Term
		if r.Outcome == rpc.OK {
			began, _ = r.Entries[0].Value.(*record.Term)
		}
		switch {
		case began != nil && began.Term >= term:
			if e.confirmedTerm < term {
				e.confirmedTerm, e.confirmedTermRevision = term, r.Entries[0].Rev
			}
		case r.Outcome == rpc.OK || r.Outcome == rpc.NotFound:
			e.highestTerm, e.leader = e.confirmedTerm, ""
		default:
			e.engine.After(e.engine.Jitter(verifyRetryDelay), again)
		}
	})
}
