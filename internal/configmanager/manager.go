// Package configmanager manages the live configuration, which operators change at run time.
// It writes changes to the key-value store, applies them to the running leader, and reports
// the revision in effect. Package liveconfig validates the changes.
//
// A new leader reads the configuration records before it makes any decision. Only the
// leader writes them, conditional on its term and on the revision of the head record. A
// change is stored and in effect before its requester is answered. Each renewal of the
// leader lease confirms that the leader's configuration is the newest, and jobs accepted
// without a leader are conditional on the head record. docs/design/configuration.md explains
// why this is correct.
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

// Leader is the interface of a Manager to the leader that it belongs to.
type Leader interface {
	// Answer sends the response to a user's request.
	Answer(to request.Request, response request.Response)
	// ApplyTeams applies the configuration of teams to scheduling.
	ApplyTeams(teams []liveconfig.Team)
	// TeamUsage returns the resources that are allocated to the tasks of a team.
	TeamUsage(name string) timeline.Resources
	// SinceConfirmed returns the time since the key-value store last confirmed that the
	// configuration is the newest.
	SinceConfirmed() time.Duration
	// IsLinked reports whether the leader has a connection to another controller.
	IsLinked(node string) bool
	// NewestReplica returns the newest replica of the stored records, or nil.
	NewestReplica() *replica.Replica
	// ConfigPending reports whether configuration records still have to be restored after
	// a data loss.
	ConfigPending() bool
	// Replicate adds a stored record to the leader's replica.
	Replicate(entry kv.Entry)
}

// Manager holds the leader's live configuration for one leadership.
type Manager struct {
	engine *engine.Engine
	scope  *engine.Scope
	cfg    *config.Config
	writes *writebatch.Batcher
	leader Leader
	term   uint64

	state        *liveconfig.State
	headRevision uint64          // of the head record in the key-value store; 0 if there is none
	damaged      map[string]bool // objects whose records cannot be decoded
	rereading    bool            // a read of the head record is in progress

	changeQueue
	propagation
}

// New returns a Manager with the settings' configuration. Pass all stored records to Load
// and then call Start.
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

// baseState returns the configuration from the settings, without any change.
func baseState(cfg *config.Config) *liveconfig.State {
	return liveconfig.New(liveconfig.BaseTeams(cfg.Settings.Teams))
}
