package core

import (
	"errors"
	"log/slog"
	"slices"
	"strings"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/kv"
	"yewpass/internal/liveconfig"
	"yewpass/internal/quota"
	"yewpass/internal/record"
	"yewpass/internal/replica"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/view"
	"yewpass/internal/writebatch"
)

// Configuration that changes while the service runs. Its records lie with those that a
// take-over reads, so that no leader decides before it knows them. Only the leader writes
// them, on the condition of its term and of the head's revision; a change that its user was
// told of is on record, and in force here, before the answer goes out. What a leader goes by
// is confirmed with each renewal of its grant, and what a node without a leader accepts is
// conditional on the head. docs/design/configuration.md has the argument.
const (

	// maxConfigWaiting bounds the changes that wait to be written.
	maxConfigWaiting = 2000
	// configBroadcastInterval is how often the leader tells the others which revision is in force.
	configBroadcastInterval = time.Second
)

// liveConfig is the leader's account of the configuration.
type liveConfig struct {
	state     *liveconfig.State
	headRev   uint64          // of the head's record in the state service, 0: there is none
	damaged   map[string]bool // objects whose records cannot be read
	waiting   []*configChange // not decided yet
	batch     *configBatch    // on its way
	filled    time.Time       // when it was filled, or the one before
	rereading bool
	nodes     map[string]*configNode
	since     time.Time     // when the revision came into force here
	spread    time.Duration // how long the last one took to be known to all in reach
	spreading bool
	changes   int64 // made by this leader
}

// configChange is a change that somebody waits for.
type configChange struct {
	call   request.Request
	change liveconfig.Change
}

// configBatch is a transaction with changes, until it is known what became of it.
type configBatch struct {
	*liveconfig.Batch
	changes []*configChange
	over    bool
}

// configNode is what the leader knows of another controller.
type configNode struct {
	version  uint64 // version of the talk between controllers
	revision uint64 // of the configuration that it has
	at       time.Time
}

func newConfiguring(cfg *config.Config) liveConfig {
	return liveConfig{state: liveconfig.New(liveconfig.BaseTeams(cfg.Settings.Teams)), damaged: map[string]bool{}, nodes: map[string]*configNode{}}
}

// ---- reading

// loadConfig takes in a record of the configuration. One that cannot be read leaves what is
// known of its object as it is: what a copy has, or else the settings.
func (c *Core) loadConfig(e kv.Entry) {
	conf := &c.leadership.config
	if e.Key == record.ConfigHeadKey {
		conf.headRev = e.Rev
	}
	value := e.Value
	if value == nil {
		conf.damaged[strings.TrimPrefix(e.Key, record.ConfigPrefix)] = true
		from := "the settings"
		if k := c.newestReplica(); k != nil {
			if r, ok := k.Get(e.Key); ok {
				value, from = r.Value, "a copy"
			}
		}
		c.Log(slog.LevelError, "record is unreadable", "key", e.Key, "effect", "the object stays as "+from+" has it")
	}
	switch v := value.(type) {
	case *liveconfig.HeadRecord:
		conf.state.LoadHead(*v)
	case *liveconfig.TeamRecord:
		conf.state.LoadTeam(*v)
	}
}

// applyLoadedConfig puts what was read into force.
func (c *Core) applyLoadedConfig() {
	conf := &c.leadership.config
	var teams []liveconfig.Team
	for _, r := range conf.state.Changed() {
		teams = append(teams, r.Team)
	}
	c.applyTeams(teams)
	conf.since = c.Now
	if conf.state.Revision > 0 {
		c.Log(slog.LevelInfo, "configuration loaded", "term", c.leadership.term, "revision", conf.state.Revision)
	}
	c.broadcastConfig()
}

// applyTeams puts the configuration of teams into force. Running tasks go on, and count;
// under a lowered limit nothing more starts until there is room.
func (c *Core) applyTeams(teams []liveconfig.Team) {
	if len(teams) == 0 {
		return
	}
	l := c.leadership
	for _, t := range teams {
		l.teams.Configure(t)
	}
	l.placement.Guarantees = l.teams.AnyGuarantee()
	l.dispatcher.RequestAll()
}

// teamFromReplica returns a team as the copy of the last leader has it, or as the settings do; nil
// if there is none. The caller's decision has to be conditional on the
// head of the configuration that the copy has.
func (c *Core) teamFromReplica(k *replica.Replica, name string) *quota.Account {
	if r, ok := k.Get(record.ConfigTeamPrefix + name); ok {
		if rec, _ := r.Value.(*liveconfig.TeamRecord); rec != nil {
			return quota.New(rec.Team)
		}
	}
	if t, _, ok := liveconfig.New(liveconfig.BaseTeams(c.cfg.Settings.Teams)).Team(name); ok {
		return quota.New(t)
	}
	return nil
}

