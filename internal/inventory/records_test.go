package inventory

import (
	"testing"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/writebatch"
)

// fakeLeader keeps what the records ask of their leader.
type fakeLeader struct {
	changes    []*writebatch.Change
	readBacks  []func(kv.Entry, bool)
	dropped    []string
	dispatched []*fleet.Machine
	accounted  []string
}

func (l *fakeLeader) Write(change *writebatch.Change) { l.changes = append(l.changes, change) }
func (l *fakeLeader) ReadBack(_ string, f func(kv.Entry, bool)) {
	l.readBacks = append(l.readBacks, f)
}
func (l *fakeLeader) ReplicateDrop(key string)         { l.dropped = append(l.dropped, key) }
func (l *fakeLeader) RequestDispatch(m *fleet.Machine) { l.dispatched = append(l.dispatched, m) }
func (l *fakeLeader) MarkAccounted(host string)        { l.accounted = append(l.accounted, host) }

func newRecords(t *testing.T) (*Records, *Inventory, *fakeLeader, *engine.Engine) {
	t.Helper()
	v, e, _ := newInventory(t)
	l := &fakeLeader{}
	return NewRecords(e, e.NewScope(), config.State{ValueKB: 16}, v, l, 7), v, l, e
}

// sent lets the time of the next write come and returns the hosts that it names.
func (l *fakeLeader) sent(t *testing.T, e *engine.Engine, n int) (*writebatch.Change, []string) {
	t.Helper()
	e.Now = e.Now.Add(minWriteInterval)
	e.RunTimers()
	if len(l.changes) != n {
		t.Fatalf("%d writes, not %d", len(l.changes), n)
	}
	change := l.changes[n-1]
	if !change.Prepare() {
		return change, nil
	}
	var hosts []string
	if value, _ := change.Writes[0].Value.(*record.Machines); value != nil {
		for _, m := range value.Machines {
			hosts = append(hosts, m.Host)
		}
	}
	return change, hosts
}

// TestRecordMachines: machines that come together are written together, may take tasks once
// that is committed, and a record that names none any more is dropped.
func TestRecordMachines(t *testing.T) {
	r, v, l, e := newRecords(t)
	a, b := v.Ensure("h1", "f0", "a", true), v.Ensure("h2", "f0", "a", true)
	r.Add(a)
	r.Add(b)
	change, hosts := l.sent(t, e, 1)
	if len(hosts) != 2 || change.Writes[0].Key != record.MachinePrefix+"7-1" || change.Priority != writebatch.Urgent || change.Conditions[0].Rev != 0 {
		t.Fatalf("%v in %+v", hosts, change)
	}
	if a.Record != fleet.Recording {
		t.Error("counts as recorded before the commit")
	}
	change.OnCommit(5)
	if a.Record != fleet.Recorded || b.Record != fleet.Recorded || len(l.dispatched) != 2 {
		t.Errorf("recorded: %v and %v, %d looked at for work", a.Record, b.Record, len(l.dispatched))
	}
	r.Remove(a)
	r.Remove(b)
	r.Remove(b) // it is in no record any more
	change, hosts = l.sent(t, e, 2)
	if len(hosts) != 0 || change.Writes[0].Value != nil || change.Priority != writebatch.Bulk || change.Conditions[0].Rev != 5 {
		t.Errorf("%v in %+v", hosts, change)
	}
}

// TestRecordWriteConflict: an earlier try that was applied after all is read back, and what is
// known now is written on top of it.
func TestRecordWriteConflict(t *testing.T) {
	r, v, l, e := newRecords(t)
	r.Add(v.Ensure("h1", "f0", "a", true))
	change, _ := l.sent(t, e, 1)
	change.OnConflict()
	l.readBacks[0](kv.Entry{Rev: 9}, true)
	change, hosts := l.sent(t, e, 2)
	if len(hosts) != 1 || change.Conditions[0].Rev != 9 {
		t.Errorf("%v on revision %d", hosts, change.Conditions[0].Rev)
	}
	if len(l.dropped) != 0 {
		t.Error("dropped from the replicas")
	}
}

// TestRecordWritesMerge: a write that has become needless because one of a higher priority went
// first is not sent.
func TestRecordWritesMerge(t *testing.T) {
	r, v, l, e := newRecords(t)
	a, b := v.Ensure("h1", "f0", "a", true), v.Ensure("h2", "f0", "a", true)
	r.Add(a)
	change, _ := l.sent(t, e, 1)
	change.OnCommit(1)
	r.Remove(a)
	r.Add(b)
	if _, hosts := l.sent(t, e, 3); len(hosts) != 1 || hosts[0] != "h2" {
		t.Errorf("the urgent write names %v", hosts)
	}
	if l.changes[1].Prepare() {
		t.Error("the needless write is sent")
	}
}

// TestLoadRecords: machines on record in an earlier term are not accounted for, and those of a
// record that cannot be read until all leases are over.
func TestLoadRecords(t *testing.T) {
	r, v, l, e := newRecords(t)
	r.Load(record.MachinePrefix+"6-1", &record.Machines{Machines: []record.Machine{{Host: "h1", Address: "h1:1", InstanceType: "f0", Zone: "a"}}}, 3)
	r.LoadUnreadable(record.MachinePrefix+"6-2", 4)
	m := v.Find("h1")
	if m == nil || m.Record != fleet.Recorded || m.Address != "h1:1" || !v.Unaccounted("h1") || v.UnaccountedCount() != 2 {
		t.Fatalf("%+v, %d not accounted for", m, v.UnaccountedCount())
	}
	over := t0.Add(time.Minute)
	e.Now = over
	if r.DropExpired(over); len(l.changes) != 0 {
		t.Error("dropped before the leases are surely over")
	}
	e.Now = over.Add(1)
	r.DropExpired(over)
	r.DropExpired(over)
	if len(l.changes) != 1 || l.changes[0].Writes[0].Key != record.MachinePrefix+"6-2" || l.changes[0].Conditions[0].Rev != 4 || len(l.accounted) != 1 {
		t.Errorf("%d writes, %v accounted for", len(l.changes), l.accounted)
	}
	r.Restore(map[string]bool{record.MachinePrefix + "6-1": true})
	if change, hosts := l.sent(t, e, 2); len(hosts) != 1 || m.Record != fleet.Recording || change.Conditions[0].Rev != 3 {
		t.Errorf("written back: %v, on revision %d", hosts, change.Conditions[0].Rev)
	}
}
