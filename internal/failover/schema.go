package failover

import (
	"strings"

	"yewpass/internal/bitset"
	"yewpass/internal/liveconfig"
	"yewpass/internal/record"
	"yewpass/internal/recovery"
	"yewpass/internal/schedule"
)

// schema tells package recovery what our records are.
var schema = recovery.Schema{
	Job:      func(key string) (string, bool) { return strings.CutPrefix(key, record.JobPrefix) },
	Final:    func(key string) (string, bool) { return strings.CutPrefix(key, record.FinalPrefix) },
	Machines: func(key string) bool { return strings.HasPrefix(key, record.MachinePrefix) },
	Progress: func(key string) (string, bool) {
		name, ok := strings.CutPrefix(key, record.ProgressPrefix)
		id, _ := record.SplitProgressKey(name)
		return id, ok
	},
	Join: Join,
}

// Join makes one value of a stored and a replicated record, given whether the stored one is the
// older. differs reports whether the result is not the stored value. Progress counts by
// whichever knows of it, and so does a cancellation.
func Join(stored, replicated any, storedIsOlder bool) (joined any, differs bool) {
	switch rep := replicated.(type) {
	case *record.Progress:
		st, _ := stored.(*record.Progress)
		return joinProgress(st, rep)
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

// joinProgress returns the union of the progress of one chunk.
func joinProgress(stored, replicated *record.Progress) (joined any, differs bool) {
	all, more := bitset.New(bitset.ChunkSize), bitset.New(bitset.ChunkSize)
	if stored == nil || !all.DecodeChunk(0, bitset.ChunkSize, stored.Ranges) {
		return replicated, true
	}
	if !more.DecodeChunk(0, bitset.ChunkSize, replicated.Ranges) {
		return stored, false
	}
	// The members count, not the encoding: the same ones may be written in more than one way.
	for i := range all {
		differs = differs || more[i]&^all[i] != 0
		all[i] |= more[i]
	}
	if !differs {
		return stored, false
	}
	return &record.Progress{Ranges: all.EncodeChunk(0)}, true
}
