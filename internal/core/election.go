package core

import (
	"yewpass/internal/election"
	"yewpass/internal/record"
	"yewpass/internal/recovery"
)

// electionHost implements election.Host for Core.
type electionHost struct{ c *Core }

// IsLeader implements election.Host.
func (h electionHost) IsLeader() bool { return h.c.leadership != nil }

// HasReplica implements election.Host.
func (h electionHost) HasReplica() bool { return h.c.newestReplica() != nil }

// Observed implements election.Host.
func (h electionHost) Observed() recovery.Observed { return h.c.observed }

// ObserveTerm implements election.Host. A change of the era clears the recorded reason of a data
// loss.
func (h electionHost) ObserveTerm(rec *record.Leader) {
	h.c.observeTerm(rec.Era, rec.Term, rec.ProcessID)
}

// ReportDataLoss implements election.Host. A leader resigns.
func (h electionHost) ReportDataLoss(reason string) { h.c.reportDataLoss(reason) }

// CheckDataLoss implements election.Host. It remembers the first reason until a new era begins, but
// neither logs nor resigns.
func (h electionHost) CheckDataLoss(before recovery.Observed, found recovery.TermRead) string {
	if h.c.dataLossReason == "" {
		h.c.dataLossReason = before.LossReason(found)
	}
	return h.c.dataLossReason
}

// BeginTerm implements election.Host. It also starts recovering the records.
func (h electionHost) BeginTerm(v election.CampaignResult) {
	c := h.c
	c.becomeLeader(v.Term, v.Revision, v.LeaseID, v.LeaseRequestedAt, v.ClockSkew)
	c.observed = c.observed.AdvanceTo(v.Era, v.Term, c.processID)
	c.observed.Revision = max(c.observed.Revision, v.Revision)
	c.startRecovery(v.ObservedBefore, v.TermRead, v.LedPreviousTerm)
}
