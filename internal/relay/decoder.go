package relay

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"yewpass/internal/heartbeat"
)

// Decoder decodes the successive sessions of one relay at the leader. The zero value is ready to
// use.
type Decoder struct {
	session, number uint64
	closedSessions  []uint64                     // numbers of previous sessions, latest last
	machines        map[uint64]*heartbeat.Report // last report of each machine, by handle
}

// ErrSequenceGap is returned for a batch after a lost one or of an unknown session.
var ErrSequenceGap = errors.New("batch does not follow the previous one")

// ErrStaleSession is returned for a delayed batch of a closed session. The decoder is unchanged.
var ErrStaleSession = errors.New("batch belongs to a closed session")

// Errors for batches that no correct relay sends.
var (
	errTooManyMachines = errors.New("relay reports too many machines")
	errUnlistedDrop    = errors.New("dropped task is not in the previous list")
	errUnlistedChange  = errors.New("changed task is not in the list, or its phase is unknown")
	errInvalidTask     = errors.New("added task has no job or an unknown phase")
)

// maxClosedSessions is how many closed sessions are remembered. It must exceed the number that a
// relay can open while a message is in transit.
const maxClosedSessions = 64

// maxMachines bounds the machines per relay. It exceeds the number that a controller can serve.
const maxMachines = 1 << 17

// Session returns the number of the current session, or 0 if there is none.
func (dec *Decoder) Session() uint64 { return dec.session }

// Decode restores the reports of a batch in their order. sessionStarted reports whether it starts a
// new session. After an error other than ErrStaleSession the relay must open one.
func (dec *Decoder) Decode(b *Batch) (reports []heartbeat.Report, sessionStarted bool, err error) {
	if slices.Contains(dec.closedSessions, b.Session) {
		return nil, false, ErrStaleSession
	}
	if b.Number == 1 && b.Session != 0 && b.Session != dec.session {
		dec.openSession(b.Session)
		sessionStarted = true
	}
	if b.Session != dec.session || b.Session == 0 || b.Number != dec.number+1 {
		return nil, sessionStarted, ErrSequenceGap
	}
	dec.number++
	reports = make([]heartbeat.Report, 0, len(b.Reports))
	for i := range b.Reports {
		r, err := dec.decode(&b.Reports[i])
		if err != nil {
			dec.session = 0
			return nil, sessionStarted, err
		}
		reports = append(reports, r)
	}
	for _, h := range b.Released {
		delete(dec.machines, h)
	}
	return reports, sessionStarted, nil
}

// openSession resets the decoder and remembers the previous session as closed.
func (dec *Decoder) openSession(session uint64) {
	closed := dec.closedSessions
	if dec.session != 0 {
		closed = append(closed[max(0, len(closed)+1-maxClosedSessions):], dec.session)
	}
	*dec = Decoder{session: session, closedSessions: closed, machines: map[uint64]*heartbeat.Report{}}
}

// decode restores one report and stores it as the base of the machine's next delta.
func (dec *Decoder) decode(d *Delta) (heartbeat.Report, error) {
	last := dec.machines[d.Handle]
	if id := d.Identity; id != nil {
		if last == nil {
			if len(dec.machines) >= maxMachines {
				return heartbeat.Report{}, errTooManyMachines
			}
			last = &heartbeat.Report{}
			dec.machines[d.Handle] = last
		}
		*last = heartbeat.Report{Host: id.Host, Address: id.Address, InstanceType: id.InstanceType, Zone: id.Zone, Spot: id.Spot}
	}
	if last == nil {
		return heartbeat.Report{}, fmt.Errorf("no machine with handle %d in this session", d.Handle)
	}
	r := *last
	r.Incarnation, r.Counter, r.FencingToken = d.Incarnation, d.Counter, d.FencingToken
	r.HasNotice, r.Notice = d.Notice != nil, 0
	if d.Notice != nil {
		r.Notice = time.Duration(*d.Notice) * time.Millisecond
	}
	if len(d.Dropped)+len(d.Changed)+len(d.Added) > 0 {
		tasks, err := d.decodeTasks(r.Tasks)
		if err != nil {
			return heartbeat.Report{}, err
		}
		r.Tasks = tasks
	}
	*last = r
	return r, nil
}

// decodeTasks applies the delta to a machine's previous list of tasks, which callers of Decode may
// still use. It returns a new list.
func (d *Delta) decodeTasks(previous []heartbeat.Task) ([]heartbeat.Task, error) {
	tasks := make([]heartbeat.Task, 0, len(previous)+len(d.Added))
	dropped := 0
	for i, t := range previous {
		if dropped < len(d.Dropped) && d.Dropped[dropped] == i {
			dropped++
			continue
		}
		tasks = append(tasks, t)
	}
	if dropped != len(d.Dropped) {
		return nil, errUnlistedDrop
	}
	for _, c := range d.Changed {
		if c.Index < 0 || c.Index >= len(tasks) || !c.Phase.Known() {
			return nil, errUnlistedChange
		}
		tasks[c.Index].Phase, tasks[c.Index].Cause = c.Phase, c.Cause
	}
	for _, a := range d.Added {
		if a.ID.Job == "" || !a.Phase.Known() {
			return nil, errInvalidTask
		}
		tasks = append(tasks, a)
	}
	return slices.Clip(tasks), nil
}
