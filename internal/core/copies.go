package core

import (
	"log/slog"
	"strings"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/schedule"
	"yewpass/internal/snapshot"
)

// Copies of the records: the leader's own, those that it passes on, and those that it is
// asked for.

// How copies of the records are passed on.
const (
	copyEvery   = 100 * time.Millisecond // a part of the base goes out
	copyPart    = 200                    // records: to one that waits for them, or to all that lack them together
	copyBytes   = 96 << 10               // of one line, well below what a peer reads of one
	finalsPerMB = 40                     // of the machine's memory; one takes about 250 bytes in all
)

// copies is what a controller keeps of the records.
type copies struct {
	own   *snapshot.Copy      // as we lead, or led last
	held  snapshot.Holder     // what a leader passes on to us
	lends map[string]*lending // to whom we are sending what we have
}

// lending is a copy on its way to somebody who has asked for it, or has none.
type lending struct {
	sender *snapshot.Sender
	copy   *snapshot.Copy
}

// finalsMost is of how many jobs it is remembered how they have ended.
func finalsMost(cfg *config.Config) int {
	return max(4096, int(cfg.Settings.Limits.MemMB*finalsPerMB))
}

// copySize estimates the bytes of a record in a line, with room to spare.
func copySize(r snapshot.Record) int {
	n := 100 + len(r.Key)
	switch v := r.Value.(type) {
	case *JobRecord:
		n += recordSize(&v.Spec)
	case *MachineRecord:
		for i := range v.Machines {
			n += v.Machines[i].size()
		}
	case *ProgressRecord:
		n += len(v.Ranges)
	case *schedule.Record:
		n += v.Size()
	}
	return n
}

// bestCopy returns the newest copy that this process has, or nil.
func (c *Core) bestCopy() *snapshot.Copy {
	best := c.copies.own
	if h := c.copies.held.Copy(); h.Newer(best) {
		best = h
	}
	return best
}

// lastCopy returns the copy of the last leader that we know of, or nil without one, and
// when the service is known to have lost data since.
func (c *Core) lastCopy() *snapshot.Copy {
	if k := c.bestCopy(); k != nil && k.Term == c.confirmedTerm && c.dataLossReason == "" {
		return k
	}
	return nil
}

// ownCopy returns the copy of the term that we lead, or nil.
func (c *Core) ownCopy() *snapshot.Copy {
	if own := c.copies.own; own != nil && c.leadership != nil && own.Term == c.leadership.term {
		return own
	}
	return nil
}

// keep takes a record that was read into the copy.
func (c *Core) keep(e Entry) {
	own := c.ownCopy()
	if own == nil || e.Value == nil {
		return
	}
	if r, ok := own.Get(e.Key); !ok || r.Rev != e.Rev {
		c.passOnCopy([]snapshot.Record{{Key: e.Key, Value: e.Value, Rev: e.Rev}}, nil)
	}
}

// unkeep takes a record out of the copy that we have dropped, however we have learned that
// it is gone. That it is not there is not enough: it may have been lost, and the copy is then
// all that is left of it.
func (c *Core) unkeep(key string) {
	if own := c.ownCopy(); own != nil {
		if _, ok := own.Get(key); ok {
			c.passOnCopy(nil, []string{key})
		}
	}
}

// keepAlone takes a job that was accepted without a leader into the copies of all who are
// in reach: until a leader has taken it on, nobody else knows of it.
func (c *Core) keepAlone(rec *JobRecord, rev uint64) {
	r := snapshot.Record{Key: jobKeys + rec.Spec.ID, Value: rec, Rev: rev}
	if k := c.bestCopy(); k != nil {
		k.Put(r.Key, r.Value, r.Rev)
	}
	for _, s := range c.cfg.Seeds {
		c.emit(PeerSend{s.HostName, PeerMsg{Kind: PeerAlone, Term: c.confirmedTerm, Copy: &snapshot.Line{Term: c.confirmedTerm, Session: 1, Puts: []snapshot.Record{r}}}})
	}
}

