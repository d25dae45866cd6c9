package inventory

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/writebatch"
)

// writeInterval is how often a record of machines is written at the most.
const writeInterval = 250 * time.Millisecond

// Leader is what the records of machines need of the leader that they belong to.
type Leader interface {
	// Write has a change written to the key-value store.
	Write(change *writebatch.Change)
	// ReadBack reads the record whose write met a condition that does not hold.
	ReadBack(key string, f func(e kv.Entry, found bool))
	// ReplicateDrop has the replicas drop a record.
	ReplicateDrop(key string)
	// RequestDispatch has the machine looked at soon for work that may start there.
	RequestDispatch(m *fleet.Machine)
	// MarkAccounted notes that nothing of an earlier term is on the machine unknown.
	MarkAccounted(host string)
}

// Records is the records that name the machines which may hold tasks.
type Records struct {
	engine    *engine.Engine
	scope     *engine.Scope
	inventory *Inventory
	leader    Leader
	maxSize   int // of a value in the key-value store
	fillLimit int // up to which machines are added to a record
	term      uint64

	records    []*fleet.Record
	begun      uint64            // records begun in this term
	unreadable map[string]uint64 // revisions of records that cannot be read, by key
}

// NewRecords returns the records of the inventory in the given term.
func NewRecords(e *engine.Engine, scope *engine.Scope, st config.State, inv *Inventory, leader Leader, term uint64) *Records {
	return &Records{
		engine: e, scope: scope, inventory: inv, leader: leader, term: term,
		maxSize: int(st.ValueKB * 1024), fillLimit: int(st.ValueKB * 1024 * 3 / 4), unreadable: map[string]uint64{},
	}
}

// Add has it recorded that the machine may hold tasks.
func (r *Records) Add(m *fleet.Machine) {
	i := slices.IndexFunc(r.records, func(g *fleet.Record) bool { return g.Size+fleet.RecordSize(m) <= r.fillLimit })
	if i < 0 {
		r.begun++
		r.records = append(r.records, &fleet.Record{Key: fmt.Sprintf("%s%d-%d", record.MachinePrefix, r.term, r.begun)})
		i = len(r.records) - 1
	}
	g := r.records[i]
	m.Record = fleet.Recording
	r.name(g, m)
	r.write(g, writebatch.Urgent)
}

// name adds a machine to those that a record names.
func (r *Records) name(g *fleet.Record, m *fleet.Machine) {
	m.RecordedIn = g
	g.Machines = append(g.Machines, m)
	g.Size += fleet.RecordSize(m)
}

// Remove takes a machine that is gone out of its record.
func (r *Records) Remove(m *fleet.Machine) {
	g := m.RecordedIn
	if g == nil {
		return
	}
	m.Record, m.RecordedIn = fleet.Unrecorded, nil
	g.Machines = slices.DeleteFunc(g.Machines, func(x *fleet.Machine) bool { return x == m })
	g.Size -= fleet.RecordSize(m)
	r.write(g, writebatch.Bulk)
}

// Restore writes those of the records with the given keys again that name machines. Nothing
// starts on the machines until they are on record.
func (r *Records) Restore(lost map[string]bool) {
	for _, g := range r.records {
		if lost[g.Key] && len(g.Machines) > 0 {
			for _, m := range g.Machines {
				m.Record = fleet.Recording
			}
			r.write(g, writebatch.Urgent)
		}
	}
}

// write writes a record. What changes until then goes along.
func (r *Records) write(g *fleet.Record, priority writebatch.Priority) {
	if g.WriteQueued && priority >= g.Priority {
		return
	}
	g.WriteQueued, g.Priority = true, priority
	r.scope.After(max(0, g.WrittenAt.Add(writeInterval).Sub(r.engine.Now)), func() {
		w := &recordWrite{
			records: r, record: g,
			change: &writebatch.Change{Priority: priority, Writes: []kv.Write{{Key: g.Key}}, Size: r.maxSize},
		}
		w.change.Prepare, w.change.OnConflict, w.change.OnCommit = w.prepare, w.conflict, w.commit
		r.leader.Write(w.change)
	})
}

