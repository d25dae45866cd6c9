package fleet

import (
	"time"

	"yewpass/internal/writebatch"
)

// Record is a record that names machines which may hold tasks. Only once it is
// committed do tasks start on a machine, so a successor that reads the records
// knows where to look. Machines come up by the dozen on a large fleet and leave
// the same way; together they cost a write or two.
type Record struct {
	Key         string
	Revision    uint64 // of the record
	Machines    []*Machine
	Size        int                 // bytes, estimated
	WriteQueued bool                // a change of it waits
	Priority    writebatch.Priority // how pressing
	WrittenAt   time.Time
}

// RecordSize returns about how many bytes of a record the machine takes.
func RecordSize(m *Machine) int {
	r := m.ToRecord()
	return r.Size()
}
