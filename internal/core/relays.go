package core

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"yewpass/internal/relay"
)

// A controller that does not lead takes workers' reports and passes them on to the
// one that does, whose replies go back the same way. To everybody else it is part of
// the way: a reply is the leader's word on one report, and counts or not by the
// report's tenure and counter and by its term, however it has travelled.
const (
	// relayEvery is how often a relay sends at the most, and by how much less often for
	// each of its workers: what comes in between goes in one line. Each line costs the
	// leader a few calls to its system, whatever is in it.
	relayEvery     = 10 * time.Millisecond
	relayPerWorker = 25 * time.Microsecond
	relayEveryMost = 40 * time.Millisecond
	// relayBeat is how often a relay looks after what waits, and says that it is there.
	relayBeat = 400 * time.Millisecond
	// relayWait is how long a report waits for the leader's reply, or for a leader.
	// Workers give up after 4 s.
	relayWait = 3300 * time.Millisecond
	// relayApart is for how long a relay without a link to its leader keeps its
	// workers: a change of leader is over sooner.
	relayApart = 2500 * time.Millisecond
	// relayQuiet is after which time without a line the leader leads nobody to a relay.
	relayQuiet = 3 * time.Second
	// lineMost is about how much goes in one line, as items and replies weigh.
	lineMost = 400
)

// relaying is what a controller keeps of the workers that report to it while it does
// not lead.
type relaying struct {
	waiting map[uint64]*passed // reports that wait for their replies, by our number
	byHost  map[string]*passed
	known   map[string]*reporter
	pruned  time.Time

	fold     *relay.Fold // the link to the leader; nil without one
	to       string
	term     uint64
	items    []relay.Item // that have not gone out
	weight   int          // of them
	gone     []uint64
	flushed  time.Time
	flushing bool

	probed  uint64   // the newest term whose leader we have helped to probe
	toProbe []string // machines
	probing int
}

// passed is a report that waits here.
type passed struct {
	ref    uint64
	report Report
	since  time.Time
}

// reporter is a worker that reports to us.
type reporter struct {
	address                   string
	incarnation, fencingToken uint64
	seen                      time.Time
}

func newRelaying() relaying {
	return relaying{waiting: map[uint64]*passed{}, byHost: map[string]*passed{}, known: map[string]*reporter{}}
}

// passOn takes a worker's report for the leader, whoever that is or will be.
func (c *Core) passOn(in ReportIn) {
	r, rep := &c.relay, &in.Report
	if in.Relay.From != "" {
		return // meant for a leader: its relay will hear who that is
	}
	if p := r.byHost[rep.Host]; p != nil {
		if !rep.Newer(p.report.Incarnation, p.report.Counter) {
			c.late++
			c.emit(AnswerReport{Ref: in.Ref, Status: 503}) // delayed on the way
			return
		}
		c.dropPassed(p) // the worker has given up on it
		c.emit(AnswerReport{Ref: p.ref, Status: 503})
	}
	if len(c.cfg.Seeds) == 0 || c.outOfReach() {
		c.emit(AnswerReport{Ref: in.Ref, Status: 421, Upstream: c.knownLeader})
		return
	}
	k := r.known[rep.Host]
	if k == nil {
		k = &reporter{}
		r.known[rep.Host] = k
	}
	*k = reporter{rep.Address, rep.Incarnation, rep.FencingToken, c.now}
	p := &passed{in.Ref, *rep, c.now}
	r.waiting[p.ref], r.byHost[rep.Host] = p, p
	if r.fold != nil {
		r.add(p.ref, &p.report)
	}
}

// follows reports whether reports can be passed on to the leader that we know.
//
// A process that the state service has not answered yet knows of no term for sure. The one
// before it may have taken note of a newer one than that of the leader it hears, and a
// successor counts on that: it takes the leases to be over that the older leader could have
// renewed by us.
func (c *Core) follows() bool { return c.hasLeaderLink() && c.confirmedTerm != 0 }

