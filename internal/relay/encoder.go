package relay

import "yewpass/internal/heartbeat"

// Encoder encodes the heartbeats of one session as deltas at the relay.
type Encoder struct {
	session, number uint64
	lastHandle      uint64
	machines        map[string]*encodedMachine // by host
	released        []uint64                   // handles to be released with the next batch
}

// encodedMachine is the state of a machine as last sent to the leader.
type encodedMachine struct {
	handle   uint64
	identity Identity
	tasks    []heartbeat.Task
}

// NewEncoder returns an encoder. session must not be 0 or have been used by any process of the
// relay.
func NewEncoder(session uint64) *Encoder {
	return &Encoder{session: session, machines: map[string]*encodedMachine{}}
}

// Session returns the number of the session.
func (e *Encoder) Session() uint64 { return e.session }

// Encode encodes a heartbeat. Deltas must be sent in order with the next Batch. The report's tasks
// must not be modified afterwards.
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
		*d.Identity = id // copied so that id escapes to the heap only here
	}
	m.tasks = r.Tasks
	d.encodeTasks(previous, r.Tasks)
	return d
}

func identityOf(r *heartbeat.Report) Identity {
	return Identity{Host: r.Host, Address: r.Address, InstanceType: r.InstanceType, Zone: r.Zone, Spot: r.Spot}
}

// encodeTasks sets Dropped, Changed and Added to the difference between two lists of tasks.
func (d *Delta) encodeTasks(previous, tasks []heartbeat.Task) {
	matched := 0 // length of the prefix of tasks that was found in previous, in order
	for i := range previous {
		p := &previous[i]
		if matched < len(tasks) && tasks[matched].Attempt == p.Attempt && tasks[matched].ID == p.ID {
			if t := &tasks[matched]; t.Phase != p.Phase || t.Cause != p.Cause {
				d.Changed = append(d.Changed, TaskChange{Index: matched, Phase: t.Phase, Cause: t.Cause})
			}
			matched++
			continue
		}
		d.Dropped = append(d.Dropped, i)
	}
	d.Added = tasks[matched:]
}

// Forget discards the state of a machine. The next batch releases its handle at the leader.
func (e *Encoder) Forget(host string) {
	if m := e.machines[host]; m != nil {
		e.released = append(e.released, m.handle)
		delete(e.machines, host)
	}
}

// Batch returns the next batch of the session, with the handles released since the previous one.
func (e *Encoder) Batch(reports []Delta, abandoned []uint64) *Batch {
	e.number++
	b := &Batch{Session: e.session, Number: e.number, Reports: reports, Abandoned: abandoned, Released: e.released}
	e.released = nil
	return b
}
