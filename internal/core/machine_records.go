package core

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"
	"yewpass/internal/fleet"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/writebatch"
)

// machineRecordInterval is how often a record of machines is written at the most.
const machineRecordInterval = 250 * time.Millisecond

// recordNewMachine has it written that the machine may hold tasks.
func (c *Core) recordNewMachine(m *fleet.Machine) {
	l := c.leadership
	limit := int(c.cfg.Settings.State.ValueKB * 1024 * 3 / 4)
	i := slices.IndexFunc(l.records, func(g *fleet.Record) bool { return g.Size+fleet.RecordedSize(m) <= limit })
	if i < 0 {
		l.recordCount++
		l.records = append(l.records, &fleet.Record{Key: fmt.Sprintf("%s%d-%d", record.MachinePrefix, l.term, l.recordCount)})
		i = len(l.records) - 1
	}
	g := l.records[i]
	m.Record, m.RecordedIn = fleet.Recording, g
	g.Machines = append(g.Machines, m)
	g.Size += fleet.RecordedSize(m)
	c.writeMachineRecord(g, writebatch.Urgent)
}

// removeFromRecord takes a machine that is gone out of its record.
func (c *Core) removeFromRecord(m *fleet.Machine) {
	g := m.RecordedIn
	if g == nil {
		return
	}
	m.Record, m.RecordedIn = fleet.Unrecorded, nil
	g.Machines = slices.DeleteFunc(g.Machines, func(x *fleet.Machine) bool { return x == m })
	g.Size -= fleet.RecordedSize(m)
	c.writeMachineRecord(g, writebatch.Bulk)
}

// writeMachineRecord writes a record of machines. What changes until then goes along.
//
// The record's own revision is a condition. A transaction whose answer was lost
// is sent again and may be applied late all the same, under this very leader and
// after newer ones: it must not bring back a list that lacks machines, which a
// successor would take for empty.
func (c *Core) writeMachineRecord(g *fleet.Record, ln writebatch.Priority) {
	if g.WriteQueued && ln >= g.Priority {
		return
	}
	g.WriteQueued, g.Priority = true, ln
	c.afterWhileLeading(max(0, g.WrittenAt.Add(machineRecordInterval).Sub(c.Now)), func() {
		var news []*fleet.Machine
		sent := false
		ch := &writebatch.Change{Priority: ln, Writes: []kv.Write{{Key: g.Key}}, Size: int(c.cfg.Settings.State.ValueKB * 1024)}
		ch.Prepare = func() bool {
			if !g.WriteQueued && !sent {
				return false // went along with a more pressing one
			}
			// What has been sent may not have been executed: it goes again.
			g.WriteQueued, g.WrittenAt, sent = false, c.Now, true
			ch.Conditions = []kv.Condition{{Key: g.Key, Rev: g.Revision}}
			news = nil
			ch.Size = g.Size
			rec := &record.Machines{}
			for _, m := range g.Machines {
				rec.Machines = append(rec.Machines, m.Recorded())
				if m.Record == fleet.Recording {
					news = append(news, m)
				}
			}
			ch.Writes[0].Value = nil
			if len(rec.Machines) > 0 {
				ch.Writes[0].Value = rec
			}
			return true
		}
		ch.OnConflict = func() { // an earlier try of ours has been applied
			dropped := ch.Writes[0].Value == nil
			c.readBack(g.Key, func(e kv.Entry, found bool) {
				if dropped && !found {
					c.replicateDrop(g.Key)
				}
				g.Revision = e.Rev // 0 if there is none
				c.writeMachineRecord(g, ln)
			})
		}
		ch.OnCommit = func(rev uint64) {
			if g.Revision = rev; ch.Writes[0].Value == nil {
				g.Revision = 0
			}
			for _, m := range news {
				if m.Record == fleet.Recording && m.RecordedIn == g {
					m.Record = fleet.Recorded
					c.requestDispatch(m)
				}
			}
		}
		c.leadership.writes.Add(ch)
	})
}

// loadMachineRecord takes in a record of an earlier term.
func (c *Core) loadMachineRecord(key string, rec *record.Machines, rev uint64) {
	l := c.leadership
	g := &fleet.Record{Key: key, Revision: rev}
	for _, r := range rec.Machines {
		m := c.ensureMachine(r.Host, r.InstanceType, r.Zone, r.Spot)
		if m.RecordedIn != nil {
			continue
		}
		l.unaccounted[r.Host] = true
		m.Record, m.RecordedIn, m.Address = fleet.Recorded, g, r.Address
		g.Machines = append(g.Machines, m)
		g.Size += fleet.RecordedSize(m)
	}
	l.records = append(l.records, g)
}

// loadUnreadableMachines takes in a record of machines that cannot be read. Which they are is
// not known, so nothing shows that one of them is accounted for, but time: what
// reports to us is known by that, and what does not has lost its lease by then.
func (c *Core) loadUnreadableMachines(key string, rev uint64) {
	c.leadership.unaccounted[key] = true
	c.leadership.unreadableMachineRecords[key] = rev
}

// dropExpiredMachineRecords gives up on the machines of unreadable records once every lease
// that an earlier leader can have renewed is over. Such a record then says nothing
// more, and would hold up the next take-over as well.
func (c *Core) dropExpiredMachineRecords() {
	l := c.leadership
	if len(l.unreadableMachineRecords) == 0 || !c.Now.After(c.earlierLeaseExpiry()) {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(l.unreadableMachineRecords)) {
		c.Log(slog.LevelWarn, "dropping unreadable machine record, all its leases have expired", "key", key)
		l.writes.Add(&writebatch.Change{Priority: writebatch.Bulk, Conditions: []kv.Condition{{Key: key, Rev: l.unreadableMachineRecords[key]}}, Writes: []kv.Write{{Key: key}}})
		c.markAccounted(key)
	}
	clear(l.unreadableMachineRecords)
}
