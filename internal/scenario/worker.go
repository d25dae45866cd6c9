package scenario

import (
	"slices"
	"strings"
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
)

// worker simulates a machine and the worker process on it.
type worker struct {
	*world
	host                            string
	instanceType                    *instanceType
	zone                            string
	spot                            bool
	created, bootedAt, terminatedAt time.Time
	tasks                           []*task
	images                          map[string]time.Time // when the pull of each image completes

	workerFaults
	workerSession
}

// workerFaults holds the active faults of a machine.
type workerFaults struct {
	slowdown            float64 // factor on the run time of tasks
	failsTasks          bool
	hungUntil           time.Time
	preemptedAt         time.Time // announced preemption time
	inboundBlockedUntil time.Time // until then answers and probes to it are lost
	reportsBlockedUntil time.Time // until then its reports are lost, but it answers probes
}

// workerSession is the state of a worker's exchange with the controllers.
type workerSession struct {
	incarnation, counter, fencingToken uint64
	nodeIndex                          int
	served                             bool      // the node has answered its reports
	inFlight                           int       // number of the report in flight; 0 if none
	reportCount                        int       // reports sent
	lastSent, lastAnswered             time.Time // send times of the latest report and the latest answered one
	tokenReportedAt                    time.Time // last time that a higher fencing token triggered a report
	hasChanges                         bool
	reportPlan                         int // number of the latest scheduled report; earlier ones are void
}

// task is one attempt at a task on a machine.
type task struct {
	id                 heartbeat.TaskID
	attempt            uint64
	job                *userJob
	phase              heartbeat.Phase
	cause              string
	startedAt          time.Time
	timer              int  // number of the latest timer; earlier ones are void
	renewedAfterCancel bool // counted by countStaleRenewals

	machine *worker // nil once it has exited or its session has ended
}

// active reports whether the task counts as running for the rules: its image is pulled and it
// has not exited.
func (t *task) active() bool {
	return t.phase == heartbeat.Running || t.phase == heartbeat.Checkpointing
}

// whenRunning checks the lease and runs f. It defers f to the end of a hang, and drops it if the
// machine is terminated or not booted.
func (m *worker) whenRunning(f func()) {
	if !m.terminatedAt.IsZero() || m.bootedAt.IsZero() {
		return
	}
	if m.now.Before(m.hungUntil) {
		m.at(m.hungUntil, func() { m.whenRunning(f) })
		return
	}
	m.checkLease()
	f()
}

func (m *worker) boot() {
	if !m.terminatedAt.IsZero() {
		return
	}
	m.bootedAt = m.now
	m.startSession()
	m.sendReport()
}

func (m *worker) startSession() {
	m.incarnation++
	m.lastAnswered = m.now
	for _, x := range m.tasks {
		if x.phase != heartbeat.Exited {
			m.expiredTasks++
			m.occurrences["killed"]++
		}
	}
	m.forgetTasks()
	m.scheduleLeaseCheck()
}

// scheduleLeaseCheck schedules a check just after the lease expires, also on a hung machine, whose
// tasks end with the lease too.
func (m *worker) scheduleLeaseCheck() {
	m.at(m.lastAnswered.Add(m.lease+time.Millisecond), func() {
		if m.terminatedAt.IsZero() {
			m.checkLease()
		}
	})
}

func (m *worker) checkLease() {
	if m.now.Sub(m.lastAnswered) > m.lease {
		m.startSession()
		m.reportSoon()
	}
}

// terminate removes the machine and its tasks.
func (m *worker) terminate() {
	if m.terminatedAt.IsZero() {
		m.terminatedAt = m.now
		m.forgetTasks()
	}
}

// restart reboots the machine after a delay, under the same host name and address. It loses its
// tasks, images and fencing token. With resetCounter, which the protocol allows, its incarnation
// restarts from 1.
func (m *worker) restart(back time.Duration, resetCounter bool) {
	m.whenRunning(func() {
		for _, t := range m.tasks {
			t.timer++ // cancels its timers
		}
		m.forgetTasks()
		m.images = map[string]time.Time{}
		m.inFlight, m.fencingToken, m.hasChanges, m.tokenReportedAt = 0, 0, false, time.Time{}
		m.reportPlan++
		m.bootedAt = time.Time{}
		m.after(back, func() {
			if !m.terminatedAt.IsZero() {
				return
			}
			m.bootedAt, m.lastAnswered = m.now, m.now
			if resetCounter {
				m.incarnation, m.counter = 1, 0
			}
			m.scheduleLeaseCheck()
			m.sendReport()
		})
	})
}

