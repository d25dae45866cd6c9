package relay

import "yewpass/internal/heartbeat"

// Encoder is the relay's end of a session: it turns heartbeats into deltas.
type Encoder struct {
	session, number uint64
	lastHandle      uint64
	machines        map[string]*encodedMachine // by host
	released        []uint64
}

// encodedMachine is what the leader was last sent about a machine.
type encodedMachine struct {
	handle   uint64
	identity Identity
	tasks    []heartbeat.Task
}

// NewEncoder returns the relay's end of a new session, whose number must not have been
// used before by any relay of the same name.
func NewEncoder(session uint64) *Encoder {
	return &Encoder{session: session, machines: map[string]*encodedMachine{}}
}

// Session returns the number of the session.
func (e *Encoder) Session() uint64 { return e.session }

// Encode encodes a heartbeat. The delta must go out with the next Batch, after those
// encoded before it. The report's tasks must not be changed afterwards.
func (e *Encoder) Encode(ref uint64, r *heartbeat.Report) Delta {
	d := Delta{Ref: ref, Incarnation: r.Incarnation, Counter: r.Counter, FencingToken: r.FencingToken}
	if r.HasNotice {
		ms := r.Notice.Milliseconds()
		d.Notice = &ms
	}
	m := e.machines[r.Host]
	if m == nil {
		e.lastHandle++
		m = &encodedMachine{handle: e.lastHandle}
		e.machines[r.Host] = m
	}
	d.Handle = m.handle
	previous := m.tasks
	if id := identityOf(r); id != m.identity {
		m.identity, previous = id, nil
		d.Identity = &Identity{}
		*d.Identity = id // a copy: id itself stays off the heap in the many heartbeats that change nothing
	}
	m.tasks = r.Tasks
	d.encodeTasks(previous, r.Tasks)
	return d
}

// identityOf returns what a report says of its machine.
func identityOf(r *heartbeat.Report) Identity {
	return Identity{Host: r.Host, Address: r.Address, InstanceType: r.InstanceType, Zone: r.Zone, Spot: r.Spot}
}

// encodeTasks sets the difference between two lists of tasks.
func (d *Delta) encodeTasks(previous, tasks []heartbeat.Task) {
	matched := 0 // tasks of the new list that were found in the previous one, in order
	for i := range previous {
		p := &previous[i]
		if matched < len(tasks) && tasks[matched].Attempt == p.Attempt && tasks[matched].ID == p.ID {
			if t := &tasks[matched]; t.Phase != p.Phase || t.Cause != p.Cause {
				d.Changed = append(d.Changed, TaskChange{At: matched, Phase: t.Phase, Cause: t.Cause})
			}
			matched++
			continue
		}
		d.Dropped = append(d.Dropped, i)
	}
	d.Added = tasks[matched:]
}

// Forget drops the state of a machine that no longer reports here.
func (e *Encoder) Forget(host string) {
	if m := e.machines[host]; m != nil {
		e.released = append(e.released, m.handle)
		delete(e.machines, host)
	}
}

// Batch returns the next numbered batch of the session.
func (e *Encoder) Batch(reports []Delta, abandoned []uint64) *Batch {
	e.number++
	b := &Batch{Session: e.session, Number: e.number, Reports: reports, Abandoned: abandoned, Released: e.released}
	e.released = nil
	return b
}
