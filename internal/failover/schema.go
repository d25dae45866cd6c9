package failover

import (
	"strings"

	"yewpass/internal/bitset"
	"yewpass/internal/liveconfig"
	"yewpass/internal/record"
	"yewpass/internal/recovery"
	"yewpass/internal/schedule"
)

// schema describes the key layout and the merge rules of the records to package recovery.
var schema = recovery.Schema{
	Job:      func(key string) (string, bool) { return strings.CutPrefix(key, record.JobPrefix) },
	Final:    func(key string) (string, bool) { return strings.CutPrefix(key, record.FinalPrefix) },
	Machines: func(key string) bool { return strings.HasPrefix(key, record.MachinePrefix) },
	Progress: func(key string) (string, bool) {
		name, ok := strings.CutPrefix(key, record.ProgressPrefix)
		id, _ := record.SplitProgressKey(name)
		return id, ok
	},
	MergeValues: MergeValues,
}

// MergeValues merges the stored and the replicated value of a record. storedIsOlder says that
// the store went back in time. differs reports whether the result differs from the stored value.
// Progress is the union of both values, and a job is cancelled if either says so.
func MergeValues(stored, replicated any, storedIsOlder bool) (merged any, differs bool) {
	switch rep := replicated.(type) {
	case *record.Progress:
		st, _ := stored.(*record.Progress)
		return mergeProgress(st, rep)
	case *record.Job:
		st, _ := stored.(*record.Job)
		if st == nil {
			return rep, true
		}
		return rep, rep.Cancelled && !st.Cancelled
	case *schedule.Record:
		st, _ := stored.(*schedule.Record)
		return rep, storedIsOlder && (st == nil || st.Seq < rep.Seq)
	case *record.ScheduleNumber:
		st, _ := stored.(*record.ScheduleNumber)
		return rep, storedIsOlder && (st == nil || st.Number < rep.Number)
	case *liveconfig.HeadRecord:
		st, _ := stored.(*liveconfig.HeadRecord)
		return rep, st == nil || storedIsOlder && st.Revision < rep.Revision
	case *liveconfig.TeamRecord:
		st, _ := stored.(*liveconfig.TeamRecord)
		return rep, st == nil || storedIsOlder && st.Revision < rep.Revision
	}
	return replicated, storedIsOlder
}

// mergeProgress returns the union of two progress records of one chunk.
func mergeProgress(stored, replicated *record.Progress) (merged any, differs bool) {
	union, replicatedSet := bitset.New(bitset.ChunkSize), bitset.New(bitset.ChunkSize)
	if stored == nil || !union.DecodeChunk(0, bitset.ChunkSize, stored.Ranges) {
		return replicated, true
	}
	if !replicatedSet.DecodeChunk(0, bitset.ChunkSize, replicated.Ranges) {
		return stored, false
	}
	// Compare the members, because the same set has more than one encoding.
	for i := range union {
		differs = differs || replicatedSet[i]&^union[i] != 0
		union[i] |= replicatedSet[i]
	}
	if !differs {
		return stored, false
	}
	return &record.Progress{Ranges: union.EncodeChunk(0)}, true
}