// recordWrite is a write of a record of machines.
//
// The record's own revision is a condition. A transaction whose response was lost is sent
// again and may be applied late all the same, under this very leader and after newer ones: it
// must not bring back a list that lacks machines, which a successor would take for empty.
type recordWrite struct {
	records *Records
	record  *fleet.Record
	change  *writebatch.Change
	added   []*fleet.Machine // those that are on record with this write
	sent    bool
}

// prepare sets what is written. It reports whether there is anything left to write.
func (w *recordWrite) prepare() bool {
	g := w.record
	if !g.WriteQueued && !w.sent {
		return false // went along with one of a higher priority
	}
	// What has been sent may not have been executed: it goes again.
	g.WriteQueued, g.WrittenAt, w.sent = false, w.records.engine.Now, true
	w.change.Conditions = []kv.Condition{{Key: g.Key, Rev: g.Revision}}
	w.added = nil
	w.change.Size = g.Size
	value := &record.Machines{}
	for _, m := range g.Machines {
		value.Machines = append(value.Machines, m.ToRecord())
		if m.Record == fleet.Recording {
			w.added = append(w.added, m)
		}
	}
	w.change.Writes[0].Value = nil
	if len(value.Machines) > 0 {
		w.change.Writes[0].Value = value
	}
	return true
}

// drops reports whether the write removes the record.
func (w *recordWrite) drops() bool { return w.change.Writes[0].Value == nil }

// conflict follows when an earlier try of ours has been applied.
func (w *recordWrite) conflict() {
	g, dropped := w.record, w.drops()
	w.records.leader.ReadBack(g.Key, func(e kv.Entry, found bool) {
		if dropped && !found {
			w.records.leader.ReplicateDrop(g.Key)
		}
		g.Revision = e.Rev // 0 if there is none
		w.records.write(g, w.change.Priority)
	})
}

// commit follows when the record has been written.
func (w *recordWrite) commit(rev uint64) {
	g := w.record
	if g.Revision = rev; w.drops() {
		g.Revision = 0
	}
	for _, m := range w.added {
		if m.Record == fleet.Recording && m.RecordedIn == g {
			m.Record = fleet.Recorded
			w.records.leader.RequestDispatch(m)
		}
	}
}

// Load takes in a record of an earlier term.
func (r *Records) Load(key string, rec *record.Machines, rev uint64) {
	g := &fleet.Record{Key: key, Revision: rev}
	for _, x := range rec.Machines {
		m := r.inventory.Ensure(x.Host, x.InstanceType, x.Zone, x.Spot)
		if m.RecordedIn != nil {
			continue
		}
		r.inventory.unaccounted[x.Host] = true
		m.Record, m.Address = fleet.Recorded, x.Address
		r.name(g, m)
	}
	r.records = append(r.records, g)
}

// LoadUnreadable takes in a record of an earlier term that cannot be read. Which machines it
// names is not known, so nothing but time shows that they are accounted for: what reports is
// known by that, and what does not has lost its lease by then.
func (r *Records) LoadUnreadable(key string, rev uint64) {
	r.inventory.unaccounted[key] = true
	r.unreadable[key] = rev
}

// DropExpired gives up on the machines of unreadable records once every lease is over that an
// earlier leader can have renewed. Such a record then says nothing more, and would hold up the
// next failover as well.
func (r *Records) DropExpired(leasesOver time.Time) {
	if len(r.unreadable) == 0 || !r.engine.Now.After(leasesOver) {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(r.unreadable)) {
		r.engine.Log(slog.LevelWarn, "dropping unreadable machine record, all its leases have expired", "key", key)
		r.leader.Write(&writebatch.Change{Priority: writebatch.Bulk, Conditions: []kv.Condition{{Key: key, Rev: r.unreadable[key]}}, Writes: []kv.Write{{Key: key}}})
		r.leader.MarkAccounted(key)
	}
	clear(r.unreadable)
}