// ---- the renewal

// configConds are the conditions on which a renewal shows that the leader's configuration
// is the newest.
func (l *leadership) configConds() []kv.Condition {
	if !l.loaded {
		return nil
	}
	return []kv.Condition{{Key: record.ConfigHeadKey, Rev: l.config.headRev}}
}

// handleConfigConflict: a renewal that went out with a revision of the head has found another. If it
// is not our own change that has come through meanwhile, the records have the last word;
// until they have been read our authority is not renewed. Then it is confirmed again.
func (c *Core) handleConfigConflict(asked uint64, confirm func()) {
	conf := &c.leadership.config
	if conf.headRev != asked {
		c.afterWhileLeading(renewRetryDelay, confirm)
		return
	}
	c.rereadConfig(confirm)
}

// renewRetryDelay is when a renewal is tried again that met a change of configuration.
const renewRetryDelay = 20 * time.Millisecond

// rereadConfig reads the head back, to learn what became of a batch, or all if the head is
// not one that we know.
func (c *Core) rereadConfig(then func()) {
	conf := &c.leadership.config
	if conf.rereading {
		return
	}
	conf.rereading = true
	c.storeWhileLeading(kv.Request{Op: kv.Get, Key: record.ConfigHeadKey}, func(r kv.Response) {
		conf.rereading = false
		if r.Outcome != rpc.OK && r.Outcome != rpc.NotFound {
			return // the next renewal finds the same
		}
		var found liveconfig.HeadRecord
		var rev uint64
		if r.Outcome == rpc.OK {
			rev = r.Entries[0].Rev
			if rec, _ := r.Entries[0].Value.(*liveconfig.HeadRecord); rec != nil {
				found = *rec
			}
		}
		c.reconcileHead(found.Revision, rev)
		then()
	})
}

// reconcileHead goes by the head that is on record.
func (c *Core) reconcileHead(revision, rev uint64) {
	conf := &c.leadership.config
	b := conf.batch
	switch {
	case rev == conf.headRev:
	case b != nil && b.Batch != nil && revision == b.After.Revision:
		c.configBatchCommitted(b, rev) // it has been carried out, and its answer was lost
	case revision == conf.state.Revision:
		conf.headRev = rev // written back after a loss
	default:
		c.Log(slog.LevelError, "stored configuration differs, reloading it", "revision", revision, "known", conf.state.Revision)
		c.reloadConfig(revision, rev)
	}
}

// reloadConfig reads all records of the configuration again.
func (c *Core) reloadConfig(revision, rev uint64) {
	conf := &c.leadership.config
	state := liveconfig.New(liveconfig.BaseTeams(c.cfg.Settings.Teams))
	var page func(from string)
	page = func(from string) {
		c.storeWhileLeading(kv.Request{Op: kv.List, Key: record.ConfigPrefix, From: from, Limit: 400}, func(r kv.Response) {
			if r.Outcome != rpc.OK {
				c.afterWhileLeading(c.Jitter(200*time.Millisecond), func() { page(from) })
				return
			}
			for _, e := range r.Entries {
				if rec, _ := e.Value.(*liveconfig.TeamRecord); rec != nil {
					state.LoadTeam(*rec)
				}
				c.replicate(e)
			}
			if n := len(r.Entries); r.More && n > 0 {
				page(r.Entries[n-1].Key)
				return
			}
			state.LoadHead(liveconfig.HeadRecord{Revision: revision})
			conf.state, conf.headRev = state, rev
			c.applyTeams(state.Teams(state.Names()))
		})
	}
	page("")
}

// ---- changing

// serveConfig answers as the leader.
func (c *Core) serveConfig(call request.Request) {
	conf, q := &c.leadership.config, call.Config
	switch call.Op {
	case request.ConfigStatus:
		c.askPeerVersions()
		c.answer(call, request.Response{Status: 200, Doc: c.configStatus()})
	case request.ConfigGet:
		v, ok := c.viewTeam(q.Name)
		if !ok {
			c.answer(call, request.Response{Status: 404, Field: "name", Reason: "no team " + q.Name})
			return
		}
		c.answer(call, request.Response{Status: 200, Doc: v})
	case request.ConfigList:
		c.answer(call, request.Response{Status: 200, Doc: c.listTeams(q)})
	case request.ConfigSet:
		change := liveconfig.Change{Teams: q.Teams, IfRevision: q.IfRevision}
		if err := change.Check(c.cfg.Settings.State.TxnOps - 1); err != nil {
			c.answer(call, configError(err))
			return
		}
		if reason := c.configRefusal(); reason != "" {
			c.askPeerVersions()
			c.answer(call, request.Unavailable(reason))
			return
		}
		conf.waiting = append(conf.waiting, &configChange{call, change})
		c.queueConfigBatch()
	}
}

