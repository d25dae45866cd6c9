package core

import (
	"yewpass/internal/election"
	"yewpass/internal/record"
	"yewpass/internal/recovery"
)

// electionHost implements election.Host for Core.
type electionHost struct{ c *Core }

// IsLeader reports whether this node is the leader, even if its authority has expired.
func (h electionHost) IsLeader() bool { return h.c.leadership != nil }

// HasReplica reports whether this node has a replica of any term's records.
func (h electionHost) HasReplica() bool { return h.c.newestReplica() != nil }

// Observed returns the highest era, term and revision seen in the store.
func (h electionHost) Observed() recovery.Observed { return h.c.observed }

// ObserveTerm records the era and the term of a leader record read from the store. A change of the
// era clears the recorded reason of a data loss.
func (h electionHost) ObserveTerm(rec *record.Leader) {
	h.c.observeTerm(rec.Era, rec.Term, rec.ProcessID)
}

// ReportDataLoss records that the store has lost data; a leader resigns.
func (h electionHost) ReportDataLoss(reason string) { h.c.reportDataLoss(reason) }

// CheckDataLoss returns the reason for which the store must have lost data, or "". It remembers
// the first reason until a new era begins, but neither logs nor resigns.
func (h electionHost) CheckDataLoss(before recovery.Observed, found recovery.TermRead) string {
	if h.c.dataLossReason == "" {
		h.c.dataLossReason = before.LossReason(found)
	}
	return h.c.dataLossReason
}

// BeginTerm makes this node the leader of the term that it won and starts recovering the records.
func (h electionHost) BeginTerm(v election.CampaignResult) {
	c := h.c
	c.becomeLeader(v.Term, v.Revision, v.LeaseID, v.LeaseRequestedAt, v.ClockSkew)
	c.observed = c.observed.AdvanceTo(v.Era, v.Term, c.processID)
	c.observed.Revision = max(c.observed.Revision, v.Revision)
	c.startRecovery(v.ObservedBefore, v.TermRead, v.LedPreviousTerm)
}
