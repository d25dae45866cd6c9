package core

import (
	"log/slog"
	"strings"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/kv"
	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/replica"
	"yewpass/internal/schedule"
	"yewpass/internal/writebatch"
)

// Copies of the records: the leader's own, those that it passes on, and those that it is
// asked for.

// How copies of the records are passed on.
const (
	replicaInterval       = 100 * time.Millisecond // a part of the base goes out
	replicaRecordsPerLine = 200                    // records: to one that waits for them, or to all that lack them together
	replicaLineBytes      = 96 << 10               // of one line, well below what a peer reads of one
	finalsPerMemoryMB     = 40                     // of the machine's memory; one takes about 250 bytes in all
)

// replicas is what a controller keeps of the records.
type replicas struct {
	own       *replica.Replica     // as we lead, or led last
	received  replica.Receiver     // what a leader passes on to us
	transfers map[string]*transfer // to whom we are sending what we have
}

// transfer is a copy on its way to somebody who has asked for it, or has none.
type transfer struct {
	sender *replica.Sender
	source *replica.Replica
}

// maxFinals is of how many jobs it is remembered how they have ended.
func maxFinals(cfg *config.Config) int {
	return max(4096, int(cfg.Settings.Limits.MemMB*finalsPerMemoryMB))
}

// replicaRecordSize estimates the bytes of a record in a line, with room to spare.
func replicaRecordSize(r replica.Record) int {
	n := 100 + len(r.Key)
	switch v := r.Value.(type) {
	case *record.Job:
		n += record.JobSize(&v.Spec)
	case *record.Machines:
		for i := range v.Machines {
			n += v.Machines[i].Size()
		}
	case *record.Progress:
		n += len(v.Ranges)
	case *schedule.Record:
		n += v.Size()
	}
	return n
}

// newestReplica returns the newest copy that this process has, or nil.
func (c *Core) newestReplica() *replica.Replica {
	best := c.replicas.own
	if h := c.replicas.received.Replica(); h.NewerThan(best) {
		best = h
	}
	return best
}

// lastLeaderReplica returns the copy of the last leader that we know of, or nil without one, and
// when the service is known to have lost data since.
func (c *Core) lastLeaderReplica() *replica.Replica {
	if k := c.newestReplica(); k != nil && k.Term == c.confirmedTerm && c.dataLossReason == "" {
		return k
	}
	return nil
}

// ownReplica returns the copy of the term that we lead, or nil.
func (c *Core) ownReplica() *replica.Replica {
	if own := c.replicas.own; own != nil && c.leadership != nil && own.Term == c.leadership.term {
		return own
	}
	return nil
}

// replicate takes a record that was read into the copy.
func (c *Core) replicate(e kv.Entry) {
	own := c.ownReplica()
	if own == nil || e.Value == nil {
		return
	}
	if r, ok := own.Get(e.Key); !ok || r.Rev != e.Rev {
		c.replicateChange([]replica.Record{{Key: e.Key, Value: e.Value, Rev: e.Rev}}, nil)
	}
}

// replicateDrop takes a record out of the copy that we have dropped, however we have learned that
// it is gone. That it is not there is not enough: it may have been lost, and the copy is then
// all that is left of it.
func (c *Core) replicateDrop(key string) {
	if own := c.ownReplica(); own != nil {
		if _, ok := own.Get(key); ok {
			c.replicateChange(nil, []string{key})
		}
	}
}

// replicateLeaderless takes a job that was accepted without a leader into the copies of all who are
// in reach: until a leader has taken it on, nobody else knows of it.
func (c *Core) replicateLeaderless(rec *record.Job, rev uint64) {
	r := replica.Record{Key: record.JobPrefix + rec.Spec.ID, Value: rec, Rev: rev}
	if k := c.newestReplica(); k != nil {
		k.Put(r.Key, r.Value, r.Rev)
	}
	for _, s := range c.cfg.Seeds {
		c.Emit(peermsg.Outgoing{To: s.HostName, Msg: peermsg.Message{Kind: peermsg.LeaderlessJob, Term: c.confirmedTerm, Replica: &replica.Line{Term: c.confirmedTerm, Session: 1, Puts: []replica.Record{r}}}})
	}
}