// configError answers a change that cannot be made.
func configError(err error) request.Response {
	var e *liveconfig.Error
	if !errors.As(err, &e) {
		return request.Response{Status: 400, Reason: err.Error()}
	}
	status := 400
	if e.Stale {
		status = 412
	}
	return request.Response{Status: status, Field: e.Path(), Reason: e.Error()}
}

// configRefusal says why no change can be taken at present, or "".
func (c *Core) configRefusal() string {
	conf := &c.leadership.config
	switch {
	case c.leadership.restorer.ConfigIsPending():
		return "the configuration is being written back after a loss of data"
	case len(conf.waiting) >= maxConfigWaiting:
		return "too many changes wait"
	case conf.state.Revision > 0:
		return ""
	}
	// A controller of a version without live configuration knows the settings only. Were it
	// to lead after a change, it would go by them. So none is taken before all have said
	// that they know better.
	for _, s := range c.cfg.Seeds {
		if n := conf.nodes[s.HostName]; n == nil || n.version < peerVersion {
			return "controller " + s.HostName + " has not said that it knows live configuration"
		}
	}
	return ""
}

// queueConfigBatch has the changes that wait written, with as many others as come until then.
func (c *Core) queueConfigBatch() {
	conf := &c.leadership.config
	if conf.batch != nil || len(conf.waiting) == 0 {
		return
	}
	b := &configBatch{}
	conf.batch = b
	ch := &writebatch.Change{Priority: writebatch.Config, Size: 1}
	ch.Prepare = func() bool {
		if b.Batch == nil {
			c.prepareConfigBatch(b, ch)
		}
		return !b.over
	}
	ch.OnCommit = func(rev uint64) { c.configBatchCommitted(b, rev) }
	ch.OnConflict = func() { c.configBatchConflict(b, ch) }
	ch.OnReject = func() { c.configBatchRejected(b) }
	c.leadership.writes.Add(ch)
}

// configBatchDue reports whether the batch that waits may go: with what waits for it now, or
// with as much as the allowance had room for after a while. Small batches would spend
// it on the head.
func (c *Core) configBatchDue() bool {
	conf := &c.leadership.config
	b := conf.batch
	if b == nil || b.Batch != nil || len(conf.waiting) == 0 {
		return true
	}
	ops := c.cfg.Settings.State.TxnOps
	room := c.leadership.writes.RoomFor(writebatch.Config, c.Now, ops)
	least := len(conf.waiting[0].change.Teams) + 1 // with the head; it goes whole
	if room < least {
		return false
	}
	return room >= min(ops, max(least, len(conf.waiting)+1)) || c.Now.Sub(conf.filled) >= configBatchInterval
}

// configBatchInterval is how long after the one before a batch may wait to become larger. It counts
// from there and not from when its changes came: once those are old, each batch would go with
// as little as there is room for, spend half of it on the head, and never catch up.
const configBatchInterval = 700 * time.Millisecond

// prepareConfigBatch decides what goes, now that something can.
func (c *Core) prepareConfigBatch(b *configBatch, ch *writebatch.Change) {
	conf := &c.leadership.config
	conf.filled = c.Now
	changes := make([]*liveconfig.Change, len(conf.waiting))
	for i, w := range conf.waiting {
		changes[i] = &w.change
	}
	b.Batch = liveconfig.NewBatch(conf.state, changes, c.leadership.writes.RoomFor(writebatch.Config, c.Now, c.cfg.Settings.State.TxnOps))
	b.changes = slices.Clone(conf.waiting[:b.Taken])
	conf.waiting = slices.Delete(conf.waiting, 0, b.Taken)
	records := b.Records()
	if len(records) == 0 { // nothing changes: all of it was refused, or is so already
		c.answerConfigBatch(b)
		return
	}
	ch.Size = 0
	for _, r := range records {
		ch.Writes = append(ch.Writes, kv.Write{Key: record.ConfigTeamPrefix + r.Team.Name, Value: &r})
		ch.Size += 200 + 2*len(r.Team.Name)
	}
	ch.Writes = append(ch.Writes, kv.Write{Key: record.ConfigHeadKey, Value: &liveconfig.HeadRecord{Revision: b.After.Revision}})
	ch.Conditions = []kv.Condition{{Key: record.ConfigHeadKey, Rev: conf.headRev}}
	ch.Size += 200
}

