package scenario

import (
	"slices"
	"strings"
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
)

// worker is the stand-in of a machine and its worker.
type worker struct {
	*world
	host              string
	instanceType      *instanceType
	zone              string
	spot              bool
	created, up, gone time.Time
	tasks             []*task
	images            map[string]time.Time // when each image is there

	workerFaults
	workerSession
}

// workerFaults are those of a machine.
type workerFaults struct {
	speed  float64 // above 1: slower
	sick   bool
	hung   time.Time
	leaves time.Time // notice of being taken
	deaf   time.Time // until then its reports arrive, and no answer or command reaches it
	mute   time.Time // until then it opens no connection to a controller
}

// workerSession is what a worker keeps of its exchange with the controllers.
type workerSession struct {
	tenure, counter, epoch uint64
	node                   int
	served                 bool      // by that node
	flight                 int       // number of the report in flight, 0: none
	flights                int       // reports so far
	sent, answered         time.Time // last report; send time of the last answered one
	told                   time.Time // last report for a higher epoch
	news                   bool
	plan                   int // number of the latest plan to report
}

// task is an attempt on a machine.
type task struct {
	id     heartbeat.TaskID
	try    uint64
	job    *userJob
	phase  heartbeat.Phase
	cause  string
	began  time.Time
	change int  // number of the latest planned change
	outran bool // an older leader has kept it after its job was told cancelled

	machine *worker // that holds it; nil once it has exited or is gone with its session
}

// on reports whether the task is on the machine in the sense of the rules: it
// has its image and has not exited.
func (t *task) on() bool { return t.phase == heartbeat.Running || t.phase == heartbeat.Checkpointing }

// do runs f when the machine executes: not before a hang is over, never once it
// is gone, and after the lease has been looked at.
func (m *worker) do(f func()) {
	if !m.gone.IsZero() || m.up.IsZero() {
		return
	}
	if m.now.Before(m.hung) {
		m.at(m.hung, func() { m.do(f) })
		return
	}
	m.checkLease()
	f()
}

func (m *worker) boot() {
	if !m.gone.IsZero() {
		return
	}
	m.up = m.now
	m.session()
	m.report()
}

func (m *worker) session() {
	m.tenure++
	m.answered = m.now
	for _, x := range m.tasks {
		if x.phase != heartbeat.Exited {
			m.expiredTasks++
			m.occurrences["killed"]++
		}
	}
	m.forgetTasks()
	m.watchLease()
}

// watchLease ends the session when the lease does. A hanging machine can resume
// only within its lease, so its tasks end with it all the same.
func (m *worker) watchLease() {
	m.at(m.answered.Add(m.lease+time.Millisecond), func() {
		if m.gone.IsZero() {
			m.checkLease()
		}
	})
}

func (m *worker) checkLease() {
	if m.now.Sub(m.answered) > m.lease {
		m.session()
		m.changed()
	}
}

// end takes the machine away with everything on it.
func (m *worker) end() {
	if m.gone.IsZero() {
		m.gone = m.now
		m.forgetTasks()
	}
}

// restart has the machine end and be back after a while, under its name and address: its
// tasks are gone and its worker begins again, which has seen no epoch. Whether it counts
// on or from 1 the protocol does not say.
func (m *worker) restart(back time.Duration, anew bool) {
	m.do(func() {
		for _, t := range m.tasks {
			t.change++ // nothing of it goes on
		}
		m.forgetTasks()
		m.images = map[string]time.Time{}
		m.flight, m.epoch, m.news, m.told = 0, 0, false, time.Time{}
		m.plan++
		m.up = time.Time{}
		m.after(back, func() {
			if !m.gone.IsZero() {
				return
			}
			m.up, m.answered = m.now, m.now
			if anew {
				m.tenure, m.counter = 1, 0
			}
			m.watchLease()
			m.report()
		})
	})
}

// changed has a report sent soon.
func (m *worker) changed() {
	m.news = true
	m.dirty = true
	m.planReport(max(0, m.sent.Add(500*time.Millisecond).Sub(m.now)))
}