// outOfReach reports whether the leader has been known and without a link to us, or not
// known for sure, for longer than a change of leader takes. Its workers are then better
// off with it.
func (c *Core) outOfReach() bool {
	return c.knownLeader != "" && !c.follows() && c.now.Sub(c.leaderLinkLostAt) > relayApart
}

func (r *relaying) add(ref uint64, rep *Report) {
	it := r.fold.Item(ref, rep)
	r.items = append(r.items, it)
	r.weight += it.Weight()
}

// remove takes a report out of those that wait.
func (r *relaying) remove(p *passed) {
	delete(r.waiting, p.ref)
	if r.byHost[p.report.Host] == p {
		delete(r.byHost, p.report.Host)
	}
}

// dropPassed takes a report out: nobody waits for its reply any more.
func (c *Core) dropPassed(p *passed) {
	r := &c.relay
	r.remove(p)
	if r.fold != nil {
		r.gone = append(r.gone, p.ref)
	}
}

// refs returns the numbers of the waiting reports in the order in which they came.
func (r *relaying) refs() []uint64 { return slices.Sorted(maps.Keys(r.waiting)) }

// relayTick looks after what waits here, now and every while.
func (c *Core) relayTick() {
	c.schedule(relayBeat, c.relayTick)
	if c.leadership != nil {
		return
	}
	r := &c.relay
	away := c.outOfReach()
	for _, ref := range r.refs() {
		p := r.waiting[ref]
		if !away && c.now.Sub(p.since) < relayWait {
			continue
		}
		a := AnswerReport{Ref: ref, Status: 421}
		if c.knownLeader != "" && !c.follows() {
			a.Upstream = c.knownLeader
		}
		c.dropPassed(p)
		c.emit(a)
	}
	if c.now.Sub(r.pruned) > c.lease {
		r.pruned = c.now
		for _, host := range slices.Sorted(maps.Keys(r.known)) {
			if c.now.Sub(r.known[host].seen) > c.lease {
				delete(r.known, host)
				if r.fold != nil {
					r.fold.Forget(host)
				}
			}
		}
	}
	if r.fold != nil && c.now.Sub(r.flushed) > relayBeat {
		c.relayFlush()
	}
}

// relayPump runs after each input while we do not lead.
func (c *Core) relayPump() {
	r := &c.relay
	if !c.follows() {
		r.fold, r.items, r.gone, r.weight = nil, nil, nil, 0
		return
	}
	if r.fold == nil || r.to != c.knownLeader || r.term != c.highestTerm {
		c.relayOpen()
	}
	if c.confirmedTerm == r.term && r.probed != r.term {
		c.relayProbes()
	}
	if len(r.items) == 0 && len(r.gone) == 0 {
		return
	}
	every := min(relayEvery+time.Duration(len(r.known))*relayPerWorker, relayEveryMost)
	if wait := r.flushed.Add(every).Sub(c.now); wait > 0 && r.weight < lineMost {
		if !r.flushing {
			r.flushing = true
			c.schedule(wait, func() { c.relay.flushing = false }) // and the pump after it
		}
		return
	}
	c.relayFlush()
}

// relayOpen begins a session with the leader that we know, and tells it all that
// waits here.
func (c *Core) relayOpen() {
	r := &c.relay
	r.to, r.term = c.knownLeader, c.highestTerm
	r.fold = relay.NewFold(c.rng.Uint64() | 1) // never 0
	r.items, r.gone, r.weight = nil, nil, 0
	for _, ref := range r.refs() {
		r.add(ref, &r.waiting[ref].report)
	}
	c.relayFlush()
}

// relayFlush sends what there is, or else that we are there.
func (c *Core) relayFlush() {
	r := &c.relay
	for first := true; first || len(r.items) > 0; first = false {
		n := 0
		for weight := 0; n < len(r.items) && weight < lineMost; n++ {
			weight += r.items[n].Weight()
		}
		var gone []uint64
		if n == len(r.items) {
			gone, r.gone = r.gone, nil
		}
		c.emit(PeerSend{r.to, PeerMsg{Kind: PeerReports, Term: r.term, Reports: r.fold.Batch(r.items[:n:n], gone)}})
		r.items = r.items[n:]
	}
	r.items, r.weight, r.flushed = nil, 0, c.now
}

