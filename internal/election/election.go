// Package election implements leader election for a controller. It tracks the leader from the
// leader key in the store and from peers' claims, and campaigns when there is no leader.
package election

import (
	"log/slog"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/lease"
	"yewpass/internal/record"
	"yewpass/internal/recovery"
)

// Host is the controller that an Election runs in.
type Host interface {
	// IsLeader reports whether this node is the leader, with or without authority.
	IsLeader() bool
	// HasReplica reports whether this node holds a replica of the records.
	HasReplica() bool
	// Observed returns the state of the store that this node has observed.
	Observed() recovery.Observed
	// ObserveTerm records the era and the term read from the store.
	ObserveTerm(rec *record.Leader)
	// ReportDataLoss records that the store has lost data, with the evidence in why.
	ReportDataLoss(why string)
	// CheckDataLoss returns why the store must have lost data, or "" if nothing indicates a
	// loss. before is the state observed before found was read.
	CheckDataLoss(before recovery.Observed, found recovery.TermRead) string
	// BeginTerm makes this node the leader of the term that the campaign won.
	BeginTerm(result CampaignResult)
}

// Election tracks the leader and runs the campaigns of one controller. It is not safe for
// concurrent use.
type Election struct {
	leaderState
	links

	engine    *engine.Engine
	host      Host
	cfg       *config.Config
	processID uint64 // distinguishes this process from earlier ones with the same node name
	timing    lease.Timing

	leaderKeyRevision  uint64 // revision of the leader key when it was last read
	firstStoreRevision uint64 // store revision in its first response to this process
	handedOverAt       time.Time
}

// leaderState holds the known leader and terms.
type leaderState struct {
	leader                string // node name; "" if unknown or this node
	leaderVersion         uint64 // protocol version of the leader; 0 if unknown
	highestTerm           uint64 // highest term known, from the store or from a peer's claim
	lastClaimRef          uint64 // last store call sent before highestTerm became known
	confirmedTerm         uint64 // newest term confirmed by the store
	confirmedTermRevision uint64 // store revision of the record that confirmed it
	lastLedTerm           uint64 // last term led by this process; 0 if none
}

// New returns an Election, which Watch starts.
func New(eng *engine.Engine, cfg *config.Config, timing lease.Timing, processID uint64, host Host) *Election {
	return &Election{
		links:     links{up: map[string]bool{}},
		engine:    eng,
		host:      host,
		cfg:       cfg,
		processID: processID,
		timing:    timing,
	}
}

// Leader returns the node name of the leader, or "" if it is unknown or this node.
func (e *Election) Leader() string { return e.leader }

// LeaderVersion returns the protocol version of the leader, or 0 if it is not known.
func (e *Election) LeaderVersion() uint64 { return e.leaderVersion }

// HighestTerm returns the highest known term, which may be a peer's unverified claim.
func (e *Election) HighestTerm() uint64 { return e.highestTerm }

// ConfirmedTerm returns the newest term that the store has confirmed.
func (e *Election) ConfirmedTerm() uint64 { return e.confirmedTerm }

// ConfirmedTermRevision returns the revision of the record that confirmed ConfirmedTerm.
func (e *Election) ConfirmedTermRevision() uint64 { return e.confirmedTermRevision }

// SetLeader records node as the leader of term. It does nothing if a higher term is known.
func (e *Election) SetLeader(node string, term uint64) {
	if term < e.highestTerm {
		return
	}
	if term > e.highestTerm || e.leader != node {
		e.engine.Log(slog.LevelInfo, "leader discovered", "leader", node, "term", term)
	}
	if e.leader != node {
		e.leaderLostAt, e.leaderVersion = e.engine.Now, 0
	}
	if term > e.highestTerm {
		e.lastClaimRef = e.engine.LastRef
	}
	e.highestTerm = term
	if node == e.cfg.HostName {
		node = "" // written by an earlier process of this node whose lease has not expired yet
	}
	e.leader = node
}

// SetOwnTerm records that this node leads term.
func (e *Election) SetOwnTerm(term uint64) {
	e.highestTerm, e.confirmedTerm, e.leader, e.lastLedTerm = term, term, "", term
}
