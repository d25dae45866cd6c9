package core

import (
	"yewpass/internal/election"
	"yewpass/internal/record"
	"yewpass/internal/recovery"
)

// electionHost is what a controller's part in elections asks of the rest of it.
type electionHost struct{ c *Core }

// IsLeading reports whether this node leads, in authority or not.
func (h electionHost) IsLeading() bool { return h.c.leadership != nil }

// HasReplica reports whether this node has a replica of the records.
func (h electionHost) HasReplica() bool { return h.c.newestReplica() != nil }

// Observed returns what has been seen of the store.
func (h electionHost) Observed() recovery.Observed { return h.c.observed }

// ObserveTerm notes the era and the term that are on record.
func (h electionHost) ObserveTerm(rec *record.Leader) {
	h.c.observeTerm(rec.Era, rec.Term, rec.ProcessID)
}

// ReportDataLoss notes that the store must have lost data.
func (h electionHost) ReportDataLoss(why string) { h.c.reportDataLoss(why) }

// CheckDataLoss returns why the store must have lost data, or "".
func (h electionHost) CheckDataLoss(before recovery.Observed, found recovery.TermRead) string {
	if h.c.dataLossReason == "" {
		h.c.dataLossReason = before.LossReason(found)
	}
	return h.c.dataLossReason
}

// BeginTerm makes this node the leader of a term, and begins to look for the records.
func (h electionHost) BeginTerm(v election.CampaignResult) {
	c := h.c
	c.becomeLeader(v.Term, v.Revision, v.LeaseID, v.LeaseRequestedAt, v.ClockSkew)
	c.observed = c.observed.AdvanceTo(v.Era, v.Term, c.processID)
	c.observed.Revision = max(c.observed.Revision, v.Revision)
	c.startRecovery(v.ObservedBefore, v.TermRead, v.LedPreviousTerm)
}