// relayReplies passes the leader's replies on to workers. Only those of the newest
// term that we know, and of the session at hand: from when a node has taken note of a
// term it lets no word of an older one out, and no word meant for an earlier life of
// it, whose numbers stood for other reports.
func (c *Core) relayReplies(from string, m PeerMsg) {
	r := &c.relay
	if c.leadership != nil || r.fold == nil || from != r.to || from != c.knownLeader || m.Term != r.term || m.Term != c.highestTerm || m.Replies.Session != r.fold.Session() {
		return
	}
	if m.Replies.Again {
		c.relayOpen()
		return
	}
	for i := range m.Replies.List {
		x := &m.Replies.List[i]
		p := r.waiting[x.Ref]
		if p == nil {
			continue
		}
		r.remove(p)
		a := AnswerReport{Ref: x.Ref, Status: 200, FencingToken: m.Term, Orders: x.Orders, Upstream: x.Upstream}
		if x.Status != 0 {
			a.Status = x.Status
		}
		if a.Status == 421 { // it goes elsewhere
			delete(r.known, p.report.Host)
			r.fold.Forget(p.report.Host)
		}
		c.emit(a)
	}
}

// relayProbes shows the new leader's epoch to our workers, as the leader itself would
// (see probeUnaccounted), for it has many times as many. Only once the state service has
// named it: a worker that has seen an epoch that never was is of no use any more.
func (c *Core) relayProbes() {
	r := &c.relay
	r.probed, r.toProbe, r.probing = r.term, nil, 0
	for _, host := range slices.Sorted(maps.Keys(r.known)) {
		if k := r.known[host]; k.fencingToken < r.term && k.address != "" && c.now.Sub(k.seen) < 2*c.report {
			r.toProbe = append(r.toProbe, host)
		}
	}
	// Those heard of last are the likeliest to be there still. A machine that was
	// returned answers nothing, and each such probe keeps others waiting.
	slices.SortStableFunc(r.toProbe, func(a, b string) int { return r.known[b].seen.Compare(r.known[a].seen) })
	c.relayProbeMore()
}

func (c *Core) relayProbeMore() {
	r := &c.relay
	for r.probing < maxProbesInFlight && len(r.toProbe) > 0 && c.leadership == nil {
		host := r.toProbe[0]
		r.toProbe = r.toProbe[1:]
		if k := r.known[host]; k != nil && k.fencingToken < r.probed && r.byHost[host] == nil {
			c.relayProbe(host, k, k.incarnation)
		}
	}
}

func (c *Core) relayProbe(host string, k *reporter, tenure uint64) {
	r := &c.relay
	term := r.probed
	r.probing++
	c.probeCall(k.address, term, tenure, func(p ProbeReply) {
		if r.probed != term {
			return
		}
		r.probing--
		rep := &p.Report
		switch {
		case c.leadership != nil || p.Outcome == Unknown || rep.Host != host:
		case p.Outcome == Conflict && rep.Incarnation != tenure && rep.Incarnation != k.incarnation:
			k.incarnation = rep.Incarnation
			c.relayProbe(host, k, rep.Incarnation)
		case p.Outcome == OK && rep.FencingToken == term && r.fold != nil && r.term == term:
			k.fencingToken = term
			r.add(0, rep)
		}
		c.relayProbeMore()
	})
}

// ---- the leader's end

// relayPeer is a relay as the leader sees it.
type relayPeer struct {
	unfold  relay.Unfold
	heard   time.Time
	quiet   time.Time // when it was last found to say nothing
	workers int       // that report to it
	replies []relay.Reply
	weight  int // of them
}

// holdKey names a report whose reply is held: numbers are the relay's own.
type holdKey struct {
	by  relay.Link
	ref uint64
}