// handleLeaderlessJob takes in a job that another node has accepted without a leader.
func (c *Core) handleLeaderlessJob(line *replica.Line) {
	k := c.newestReplica()
	if c.leadership != nil || k == nil || k.Term != line.Term {
		return // a leader takes it on by its note
	}
	for _, r := range line.Puts {
		if _, known := k.Get(r.Key); !known && strings.HasPrefix(r.Key, record.JobPrefix) {
			k.Put(r.Key, r.Value, r.Rev)
		}
	}
}

// replicateChange takes changes into the leader's copy, and tells its holders.
func (c *Core) replicateChange(puts []replica.Record, drops []string) {
	own := c.replicas.own
	for _, r := range puts {
		own.Put(r.Key, r.Value, r.Rev)
	}
	for _, k := range drops {
		own.Drop(k)
	}
	own.Seq++
	for _, s := range c.cfg.Seeds {
		if h := c.leadership.followers[s.HostName]; h != nil {
			c.sendReplicaLine(s.HostName, h.ChangeLine(own, puts, drops))
		}
	}
}

// replicateBatch takes a committed transaction into the leader's copy, and tells its holders. It
// goes out before whoever waits for the commit is answered.
func (c *Core) replicateBatch(batch []*writebatch.Change, rev uint64) {
	if c.ownReplica() == nil {
		return
	}
	var puts []replica.Record
	var drops []string
	for _, ch := range batch {
		for _, w := range ch.Writes {
			switch {
			case strings.HasPrefix(w.Key, record.LeaderlessPrefix):
			case w.Value == nil:
				drops = append(drops, w.Key)
			default:
				puts = append(puts, replica.Record{Key: w.Key, Value: w.Value, Rev: rev})
			}
		}
	}
	if len(puts)+len(drops) > 0 {
		c.replicateChange(puts, drops)
	}
}

func (c *Core) sendReplicaLine(to string, line replica.Line) {
	c.Emit(peermsg.Outgoing{To: to, Msg: peermsg.Message{Kind: peermsg.Replica, Term: max(1, c.highestTerm), Replica: &line}})
}

// supplyReplicas has every controller in reach supplied with a copy: any of them may have
// to go on by it, and none accepts a job without a leader that lacks one.
func (c *Core) supplyReplicas() {
	l := c.leadership
	if c.ownReplica() == nil {
		return
	}
	for _, s := range c.cfg.Seeds {
		if l.followers[s.HostName] != nil || !c.links[s.HostName] {
			continue // a link that is lost takes its holder with it
		}
		l.followers[s.HostName] = replica.NewSender(c.Rand.Uint64()|1, c.replicas.own)
		if !l.sendingBase {
			l.sendingBase = true
			c.afterWhileLeading(0, c.sendBase)
		}
	}
}

// completeReplicas names the controllers that have a whole copy of the records, this one aside.
func (c *Core) completeReplicas() (names []string) {
	for _, s := range c.cfg.Seeds {
		if h := c.leadership.followers[s.HostName]; h != nil && h.Complete() {
			names = append(names, s.HostName)
		}
	}
	return names
}

// sendBase sends a part of the base to those that have not got all of it, some to each.
func (c *Core) sendBase() {
	l := c.leadership
	l.sendingBase = false
	lacking := 0
	for _, h := range l.followers {
		if !h.Complete() {
			lacking++
		}
	}
	for _, s := range c.cfg.Seeds {
		if h := l.followers[s.HostName]; h != nil {
			if line, more := h.NextSnapshotLine(c.replicas.own, max(1, replicaRecordsPerLine/max(1, lacking)), replicaLineBytes, replicaRecordSize); more {
				c.sendReplicaLine(s.HostName, line)
				l.sendingBase = true
			}
		}
	}
	if l.sendingBase {
		c.afterWhileLeading(replicaInterval, c.sendBase)
	}
}

