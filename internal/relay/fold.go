package relay

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"yewpass/internal/heartbeat"
)

// Fold is a relay's end of a link: it turns reports into what has changed.
type Fold struct {
	session, number uint64
	handles         uint64
	machines        map[string]*folded
	left            []uint64
}

// folded is what was last told of a machine.
type folded struct {
	handle uint64
	who    Who
	tasks  []heartbeat.Task
}

// NewFold returns the relay's end of a new session, whose number must not have been
// used before by any relay of that name.
func NewFold(session uint64) *Fold {
	return &Fold{session: session, machines: map[string]*folded{}}
}

// Session returns the number of the session.
func (f *Fold) Session() uint64 { return f.session }

// Item folds a report. It must go out with the next Batch, after those folded before.
// The report's tasks must not be changed afterwards.
func (f *Fold) Item(ref uint64, r *heartbeat.Report) Item {
	it := Item{Ref: ref, Incarnation: r.Incarnation, Counter: r.Counter, FencingToken: r.FencingToken}
	if r.HasNotice {
		ms := r.Notice.Milliseconds()
		it.Notice = &ms
	}
	m := f.machines[r.Host]
	if m == nil {
		f.handles++
		m = &folded{handle: f.handles}
		f.machines[r.Host] = m
	}
	it.Handle = m.handle
	before := m.tasks
	if who := (Who{r.Host, r.Address, r.InstanceType, r.Zone, r.Spot}); who != m.who {
		m.who, before = who, nil
		it.Machine = &Who{}
		*it.Machine = who // which stays off the heap in the many reports that change nothing
	}
	m.tasks = r.Tasks
	at := 0 // so many of the new list are found in the old one, in its order
	for i := range before {
		b := &before[i]
		if at < len(r.Tasks) && r.Tasks[at].Try == b.Try && r.Tasks[at].Task == b.Task {
			if t := &r.Tasks[at]; t.Phase != b.Phase || t.Cause != b.Cause {
				it.Changed = append(it.Changed, Change{at, t.Phase, t.Cause})
			}
			at++
			continue
		}
		it.Dropped = append(it.Dropped, i)
	}
	it.Added = r.Tasks[at:]
	return it
}

// Forget drops what is known of a machine that reports here no more.
func (f *Fold) Forget(host string) {
	if m := f.machines[host]; m != nil {
		f.left = append(f.left, m.handle)
		delete(f.machines, host)
	}
}

// Batch numbers what goes out next.
func (f *Fold) Batch(items []Item, gone []uint64) *Batch {
	f.number++
	b := &Batch{Session: f.session, Number: f.number, Reports: items, Gone: gone, Left: f.left}
	f.left = nil
	return b
}

// Unfold is a leader's end of the links of one relay, one after the other.
type Unfold struct {
	session, number uint64
	former          []uint64                     // sessions that are over, the latest last
	machines        map[uint64]*heartbeat.Report // the last one of each, by handle
}

// ErrBroken says that a batch does not follow the one before it: some were lost, or
// belong to another session.
var ErrBroken = errors.New("batches are missing")

// ErrOver says that a batch is of a session that another has followed: it was held on the
// way, maybe since an earlier process of the relay. It changes nothing.
var ErrOver = errors.New("the session is over")

// formerMost is how many sessions are remembered that are over: as many as a relay may
// begin while one of its lines is held on the way, and some.
const formerMost = 64

// machinesMost bounds what a relay has remembered for it: more workers than any node
// has connections for.
const machinesMost = 1 << 17

// Session returns the number of the session at hand, 0 for none.
func (u *Unfold) Session() uint64 { return u.session }

// Open turns a batch into reports, in its order; begun says that it begins a session.
// After an error, which names what does not fit, nothing of the session can be used:
// the relay has to begin a new one.
func (u *Unfold) Open(b *Batch) (rs []heartbeat.Report, begun bool, err error) {
	if slices.Contains(u.former, b.Session) {
		return nil, false, ErrOver
	}
	if b.Number == 1 && b.Session != 0 && b.Session != u.session {
		former := u.former
		if u.session != 0 {
			former = append(former[max(0, len(former)+1-formerMost):], u.session)
		}
		*u = Unfold{session: b.Session, former: former, machines: map[uint64]*heartbeat.Report{}}
		begun = true
	}
	if b.Session != u.session || b.Session == 0 || b.Number != u.number+1 {
		return nil, begun, ErrBroken
	}
	u.number++
	rs = make([]heartbeat.Report, 0, len(b.Reports))
	for i := range b.Reports {
		r, err := u.item(&b.Reports[i])
		if err != nil {
			u.session = 0
			return nil, begun, err
		}
		rs = append(rs, r)
	}
	for _, h := range b.Left {
		delete(u.machines, h)
	}
	return rs, begun, nil
}

func (u *Unfold) item(it *Item) (heartbeat.Report, error) {
	last := u.machines[it.Handle]
	if w := it.Machine; w != nil {
		if last == nil {
			if len(u.machines) >= machinesMost {
				return heartbeat.Report{}, errors.New("too many machines")
			}
			last = &heartbeat.Report{}
			u.machines[it.Handle] = last
		}
		*last = heartbeat.Report{Host: w.Host, Address: w.Address, InstanceType: w.InstanceType, Zone: w.Zone, Spot: w.Spot}
	}
	if last == nil {
		return heartbeat.Report{}, fmt.Errorf("machine %d is not known", it.Handle)
	}
	r := *last
	r.Incarnation, r.Counter, r.FencingToken = it.Incarnation, it.Counter, it.FencingToken
	r.HasNotice, r.Notice = it.Notice != nil, 0
	if it.Notice != nil {
		r.Notice = time.Duration(*it.Notice) * time.Millisecond
	}
	if len(it.Dropped)+len(it.Changed)+len(it.Added) > 0 {
		// A list of its own: whoever has got the one before may still use it.
		ts := make([]heartbeat.Task, 0, len(r.Tasks)+len(it.Added))
		d := 0
		for i, t := range r.Tasks {
			if d < len(it.Dropped) && it.Dropped[d] == i {
				d++
				continue
			}
			ts = append(ts, t)
		}
		if d != len(it.Dropped) {
			return heartbeat.Report{}, errors.New("a task is dropped that was not listed")
		}
		for _, c := range it.Changed {
			if c.At < 0 || c.At >= len(ts) || !c.Phase.Known() {
				return heartbeat.Report{}, errors.New("a task changes that was not listed")
			}
			ts[c.At].Phase, ts[c.At].Cause = c.Phase, c.Cause
		}
		for _, a := range it.Added {
			if a.Task.Job == "" || !a.Phase.Known() {
				return heartbeat.Report{}, errors.New("a task is none")
			}
			ts = append(ts, a)
		}
		r.Tasks = slices.Clip(ts)
	}
	*last = r
	return r, nil
}
