package replication

import (
	"yewpass/internal/record"
	"yewpass/internal/replica"
	"yewpass/internal/schedule"
)

// recordSize returns an upper estimate of the bytes of a record in a line.
func recordSize(rec replica.Record) int {
	size := 100 + len(rec.Key)
	switch v := rec.Value.(type) {
	case *record.Job:
		size += record.JobSize(&v.Spec)
	case *record.Machines:
		for i := range v.Machines {
			size += v.Machines[i].Size()
		}
	case *record.Progress:
		size += len(v.Ranges)
	case *schedule.Record:
		size += v.Size()
	}
	return size
}
