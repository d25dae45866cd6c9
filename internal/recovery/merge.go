package recovery

import (
	"slices"
	"strings"

	"yewpass/internal/replica"
)

// Schema tells Merge what the records under a key are. Keys of no kind stand for themselves.
type Schema struct {
	Job      func(key string) (id string, ok bool)  // the record of a job that is not over
	Final    func(key string) (id string, ok bool)  // how a job ended
	Progress func(key string) (job string, ok bool) // the progress of a job
	Machines func(key string) bool                  // machines that may hold tasks

	// Join makes one value of the stored and the replicated one, given whether the stored
	// one is the older. differs reports whether the result is not the stored value.
	Join func(stored, replicated any, storedIsOlder bool) (joined any, differs bool)
}

// MergeResult is the outcome of Merge.
type MergeResult struct {
	Records []replica.Record // sorted by key
	Writes  []replica.Record // those that the store lacks or has with another value; Rev is what it has, 0 for none
	Drops   []string         // keys in the store that belong to jobs that are over
}

// Merge makes one set of records of those in the store and those in a replica. Unless
// storedIsOlder says that the store went back in time its values stand and the replica adds
// what is missing; otherwise the replica's values stand.
//
// A job that is over by either is over: jobs never come back. Machines and progress of both
// count, as both state what has been.
func Merge(stored []replica.Record, r *replica.Replica, storedIsOlder bool, schema Schema) MergeResult {
	replicaKeys := r.Keys("")
	over := endedJobs(stored, replicaKeys, schema)
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
		if over.owns(key) {
			continue
		}
		replicated, _ := r.Get(key)
		inStore, found := merged[key]
		switch {
		case !found:
			put(key, replicated.Value, 0)
		case schema.Machines(key): // either list may name machines that the other does not
			if storedIsOlder {
				put(key+"~", replicated.Value, 0)
			}
		default:
			if joined, differs := schema.Join(inStore.Value, replicated.Value, storedIsOlder); differs {
				put(key, joined, inStore.Rev)
			}
		}
	}
	for key, rec := range merged {
		if !over.owns(key) {
			res.Records = append(res.Records, rec)
		} else if rec.Rev != 0 {
			res.Drops = append(res.Drops, key)
		}
	}
	slices.SortFunc(res.Records, func(a, b replica.Record) int { return strings.Compare(a.Key, b.Key) })
	slices.Sort(res.Drops)
	return res
}

// ended is the set of jobs that are over.
type ended struct {
	jobs   map[string]bool
	schema Schema
}

// endedJobs returns the jobs that are over by the store's or the replica's final records.
func endedJobs(stored []replica.Record, replicaKeys []string, schema Schema) ended {
	e := ended{jobs: map[string]bool{}, schema: schema}
	for _, rec := range stored {
		e.add(rec.Key)
	}
	for _, key := range replicaKeys {
		e.add(key)
	}
	return e
}

func (e ended) add(key string) {
	if id, ok := e.schema.Final(key); ok {
		e.jobs[id] = true
	}
}

// owns reports whether a key is the live or a progress record of a job that is over.
func (e ended) owns(key string) bool {
	id, ok := e.schema.Job(key)
	if !ok {
		id, ok = e.schema.Progress(key)
	}
	return ok && e.jobs[id]
}