// relayReports takes in what a relay passes on.
func (c *Core) relayReports(from string, m PeerMsg) {
	l := c.leadership
	if l == nil || m.Term != l.term {
		return // it will hear of the newest term, and tell its leader again
	}
	p := l.relay(from)
	former := p.unfold.Session()
	reps, begun, err := p.unfold.Open(m.Reports)
	if begun {
		if former != 0 {
			// Maybe another process, back so soon that its end went unnoticed. Those who
			// reported to the one before look for another node first.
			p.quiet = c.now
		}
		// All that waits there is told again. The numbers of the session before mean
		// nothing any more.
		for _, x := range l.fleet {
			if x.heldReply != nil && x.heldReply.by.From == from {
				c.unhold(x)
			}
		}
		l.pendingHeartbeats = slices.DeleteFunc(l.pendingHeartbeats, func(r ReportIn) bool { return r.Relay.From == from })
		p.replies, p.weight = nil, 0
	}
	if err == relay.ErrOver {
		return
	}
	if err != nil {
		if err != relay.ErrBroken {
			c.note(slog.LevelWarn, "relay's reports cannot be read", "relay", from, "reason", err)
		}
		c.emit(PeerSend{from, PeerMsg{Kind: PeerReplies, Term: l.term, Replies: &relay.Replies{Session: m.Reports.Session, Again: true}}})
		return
	}
	p.heard = c.now
	by := relay.Link{From: from, Session: m.Reports.Session}
	for i := range reps {
		if ref := m.Reports.Reports[i].Ref; ref != 0 {
			c.reportIn(ReportIn{Ref: ref, Relay: by, Report: reps[i]})
		} else if x := l.machines[reps[i].Host]; x != nil && l.loaded && l.probeCounts(x) && reps[i].FencingToken == l.term {
			c.reconcileProbe(x, &reps[i])
		}
		if c.leadership != l {
			return
		}
	}
	for _, ref := range m.Reports.Gone {
		c.holdOver(holdKey{by, ref})
	}
}

func (l *leadership) relay(name string) *relayPeer {
	p := l.relays[name]
	if p == nil {
		p = &relayPeer{}
		l.relays[name] = p
	}
	return p
}

// answerReport answers a report the way it came.
func (c *Core) answerReport(by relay.Link, a AnswerReport) {
	if by.From == "" {
		c.emit(a)
		return
	}
	if c.leadership == nil {
		return
	}
	p := c.leadership.relay(by.From)
	if by.Session != p.unfold.Session() {
		return // nobody waits for it there
	}
	x := relay.Reply{Ref: a.Ref, Upstream: a.Upstream, Orders: a.Orders}
	if a.Status != 200 {
		x.Status = a.Status
	}
	p.replies = append(p.replies, x)
	p.weight += x.Weight()
	if p.weight > lineMost {
		c.sendReplies(by.From, p)
	}
}

func (c *Core) sendReplies(name string, p *relayPeer) {
	if len(p.replies) == 0 {
		return
	}
	c.emit(PeerSend{name, PeerMsg{Kind: PeerReplies, Term: c.leadership.term, Replies: &relay.Replies{Session: p.unfold.Session(), List: p.replies}}})
	p.replies, p.weight = nil, 0
}

// repliesOut sends what was answered in this step to the relays.
func (c *Core) repliesOut() {
	if l := c.leadership; l != nil && len(l.relays) > 0 {
		for _, s := range c.cfg.Seeds {
			if p := l.relays[s.HostName]; p != nil {
				c.sendReplies(s.HostName, p)
			}
		}
	}
}

// reportsTo notes by which node a machine reports.
func (l *leadership) reportsTo(m *machine, by string) {
	if p := l.relay(by); m.reportsVia != p {
		l.leaves(m)
		m.reportsVia = p
		p.workers++
	}
}

// leaves notes that a machine reports by none.
func (l *leadership) leaves(m *machine) {
	if m.reportsVia != nil {
		m.reportsVia.workers--
		m.reportsVia = nil
	}
}