func (m *worker) planReport(d time.Duration) {
	m.plan++
	plan := m.plan
	m.after(d, func() {
		m.do(func() {
			if m.plan == plan && m.flight == 0 {
				m.report()
			}
		})
	})
}

func (m *worker) report() {
	m.counter++
	m.flights++
	m.flight = m.flights
	m.sent = m.now
	m.news = false
	m.plan++
	id, tenure, sent := m.flight, m.tenure, m.now
	if m.now.Before(m.mute) {
		m.occurrences["mute-report"]++
		m.after(500*time.Millisecond, func() { m.do(func() { m.failed(id) }) })
		return
	}
	rep := m.describe()
	n := m.nodes[m.node%len(m.nodes)]
	back := func(f func()) { m.net.send("reply", n.name, m.host, func() { m.do(f) }) }
	m.net.send("report", m.host, n.name, func() {
		if !n.alive {
			back(func() { m.failed(id) })
			return
		}
		if m.now.Sub(sent) > 4*time.Second && n.process == nil && n.core.HasAuthority(n.local()) {
			m.occurrences["held-report"]++
		}
		n.ask(func(ref uint64) any { return heartbeat.Received{Ref: ref, Report: rep} }, func(a any) {
			ans := a.(heartbeat.Reply)
			ans.Orders = slices.Clone(ans.Orders)
			back(func() {
				if m.now.Before(m.deaf) {
					m.occurrences["deaf-answer"]++
					m.occurrences["deaf-start"] += len(slices.DeleteFunc(ans.Orders, func(o heartbeat.Order) bool { return o.Verb != heartbeat.Start }))
					return
				}
				m.reply(id, tenure, sent, ans)
			})
		})
	})
	if m.lateReports.next && m.lateReports.hits(m.clock) {
		m.keepReport(rep)
	} else if m.lateReports.hits(m.clock) {
		// What the network has kept arrives a second time; nobody waits for its answer.
		m.after(m.spread(m.lease+2*time.Second, 1-4/(m.lease.Seconds()+2)), func() {
			if n.alive {
				m.occurrences["late-report"]++
				n.ask(func(ref uint64) any { return heartbeat.Received{Ref: ref, Report: rep} }, func(any) {})
			}
		})
	}
	m.after(4*time.Second, func() { m.do(func() { m.failed(id) }) })
}

// keptMost bounds the copies of one machine's reports that are kept for the next leader.
const keptMost = 3

// keepReport keeps a copy for the next leader.
func (w *world) keepReport(rep heartbeat.Report) {
	n := 0
	for i := range w.keptReports {
		if w.keptReports[i].Host == rep.Host {
			n++
		}
	}
	if n < keptMost {
		w.keptReports = append(w.keptReports, rep)
	}
}

// tellKept has every controller get the reports that were kept, as a leader begins: before
// it has read the records, meanwhile and after.
func (w *world) tellKept() {
	kept := w.keptReports
	w.keptReports = nil
	for _, rep := range kept {
		for _, n := range w.nodes {
			arrive := func() {
				if !n.alive {
					return
				}
				w.occurrences["report-for-next"]++
				if m := w.workers[rep.Host]; !m.gone.IsZero() {
					w.occurrences["report-of-gone"]++
				}
				n.ask(func(ref uint64) any { return heartbeat.Received{Ref: ref, Report: rep} }, func(any) {})
			}
			w.after([]time.Duration{0, time.Millisecond, 4 * time.Millisecond, 40 * time.Millisecond, 500 * time.Millisecond}[w.rng.IntN(5)], func() {
				w.net.send("kept", "copy of "+rep.Host, n.name, arrive) // the network has it, not the machine
			})
		}
	}
}

