package core

import (
	"strings"
	"time"

	"yewpass/internal/rebuild"
	"yewpass/internal/snapshot"
)

// What a new leader finds out, from the state service and the other controllers, before its
// term begins its work.

// How long a new leader waits for what the others know.
const (
	askEvery       = 100 * time.Millisecond
	noReplicaDelay = 150 * time.Millisecond
	askWithin      = 300 * time.Millisecond // peers are left to answer a new leader
	askFirst       = time.Second            // the same where nothing is known and nothing on record
	wantWithin     = 5 * time.Second        // a peer is left to send its copy
	// earlierRead is how many jobs that a copy has and the service has not are asked after
	// at a take-over, one read each; for more all that have ended are listed.
	earlierRead = 50
)

// gathering is what a new leader finds out before its term begins its work.
type gathering struct {
	before rebuild.Known // what we had seen before we stood
	found  rebuild.Found
	lost   string // why data must have been lost, or ""
	stored []snapshot.Record
	read   bool // all of it
	told   map[string]*Knowledge
	copy   *snapshot.Copy // to go by
	wanted string         // whose copy is on its way
	coming snapshot.Holder
	tried  map[string]bool
	until  time.Time // the copy is waited for
	asked  bool      // about jobs that may have ended
	merged bool
	ours   bool // the last term that we knew of was our own
}

// rebuilding is what is known of a loss under the leader that has found it.
type rebuilding struct {
	restored int // records that were lost or older
	left     int // of them, not on record yet
	since    time.Time
	why      string // what showed the loss
	from     string // whose copy was gone by
}

// ask begins to gather.
func (c *Core) ask() {
	c.askMore()
	c.afterWhileLeading(askWithin, c.rebuilt)
	c.afterWhileLeading(askFirst, c.rebuilt)
	c.afterWhileLeading(withDrift(leaseTTL)+time.Millisecond, c.rebuilt)
}

// askMore asks those again who have not told: their link to a process that has just begun
// comes up later than its own to them.
func (c *Core) askMore() {
	g := c.leadership.gather
	if g == nil || g.merged {
		return
	}
	for _, p := range c.cfg.Seeds {
		if g.told[p.HostName] == nil {
			c.emit(PeerSend{p.HostName, PeerMsg{Kind: PeerAsk, Term: c.leadership.term}})
		}
	}
	c.afterWhileLeading(askEvery, c.askMore)
}

// tells takes in what a peer knows.
func (c *Core) tells(from string, k *Knowledge) {
	l := c.leadership
	if g := l.gather; g != nil {
		if g.told[from] == nil && k.CopyTerm == 0 {
			c.lend(from)
		}
		g.told[from] = k
		c.rebuilt()
	} else if l.fresh && k.Era == c.known.Era && k.Term > l.term && k.Old < l.term {
		// Of the same data: somebody leads after us, and we were cut off meanwhile.
		if c.hasAuthority() {
			c.verifyTerm("a newer term is known", func() {})
		} else {
			c.stepDown("a newer term is known")
		}
	} else if l.fresh && k.Below(c.known.Era, l.term, c.processID) {
		// Nothing was on record and nobody in reach when we began; now somebody is.
		c.begunBelow(max(k.Old, k.Term))
	}
}

// begunBelow: terms have begun again, below one that workers have seen.
func (c *Core) begunBelow(term uint64) {
	c.known.Term = max(c.known.Term, term)
	c.suspect("a higher term is known than those on record")
}

// waits reports whether somebody may still tell what is not known here.
func (g *gathering) waits(c *Core) bool {
	waited := c.now.Sub(c.leadership.electedAt)
	within, all := askWithin, false
	best := c.bestCopy()
	switch {
	case g.lost != "" || g.found.Missing:
	case best != nil && best.Term == g.found.Term && best.Era == g.found.Era:
		return false // nobody knows more
	case best == nil && waited < askFirst:
		// A process that has just begun: the others may have copies, and the links to it
		// come up.
		for _, k := range g.told {
			if k.CopyTerm+1 >= g.found.Term {
				return false
			}
		}
		return len(g.told) < len(c.cfg.Seeds)
	}
	if g.lost != "" || g.found.Missing && g.before.Term == 0 {
		within, all = askFirst, true // also for those to whom the link is not up yet
	}
	if waited >= within {
		return false
	}
	for _, s := range c.cfg.Seeds {
		if g.told[s.HostName] == nil && (all || c.links[s.HostName]) {
			return true
		}
	}
	return false
}

