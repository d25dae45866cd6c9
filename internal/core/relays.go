package core

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/peermsg"
	"yewpass/internal/relay"
	"yewpass/internal/rpc"
)

// A controller that does not lead takes workers' reports and passes them on to the
// one that does, whose replies go back the same way. To everybody else it is part of
// the way: a reply is the leader's word on one report, and counts or not by the
// report's tenure and counter and by its term, however it has travelled.
const (
	// relayInterval is how often a relay sends at the most, and by how much less often for
	// each of its workers: what comes in between goes in one line. Each line costs the
	// leader a few calls to its system, whatever is in it.
	relayInterval          = 10 * time.Millisecond
	relayIntervalPerWorker = 25 * time.Microsecond
	maxRelayInterval       = 40 * time.Millisecond
	// relayHeartbeat is how often a relay looks after what waits, and says that it is there.
	relayHeartbeat = 400 * time.Millisecond
	// relayReplyTimeout is how long a report waits for the leader's reply, or for a leader.
	// Workers give up after 4 s.
	relayReplyTimeout = 3300 * time.Millisecond
	// relayLinkTimeout is for how long a relay without a link to its leader keeps its
	// workers: a change of leader is over sooner.
	relayLinkTimeout = 2500 * time.Millisecond
	// relaySilence is after which time without a line the leader leads nobody to a relay.
	relaySilence = 3 * time.Second
	// maxLineWeight is about how much goes in one line, as items and replies weigh.
	maxLineWeight = 400
)

// relayState is what a controller keeps of the workers that report to it while it does
// not lead.
type relayState struct {
	waiting   map[uint64]*relayedHeartbeat // reports that wait for their replies, by our number
	byHost    map[string]*relayedHeartbeat
	reporters map[string]*relayedWorker
	prunedAt  time.Time

	fold      *relay.Encoder // the link to the leader; nil without one
	leader    string
	term      uint64
	items     []relay.Delta // that have not gone out
	weight    int           // of them
	abandoned []uint64
	flushedAt time.Time
	flushing  bool

	probedTerm     uint64   // the newest term whose leader we have helped to probe
	probeQueue     []string // machines
	probesInFlight int
}

// relayedHeartbeat is a report that waits here.
type relayedHeartbeat struct {
	ref        uint64
	report     heartbeat.Report
	receivedAt time.Time
}

// relayedWorker is a worker that reports to us.
type relayedWorker struct {
	address                   string
	incarnation, fencingToken uint64
	lastHeartbeat             time.Time
}

func newRelayState() relayState {
	return relayState{waiting: map[uint64]*relayedHeartbeat{}, byHost: map[string]*relayedHeartbeat{}, reporters: map[string]*relayedWorker{}}
}

// relayHeartbeat takes a worker's report for the leader, whoever that is or will be.
func (c *Core) relayHeartbeat(in heartbeat.Received) {
	r, rep := &c.relay, &in.Report
	if in.Via.Relay != "" {
		return // meant for a leader: its relay will hear who that is
	}
	if p := r.byHost[rep.Host]; p != nil {
		if !rep.Newer(p.report.Incarnation, p.report.Counter) {
			c.staleHeartbeats++
			c.Emit(heartbeat.Reply{Ref: in.Ref, Status: 503}) // delayed on the way
			return
		}
		c.dropRelayed(p) // the worker has given up on it
		c.Emit(heartbeat.Reply{Ref: p.ref, Status: 503})
	}
	if len(c.cfg.Seeds) == 0 || c.leaderOutOfReach() {
		c.Emit(heartbeat.Reply{Ref: in.Ref, Status: 421, Upstream: c.knownLeader})
		return
	}
	k := r.reporters[rep.Host]
	if k == nil {
		k = &relayedWorker{}
		r.reporters[rep.Host] = k
	}
	*k = relayedWorker{rep.Address, rep.Incarnation, rep.FencingToken, c.Now}
	p := &relayedHeartbeat{in.Ref, *rep, c.Now}
	r.waiting[p.ref], r.byHost[rep.Host] = p, p
	if r.fold != nil {
		r.add(p.ref, &p.report)
	}
}

// canRelay reports whether reports can be passed on to the leader that we know.
//
// A process that the state service has not answered yet knows of no term for sure. The one
// before it may have taken note of a newer one than that of the leader it hears, and a
// successor counts on that: it takes the leases to be over that the older leader could have
// renewed by us.
func (c *Core) canRelay() bool { return c.hasLeaderLink() && c.confirmedTerm != 0 }

