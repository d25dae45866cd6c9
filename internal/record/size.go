package record

import "yewpass/internal/spec"

// JobSize estimates the bytes of a job's record, with room to spare.
func JobSize(s *spec.Job) int {
	n := 700 + 6*(len(s.Class)+len(s.Owner)+len(s.Image)+len(s.Zone))
	for _, f := range s.InstanceTypes {
		n += 6*len(f) + 4
	}
	return n
}
