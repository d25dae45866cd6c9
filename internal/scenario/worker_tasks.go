package scenario

import (
	"slices"
	"time"

	"yewpass/internal/heartbeat"
)

func (m *worker) findTask(id heartbeat.TaskID, attempt uint64) *task {
	for _, t := range m.tasks {
		if t.id == id && t.attempt == attempt {
			return t
		}
	}
	return nil
}

// executeOrder carries out an order from the answer to the report sent at the given time.
func (m *worker) executeOrder(o heartbeat.Order, reported time.Time) {
	t := m.findTask(o.Task, o.Attempt)
	m.hasChanges = true
	m.needsCheck = true
	switch o.Verb {
	case heartbeat.Start:
		if t == nil {
			if o.Attempt <= m.lastAttempts[o.Task] {
				m.fail("misuse", "%s starts as attempt %d after attempt %d", o.Task, o.Attempt, m.lastAttempts[o.Task])
			}
			m.lastAttempts[o.Task] = o.Attempt
			m.acceptTask(o, reported)
		}
	case heartbeat.Stop:
		if t == nil || t.phase == heartbeat.Exited {
			return
		}
		s := &t.job.spec
		if t.phase == heartbeat.Checkpointing && o.Drain > 0 {
			return
		}
		if t.phase == heartbeat.Running && s.CheckpointInterval > 0 && o.Drain >= s.CheckpointTime {
			t.phase = heartbeat.Checkpointing
			m.startTimer(t, s.CheckpointTime, func() {
				t.job.progress[t.id.Index] += m.now.Sub(t.startedAt)
				m.exitTask(t, heartbeat.CauseStopped)
			})
			return
		}
		m.exitTask(t, heartbeat.CauseStopped)
	case heartbeat.Reap:
		if t != nil && t.phase == heartbeat.Exited {
			m.tasks = slices.DeleteFunc(m.tasks, func(x *task) bool { return x == t })
		}
	}
}

// startTimer runs f after d unless the task has another timer, exits or loses its session first.
func (m *worker) startTimer(t *task, d time.Duration, f func()) {
	t.timer++
	n, incarnation := t.timer, m.incarnation
	m.after(d, func() {
		m.whenRunning(func() {
			if t.timer == n && m.incarnation == incarnation && t.phase != heartbeat.Exited {
				f()
			}
		})
	})
}

func (m *worker) exitTask(t *task, cause string) {
	t.timer++
	t.phase, t.cause = heartbeat.Exited, cause
	m.allocations.release(t)
	if cause == heartbeat.CauseDone {
		t.job.done[t.id.Index] = true
		if len(t.job.done) == t.job.spec.Tasks && t.job.finished.IsZero() {
			t.job.finished = m.now
			m.jobFinished(t.job)
		}
	}
	m.reportSoon()
}

func (m *worker) acceptTask(o heartbeat.Order, reported time.Time) {
	t := &task{id: o.Task, attempt: o.Attempt, phase: heartbeat.Pulling}
	t.job = m.describedJob(o.Task.Job)
	cause := ""
	cpus, gpus, mem := 0.0, 0.0, 0.0
	for _, x := range m.tasks {
		if x.phase != heartbeat.Exited {
			if x.id == o.Task {
				cause = heartbeat.CauseBusy
			}
			s := &x.job.spec
			cpus, gpus, mem = cpus+s.CPUs, gpus+s.GPUs, mem+s.MemGB
		}
	}
	m.tasks = append(m.tasks, t)
	if t.job == nil || t.id.Index >= t.job.spec.Tasks {
		t.phase, t.cause = heartbeat.Exited, heartbeat.CauseUnknownTask
		return
	}
	s := &t.job.spec
	const eps = 1e-6
	if cause == "" && (cpus+s.CPUs > m.instanceType.cpus+eps || mem+s.MemGB > m.instanceType.mem+eps || gpus+s.GPUs > m.instanceType.gpus+eps) {
		cause = heartbeat.CauseNoRoom
	}
	if cause != "" {
		t.phase, t.cause = heartbeat.Exited, cause
		m.refusals++
		return
	}
	ready, ok := m.images[s.Image]
	if !ok {
		ready = m.now.Add(time.Duration(s.ImageGB / m.instanceType.fetchRate * float64(time.Second)))
		m.images[s.Image] = ready
	}
	m.allocations.allocate(m, t)
	m.checkLiveLimit(t, reported)
	m.startTimer(t, max(0, ready.Sub(m.now)), func() { m.runTask(t) })
}

// runTask starts a task whose image has been pulled.
func (m *worker) runTask(t *task) {
	m.checkStart(m, t)
	t.phase, t.startedAt = heartbeat.Running, m.now
	if t.job.firstStarted.IsZero() {
		t.job.firstStarted = m.now
	}
	m.started++
	if m.onStart != nil {
		m.onStart(t)
	}
	m.reportSoon()
	switch {
	case m.failsTasks || t.job.faulty:
		m.startTimer(t, 500*time.Millisecond, func() { m.exitTask(t, heartbeat.CauseError) })
	case !t.job.spec.Service:
		remaining := max(0, t.job.runtime-t.job.progress[t.id.Index])
		if t.job.runtimeJitter > 0 {
			remaining = m.jitter(remaining, t.job.runtimeJitter)
		}
		m.startTimer(t, time.Duration(float64(remaining)*m.slowdown), func() { m.exitTask(t, heartbeat.CauseDone) })
	}
}