// handleReplicaLine takes in a line of a copy: of the leader's, or of one that we have asked for.
func (c *Core) handleReplicaLine(from string, line *replica.Line) {
	h := &c.replicas.received
	if l := c.leadership; l != nil {
		if l.recovery == nil && l.finalsSource == from && from != "" {
			c.receiveFinals(line)
			return
		}
		if l.recovery == nil || l.recovery.replicaSource != from || line.Term >= l.term {
			return
		}
		h = &l.recovery.receiver
		l.recovery.replicaDeadline = c.Now.Add(replicaTimeout)
	} else if from != c.knownLeader || line.Term > c.highestTerm {
		return // of nobody who leads
	}
	if err := h.Receive(line, record.FinalPrefix, maxFinals(c.cfg)); err != nil {
		c.Log(slog.LevelWarn, "replica out of sequence, requesting it again", "from", from, "reason", err)
		c.Emit(peermsg.Outgoing{To: from, Msg: peermsg.Message{Kind: peermsg.ReplicaRestart, Term: max(1, line.Term), Ref: line.Session}})
		return
	}
	c.dropOwnReplica()
	for i := range line.Puts {
		c.observed.Revision = max(c.observed.Revision, line.Puts[i].Rev)
	}
	if c.leadership != nil && h.Replica() != nil {
		c.advanceRecovery()
	}
}

// dropOwnReplica drops our copy of a term that we led once we hold a whole one of a later term.
// Not sooner, however far the terms have gone on: after a loss they go on far above the last
// one, and what we have is then the newest that there is.
func (c *Core) dropOwnReplica() {
	if own, held := c.replicas.own, c.replicas.received.Replica(); c.leadership == nil && own != nil && held != nil && held.Term > own.Term {
		c.replicas.own = nil
	}
}

// receiveFinals takes in how jobs have ended, from the copy of another: what the service has of
// them it may have lost without a word, and a process that has just begun remembers none.
func (c *Core) receiveFinals(line *replica.Line) {
	l := c.leadership
	own := c.ownReplica()
	if own == nil || line.Term >= l.term || l.finalsReceiver.Receive(line, record.FinalPrefix, maxFinals(c.cfg)) != nil {
		return // it can do without
	}
	if k := l.finalsReceiver.Replica(); k != nil {
		own.InheritBounded(k)
		c.rememberFinals(k)
		l.finalsSource = ""
		// Nor does what it has of schedules show that none is lost: they lie apart.
		for _, key := range k.Keys(record.Root + "schedule") {
			if _, ok := own.Get(key); !ok {
				r, _ := k.Get(key)
				own.Put(key, r.Value, 0)
			}
		}
		if l.schedules.loaded {
			c.restoreMissingSchedules()
		}
	}
}

// rememberFinals takes in how the jobs of a copy have ended.
func (c *Core) rememberFinals(k *replica.Replica) {
	for _, key := range k.Keys(record.FinalPrefix) {
		r, _ := k.Get(key)
		if f, _ := r.Value.(*record.Final); f != nil {
			c.finals.Add(strings.TrimPrefix(key, record.FinalPrefix), *f)
		}
	}
}

// restartReplica begins a stream anew whose lines did not all arrive.
func (c *Core) restartReplica(from string, session uint64) {
	if l := c.leadership; l != nil {
		if h := l.followers[from]; h != nil && h.Session() == session {
			delete(l.followers, from)
		}
		return // supplied again with the next look
	}
	if x := c.replicas.transfers[from]; x != nil && x.sender.Session() == session {
		c.startTransfer(from)
	}
}

// startTransfer sends what we have to a new leader that wants it, or before we lead ourselves to
// somebody who has nothing: should we end now it would be lost.
func (c *Core) startTransfer(name string) {
	best := c.newestReplica()
	if best == nil {
		return
	}
	x := &transfer{replica.NewSender(c.Rand.Uint64()|1, best), best}
	c.replicas.transfers[name] = x
	c.continueTransfer(name, x)
}

func (c *Core) continueTransfer(name string, x *transfer) {
	if c.replicas.transfers[name] != x {
		return
	}
	line, more := x.sender.NextSnapshotLine(x.source, replicaRecordsPerLine, replicaLineBytes, replicaRecordSize)
	if !more || c.leadership != nil && c.leadership.recovery == nil {
		delete(c.replicas.transfers, name)
		return
	}
	c.sendReplicaLine(name, line)
	c.After(replicaInterval/5, func() { c.continueTransfer(name, x) })
}
