package scenario

import "slices"

// allocations tracks the resources that each team's tasks hold. It is updated incrementally, since
// the rules are checked after every event.
type allocations map[string]*usage

type usage struct{ cpus, gpus float64 }

// allocate adds a task that a machine has accepted.
func (l allocations) allocate(m *worker, t *task) {
	t.machine = m
	t.job.heldTasks = append(t.job.heldTasks, t)
	s := &t.job.spec
	u := l[s.Owner]
	if u == nil {
		u = &usage{}
		l[s.Owner] = u
	}
	u.cpus += s.CPUs
	u.gpus += s.GPUs
}

// release removes a task that has exited or whose session has ended.
func (l allocations) release(t *task) {
	if t.machine == nil {
		return
	}
	t.machine = nil
	if i := slices.Index(t.job.heldTasks, t); i >= 0 {
		last := len(t.job.heldTasks) - 1
		t.job.heldTasks[i] = t.job.heldTasks[last]
		t.job.heldTasks[last] = nil
		t.job.heldTasks = t.job.heldTasks[:last]
	}
	s := &t.job.spec
	u := l[s.Owner]
	u.cpus -= s.CPUs
	u.gpus -= s.GPUs
}

func (l allocations) used(team string) usage {
	if u := l[team]; u != nil {
		return *u
	}
	return usage{}
}

// forgetTasks drops all tasks of a machine and releases their resources.
func (m *worker) forgetTasks() {
	for _, t := range m.tasks {
		m.allocations.release(t)
	}
	m.tasks = nil
	m.needsCheck = true
}