// leaderOutOfReach reports whether the leader has been known and without a link to us, or not
// known for sure, for longer than a change of leader takes. Its workers are then better
// off with it.
func (c *Core) leaderOutOfReach() bool {
	return c.knownLeader != "" && !c.canRelay() && c.Now.Sub(c.leaderLinkLostAt) > relayLinkTimeout
}

func (r *relayState) add(ref uint64, rep *heartbeat.Report) {
	it := r.fold.Encode(ref, rep)
	r.items = append(r.items, it)
	r.weight += it.Weight()
}

// remove takes a report out of those that wait.
func (r *relayState) remove(p *relayedHeartbeat) {
	delete(r.waiting, p.ref)
	if r.byHost[p.report.Host] == p {
		delete(r.byHost, p.report.Host)
	}
}

// dropRelayed takes a report out: nobody waits for its reply any more.
func (c *Core) dropRelayed(p *relayedHeartbeat) {
	r := &c.relay
	r.remove(p)
	if r.fold != nil {
		r.abandoned = append(r.abandoned, p.ref)
	}
}

// refs returns the numbers of the waiting reports in the order in which they came.
func (r *relayState) refs() []uint64 { return slices.Sorted(maps.Keys(r.waiting)) }

// tickRelay looks after what waits here, now and every while.
func (c *Core) tickRelay() {
	c.After(relayHeartbeat, c.tickRelay)
	if c.leadership != nil {
		return
	}
	r := &c.relay
	away := c.leaderOutOfReach()
	for _, ref := range r.refs() {
		p := r.waiting[ref]
		if !away && c.Now.Sub(p.receivedAt) < relayReplyTimeout {
			continue
		}
		a := heartbeat.Reply{Ref: ref, Status: 421}
		if c.knownLeader != "" && !c.canRelay() {
			a.Upstream = c.knownLeader
		}
		c.dropRelayed(p)
		c.Emit(a)
	}
	if c.Now.Sub(r.prunedAt) > c.workerLease {
		r.prunedAt = c.Now
		for _, host := range slices.Sorted(maps.Keys(r.reporters)) {
			if c.Now.Sub(r.reporters[host].lastHeartbeat) > c.workerLease {
				delete(r.reporters, host)
				if r.fold != nil {
					r.fold.Forget(host)
				}
			}
		}
	}
	if r.fold != nil && c.Now.Sub(r.flushedAt) > relayHeartbeat {
		c.flushRelay()
	}
}

// runRelay runs after each input while we do not lead.
func (c *Core) runRelay() {
	r := &c.relay
	if !c.canRelay() {
		r.fold, r.items, r.abandoned, r.weight = nil, nil, nil, 0
		return
	}
	if r.fold == nil || r.leader != c.knownLeader || r.term != c.highestTerm {
		c.openRelaySession()
	}
	if c.confirmedTerm == r.term && r.probedTerm != r.term {
		c.startRelayProbes()
	}
	if len(r.items) == 0 && len(r.abandoned) == 0 {
		return
	}
	every := min(relayInterval+time.Duration(len(r.reporters))*relayIntervalPerWorker, maxRelayInterval)
	if wait := r.flushedAt.Add(every).Sub(c.Now); wait > 0 && r.weight < maxLineWeight {
		if !r.flushing {
			r.flushing = true
			c.After(wait, func() { c.relay.flushing = false }) // and the pump after it
		}
		return
	}
	c.flushRelay()
}

// openRelaySession begins a session with the leader that we know, and tells it all that
// waits here.
func (c *Core) openRelaySession() {
	r := &c.relay
	r.leader, r.term = c.knownLeader, c.highestTerm
	r.fold = relay.NewEncoder(c.Rand.Uint64() | 1) // never 0
	r.items, r.abandoned, r.weight = nil, nil, 0
	for _, ref := range r.refs() {
		r.add(ref, &r.waiting[ref].report)
	}
	c.flushRelay()
}

