package replication

import (
	"yewpass/internal/record"
	"yewpass/internal/replica"
	"yewpass/internal/schedule"
)

// estimateRecordSize returns an upper estimate of the encoded size of a record, in bytes.
func estimateRecordSize(rec replica.Record) int {
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