// nodes returns the controllers that can take workers for us now.
func (c *Core) nodes() []relay.Node {
	l := c.leadership
	l.nodes = l.nodes[:0]
	for _, s := range c.cfg.Seeds {
		p := l.relays[s.HostName]
		if c.takesWorkers(s.HostName, p) {
			l.nodes = append(l.nodes, relay.Node{Name: s.HostName, Zone: s.Site, Workers: p.workers, Most: c.workersMost()})
		}
	}
	return l.nodes
}

// workerGivesUp is how long a worker waits for an answer, and until it asks the next
// node: it may have sent its report to a relay that had just gone quiet.
const workerGivesUp = 4*time.Second + time.Second

// heardAgain is within which time a worker that is well is heard again, though its next report
// has no answer and goes to another node.
func (c *Core) heardAgain() time.Duration { return c.report*5/4 + workerGivesUp }

// hearRelays notes which relays say nothing. A worker of theirs is not silent by itself:
// it finds out when its next report has had no answer for long, and goes elsewhere then.
// Returned before that it would have lost its tasks for nothing.
func (c *Core) hearRelays() {
	for _, s := range c.cfg.Seeds {
		if p := c.leadership.relays[s.HostName]; p != nil && c.now.Sub(p.heard) > 3*relayBeat {
			p.quiet = c.now
		}
	}
}

// overdueAfter is when a report is overdue: they come up to a quarter late, and have waited
// for their replies before.
func overdueAfter(report time.Duration) time.Duration { return report * 3 / 2 }

// hearCutOff notes which relays have lost their workers while we hear them ourselves, by
// how many of theirs are overdue. One machine of many is rather gone itself; a quarter of a
// node's falling silent together have lost that node, and find out as those of a quiet
// relay do.
func (c *Core) hearCutOff(overdue map[*relayPeer]int) {
	for p, n := range overdue {
		if n > 2 && 4*n > p.workers {
			p.quiet = c.now
		}
	}
}

// patience is how long the machine may be silent, given how long one may be.
func (c *Core) patience(m *machine, silent time.Duration) time.Duration {
	if m.reportsVia != nil && m.reportsVia.quiet.After(m.lastHeartbeat) {
		return max(silent, c.heardAgain()+time.Second)
	}
	return silent
}

// takesWorkers reports whether workers can report to us by a relay now.
func (c *Core) takesWorkers(name string, p *relayPeer) bool {
	return p != nil && c.links[name] && p.unfold.Session() != 0 && c.now.Sub(p.heard) < relayQuiet
}

// workersMost is how many workers a node takes: their part of the connections that it
// lets in. The rest is for users.
func (c *Core) workersMost() int {
	if n := c.cfg.Settings.Limits.MaxConnections; n > 0 {
		return max(4, relay.Clients(n)*5/6)
	}
	return 1 << 30
}

// fleetMost is how many machines the controllers can serve together. The leader takes
// no workers itself while there are others, and one of those may be away.
func (c *Core) fleetMost() int {
	return c.workersMost() * max(1, len(c.cfg.Seeds)-1)
}

// leadTo says to which node a machine that has just reported by another should report,
// or "" while it stays. Workers are led away one at a time, so that no storm comes of
// it; only one that nobody has heard of before goes at once, for it has nothing to
// lose. A machine that comes back had a reason: the other node is out of its reach.
func (c *Core) leadTo(m *machine, by string, first bool) string {
	l := c.leadership
	if len(c.cfg.Seeds) == 0 || !c.hasAuthority() || !l.allAccounted() || m.releasing || c.now.Sub(m.lastMoved) < 3*c.lease {
		return ""
	}
	first = first && by == ""
	if !first && (c.now.Before(l.nextMoveAt) || m.fencingToken != l.term) {
		return ""
	}
	nodes := c.nodes()
	to := relay.Spread(nodes, m.zone)
	if to == "" || to == by || by != "" && !relay.Uneven(nodes, by, to, m.zone) {
		return ""
	}
	if !first {
		l.nextMoveAt = c.now.Add(time.Second / time.Duration(4+len(l.fleet)/50))
	}
	m.lastMoved = c.now
	return to
}
