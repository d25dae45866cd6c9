// Package election is a controller's part in leader election: what it knows of who leads,
// from the leader's key in the key-value store and from what peers claim, and its
// campaigns when nobody does.
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

// Host is the controller that takes part in elections.
type Host interface {
	// IsLeading reports whether this node leads, in authority or not.
	IsLeading() bool
	// HasReplica reports whether this node has a replica of the records.
	HasReplica() bool
	// Observed returns what has been seen of the store.
	Observed() recovery.Observed
	// ObserveTerm notes the era and the term that are on record.
	ObserveTerm(rec *record.Leader)
	// ReportDataLoss notes that the store must have lost data.
	ReportDataLoss(why string)
	// CheckDataLoss returns why the store must have lost data, by what was known before a
	// read of the term's record and what was found, or "".
	CheckDataLoss(before recovery.Observed, found recovery.TermRead) string
	// BeginTerm makes this node the leader of a term.
	BeginTerm(v Victory)
}

// Election is what a controller knows of who leads, and its campaigns. It is not safe for
// concurrent use.
type Election struct {
	knowledge
	links

	engine    *engine.Engine
	host      Host
	cfg       *config.Config
	processID uint64 // tells this process from one of the same name that ended before
	timing    lease.Timing

	leaderKeyRevision  uint64 // of the leader's key when it was last read
	firstStoreRevision uint64 // of the store when it first answered this process
	handedOverAt       time.Time
}

// knowledge is who leads as far as is known, and which terms there were.
type knowledge struct {
	leader                string // "" if unknown or this node
	leaderVersion         uint64 // of the protocol that the leader speaks; 0: unknown
	highestTerm           uint64 // heard of
	lastClaimRef          uint64 // calls numbered up to this one were made before it was heard of
	confirmedTerm         uint64 // the newest that the store has told of
	confirmedTermRevision uint64 // at which it is on record
	lastLedTerm           uint64 // the last term that this node led
}

// New returns the part of the controller of the given configuration in elections.
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

// Leader returns the controller that leads as far as is known, or "" if none is known or
// this node leads.
func (e *Election) Leader() string { return e.leader }

// LeaderVersion returns the protocol version that the leader speaks, or 0 if it has not
// said.
func (e *Election) LeaderVersion() uint64 { return e.leaderVersion }

// HighestTerm returns the highest term heard of.
func (e *Election) HighestTerm() uint64 { return e.highestTerm }

// ConfirmedTerm returns the newest term that the store has told of.
func (e *Election) ConfirmedTerm() uint64 { return e.confirmedTerm }

// ConfirmedTermRevision returns the revision at which the confirmed term is on record.
func (e *Election) ConfirmedTermRevision() uint64 { return e.confirmedTermRevision }

// NoteLeader notes that a node leads a term, unless a higher one is known.
func (e *Election) NoteLeader(node string, term uint64) {
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
		node = "" // our own earlier process: its key lasts until its lease ends
	}
	e.leader = node
}

// NoteOwnTerm notes that this node leads a term.
func (e *Election) NoteOwnTerm(term uint64) {
	e.highestTerm, e.confirmedTerm, e.leader, e.lastLedTerm = term, term, "", term
}
