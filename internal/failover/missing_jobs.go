package failover

import (
	"strings"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/rpc"
)

const (
	// maxFinalReads is the most final records that are read one by one; more are listed by key
	// range.
	maxFinalReads        = 50
	finalRecordsPageSize = 1000 // final records per page
)

// resolveMissingJobs adds to the replica the final records of jobs that the store lacks, and then
// merges. A job without a final record was lost.
func (r *Recovery) resolveMissingJobs() {
	finals := r.missingFinalKeys()
	switch {
	case len(finals) == 0:
		r.merge()
	case len(finals) > maxFinalReads:
		r.listFinalRecords(finals[0], finals[len(finals)-1])
	default:
		remaining := len(finals)
		for _, key := range finals {
			r.readFinalRecord(key, func() {
				if remaining--; remaining == 0 {
					r.merge()
				}
			})
		}
	}
}

// missingFinalKeys returns the sorted keys of the missing jobs' final records.
func (r *Recovery) missingFinalKeys() (finals []string) {
	stored := map[string]bool{}
	for _, rec := range r.stored {
		stored[rec.Key] = true
	}
	for _, key := range r.replica.Keys(record.JobPrefix) {
		final := record.FinalPrefix + strings.TrimPrefix(key, record.JobPrefix)
		if _, known := r.replica.Get(final); !stored[key] && !known {
			finals = append(finals, final)
		}
	}
	return finals
}

// readFinalRecord reads a final record into the replica and then calls done. It retries until the
// store responds.
func (r *Recovery) readFinalRecord(key string, done func()) {
	r.scope.CallStore(kv.Request{Op: kv.Get, Key: key}, func(got kv.Response) {
		switch got.Outcome {
		case rpc.OK:
			r.replica.Put(key, got.Entries[0].Value, got.Entries[0].Rev)
		case rpc.NotFound:
		default:
			r.scope.After(r.engine.Jitter(retryDelay), func() { r.readFinalRecord(key, done) })
			return
		}
		done()
	})
}

// listFinalRecords lists the final records from key from to key to, adds those of the replica's
// jobs to the replica, and then merges.
func (r *Recovery) listFinalRecords(from, to string) {
	r.scope.CallStore(kv.Request{Op: kv.List, Key: record.FinalPrefix, From: from[:len(from)-1], Limit: finalRecordsPageSize}, func(page kv.Response) {
		if page.Outcome != rpc.OK {
			r.scope.After(r.engine.Jitter(retryDelay), func() { r.listFinalRecords(from, to) })
			return
		}
		for _, e := range page.Entries {
			id := strings.TrimPrefix(e.Key, record.FinalPrefix)
			if _, live := r.replica.Get(record.JobPrefix + id); live && e.Value != nil {
				r.replica.Put(e.Key, e.Value, e.Rev)
			}
		}
		if n := len(page.Entries); page.More && n > 0 && page.Entries[n-1].Key < to {
			r.listFinalRecords(page.Entries[n-1].Key+"0", to)
			return
		}
		r.merge()
	})
}
