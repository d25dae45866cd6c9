package record

import "yewpass/internal/spec"

// Estimates of stored sizes, with room to spare. What workers and users say may be
// anything, and JSON can take six bytes for one: one long name must not spoil the record
// of many, or a transaction.
const (
	jobBytes          = 700
	machineBytes      = 90
	maxBytesPerByte   = 6
	instanceTypeBytes = 4 // of quotes and commas
)

// JobSize bounds the bytes of a job's record.
func JobSize(s *spec.Job) int {
	n := jobBytes + maxBytesPerByte*(len(s.Class)+len(s.Owner)+len(s.Image)+len(s.Zone))
	for _, name := range s.InstanceTypes {
		n += maxBytesPerByte*len(name) + instanceTypeBytes
	}
	return n
}

// Size bounds the bytes of a machine in a record.
func (m *Machine) Size() int {
	return machineBytes + len(m.Host) + maxBytesPerByte*(len(m.Address)+len(m.InstanceType)+len(m.Zone))
}