// reportSoon schedules a report, at least 500 ms after the previous one.
func (m *worker) reportSoon() {
	m.hasChanges = true
	m.needsCheck = true
	m.scheduleReport(max(0, m.lastSent.Add(500*time.Millisecond).Sub(m.now)))
}

func (m *worker) scheduleReport(d time.Duration) {
	m.reportPlan++
	plan := m.reportPlan
	m.after(d, func() {
		m.whenRunning(func() {
			if m.reportPlan == plan && m.inFlight == 0 {
				m.sendReport()
			}
		})
	})
}

func (m *worker) sendReport() {
	m.counter++
	m.reportCount++
	m.inFlight = m.reportCount
	m.lastSent = m.now
	m.hasChanges = false
	m.reportPlan++
	id, incarnation, sent := m.inFlight, m.incarnation, m.now
	if m.now.Before(m.reportsBlockedUntil) {
		m.occurrences["mute-report"]++
		m.after(500*time.Millisecond, func() { m.whenRunning(func() { m.reportFailed(id) }) })
		return
	}
	rep := m.buildReport()
	n := m.nodes[m.nodeIndex%len(m.nodes)]
	back := func(f func()) { m.net.send("reply", n.name, m.host, func() { m.whenRunning(f) }) }
	m.net.send("report", m.host, n.name, func() {
		if !n.alive {
			back(func() { m.reportFailed(id) })
			return
		}
		if m.now.Sub(sent) > 4*time.Second && n.process == nil && n.core.HasAuthority(n.localNow()) {
			m.occurrences["held-report"]++
		}
		n.ask(func(ref uint64) any { return heartbeat.Received{Ref: ref, Report: rep} }, func(a any) {
			ans := a.(heartbeat.Reply)
			ans.Orders = slices.Clone(ans.Orders)
			back(func() {
				if m.now.Before(m.inboundBlockedUntil) {
					m.occurrences["deaf-answer"]++
					m.occurrences["deaf-start"] += len(slices.DeleteFunc(ans.Orders, func(o heartbeat.Order) bool { return o.Verb != heartbeat.Start }))
					return
				}
				m.handleReply(id, incarnation, sent, ans)
			})
		})
	})
	if m.duplicateReports.forNextLeader && m.duplicateReports.sample(m.clock) {
		m.keepReport(rep)
	} else if m.duplicateReports.sample(m.clock) {
		// The answer to the duplicate is discarded.
		m.after(m.jitter(m.lease+2*time.Second, 1-4/(m.lease.Seconds()+2)), func() {
			if n.alive {
				m.occurrences["late-report"]++
				n.ask(func(ref uint64) any { return heartbeat.Received{Ref: ref, Report: rep} }, func(any) {})
			}
		})
	}
	m.after(4*time.Second, func() { m.whenRunning(func() { m.reportFailed(id) }) })
}

// maxKeptReports bounds the copies of one machine's reports kept for the next leader.
const maxKeptReports = 3

func (w *world) keepReport(rep heartbeat.Report) {
	n := 0
	for i := range w.keptReports {
		if w.keptReports[i].Host == rep.Host {
			n++
		}
	}
	if n < maxKeptReports {
		w.keptReports = append(w.keptReports, rep)
	}
}

// deliverKeptReports delivers the kept reports to every controller before, while or after a new
// leader loads the records.
func (w *world) deliverKeptReports() {
	kept := w.keptReports
	w.keptReports = nil
	for _, rep := range kept {
		for _, n := range w.nodes {
			arrive := func() {
				if !n.alive {
					return
				}
				w.occurrences["report-for-next"]++
				if m := w.workers[rep.Host]; !m.terminatedAt.IsZero() {
					w.occurrences["report-of-gone"]++
				}
				n.ask(func(ref uint64) any { return heartbeat.Received{Ref: ref, Report: rep} }, func(any) {})
			}
			w.after([]time.Duration{0, time.Millisecond, 4 * time.Millisecond, 40 * time.Millisecond, 500 * time.Millisecond}[w.rng.IntN(5)], func() {
				w.net.send("kept", "copy of "+rep.Host, n.name, arrive) // not sent by the machine, whose faults do not apply
			})
		}
	}
}