// countUnrecorded counts the machines that are up as a leader begins and that no record names.
func (w *world) countUnrecorded() {
	if w.unchecked || w.elapsed() < 2*time.Second {
		return // the first leader finds all machines so
	}
	named := ""
	for _, k := range w.store.sorted("yewpass/live/machine/") {
		named += string(w.store.keys[k].value)
	}
	for _, m := range w.cloud.machines {
		if m.gone.IsZero() && !m.up.IsZero() && !strings.Contains(named, `"`+m.host+`"`) {
			w.occurrences["unrecorded"]++
		}
	}
}

// describe is what the worker says of itself.
func (m *worker) describe() heartbeat.Report {
	rep := heartbeat.Report{Host: m.host, Address: m.address(m.host), InstanceType: m.instanceType.name, Zone: m.zone, Spot: m.spot,
		Incarnation: m.tenure, Counter: m.counter, FencingToken: m.epoch}
	if !m.leaves.IsZero() {
		rep.HasNotice, rep.Notice = true, m.leaves.Sub(m.now)
	}
	for _, t := range m.tasks {
		rep.Tasks = append(rep.Tasks, heartbeat.Task{ID: t.id, Attempt: t.try, Phase: t.phase, Cause: t.cause})
	}
	return rep
}

// workerPort ends a worker's address.
const workerPort = ":9000"

// command is a direct command without orders.
func (m *worker) command(epoch, tenure uint64) (rpc.Outcome, heartbeat.Report) {
	if m.now.Before(m.mute) {
		m.occurrences["mute-command"]++
	}
	m.counter++
	if epoch < m.epoch || tenure != m.tenure {
		return rpc.Conflict, m.describe()
	}
	m.sees(epoch)
	if m.news && m.flight == 0 {
		m.planReport(max(0, m.sent.Add(500*time.Millisecond).Sub(m.now)))
	}
	return rpc.OK, m.describe()
}

// sees takes note of an epoch; a higher one is news.
func (m *worker) sees(epoch uint64) {
	if epoch > m.epoch {
		m.epoch = epoch
		if m.now.Sub(m.told) >= m.lease/2 {
			m.told = m.now
			m.news = true
		}
	}
}

// failed: no answer of use; the next node is tried a second later.
func (m *worker) failed(id int) {
	if m.flight != id {
		return
	}
	m.flight = 0
	m.leave(m.node + 1)
	m.planReport(time.Second)
}

// leave has the worker report to another node from now on.
func (m *worker) leave(node int) {
	if m.served {
		m.workerMoves++
		m.served = false
	}
	m.node = node
}

func (m *worker) reply(id int, tenure uint64, sent time.Time, a heartbeat.Reply) {
	if m.flight != id {
		return // given up
	}
	switch {
	case a.Status == 421:
		for i, n := range m.nodes {
			if n.name == a.Upstream && i != m.node%len(m.nodes) {
				m.flight = 0
				m.leave(i)
				m.planReport(time.Duration(m.rng.Int64N(int64(500 * time.Millisecond))))
				return
			}
		}
		fallthrough
	default:
		m.failed(id)
		return
	case a.Status == 200:
	}
	m.flight = 0
	if a.FencingToken < m.epoch || tenure != m.tenure {
		m.planReport(m.spread(m.reportEvery, 0.25))
		return
	}
	m.served = true
	m.outrun(a.FencingToken)
	if sent.After(m.answered) {
		m.answered = sent
		m.watchLease()
	}
	m.sees(a.FencingToken)
	for _, o := range a.Orders {
		m.execute(o, sent)
	}
	next := m.sent.Add(m.spread(m.reportEvery, 0.25)).Sub(m.now)
	if m.news {
		next = m.sent.Add(500 * time.Millisecond).Sub(m.now)
	}
	m.planReport(max(next, 0))
}

// outrun notes tasks of jobs that were told cancelled on a machine whose lease a leader
// renews that is not the newest: the meeting that the bound on cancellations is about.
func (m *worker) outrun(epoch uint64) {
	for _, t := range m.tasks {
		if t.outran || !t.on() || t.job.told != spec.Cancelled || epoch >= m.newestTerm() {
			continue
		}
		t.outran = true
		m.occurrences["outrun-cancel"]++
	}
}
