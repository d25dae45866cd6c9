// Package configmanager runs the live configuration: the part of the settings that
// operators change while the service runs. Package liveconfig decides about changes;
// this package has them written, puts them into force, and tells users and the other
// controllers which revision is in force.
//
// Its records are among those that a new leader reads, so that no leader decides before
// it knows them. Only the leader writes them, on condition of its term and of the head
// record's revision. A change that a user has been told of is on record, and in force at
// the leader, before the answer goes out. Each renewal of the leader lease confirms that
// the leader's configuration is the newest, and what a node accepts without a leader is
// conditional on the head record. docs/design/configuration.md has the argument.
package configmanager

import (
	"time"

	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/kv"
	"yewpass/internal/liveconfig"
	"yewpass/internal/replica"
	"yewpass/internal/request"
	"yewpass/internal/timeline"
	"yewpass/internal/writebatch"
)

// Leader is the leadership whose configuration a Manager runs.
type Leader interface {
	// Answer answers a user's request.
	Answer(to request.Request, response request.Response)
	// ApplyTeams puts the configuration of teams into force.
	ApplyTeams(teams []liveconfig.Team)
	// TeamUsage returns what the tasks of a team have allocated.
	TeamUsage(name string) timeline.Resources
	// SinceConfirmed returns how long ago the state service last confirmed that the
	// configuration is the newest.
	SinceConfirmed() time.Duration
	// HasLink reports whether there is a link to another controller.
	HasLink(node string) bool
	// NewestReplica returns the newest replica of the records, or nil.
	NewestReplica() *replica.Replica
	// RestoresConfig reports whether records of the configuration are still to be written
	// back after a data loss.
	RestoresConfig() bool
	// Replicate adds a stored record to the leader's replica.
	Replicate(entry kv.Entry)
}

// Manager is the leader's live configuration. It lasts as long as one leadership.
type Manager struct {
	engine *engine.Engine
	scope  *engine.Scope
	cfg    *config.Config
	writes *writebatch.Batcher
	leader Leader
	term   uint64

	state        *liveconfig.State
	headRevision uint64          // of the head record in the state service; 0: there is none
	damaged      map[string]bool // objects whose records cannot be read
	rereading    bool            // the head record is being read

	changeQueue
	propagation
}

// New returns the configuration of a leader that has read no records yet.
func New(e *engine.Engine, scope *engine.Scope, cfg *config.Config, writes *writebatch.Batcher, leader Leader, term uint64) *Manager {
	return &Manager{
		engine:      e,
		scope:       scope,
		cfg:         cfg,
		writes:      writes,
		leader:      leader,
		term:        term,
		state:       baseState(cfg),
		damaged:     map[string]bool{},
		propagation: propagation{peers: map[string]*peer{}},
	}
}

// baseState returns the configuration as it is in the settings.
func baseState(cfg *config.Config) *liveconfig.State {
	return liveconfig.New(liveconfig.BaseTeams(cfg.Settings.Teams))
}
