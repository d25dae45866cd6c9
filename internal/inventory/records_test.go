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

// fakeLeader records the calls of Leader methods.
type fakeLeader struct {
	changes      []*writebatch.Change
	readBacks    []func(kv.Entry, bool)
	replicaDrops []string
	dispatched   []*fleet.Machine
	accounted    []string
}

func (l *fakeLeader) Write(change *writebatch.Change) { l.changes = append(l.changes, change) }
func (l *fakeLeader) ReadBack(_ string, f func(kv.Entry, bool)) {
	l.readBacks = append(l.readBacks, f)
}
func (l *fakeLeader) ReplicateDelete(key string)       { l.replicaDrops = append(l.replicaDrops, key) }
func (l *fakeLeader) RequestDispatch(m *fleet.Machine) { l.dispatched = append(l.dispatched, m) }
func (l *fakeLeader) MarkAccounted(host string)        { l.accounted = append(l.accounted, host) }

func newRecords(t *testing.T) (*Records, *Inventory, *fakeLeader, *engine.Engine) {
	t.Helper()
	v, e, _ := newInventory(t)
	l := &fakeLeader{}
	return NewRecords(e, e.NewScope(), config.State{ValueKB: 16}, v, l, 7), v, l, e
}

// sent advances the clock to the nth write and returns the change and the hosts in its record.
func (l *fakeLeader) sent(t *testing.T, e *engine.Engine, n int) (*writebatch.Change, []string) {
	t.Helper()
	e.Now = e.Now.Add(minWriteInterval)
	e.RunTimers()
	if len(l.changes) != n {
		t.Fatalf("got %d writes, want %d", len(l.changes), n)
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

// TestRecordMachines checks that machines added together share a write and may run tasks once it is
// committed, and that a record is deleted with its last machine.
func TestRecordMachines(t *testing.T) {
	r, v, l, e := newRecords(t)
	a, b := v.Ensure("h1", "f0", "a", true), v.Ensure("h2", "f0", "a", true)
	r.Add(a)
	r.Add(b)
	change, hosts := l.sent(t, e, 1)
	if len(hosts) != 2 || change.Writes[0].Key != record.MachinePrefix+"7-1" || change.Priority != writebatch.Urgent || change.Conditions[0].Rev != 0 {
		t.Fatalf("write of hosts %v: %+v", hosts, change)
	}
	if a.Record != fleet.Recording {
		t.Error("machine is recorded before the commit")
	}
	change.OnCommit(5)
	if a.Record != fleet.Recorded || b.Record != fleet.Recorded || len(l.dispatched) != 2 {
		t.Errorf("record states %v and %v, dispatch requested for %d machines, want 2", a.Record, b.Record, len(l.dispatched))
	}
	r.Remove(a)
	r.Remove(b)
	r.Remove(b) // no effect the second time
	change, hosts = l.sent(t, e, 2)
	if len(hosts) != 0 || change.Writes[0].Value != nil || change.Priority != writebatch.Bulk || change.Conditions[0].Rev != 5 {
		t.Errorf("write of hosts %v, want a deletion: %+v", hosts, change)
	}
}

// TestRecordWriteConflict checks that after a conflict the record is read back and written again on
// the revision that was read.
func TestRecordWriteConflict(t *testing.T) {
	r, v, l, e := newRecords(t)
	r.Add(v.Ensure("h1", "f0", "a", true))
	change, _ := l.sent(t, e, 1)
	change.OnConflict()
	l.readBacks[0](kv.Entry{Rev: 9}, true)
	change, hosts := l.sent(t, e, 2)
	if len(hosts) != 1 || change.Conditions[0].Rev != 9 {
		t.Errorf("write of hosts %v on revision %d, want one host on revision 9", hosts, change.Conditions[0].Rev)
	}
	if len(l.replicaDrops) != 0 {
		t.Error("existing record was deleted from the replicas")
	}
}

// TestRecordWritesMerge checks that a queued write is not sent if one of a higher priority has
// included its changes.
func TestRecordWritesMerge(t *testing.T) {
	r, v, l, e := newRecords(t)
	a, b := v.Ensure("h1", "f0", "a", true), v.Ensure("h2", "f0", "a", true)
	r.Add(a)
	change, _ := l.sent(t, e, 1)
	change.OnCommit(1)
	r.Remove(a)
	r.Add(b)
	if _, hosts := l.sent(t, e, 3); len(hosts) != 1 || hosts[0] != "h2" {
		t.Errorf("urgent write has hosts %v, want h2", hosts)
	}
	if l.changes[1].Prepare() {
		t.Error("redundant write was sent")
	}
}

// TestLoadRecords checks that machines recorded in an earlier term are unaccounted, and that an
// unreadable record is deleted only after all leases have expired.
func TestLoadRecords(t *testing.T) {
	r, v, l, e := newRecords(t)
	r.Load(record.MachinePrefix+"6-1", &record.Machines{Machines: []record.Machine{{Host: "h1", Address: "h1:1", InstanceType: "f0", Zone: "a"}}}, 3)
	r.LoadUnreadable(record.MachinePrefix+"6-2", 4)
	m := v.Find("h1")
	if m == nil || m.Record != fleet.Recorded || m.Address != "h1:1" || !v.IsUnaccounted("h1") || v.UnaccountedCount() != 2 {
		t.Fatalf("machine %+v, %d unaccounted, want 2", m, v.UnaccountedCount())
	}
	expiry := t0.Add(time.Minute)
	e.Now = expiry
	if r.DropExpired(expiry); len(l.changes) != 0 {
		t.Error("unreadable record deleted before all leases have expired")
	}
	e.Now = expiry.Add(1)
	r.DropExpired(expiry)
	r.DropExpired(expiry)
	if len(l.changes) != 1 || l.changes[0].Writes[0].Key != record.MachinePrefix+"6-2" || l.changes[0].Conditions[0].Rev != 4 || len(l.accounted) != 1 {
		t.Errorf("%d writes, accounted %v, want one of each", len(l.changes), l.accounted)
	}
	r.Restore(map[string]bool{record.MachinePrefix + "6-1": true})
	if change, hosts := l.sent(t, e, 2); len(hosts) != 1 || m.Record != fleet.Recording || change.Conditions[0].Rev != 3 {
		t.Errorf("restored hosts %v on revision %d, want h1 on revision 3", hosts, change.Conditions[0].Rev)
	}
}