// configBatchCommitted: the changes are on record. They are in force before anybody hears of it.
func (c *Core) configBatchCommitted(b *configBatch, rev uint64) {
	conf := &c.leadership.config
	if b.over {
		return
	}
	conf.state, conf.headRev, conf.since = b.After, rev, c.Now
	conf.changes += int64(len(b.Each))
	c.replicateConfigBatch(b, rev)
	conf.spreading = len(c.cfg.Seeds) > 0
	c.applyTeams(conf.state.Teams(b.Names()))
	for _, name := range b.Names() {
		delete(conf.damaged, strings.TrimPrefix(record.ConfigTeamPrefix, record.ConfigPrefix)+name)
	}
	delete(conf.damaged, strings.TrimPrefix(record.ConfigHeadKey, record.ConfigPrefix))
	c.Log(slog.LevelInfo, "configuration changed", "revision", conf.state.Revision, "teams", strings.Join(b.Names(), ","), "changes", len(b.changes))
	c.sendConfigRevision()
	c.answerConfigBatch(b)
}

// replicateConfigBatch takes the records of a batch into our copy, unless they are there by the
// transaction's own answer.
func (c *Core) replicateConfigBatch(b *configBatch, rev uint64) {
	c.replicate(kv.Entry{Key: record.ConfigHeadKey, Value: &liveconfig.HeadRecord{Revision: b.After.Revision}, Rev: rev})
	for _, r := range b.Records() {
		c.replicate(kv.Entry{Key: record.ConfigTeamPrefix + r.Team.Name, Value: &r, Rev: rev})
	}
}

// answerConfigBatch answers everybody whose change is decided.
func (c *Core) answerConfigBatch(b *configBatch) {
	conf := &c.leadership.config
	b.over = true
	if conf.batch == b {
		conf.batch = nil
	}
	for i, w := range b.changes {
		if made := b.Each[i]; made.Err != nil {
			c.answer(w.call, configError(made.Err))
		} else {
			c.answer(w.call, request.Response{Status: 200, Doc: view.ConfigChanged{Revision: made.Revision}})
		}
	}
	b.changes = nil
	// Not at once: the pipeline is looking at its lists.
	c.afterWhileLeading(0, c.queueConfigBatch)
}

// configBatchConflict: the head is not what it was. Either an earlier try of this very batch has
// been carried out, or the head was written back after a loss.
func (c *Core) configBatchConflict(b *configBatch, ch *writebatch.Change) {
	c.readBack(record.ConfigHeadKey, func(e kv.Entry, _ bool) {
		if b.over {
			return
		}
		var found uint64
		if rec, _ := e.Value.(*liveconfig.HeadRecord); rec != nil {
			found = rec.Revision
		}
		conf := &c.leadership.config
		switch found {
		case b.After.Revision:
			c.configBatchCommitted(b, e.Rev)
		case conf.state.Revision:
			conf.headRev = e.Rev
			ch.Conditions[0].Rev = e.Rev
			c.leadership.writes.Add(ch)
		default:
			c.failConfigBatch(b, request.Unavailable("the configuration on record is being read"))
			c.reconcileHead(found, e.Rev)
		}
	})
}

func (c *Core) configBatchRejected(b *configBatch) {
	c.failConfigBatch(b, request.Response{Status: 400, Field: "teams", Reason: "teams: the state service rejects the records"})
}

func (c *Core) failConfigBatch(b *configBatch, a request.Response) {
	conf := &c.leadership.config
	b.over = true
	if conf.batch == b {
		conf.batch = nil
	}
	for _, w := range b.changes {
		c.answer(w.call, a)
	}
	b.changes = nil
	c.afterWhileLeading(0, c.queueConfigBatch)
}

// answerConfig answers everybody who waits for a change. A batch that is on its way is
// still followed up: it may be on record.
func (c *Core) answerConfig(l *leadership, a request.Response) {
	if b := l.config.batch; b != nil {
		for _, w := range b.changes {
			c.answer(w.call, a)
		}
		b.changes = nil
	}
	for _, w := range l.config.waiting {
		c.answer(w.call, a)
	}
	l.config.waiting = nil
}
