package core

import "time"

// Probes speed up a take-over: tasks accepted earlier wait until every machine
// that may hold one is accounted for, and left to themselves workers find the
// new leader over a whole report interval and the time to be sent on. A probe is
// a command without orders: its answer is a report by a worker that has seen our
// epoch and so drops whatever an earlier leader still sends.
const (
	probeWidth  = 24 // at a time: each takes a socket
	probeWithin = 1200 * time.Millisecond
	probeTries  = 2 // in vain, and the machine counts as out of reach
)

// probeLater is how long the relays are left to tell of their workers, and to probe
// those that have nothing to tell, before the leader probes the rest.
const probeLater = 700 * time.Millisecond

// probeAll begins to probe the machines that are owed: at once those that reported to
// this node before it led.
func (c *Core) probeAll() {
	own := c.leadership.own
	if !c.hasAnyLink() {
		c.probeThose(func(*machine) bool { return true })
		return
	}
	c.probeThose(func(m *machine) bool { return own[m.host] != nil })
	c.afterWhileLeading(probeLater, func() {
		c.probeThose(func(m *machine) bool { return own[m.host] == nil })
	})
}

func (c *Core) probeThose(which func(*machine) bool) {
	l := c.leadership
	for _, m := range l.fleet {
		if l.owed[m.host] && m.address != "" && which(m) {
			l.toProbe = append(l.toProbe, m)
		}
	}
	c.probeMore()
}

func (c *Core) probeMore() {
	l := c.leadership
	for l.probing < probeWidth && len(l.toProbe) > 0 && c.canAct() {
		m := l.toProbe[0]
		l.toProbe = l.toProbe[1:]
		c.probe(m, 1) // most machines are in their first session
	}
}

// probeCounts reports whether a machine's answer to a probe counts: not once it has
// reported by itself. Then starts may be on their way to it, of which the answer need
// not know.
func (l *leadership) probeCounts(m *machine) bool {
	return l.owed[m.host] && !m.reported && !m.releasing
}

// learnProbed takes in an answer that counts, of a worker that has seen our term.
func (c *Core) learnProbed(m *machine, rep *Report) {
	m.probed = true
	c.learn(m, rep)
}

// probe probes a machine whose answer would count.
func (c *Core) probe(m *machine, tenure uint64) {
	l := c.leadership
	if !l.probeCounts(m) {
		return
	}
	l.probing++
	c.probeCall(m.address, l.term, tenure, func(r ProbeReply) {
		if c.leadership != l {
			return
		}
		l.probing--
		rep := &r.Report
		switch {
		case !l.probeCounts(m):
		case r.Outcome != Unknown && rep.FencingToken > l.term:
			c.handleNewerToken(m.host, rep.FencingToken, func() { c.release(m) })
		case r.Outcome != Unknown && rep.Host != m.host:
			// Another machine has the address now.
		case r.Outcome == OK && rep.FencingToken == l.term:
			c.learnProbed(m, rep)
		case r.Outcome == Conflict && rep.Incarnation != tenure:
			c.probe(m, rep.Incarnation)
		default:
			if m.unreached++; m.unreached < probeTries {
				l.toProbe = append(l.toProbe, m)
			}
		}
		c.probeMore()
	})
}

// probeCall sends a probe and has f called with its answer.
func (c *Core) probeCall(address string, epoch, tenure uint64, f func(ProbeReply)) {
	ref := c.nextRef()
	c.probes[ref] = f
	c.emit(ProbeCall{Ref: ref, Address: address, FencingToken: epoch, Incarnation: tenure, Timeout: probeWithin})
}
