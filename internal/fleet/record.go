package fleet

import (
	"time"

	"yewpass/internal/writebatch"
)

// Record is a stored record that lists machines which may run tasks. Tasks start on a machine only
// after its record is committed, so the next leader finds every such machine. Many machines share a
// record to save writes when a fleet grows or shrinks.
type Record struct {
	Key         string
	Revision    uint64 // store revision
	Machines    []*Machine
	Size        int                 // estimated size in bytes
	WriteQueued bool                // a change is queued for writing
	Priority    writebatch.Priority // priority of the queued write
	WrittenAt   time.Time
}

// RecordSize returns the approximate number of bytes that the machine takes in a record.
func RecordSize(m *Machine) int {
	r := m.ToRecord()
	return r.Size()
}