// peerAlone takes in a job that another node has accepted without a leader.
func (c *Core) peerAlone(line *snapshot.Line) {
	k := c.bestCopy()
	if c.leadership != nil || k == nil || k.Term != line.Term {
		return // a leader takes it on by its note
	}
	for _, r := range line.Puts {
		if _, known := k.Get(r.Key); !known && strings.HasPrefix(r.Key, jobKeys) {
			k.Put(r.Key, r.Value, r.Rev)
		}
	}
}

// passOnCopy takes changes into the leader's copy, and tells its holders.
func (c *Core) passOnCopy(puts []snapshot.Record, drops []string) {
	own := c.copies.own
	for _, r := range puts {
		own.Put(r.Key, r.Value, r.Rev)
	}
	for _, k := range drops {
		own.Drop(k)
	}
	own.Seq++
	for _, s := range c.cfg.Seeds {
		if h := c.leadership.holders[s.HostName]; h != nil {
			c.sendCopy(s.HostName, h.Change(own, puts, drops))
		}
	}
}

// copied takes a committed transaction into the leader's copy, and tells its holders. It
// goes out before whoever waits for the commit is answered.
func (c *Core) copied(batch []*change, rev uint64) {
	if c.ownCopy() == nil {
		return
	}
	var puts []snapshot.Record
	var drops []string
	for _, ch := range batch {
		for _, w := range ch.writes {
			switch {
			case strings.HasPrefix(w.Key, aloneKeys):
			case w.Value == nil:
				drops = append(drops, w.Key)
			default:
				puts = append(puts, snapshot.Record{Key: w.Key, Value: w.Value, Rev: rev})
			}
		}
	}
	if len(puts)+len(drops) > 0 {
		c.passOnCopy(puts, drops)
	}
}

func (c *Core) sendCopy(to string, line snapshot.Line) {
	c.emit(PeerSend{to, PeerMsg{Kind: PeerCopy, Term: max(1, c.highestTerm), Copy: &line}})
}

// supplyCopies has every controller in reach supplied with a copy: any of them may have
// to go on by it, and none accepts a job without a leader that lacks one.
func (c *Core) supplyCopies() {
	l := c.leadership
	if c.ownCopy() == nil {
		return
	}
	for _, s := range c.cfg.Seeds {
		if l.holders[s.HostName] != nil || !c.links[s.HostName] {
			continue // a link that is lost takes its holder with it
		}
		l.holders[s.HostName] = snapshot.NewSender(c.rng.Uint64()|1, c.copies.own)
		if !l.copying {
			l.copying = true
			c.afterWhileLeading(0, c.copyMore)
		}
	}
}

// wholeCopies names the controllers that have a whole copy of the records, this one aside.
func (c *Core) wholeCopies() (names []string) {
	for _, s := range c.cfg.Seeds {
		if h := c.leadership.holders[s.HostName]; h != nil && h.Whole() {
			names = append(names, s.HostName)
		}
	}
	return names
}

// copyMore sends a part of the base to those that have not got all of it, some to each.
func (c *Core) copyMore() {
	l := c.leadership
	l.copying = false
	lacking := 0
	for _, h := range l.holders {
		if !h.Whole() {
			lacking++
		}
	}
	for _, s := range c.cfg.Seeds {
		if h := l.holders[s.HostName]; h != nil {
			if line, more := h.Base(c.copies.own, max(1, copyPart/max(1, lacking)), copyBytes, copySize); more {
				c.sendCopy(s.HostName, line)
				l.copying = true
			}
		}
	}
	if l.copying {
		c.afterWhileLeading(copyEvery, c.copyMore)
	}
}

