package core

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"
)

// group is a record that names machines which may hold tasks. Only once it is
// committed do tasks start on a machine, so a successor that reads the records
// knows where to look. Machines come up by the dozen on a large fleet and leave
// the same way; together they cost a write or two.
type group struct {
	key      string
	rev      uint64 // of the record
	machines []*machine
	size     int           // bytes, estimated
	queued   bool          // a change of it waits
	priority writePriority // how pressing
	flushed  time.Time
}

// groupEvery is how often a record of machines is written at the most.
const groupEvery = 250 * time.Millisecond

// size bounds the bytes of a machine in a record: what a worker says of
// itself may be anything, and one bad name must not spoil the record of many.
func (m *RecordedMachine) size() int {
	return 90 + len(m.Host) + 6*(len(m.Address)+len(m.InstanceType)+len(m.Zone))
}

// recorded is how a record names the machine.
func (m *machine) recorded() RecordedMachine {
	return RecordedMachine{m.host, m.address, m.typeName, m.zone, m.spot}
}

func recordedSize(m *machine) int {
	r := m.recorded()
	return r.size()
}

// recordMachine has it written that the machine may hold tasks.
func (c *Core) recordMachine(m *machine) {
	l := c.leadership
	limit := int(c.cfg.Settings.State.ValueKB * 1024 * 3 / 4)
	i := slices.IndexFunc(l.groups, func(g *group) bool { return g.size+recordedSize(m) <= limit })
	if i < 0 {
		l.grouped++
		l.groups = append(l.groups, &group{key: fmt.Sprintf("%s%d-%d", machineKeys, l.term, l.grouped)})
		i = len(l.groups) - 1
	}
	g := l.groups[i]
	m.record, m.group = recording, g
	g.machines = append(g.machines, m)
	g.size += recordedSize(m)
	c.writeGroup(g, priorityUrgent)
}

// unrecord takes a machine that is gone out of its record.
func (c *Core) unrecord(m *machine) {
	g := m.group
	if g == nil {
		return
	}
	m.record, m.group = unrecorded, nil
	g.machines = slices.DeleteFunc(g.machines, func(x *machine) bool { return x == m })
	g.size -= recordedSize(m)
	c.writeGroup(g, priorityBulk)
}

// writeGroup writes a record of machines. What changes until then goes along.
//
// The record's own revision is a condition. A transaction whose answer was lost
// is sent again and may be applied late all the same, under this very leader and
// after newer ones: it must not bring back a list that lacks machines, which a
// successor would take for empty.
func (c *Core) writeGroup(g *group, ln writePriority) {
	if g.queued && ln >= g.priority {
		return
	}
	g.queued, g.priority = true, ln
	c.afterWhileLeading(max(0, g.flushed.Add(groupEvery).Sub(c.now)), func() {
		var news []*machine
		sent := false
		ch := &change{priority: ln, writes: []Write{{Key: g.key}}, size: int(c.cfg.Settings.State.ValueKB * 1024)}
		ch.prepare = func() bool {
			if !g.queued && !sent {
				return false // went along with a more pressing one
			}
			// What has been sent may not have been executed: it goes again.
			g.queued, g.flushed, sent = false, c.now, true
			ch.conditions = []Condition{{g.key, g.rev}}
			news = nil
			ch.size = g.size
			rec := &MachineRecord{}
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
			c.readBack(g.key, func(e Entry, found bool) {
				if dropped && !found {
					c.replicateDrop(g.key)
				}
				g.rev = e.Rev // 0 if there is none
				c.writeGroup(g, ln)
			})
		}
		ch.onCommit = func(rev uint64) {
			if g.rev = rev; ch.writes[0].Value == nil {
				g.rev = 0
			}
			for _, m := range news {
				if m.record == recording && m.group == g {
					m.record = recorded
					c.poke(m)
				}
			}
		}
		c.leadership.writes.add(ch)
	})
}

// loadGroup takes in a record of an earlier term.
func (c *Core) loadGroup(key string, rec *MachineRecord, rev uint64) {
	l := c.leadership
	g := &group{key: key, rev: rev}
	for _, r := range rec.Machines {
		m := c.machine(r.Host, r.InstanceType, r.Zone, r.Spot)
		if m.group != nil {
			continue
		}
		l.unaccounted[r.Host] = true
		m.record, m.group, m.address = recorded, g, r.Address
		g.machines = append(g.machines, m)
		g.size += recordedSize(m)
	}
	l.groups = append(l.groups, g)
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
	if len(l.unreadableMachineRecords) == 0 || !c.now.After(c.earlierLease()) {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(l.unreadableMachineRecords)) {
		c.note(slog.LevelWarn, "unreadable record of machines is accounted for, dropping it", "key", key)
		l.writes.add(&change{priority: priorityBulk, conditions: []Condition{{key, l.unreadableMachineRecords[key]}}, writes: []Write{{Key: key}}})
		c.markAccounted(key)
	}
	clear(l.unreadableMachineRecords)
}
