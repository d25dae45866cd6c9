package fleet

import (
	"time"

	"yewpass/internal/writebatch"
)

// Record is a stored record that lists machines which may run tasks. Tasks start on a machine only
// after its record is committed, so the next leader finds every such machine. Machines share
// records to save writes.
type Record struct {
	Key         string
	Revision    uint64 // store revision
	Machines    []*Machine
	Size        int  // estimated size in bytes
	WriteQueued bool // a change is queued for writing
	Priority    writebatch.Priority
	WrittenAt   time.Time
}

// RecordSize returns the approximate number of bytes that the machine adds to a record.
func RecordSize(m *Machine) int {
	r := m.ToRecord()
	return r.Size()
}