// rebuilt goes on with a take-over as far as what has been gathered allows: to the records
// that there are, from the service and, where it has lost some, from the newest copy.
func (c *Core) rebuilt() {
	l := c.leadership
	g := l.gather
	if g == nil || !g.read || g.asked || g.merged || g.waits(c) {
		return
	}
	known := g.before
	last := g.before.Term
	if !g.found.Missing {
		last = max(last, g.found.Term)
	}
	offers, names := []snapshot.Age{}, []string{}
	floor := uint64(0)
	offer := func(name string, age snapshot.Age) {
		if !g.tried[name] {
			offers, names = append(offers, age), append(names, name)
		}
	}
	if own := c.bestCopy(); own != nil && own.Term < l.term {
		offer("", own.Age)
	}
	for _, s := range c.cfg.Seeds {
		if k := g.told[s.HostName]; k != nil {
			if k.Below(c.known.Era, l.term, c.processID) {
				floor = max(floor, k.Old, k.Term)
			}
			if k.Era != c.known.Era { // else it has read of our term already
				known = known.With(k.Known)
			} else if g.lost == "" && g.found.Missing && k.Old > 0 {
				g.lost = "no term is on record, and one was"
			}
			offer(s.HostName, snapshot.Age{Term: k.CopyTerm, Seq: k.CopySeq})
		}
	}
	if floor >= l.term {
		c.begunBelow(floor)
		return
	}
	last = max(last, known.Term)
	if g.lost == "" {
		g.lost = known.Lost(g.found)
	}
	best := rebuild.Best(offers)
	if best >= 0 && g.copy == nil {
		name := names[best]
		switch {
		case name == "":
			g.copy = c.bestCopy()
		case g.coming.Copy() != nil && g.wanted == name:
			if came := g.coming.Copy(); offers[best].After(came.Age) {
				// Not the one that was offered. Another may be newer by now.
				g.told[name].CopyTerm, g.told[name].CopySeq = came.Term, came.Seq
				c.rebuilt()
				return
			}
			g.copy = g.coming.Copy()
		case g.lost == "" && g.told[name].Live == digestOf(g.stored) && g.told[name].CopyEra == g.found.Era:
			// Nothing is missing, as far as its keys tell; but for how jobs have ended,
			// which is learned beside the work.
			l.endsFrom = name
		case g.wanted != name:
			g.wanted, g.until, g.coming = name, c.now.Add(wantWithin), snapshot.Holder{}
			c.emit(PeerSend{name, PeerMsg{Kind: PeerWant, Term: l.term}})
			c.afterWhileLeading(wantWithin+time.Millisecond, c.rebuilt)
			return
		case c.now.Before(g.until):
			return
		default:
			g.tried[name], g.wanted = true, ""
			c.rebuilt()
			return
		}
	}
	if g.copy != nil && g.lost == "" && !g.found.Missing && g.copy.Era != 0 && g.copy.Era != g.found.Era {
		g.lost = "a leader has found a loss and has not passed on what there is"
	}
	if g.lost != "" {
		// The leader before us may still go by a grant that was not lost, or has not been
		// missed yet, for as long as one lasts; unless it was this very process.
		ours := g.ours && last == g.before.Term && len(g.told) == len(c.cfg.Seeds)
		if !ours {
			l.lag = withDrift(leaseTTL)
		}
		if c.now.Sub(l.electedAt) < l.lag {
			return
		}
	}
	if g.copy != nil {
		c.askEnded()
		return
	}
	c.merge()
}

// digestOf is the digest of live records.
func digestOf(rs []snapshot.Record) (d snapshot.Digest) {
	for _, r := range rs {
		d.Add(r.Key)
	}
	return d
}

// askEnded asks the service about jobs that a copy has and it has not: they have ended
// after the copy's last line, or are lost. What it says is taken into the copy.
func (c *Core) askEnded() {
	l := c.leadership
	g := l.gather
	g.asked = true
	have := map[string]bool{}
	for _, r := range g.stored {
		have[r.Key] = true
	}
	var missing []string // keys of their final records, in order
	for _, key := range g.copy.Keys(jobKeys) {
		final := finalKeys + strings.TrimPrefix(key, jobKeys)
		if _, over := g.copy.Get(final); !have[key] && !over {
			missing = append(missing, final)
		}
	}
	if len(missing) == 0 {
		c.merge()
		return
	}
	if len(missing) > earlierRead {
		c.listEnded(missing[0], missing[len(missing)-1])
		return
	}
	left := len(missing)
	var read func(key string)
	read = func(key string) {
		c.storeWhileLeading(StoreCall{Op: StoreGet, Key: key}, func(r StoreReply) {
			switch r.Outcome {
			case OK:
				g.copy.Put(key, r.Entries[0].Value, r.Entries[0].Rev)
			case NotFound:
			default:
				c.afterWhileLeading(c.jitter(200*time.Millisecond), func() { read(key) })
				return
			}
			if left--; left == 0 {
				c.merge()
			}
		})
	}
	for _, key := range missing {
		read(key)
	}
}

// listEnded is askEnded for many: all final records from one key to another.
func (c *Core) listEnded(from, to string) {
	g := c.leadership.gather
	c.storeWhileLeading(StoreCall{Op: StoreList, Key: finalKeys, From: from[:len(from)-1], Limit: 1000}, func(r StoreReply) {
		if r.Outcome != OK {
			c.afterWhileLeading(c.jitter(200*time.Millisecond), func() { c.listEnded(from, to) })
			return
		}
		for _, e := range r.Entries {
			id := strings.TrimPrefix(e.Key, finalKeys)
			if _, live := g.copy.Get(jobKeys + id); live && e.Value != nil {
				g.copy.Put(e.Key, e.Value, e.Rev)
			}
		}
		if n := len(r.Entries); r.More && n > 0 && r.Entries[n-1].Key < to {
			c.listEnded(r.Entries[n-1].Key+"0", to)
			return
		}
		c.merge()
	})
}
