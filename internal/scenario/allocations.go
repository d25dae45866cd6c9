package scenario

import "slices"

// allocations keeps what the tasks that machines hold take of each team's limit, and which
// tasks of each job those are. The rules are looked at after every event, and a look at
// all tasks of all machines would cost more than everything else.
type allocations map[string]*usage

// usage is what a team's tasks take.
type usage struct{ cpus, gpus float64 }

// hold takes in a task that a machine has accepted.
func (l allocations) hold(m *worker, t *task) {
	t.machine = m
	t.job.held = append(t.job.held, t)
	s := &t.job.spec
	u := l[s.Owner]
	if u == nil {
		u = &usage{}
		l[s.Owner] = u
	}
	u.cpus += s.CPUs
	u.gpus += s.GPUs
}

// release takes out a task that has exited or is gone with its session.
func (l allocations) release(t *task) {
	if t.machine == nil {
		return
	}
	t.machine = nil
	if i := slices.Index(t.job.held, t); i >= 0 {
		last := len(t.job.held) - 1
		t.job.held[i] = t.job.held[last]
		t.job.held[last] = nil
		t.job.held = t.job.held[:last]
	}
	s := &t.job.spec
	u := l[s.Owner]
	u.cpus -= s.CPUs
	u.gpus -= s.GPUs
}

// used is what a team's tasks take now.
func (l allocations) used(team string) usage {
	if u := l[team]; u != nil {
		return *u
	}
	return usage{}
}

// forgetTasks drops every task of a machine, whatever its state.
func (m *worker) forgetTasks() {
	for _, t := range m.tasks {
		m.allocations.release(t)
	}
	m.tasks = nil
	m.dirty = true
}
