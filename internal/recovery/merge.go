package recovery

import (
	"slices"
	"strings"

	"yewpass/internal/replica"
)

// Schema tells Merge the kind of the record under a key. Other records are merged independently.
type Schema struct {
	Job      func(key string) (id string, ok bool)  // live record of a job
	Final    func(key string) (id string, ok bool)  // final record of a finished job
	Progress func(key string) (job string, ok bool) // progress record of a job
	Machines func(key string) bool                  // list of machines that may run tasks

	// MergeValues merges two values of a record. storedIsOlder says that the store went back in
	// time. differs reports whether the result differs from the stored value.
	MergeValues func(stored, replicated any, storedIsOlder bool) (merged any, differs bool)
}

// MergeResult is the outcome of Merge.
type MergeResult struct {
	Records []replica.Record // sorted by key
	Writes  []replica.Record // records to write to the store; Rev is the revision in the store, 0 if absent
	Deletes []string         // keys in the store that belong to finished jobs
}

// Merge merges the records in the store with those of a replica. The replica's values take
// precedence if storedIsOlder is set; otherwise the stored values do, and the replica only adds
// missing records.
//
// A job is finished if either side has its final record, so that finished jobs never run again.
// Machines and progress of both sides are kept.
func Merge(stored []replica.Record, r *replica.Replica, storedIsOlder bool, schema Schema) MergeResult {
	replicaKeys := r.Keys("")
	finished := endedJobs(stored, replicaKeys, schema)
	merged := make(map[string]replica.Record, len(stored))
	for _, rec := range stored {
		merged[rec.Key] = rec
	}
	var res MergeResult
	put := func(key string, value any, storedRev uint64) {
		merged[key] = replica.Record{Key: key, Value: value, Rev: storedRev}
		res.Writes = append(res.Writes, merged[key])
	}
	for _, key := range replicaKeys {
		if finished.ownsKey(key) {
			continue
		}
		replicated, _ := r.Get(key)
		inStore, found := merged[key]
		switch {
		case !found:
			put(key, replicated.Value, 0)
		case schema.Machines(key): // keep both lists: either may name machines that the other lacks
			if storedIsOlder {
				put(key+"~", replicated.Value, 0)
			}
		default:
			if value, differs := schema.MergeValues(inStore.Value, replicated.Value, storedIsOlder); differs {
				put(key, value, inStore.Rev)
			}
		}
	}
	for key, rec := range merged {
		if !finished.ownsKey(key) {
			res.Records = append(res.Records, rec)
		} else if rec.Rev != 0 {
			res.Deletes = append(res.Deletes, key)
		}
	}
	slices.SortFunc(res.Records, func(a, b replica.Record) int { return strings.Compare(a.Key, b.Key) })
	slices.Sort(res.Deletes)
	return res
}

type endedJobSet struct {
	jobs   map[string]bool
	schema Schema
}

// endedJobs returns the jobs with a final record in the store or in the replica.
func endedJobs(stored []replica.Record, replicaKeys []string, schema Schema) endedJobSet {
	e := endedJobSet{jobs: map[string]bool{}, schema: schema}
	for _, rec := range stored {
		e.add(rec.Key)
	}
	for _, key := range replicaKeys {
		e.add(key)
	}
	return e
}

func (e endedJobSet) add(key string) {
	if id, ok := e.schema.Final(key); ok {
		e.jobs[id] = true
	}
}

// ownsKey reports whether key is a live or a progress record of a finished job.
func (e endedJobSet) ownsKey(key string) bool {
	id, ok := e.schema.Job(key)
	if !ok {
		id, ok = e.schema.Progress(key)
	}
	return ok && e.jobs[id]
}
