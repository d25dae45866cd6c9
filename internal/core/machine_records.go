package core

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"
	"yewpass/internal/kv"
	"yewpass/internal/record"
)

// machineRecord is a record that names machines which may hold tasks. Only once it is
// committed do tasks start on a machine, so a successor that reads the records
// knows where to look. Machines come up by the dozen on a large fleet and leave
// the same way; together they cost a write or two.
type machineRecord struct {
	key         string
	revision    uint64 // of the record
	machines    []*machine
	size        int           // bytes, estimated
	writeQueued bool          // a change of it waits
	priority    writePriority // how pressing
	writtenAt   time.Time
}

// machineRecordInterval is how often a record of machines is written at the most.
const machineRecordInterval = 250 * time.Millisecond

// recorded is how a record names the machine.
func (m *machine) recorded() record.Machine {
	return record.Machine{Host: m.host, Address: m.address, InstanceType: m.typeName, Zone: m.zone, Spot: m.spot}
}

func recordedSize(m *machine) int {
	r := m.recorded()
	return r.Size()
}

// recordNewMachine has it written that the machine may hold tasks.
func (c *Core) recordNewMachine(m *machine) {
	l := c.leadership
	limit := int(c.cfg.Settings.State.ValueKB * 1024 * 3 / 4)
	i := slices.IndexFunc(l.records, func(g *machineRecord) bool { return g.size+recordedSize(m) <= limit })
	if i < 0 {
		l.recordCount++
		l.records = append(l.records, &machineRecord{key: fmt.Sprintf("%s%d-%d", record.MachinePrefix, l.term, l.recordCount)})
		i = len(l.records) - 1
	}
	g := l.records[i]
	m.record, m.recordedIn = recording, g
	g.machines = append(g.machines, m)
	g.size += recordedSize(m)
	c.writeMachineRecord(g, priorityUrgent)
}

// removeFromRecord takes a machine that is gone out of its record.
func (c *Core) removeFromRecord(m *machine) {
	g := m.recordedIn
	if g == nil {
		return
	}
	m.record, m.recordedIn = unrecorded, nil
	g.machines = slices.DeleteFunc(g.machines, func(x *machine) bool { return x == m })
	g.size -= recordedSize(m)
	c.writeMachineRecord(g, priorityBulk)
}

// writeMachineRecord writes a record of machines. What changes until then goes along.
//
// The record's own revision is a condition. A transaction whose answer was lost
// is sent again and may be applied late all the same, under this very leader and
// after newer ones: it must not bring back a list that lacks machines, which a
// successor would take for empty.
func (c *Core) writeMachineRecord(g *machineRecord, ln writePriority) {
	if g.writeQueued && ln >= g.priority {
		return
	}
	g.writeQueued, g.priority = true, ln
	c.afterWhileLeading(max(0, g.writtenAt.Add(machineRecordInterval).Sub(c.Now)), func() {
		var news []*machine
		sent := false
		ch := &change{priority: ln, writes: []kv.Write{{Key: g.key}}, size: int(c.cfg.Settings.State.ValueKB * 1024)}
		ch.prepare = func() bool {
			if !g.writeQueued && !sent {
				return false // went along with a more pressing one
			}
			// What has been sent may not have been executed: it goes again.
			g.writeQueued, g.writtenAt, sent = false, c.Now, true
			ch.conditions = []kv.Condition{{Key: g.key, Rev: g.revision}}
			news = nil
			ch.size = g.size
			rec := &record.Machines{}
			for _, m := range g.machines {
				rec.Machines = append(rec.Machines, m.recorded())
				if m.record == recording {
					news = append(news, m)
				}
			}
			ch.writes[0].Value = nil
			if len(rec.Machines) > 0 {
				ch.writes[0].Value = rec
			}
			return true
		}
		ch.onConflict = func() { // an earlier try of ours has been applied
			dropped := ch.writes[0].Value == nil
			c.readBack(g.key, func(e kv.Entry, found bool) {
				if dropped && !found {
					c.replicateDrop(g.key)
				}
				g.revision = e.Rev // 0 if there is none
				c.writeMachineRecord(g, ln)
			})
		}
		ch.onCommit = func(rev uint64) {
			if g.revision = rev; ch.writes[0].Value == nil {
				g.revision = 0
			}
			for _, m := range news {
				if m.record == recording && m.recordedIn == g {
					m.record = recorded
					c.requestDispatch(m)
				}
			}
		}
		c.leadership.writes.add(ch)
	})
}

// loadMachineRecord takes in a record of an earlier term.
func (c *Core) loadMachineRecord(key string, rec *record.Machines, rev uint64) {
	l := c.leadership
	g := &machineRecord{key: key, revision: rev}
	for _, r := range rec.Machines {
		m := c.ensureMachine(r.Host, r.InstanceType, r.Zone, r.Spot)
		if m.recordedIn != nil {
			continue
		}
		l.unaccounted[r.Host] = true
		m.record, m.recordedIn, m.address = recorded, g, r.Address
		g.machines = append(g.machines, m)
		g.size += recordedSize(m)
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
		c.Log(slog.LevelWarn, "unreadable record of machines is accounted for, dropping it", "key", key)
		l.writes.add(&change{priority: priorityBulk, conditions: []kv.Condition{{Key: key, Rev: l.unreadableMachineRecords[key]}}, writes: []kv.Write{{Key: key}}})
		c.markAccounted(key)
	}
	clear(l.unreadableMachineRecords)
}
