package record

import "yewpass/internal/spec"

// Estimates of stored sizes, with room to spare. What workers and users say may be
// anything, and JSON can take six bytes for one: one long name must not spoil the record
// of many, or a transaction.
const (
	jobBaseBytes     = 700
	machineBaseBytes = 90
	maxEscapedBytes  = 6
	separatorBytes   = 4 // of quotes and commas
)

// JobSize bounds the bytes of a job's record.
func JobSize(s *spec.Job) int {
	n := jobBaseBytes + maxEscapedBytes*(len(s.Class)+len(s.Owner)+len(s.Image)+len(s.Zone))
	for _, name := range s.InstanceTypes {
		n += maxEscapedBytes*len(name) + separatorBytes
	}
	return n
}

// Size bounds the bytes of a machine in a record.
func (m *Machine) Size() int {
	return machineBaseBytes + len(m.Host) + maxEscapedBytes*(len(m.Address)+len(m.InstanceType)+len(m.Zone))
}