// flushRelay sends what there is, or else that we are there.
func (c *Core) flushRelay() {
	r := &c.relay
	for first := true; first || len(r.items) > 0; first = false {
		n := 0
		for weight := 0; n < len(r.items) && weight < maxLineWeight; n++ {
			weight += r.items[n].Weight()
		}
		var gone []uint64
		if n == len(r.items) {
			gone, r.abandoned = r.abandoned, nil
		}
		c.Emit(peermsg.Outgoing{To: r.leader, Msg: peermsg.Message{Kind: peermsg.Heartbeats, Term: r.term, Reports: r.fold.Batch(r.items[:n:n], gone)}})
		r.items = r.items[n:]
	}
	r.items, r.weight, r.flushedAt = nil, 0, c.Now
}

// handleRelayedReplies passes the leader's replies on to workers. Only those of the newest
// term that we know, and of the session at hand: from when a node has taken note of a
// term it lets no word of an older one out, and no word meant for an earlier life of
// it, whose numbers stood for other reports.
func (c *Core) handleRelayedReplies(from string, m peermsg.Message) {
	r := &c.relay
	if c.leadership != nil || r.fold == nil || from != r.leader || from != c.knownLeader || m.Term != r.term || m.Term != c.highestTerm || m.Replies.Session != r.fold.Session() {
		return
	}
	if m.Replies.Resync {
		c.openRelaySession()
		return
	}
	for i := range m.Replies.List {
		x := &m.Replies.List[i]
		p := r.waiting[x.Ref]
		if p == nil {
			continue
		}
		r.remove(p)
		a := heartbeat.Reply{Ref: x.Ref, Status: 200, FencingToken: m.Term, Orders: x.Orders, Upstream: x.Upstream}
		if x.Status != 0 {
			a.Status = x.Status
		}
		if a.Status == 421 { // it goes elsewhere
			delete(r.reporters, p.report.Host)
			r.fold.Forget(p.report.Host)
		}
		c.Emit(a)
	}
}

// startRelayProbes shows the new leader's epoch to our workers, as the leader itself would
// (see probeUnaccounted), for it has many times as many. Only once the state service has
// named it: a worker that has seen an epoch that never was is of no use any more.
func (c *Core) startRelayProbes() {
	r := &c.relay
	r.probedTerm, r.probeQueue, r.probesInFlight = r.term, nil, 0
	for _, host := range slices.Sorted(maps.Keys(r.reporters)) {
		if k := r.reporters[host]; k.fencingToken < r.term && k.address != "" && c.Now.Sub(k.lastHeartbeat) < 2*c.heartbeatInterval {
			r.probeQueue = append(r.probeQueue, host)
		}
	}
	// Those heard of last are the likeliest to be there still. A machine that was
	// returned answers nothing, and each such probe keeps others waiting.
	slices.SortStableFunc(r.probeQueue, func(a, b string) int { return r.reporters[b].lastHeartbeat.Compare(r.reporters[a].lastHeartbeat) })
	c.relayProbeNext()
}

func (c *Core) relayProbeNext() {
	r := &c.relay
	for r.probesInFlight < maxProbesInFlight && len(r.probeQueue) > 0 && c.leadership == nil {
		host := r.probeQueue[0]
		r.probeQueue = r.probeQueue[1:]
		if k := r.reporters[host]; k != nil && k.fencingToken < r.probedTerm && r.byHost[host] == nil {
			c.relayProbe(host, k, k.incarnation)
		}
	}
}

func (c *Core) relayProbe(host string, k *relayedWorker, tenure uint64) {
	r := &c.relay
	term := r.probedTerm
	r.probesInFlight++
	c.probeWorker(k.address, term, tenure, func(p heartbeat.ProbeReply) {
		if r.probedTerm != term {
			return
		}
		r.probesInFlight--
		rep := &p.Report
		switch {
		case c.leadership != nil || p.Outcome == rpc.Unknown || rep.Host != host:
		case p.Outcome == rpc.Conflict && rep.Incarnation != tenure && rep.Incarnation != k.incarnation:
			k.incarnation = rep.Incarnation
			c.relayProbe(host, k, rep.Incarnation)
		case p.Outcome == rpc.OK && rep.FencingToken == term && r.fold != nil && r.term == term:
			k.fencingToken = term
			r.add(0, rep)
		}
		c.relayProbeNext()
	})
}

// ---- the leader's end

