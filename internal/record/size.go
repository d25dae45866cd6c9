package record

import "yewpass/internal/spec"

// Upper bounds of stored sizes in bytes. Names are counted at their longest JSON escaping, so
// that no name pushes a record or a transaction over the store's limits.
const (
	jobBaseBytes     = 700
	machineBaseBytes = 90
	maxEscapedBytes  = 6 // of one byte of a name
	separatorBytes   = 4 // quotes and comma around one instance type
)

// JobSize returns an upper bound of the stored size of a job's record in bytes.
func JobSize(s *spec.Job) int {
	n := jobBaseBytes + maxEscapedBytes*(len(s.Class)+len(s.Owner)+len(s.Image)+len(s.Zone))
	for _, name := range s.InstanceTypes {
		n += maxEscapedBytes*len(name) + separatorBytes
	}
	return n
}

// Size returns an upper bound of the machine's share of a stored Machines record in bytes.
func (m *Machine) Size() int {
	return machineBaseBytes + len(m.Host) + maxEscapedBytes*(len(m.Address)+len(m.InstanceType)+len(m.Zone))
}