// peerCopy takes in a line of a copy: of the leader's, or of one that we have asked for.
func (c *Core) peerCopy(from string, line *snapshot.Line) {
	h := &c.copies.held
	if l := c.leadership; l != nil {
		if l.recovery == nil && l.endsFrom == from && from != "" {
			c.learnEnds(line)
			return
		}
		if l.recovery == nil || l.recovery.replicaSource != from || line.Term >= l.term {
			return
		}
		h = &l.recovery.receiver
		l.recovery.replicaDeadline = c.now.Add(replicaTimeout)
	} else if from != c.knownLeader || line.Term > c.highestTerm {
		return // of nobody who leads
	}
	if err := h.Take(line, finalKeys, finalsMost(c.cfg)); err != nil {
		c.note(slog.LevelWarn, "copy of the records is wanted anew", "from", from, "reason", err)
		c.emit(PeerSend{from, PeerMsg{Kind: PeerAgain, Term: max(1, line.Term), Ref: line.Session}})
		return
	}
	c.dropOwnCopy()
	for i := range line.Puts {
		c.observed.Rev = max(c.observed.Rev, line.Puts[i].Rev)
	}
	if c.leadership != nil && h.Copy() != nil {
		c.advanceRecovery()
	}
}

// dropOwnCopy drops our copy of a term that we led once we hold a whole one of a later term.
// Not sooner, however far the terms have gone on: after a loss they go on far above the last
// one, and what we have is then the newest that there is.
func (c *Core) dropOwnCopy() {
	if own, held := c.copies.own, c.copies.held.Copy(); c.leadership == nil && own != nil && held != nil && held.Term > own.Term {
		c.copies.own = nil
	}
}

// learnEnds takes in how jobs have ended, from the copy of another: what the service has of
// them it may have lost without a word, and a process that has just begun remembers none.
func (c *Core) learnEnds(line *snapshot.Line) {
	l := c.leadership
	own := c.ownCopy()
	if own == nil || line.Term >= l.term || l.ends.Take(line, finalKeys, finalsMost(c.cfg)) != nil {
		return // it can do without
	}
	if k := l.ends.Copy(); k != nil {
		own.Inherit(k)
		c.rememberEnds(k)
		l.endsFrom = ""
		// Nor does what it has of schedules show that none is lost: they lie apart.
		for _, key := range k.Keys(rootKey + "schedule") {
			if _, ok := own.Get(key); !ok {
				r, _ := k.Get(key)
				own.Put(key, r.Value, 0)
			}
		}
		if l.sched.loaded {
			c.restoreMissingSchedules()
		}
	}
}

// rememberEnds takes in how the jobs of a copy have ended.
func (c *Core) rememberEnds(k *snapshot.Copy) {
	for _, key := range k.Keys(finalKeys) {
		r, _ := k.Get(key)
		if f, _ := r.Value.(*FinalRecord); f != nil {
			c.final.Add(strings.TrimPrefix(key, finalKeys), *f)
		}
	}
}

// copyAgain begins a stream anew whose lines did not all arrive.
func (c *Core) copyAgain(from string, session uint64) {
	if l := c.leadership; l != nil {
		if h := l.holders[from]; h != nil && h.Session() == session {
			delete(l.holders, from)
		}
		return // supplied again with the next look
	}
	if x := c.copies.lends[from]; x != nil && x.sender.Session() == session {
		c.lend(from)
	}
}

// lend sends what we have to a new leader that wants it, or before we lead ourselves to
// somebody who has nothing: should we end now it would be lost.
func (c *Core) lend(name string) {
	best := c.bestCopy()
	if best == nil {
		return
	}
	x := &lending{snapshot.NewSender(c.rng.Uint64()|1, best), best}
	c.copies.lends[name] = x
	c.lendMore(name, x)
}

func (c *Core) lendMore(name string, x *lending) {
	if c.copies.lends[name] != x {
		return
	}
	line, more := x.sender.Base(x.copy, copyPart, copyBytes, copySize)
	if !more || c.leadership != nil && c.leadership.recovery == nil {
		delete(c.copies.lends, name)
		return
	}
	c.sendCopy(name, line)
	c.after(copyEvery/5, func() { c.lendMore(name, x) })
}
