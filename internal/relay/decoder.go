package relay

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"yewpass/internal/heartbeat"
)

// Decoder is the leader's end of the sessions of one relay, one session after the
// other. The zero value is ready to use.
type Decoder struct {
	session, number uint64
	former          []uint64                     // sessions that are over, the latest last
	machines        map[uint64]*heartbeat.Report // the last one of each, by handle
}

// ErrSequenceGap says that a batch does not follow the one before it: batches were
// lost, or it belongs to another session.
var ErrSequenceGap = errors.New("batches are missing")

// ErrStaleSession says that a batch belongs to a session that another one has followed:
// it was delayed on the way, maybe since an earlier process of the relay. It changes
// nothing.
var ErrStaleSession = errors.New("the session is over")

// The errors of batches that no controller sends.
var (
	errTooManyMachines = errors.New("too many machines")
	errUnlistedDrop    = errors.New("a task is dropped that was not listed")
	errUnlistedChange  = errors.New("a task changes that was not listed")
	errInvalidTask     = errors.New("a task is none")
)

// maxFormerSessions is how many sessions that are over are remembered: more than a
// relay may open while one of its messages is delayed on the way.
const maxFormerSessions = 64

// maxMachines bounds the machines remembered for a relay: more workers than any
// controller has connections for.
const maxMachines = 1 << 17

// Session returns the number of the current session, 0 for none.
func (dec *Decoder) Session() uint64 { return dec.session }

// Decode restores the reports of a batch, in order; begun says that the batch opens a
// session. After an error other than ErrStaleSession nothing of the session can be
// used: the relay has to open a new one.
func (dec *Decoder) Decode(b *Batch) (reports []heartbeat.Report, begun bool, err error) {
	if slices.Contains(dec.former, b.Session) {
		return nil, false, ErrStaleSession
	}
	if b.Number == 1 && b.Session != 0 && b.Session != dec.session {
		dec.begin(b.Session)
		begun = true
	}
	if b.Session != dec.session || b.Session == 0 || b.Number != dec.number+1 {
		return nil, begun, ErrSequenceGap
	}
	dec.number++
	reports = make([]heartbeat.Report, 0, len(b.Reports))
	for i := range b.Reports {
		r, err := dec.decode(&b.Reports[i])
		if err != nil {
			dec.session = 0
			return nil, begun, err
		}
		reports = append(reports, r)
	}
	for _, h := range b.Released {
		delete(dec.machines, h)
	}
	return reports, begun, nil
}

// begin opens a session.
func (dec *Decoder) begin(session uint64) {
	former := dec.former
	if dec.session != 0 {
		former = append(former[max(0, len(former)+1-maxFormerSessions):], dec.session)
	}
	*dec = Decoder{session: session, former: former, machines: map[uint64]*heartbeat.Report{}}
}

// decode restores one report and keeps it as the machine's last one.
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
		return heartbeat.Report{}, fmt.Errorf("machine %d is not known", d.Handle)
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

// decodeTasks applies the delta to a machine's previous list of tasks. It returns a new
// list: whoever was given the previous one may still use it.
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
		if c.At < 0 || c.At >= len(tasks) || !c.Phase.Known() {
			return nil, errUnlistedChange
		}
		tasks[c.At].Phase, tasks[c.At].Cause = c.Phase, c.Cause
	}
	for _, a := range d.Added {
		if a.ID.Job == "" || !a.Phase.Known() {
			return nil, errInvalidTask
		}
		tasks = append(tasks, a)
	}
	return slices.Clip(tasks), nil
}