// handleRelayedHeartbeats takes in what a relay passes on.
func (c *Core) handleRelayedHeartbeats(from string, m peermsg.Message) {
	l := c.leadership
	if l == nil || m.Term != l.term {
		return // it will hear of the newest term, and tell its leader again
	}
	p := l.relay(from)
	former := p.Decoder.Session()
	reps, begun, err := p.Decoder.Decode(m.Reports)
	if begun {
		if former != 0 {
			// Maybe another process, back so soon that its end went unnoticed. Those who
			// reported to the one before look for another node first.
			p.LastSilent = c.Now
		}
		// All that waits there is told again. The numbers of the session before mean
		// nothing any more.
		for _, x := range l.fleet {
			if x.HeldReply != nil && x.HeldReply.Via.Relay == from {
				c.takeHeldReply(x)
			}
		}
		l.pendingHeartbeats = slices.DeleteFunc(l.pendingHeartbeats, func(r heartbeat.Received) bool { return r.Via.Relay == from })
		p.Replies, p.Weight = nil, 0
	}
	if err == relay.ErrStaleSession {
		return
	}
	if err != nil {
		if err != relay.ErrSequenceGap {
			c.Log(slog.LevelWarn, "malformed heartbeats from relay", "relay", from, "reason", err)
		}
		c.Emit(peermsg.Outgoing{To: from, Msg: peermsg.Message{Kind: peermsg.HeartbeatReplies, Term: l.term, Replies: &relay.Replies{Session: m.Reports.Session, Resync: true}}})
		return
	}
	p.LastBatch = c.Now
	by := heartbeat.RelaySession{Relay: from, Session: m.Reports.Session}
	for i := range reps {
		if ref := m.Reports.Reports[i].Ref; ref != 0 {
			c.handleHeartbeat(heartbeat.Received{Ref: ref, Via: by, Report: reps[i]})
		} else if x := l.machines[reps[i].Host]; x != nil && l.loaded && l.probeCounts(x) && reps[i].FencingToken == l.term {
			c.reconcileProbe(x, &reps[i])
		}
		if c.leadership != l {
			return
		}
	}
	for _, ref := range m.Reports.Abandoned {
		c.abandonHeldReply(fleet.HeartbeatKey{Via: by, Ref: ref})
	}
}

func (l *leadership) relay(name string) *fleet.RelayLink {
	p := l.relays[name]
	if p == nil {
		p = &fleet.RelayLink{}
		l.relays[name] = p
	}
	return p
}

// replyHeartbeat answers a report the way it came.
func (c *Core) replyHeartbeat(by heartbeat.RelaySession, a heartbeat.Reply) {
	if by.Relay == "" {
		c.Emit(a)
		return
	}
	if c.leadership == nil {
		return
	}
	p := c.leadership.relay(by.Relay)
	if by.Session != p.Decoder.Session() {
		return // nobody waits for it there
	}
	x := relay.Reply{Ref: a.Ref, Upstream: a.Upstream, Orders: a.Orders}
	if a.Status != 200 {
		x.Status = a.Status
	}
	p.Replies = append(p.Replies, x)
	p.Weight += x.Weight()
	if p.Weight > maxLineWeight {
		c.sendRelayReplies(by.Relay, p)
	}
}

func (c *Core) sendRelayReplies(name string, p *fleet.RelayLink) {
	if len(p.Replies) == 0 {
		return
	}
	c.Emit(peermsg.Outgoing{To: name, Msg: peermsg.Message{Kind: peermsg.HeartbeatReplies, Term: c.leadership.term, Replies: &relay.Replies{Session: p.Decoder.Session(), List: p.Replies}}})
	p.Replies, p.Weight = nil, 0
}

// flushRelayReplies sends what was answered in this step to the relays.
func (c *Core) flushRelayReplies() {
	if l := c.leadership; l != nil && len(l.relays) > 0 {
		for _, s := range c.cfg.Seeds {
			if p := l.relays[s.HostName]; p != nil {
				c.sendRelayReplies(s.HostName, p)
			}
		}
	}
}

// setReportsVia notes by which node a machine reports.
func (l *leadership) setReportsVia(m *fleet.Machine, by string) {
	if p := l.relay(by); m.ReportsVia != p {
		l.clearReportsVia(m)
		m.ReportsVia = p
		p.Workers++
	}
}

// clearReportsVia notes that a machine reports by none.
func (l *leadership) clearReportsVia(m *fleet.Machine) {
	if m.ReportsVia != nil {
		m.ReportsVia.Workers--
		m.ReportsVia = nil
	}
}

