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

// minWriteInterval is the minimum time between two writes of a machine record.
const minWriteInterval = 250 * time.Millisecond

// Leader is the leader that owns the machine records.
type Leader interface {
	// Write queues a change to be written to the key-value store.
	Write(change *writebatch.Change)
	// ReadBack reads a record after a conflict and calls f with the result.
	ReadBack(key string, f func(e kv.Entry, found bool))
	// ReplicateDelete deletes a record from the replicas.
	ReplicateDelete(key string)
	// RequestDispatch schedules a check for tasks that can start on the machine.
	RequestDispatch(m *fleet.Machine)
	// MarkAccounted records that the machine has no unknown task of an earlier term.
	MarkAccounted(host string)
}

// Records writes the stored records of the machines on which tasks may run.
type Records struct {
	engine    *engine.Engine
	scope     *engine.Scope
	inventory *Inventory
	leader    Leader
	maxSize   int // bytes of a value in the key-value store
	fillLimit int // bytes up to which machines are added to a record
	term      uint64

	records    []*fleet.Record
	created    uint64            // in this term
	unreadable map[string]uint64 // revisions of records that cannot be decoded, by key
}

// NewRecords returns the records of the inventory for one term; no writes are started after scope
// is closed.
func NewRecords(e *engine.Engine, scope *engine.Scope, st config.State, inv *Inventory, leader Leader, term uint64) *Records {
	return &Records{
		engine: e, scope: scope, inventory: inv, leader: leader, term: term,
		maxSize: int(st.ValueKB * 1024), fillLimit: int(st.ValueKB * 1024 * 3 / 4), unreadable: map[string]uint64{},
	}
}

// Add adds the machine to a record and schedules its write. Tasks may start on the machine once the
// write is committed.
func (r *Records) Add(m *fleet.Machine) {
	i := slices.IndexFunc(r.records, func(rec *fleet.Record) bool { return rec.Size+fleet.RecordSize(m) <= r.fillLimit })
	if i < 0 {
		r.created++
		r.records = append(r.records, &fleet.Record{Key: fmt.Sprintf("%s%d-%d", record.MachinePrefix, r.term, r.created)})
		i = len(r.records) - 1
	}
	rec := r.records[i]
	m.Record = fleet.Recording
	r.assign(rec, m)
	r.write(rec, writebatch.Urgent)
}

func (r *Records) assign(rec *fleet.Record, m *fleet.Machine) {
	m.RecordedIn = rec
	rec.Machines = append(rec.Machines, m)
	rec.Size += fleet.RecordSize(m)
}

// Remove removes a terminated machine from its record and schedules the write.
func (r *Records) Remove(m *fleet.Machine) {
	rec := m.RecordedIn
	if rec == nil {
		return
	}
	m.Record, m.RecordedIn = fleet.Unrecorded, nil
	rec.Machines = slices.DeleteFunc(rec.Machines, func(x *fleet.Machine) bool { return x == m })
	rec.Size -= fleet.RecordSize(m)
	r.write(rec, writebatch.Bulk)
}

// Restore rewrites the records with the given keys, which the store has lost. No task starts on
// their machines until the write is committed.
func (r *Records) Restore(lost map[string]bool) {
	for _, rec := range r.records {
		if lost[rec.Key] && len(rec.Machines) > 0 {
			for _, m := range rec.Machines {
				m.Record = fleet.Recording
			}
			r.write(rec, writebatch.Urgent)
		}
	}
}

// write schedules a write of a record. Its value is determined when it is sent.
func (r *Records) write(rec *fleet.Record, priority writebatch.Priority) {
	if rec.WriteQueued && priority >= rec.Priority {
		return
	}
	rec.WriteQueued, rec.Priority = true, priority
	r.scope.After(max(0, rec.WrittenAt.Add(minWriteInterval).Sub(r.engine.Now)), func() {
		w := &recordWrite{
			records: r, record: rec,
			change: &writebatch.Change{Priority: priority, Writes: []kv.Write{{Key: rec.Key}}, Size: r.maxSize},
		}
		w.change.Prepare, w.change.OnConflict, w.change.OnCommit = w.prepare, w.onConflict, w.onCommit
		r.leader.Write(w.change)
	})
}

