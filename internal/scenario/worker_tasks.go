package scenario

import (
	"slices"
	"time"

	"yewpass/internal/heartbeat"
)

func (m *worker) find(id heartbeat.TaskID, try uint64) *task {
	for _, t := range m.tasks {
		if t.id == id && t.try == try {
			return t
		}
	}
	return nil
}

// execute carries out an order of the answer to a report that was sent at a time.
func (m *worker) execute(o heartbeat.Order, reported time.Time) {
	t := m.find(o.Task, o.Attempt)
	m.news = true
	m.dirty = true
	switch o.Verb {
	case heartbeat.Start:
		if t == nil {
			if o.Attempt <= m.lastAttempts[o.Task] {
				m.fail("misuse", "%s starts as attempt %d after %d", o.Task, o.Attempt, m.lastAttempts[o.Task])
			}
			m.lastAttempts[o.Task] = o.Attempt
			m.start(o, reported)
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
			m.later(t, s.CheckpointTime, func() {
				t.job.progress[t.id.Index] += m.now.Sub(t.began)
				m.exit(t, heartbeat.CauseStopped)
			})
			return
		}
		m.exit(t, heartbeat.CauseStopped)
	case heartbeat.Reap:
		if t != nil && t.phase == heartbeat.Exited {
			m.tasks = slices.DeleteFunc(m.tasks, func(x *task) bool { return x == t })
		}
	}
}

// later has f run after d unless the task changes before.
func (m *worker) later(t *task, d time.Duration, f func()) {
	t.change++
	n, tenure := t.change, m.tenure
	m.after(d, func() {
		m.do(func() {
			if t.change == n && m.tenure == tenure && t.phase != heartbeat.Exited {
				f()
			}
		})
	})
}

func (m *worker) exit(t *task, cause string) {
	t.change++
	t.phase, t.cause = heartbeat.Exited, cause
	m.allocations.release(t)
	if cause == heartbeat.CauseDone {
		t.job.done[t.id.Index] = true
		if len(t.job.done) == t.job.spec.Tasks && t.job.finished.IsZero() {
			t.job.finished = m.now
			m.jobEnded(t.job)
		}
	}
	m.changed()
}

func (m *worker) start(o heartbeat.Order, reported time.Time) {
	t := &task{id: o.Task, try: o.Attempt, phase: heartbeat.Pulling}
	t.job = m.described(o.Task.Job)
	refuse := ""
	cpus, gpus, mem := 0.0, 0.0, 0.0
	for _, x := range m.tasks {
		if x.phase != heartbeat.Exited {
			if x.id == o.Task {
				refuse = heartbeat.CauseBusy
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
	if refuse == "" && (cpus+s.CPUs > m.instanceType.cpus+eps || mem+s.MemGB > m.instanceType.mem+eps || gpus+s.GPUs > m.instanceType.gpus+eps) {
		refuse = heartbeat.CauseNoRoom
	}
	if refuse != "" {
		t.phase, t.cause = heartbeat.Exited, refuse
		m.refusals++
		return
	}
	ready, ok := m.images[s.Image]
	if !ok {
		ready = m.now.Add(time.Duration(s.ImageGB / m.instanceType.fetch * float64(time.Second)))
		m.images[s.Image] = ready
	}
	m.allocations.hold(m, t)
	m.checkLiveLimit(t, reported)
	m.later(t, max(0, ready.Sub(m.now)), func() { m.begin(t) })
}

// begin: the task has its image and is on the machine from now on.
func (m *worker) begin(t *task) {
	m.checkStart(m, t)
	t.phase, t.began = heartbeat.Running, m.now
	if t.job.begun.IsZero() {
		t.job.begun = m.now
	}
	m.started++
	if m.onStart != nil {
		m.onStart(t)
	}
	m.changed()
	switch {
	case m.sick || t.job.faulty:
		m.later(t, 500*time.Millisecond, func() { m.exit(t, heartbeat.CauseError) })
	case !t.job.spec.Service:
		left := max(0, t.job.runs-t.job.progress[t.id.Index])
		if t.job.varies > 0 {
			left = m.spread(left, t.job.varies)
		}
		m.later(t, time.Duration(float64(left)*m.speed), func() { m.exit(t, heartbeat.CauseDone) })
	}
}