// countUnrecorded counts the machines that run but have no record when a leader starts.
func (w *world) countUnrecorded() {
	if w.checksOff || w.elapsed() < 2*time.Second {
		return // the first leader finds no machine records
	}
	recorded := ""
	for _, k := range w.store.sortedKeys("yewpass/live/machine/") {
		recorded += string(w.store.keys[k].value)
	}
	for _, m := range w.cloud.machines {
		if m.terminatedAt.IsZero() && !m.bootedAt.IsZero() && !strings.Contains(recorded, `"`+m.host+`"`) {
			w.occurrences["unrecorded"]++
		}
	}
}

func (m *worker) buildReport() heartbeat.Report {
	rep := heartbeat.Report{Host: m.host, Address: m.address(m.host), InstanceType: m.instanceType.name, Zone: m.zone, Spot: m.spot,
		Incarnation: m.incarnation, Counter: m.counter, FencingToken: m.fencingToken}
	if !m.preemptedAt.IsZero() {
		rep.HasNotice, rep.Notice = true, m.preemptedAt.Sub(m.now)
	}
	for _, t := range m.tasks {
		rep.Tasks = append(rep.Tasks, heartbeat.Task{ID: t.id, Attempt: t.attempt, Phase: t.phase, Cause: t.cause})
	}
	return rep
}

// workerPort is the suffix of a worker's address.
const workerPort = ":9000"

// handleProbe answers a probe. It rejects a stale fencing token or another incarnation as a
// conflict.
func (m *worker) handleProbe(token, incarnation uint64) (rpc.Outcome, heartbeat.Report) {
	if m.now.Before(m.reportsBlockedUntil) {
		m.occurrences["mute-command"]++
	}
	m.counter++
	if token < m.fencingToken || incarnation != m.incarnation {
		return rpc.Conflict, m.buildReport()
	}
	m.observeToken(token)
	if m.hasChanges && m.inFlight == 0 {
		m.scheduleReport(max(0, m.lastSent.Add(500*time.Millisecond).Sub(m.now)))
	}
	return rpc.OK, m.buildReport()
}

// observeToken records a higher fencing token. At most once per half lease, it requests an early
// report.
func (m *worker) observeToken(token uint64) {
	if token > m.fencingToken {
		m.fencingToken = token
		if m.now.Sub(m.tokenReportedAt) >= m.lease/2 {
			m.tokenReportedAt = m.now
			m.hasChanges = true
		}
	}
}

// reportFailed handles a report without a usable answer: the worker tries the next node after 1 s.
func (m *worker) reportFailed(id int) {
	if m.inFlight != id {
		return
	}
	m.inFlight = 0
	m.switchNode(m.nodeIndex + 1)
	m.scheduleReport(time.Second)
}

func (m *worker) switchNode(node int) {
	if m.served {
		m.workerMoves++
		m.served = false
	}
	m.nodeIndex = node
}

func (m *worker) handleReply(id int, incarnation uint64, sent time.Time, a heartbeat.Reply) {
	if m.inFlight != id {
		return // already timed out
	}
	switch {
	case a.Status == 421:
		for i, n := range m.nodes {
			if n.name == a.Upstream && i != m.nodeIndex%len(m.nodes) {
				m.inFlight = 0
				m.switchNode(i)
				m.scheduleReport(time.Duration(m.rng.Int64N(int64(500 * time.Millisecond))))
				return
			}
		}
		fallthrough
	default:
		m.reportFailed(id)
		return
	case a.Status == 200:
	}
	m.inFlight = 0
	if a.FencingToken < m.fencingToken || incarnation != m.incarnation {
		m.scheduleReport(m.jitter(m.reportInterval, 0.25))
		return
	}
	m.served = true
	m.countStaleRenewals(a.FencingToken)
	if sent.After(m.lastAnswered) {
		m.lastAnswered = sent
		m.scheduleLeaseCheck()
	}
	m.observeToken(a.FencingToken)
	for _, o := range a.Orders {
		m.executeOrder(o, sent)
	}
	next := m.lastSent.Add(m.jitter(m.reportInterval, 0.25)).Sub(m.now)
	if m.hasChanges {
		next = m.lastSent.Add(500 * time.Millisecond).Sub(m.now)
	}
	m.scheduleReport(max(next, 0))
}

// countStaleRenewals counts tasks of jobs reported cancelled whose lease a former leader renews.
// The cancel timeout covers this case.
func (m *worker) countStaleRenewals(token uint64) {
	for _, t := range m.tasks {
		if t.renewedAfterCancel || !t.active() || t.job.finalState != spec.Cancelled || token >= m.newestTerm() {
			continue
		}
		t.renewedAfterCancel = true
		m.occurrences["outrun-cancel"]++
	}
}