// recordWrite is a write of a machine record, conditional on the record's revision.
//
// The first attempt of a retried transaction may be applied after newer writes. The condition
// prevents it from restoring an older list: a new leader would assume that no tasks run on machines
// that the list lacks.
type recordWrite struct {
	records *Records
	record  *fleet.Record
	change  *writebatch.Change
	added   []*fleet.Machine // recorded once this is committed
	sent    bool
}

// prepare sets the value, and returns false if the write is no longer needed.
func (w *recordWrite) prepare() bool {
	rec := w.record
	if !rec.WriteQueued && !w.sent {
		return false // already included in a write of higher priority
	}
	// A write sent before may not have been applied, so it is sent again.
	rec.WriteQueued, rec.WrittenAt, w.sent = false, w.records.engine.Now, true
	w.change.Conditions = []kv.Condition{{Key: rec.Key, Rev: rec.Revision}}
	w.added = nil
	w.change.Size = rec.Size
	value := &record.Machines{}
	for _, m := range rec.Machines {
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

// deletes reports whether the write deletes the record.
func (w *recordWrite) deletes() bool { return w.change.Writes[0].Value == nil }

// onConflict runs after an earlier attempt of the write has been applied. It reads the current
// revision and schedules another write.
func (w *recordWrite) onConflict() {
	rec, dropped := w.record, w.deletes()
	w.records.leader.ReadBack(rec.Key, func(e kv.Entry, found bool) {
		if dropped && !found {
			w.records.leader.ReplicateDelete(rec.Key)
		}
		rec.Revision = e.Rev // 0 if the record does not exist
		w.records.write(rec, w.change.Priority)
	})
}

// onCommit updates the revision and allows tasks on the recorded machines.
func (w *recordWrite) onCommit(rev uint64) {
	rec := w.record
	if rec.Revision = rev; w.deletes() {
		rec.Revision = 0
	}
	for _, m := range w.added {
		if m.Record == fleet.Recording && m.RecordedIn == rec {
			m.Record = fleet.Recorded
			w.records.leader.RequestDispatch(m)
		}
	}
}

// Load adds a record of an earlier term and its machines, which are then unaccounted.
func (r *Records) Load(key string, stored *record.Machines, rev uint64) {
	rec := &fleet.Record{Key: key, Revision: rev}
	for _, x := range stored.Machines {
		m := r.inventory.Ensure(x.Host, x.InstanceType, x.Zone, x.Spot)
		if m.RecordedIn != nil {
			continue
		}
		r.inventory.unaccounted[x.Host] = true
		m.Record, m.Address = fleet.Recorded, x.Address
		r.assign(rec, m)
	}
	r.records = append(r.records, rec)
}

// LoadUnreadable adds a record of an earlier term that cannot be decoded. It counts as unaccounted
// until all leases of earlier terms have expired: by then each of its machines has sent a heartbeat
// or lost its lease.
func (r *Records) LoadUnreadable(key string, rev uint64) {
	r.inventory.unaccounted[key] = true
	r.unreadable[key] = rev
}

// DropExpired deletes the unreadable records once all leases that earlier leaders may have renewed
// have expired. Otherwise the records would also delay the next failover.
func (r *Records) DropExpired(leasesExpired time.Time) {
	if len(r.unreadable) == 0 || !r.engine.Now.After(leasesExpired) {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(r.unreadable)) {
		r.engine.Log(slog.LevelWarn, "deleting unreadable machine record: all leases of earlier terms have expired", "key", key)
		r.leader.Write(&writebatch.Change{Priority: writebatch.Bulk, Conditions: []kv.Condition{{Key: key, Rev: r.unreadable[key]}}, Writes: []kv.Write{{Key: key}}})
		r.leader.MarkAccounted(key)
	}
	clear(r.unreadable)
}