// relayNodes returns the controllers that can take workers for us now.
func (c *Core) relayNodes() []relay.Node {
	l := c.leadership
	l.nodes = l.nodes[:0]
	for _, s := range c.cfg.Seeds {
		p := l.relays[s.HostName]
		if c.takesWorkers(s.HostName, p) {
			l.nodes = append(l.nodes, relay.Node{Name: s.HostName, Zone: s.Site, Workers: p.Workers, Capacity: c.maxWorkersPerNode()})
		}
	}
	return l.nodes
}

// workerRetryTimeout is how long a worker waits for an answer, and until it asks the next
// node: it may have sent its report to a relay that had just gone quiet.
const workerRetryTimeout = 4*time.Second + time.Second

// heardAgainWithin is within which time a worker that is well is heard again, though its next report
// has no answer and goes to another node.
func (c *Core) heardAgainWithin() time.Duration { return c.heartbeatInterval*5/4 + workerRetryTimeout }

// noteSilentRelays notes which relays say nothing. A worker of theirs is not silent by itself:
// it finds out when its next report has had no answer for long, and goes elsewhere then.
// Returned before that it would have lost its tasks for nothing.
func (c *Core) noteSilentRelays() {
	for _, s := range c.cfg.Seeds {
		if p := c.leadership.relays[s.HostName]; p != nil && c.Now.Sub(p.LastBatch) > 3*relayHeartbeat {
			p.LastSilent = c.Now
		}
	}
}

// overdueHeartbeat is when a report is overdue: they come up to a quarter late, and have waited
// for their replies before.
func overdueHeartbeat(report time.Duration) time.Duration { return report * 3 / 2 }

// noteIsolatedRelays notes which relays have lost their workers while we hear them ourselves, by
// how many of theirs are overdue. One machine of many is rather gone itself; a quarter of a
// node's falling silent together have lost that node, and find out as those of a quiet
// relay do.
func (c *Core) noteIsolatedRelays(overdue map[*fleet.RelayLink]int) {
	for p, n := range overdue {
		if n > 2 && 4*n > p.Workers {
			p.LastSilent = c.Now
		}
	}
}

// silenceLimit is how long the machine may be silent, given how long one may be.
func (c *Core) silenceLimit(m *fleet.Machine, silent time.Duration) time.Duration {
	if m.ReportsVia != nil && m.ReportsVia.LastSilent.After(m.LastHeartbeat) {
		return max(silent, c.heardAgainWithin()+time.Second)
	}
	return silent
}

// takesWorkers reports whether workers can report to us by a relay now.
func (c *Core) takesWorkers(name string, p *fleet.RelayLink) bool {
	return p != nil && c.links[name] && p.Decoder.Session() != 0 && c.Now.Sub(p.LastBatch) < relaySilence
}

// maxWorkersPerNode is how many workers a node takes: their part of the connections that it
// lets in. The rest is for users.
func (c *Core) maxWorkersPerNode() int {
	if n := c.cfg.Settings.Limits.MaxConnections; n > 0 {
		return max(4, relay.MaxClientConnections(n)*5/6)
	}
	return 1 << 30
}

// maxFleet is how many machines the controllers can serve together. The leader takes
// no workers itself while there are others, and one of those may be away.
func (c *Core) maxFleet() int {
	return c.maxWorkersPerNode() * max(1, len(c.cfg.Seeds)-1)
}

// redirectTarget says to which node a machine that has just reported by another should report,
// or "" while it stays. Workers are led away one at a time, so that no storm comes of
// it; only one that nobody has heard of before goes at once, for it has nothing to
// lose. A machine that comes back had a reason: the other node is out of its reach.
func (c *Core) redirectTarget(m *fleet.Machine, by string, first bool) string {
	l := c.leadership
	if len(c.cfg.Seeds) == 0 || !c.hasAuthority() || !l.allAccounted() || m.Releasing || c.Now.Sub(m.LastMoved) < 3*c.workerLease {
		return ""
	}
	first = first && by == ""
	if !first && (c.Now.Before(l.nextMoveAt) || m.FencingToken != l.term) {
		return ""
	}
	nodes := c.relayNodes()
	to := relay.LeastLoaded(nodes, m.Zone)
	if to == "" || to == by || by != "" && !relay.Imbalanced(nodes, by, to, m.Zone) {
		return ""
	}
	if !first {
		l.nextMoveAt = c.Now.Add(time.Second / time.Duration(4+len(l.fleet)/50))
	}
	m.LastMoved = c.Now
	return to
}
