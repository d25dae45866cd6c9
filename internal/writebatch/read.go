package writebatch

import (
	"log/slog"
	"slices"

	"yewpass/internal/kv"
	"yewpass/internal/rpc"
)

// readTracker tracks the reads in flight by key, to detect responses that are older than a commit of
// this leader.
type readTracker struct {
	readsInFlight map[string][]*read
}

// read is a read in flight of one key.
type read struct {
	outdated bool // a write of the key has been committed since the read was sent
}

func (t *readTracker) addRead(key string) *read {
	r := &read{}
	t.readsInFlight[key] = append(t.readsInFlight[key], r)
	return r
}

func (t *readTracker) removeRead(key string, r *read) {
	rest := slices.DeleteFunc(t.readsInFlight[key], func(other *read) bool { return other == r })
	if len(rest) == 0 {
		delete(t.readsInFlight, key)
		return
	}
	t.readsInFlight[key] = rest
}

// MarkWritten records that a write of key is known to be committed. The batcher does so for the
// transactions that it sends; callers do so for a commit that they learn of in another way. Reads
// of the key in flight are then sent again.
func (t *readTracker) MarkWritten(key string) {
	for _, r := range t.readsInFlight[key] {
		r.outdated = true
	}
}

func (t *readTracker) markBatchWritten(batch []*Change) {
	if len(t.readsInFlight) == 0 {
		return
	}
	for _, change := range batch {
		for _, w := range change.Writes {
			t.MarkWritten(w.Key)
		}
	}
}

// Read reads the entry of key and passes the response to f. The response is never older than a
// commit that this leader knows of when f is called: the store may have executed a read that is
// answered late before such a commit, so Read then sends it again.
func (b *Batcher) Read(key string, f func(kv.Response)) {
	r := b.addRead(key)
	b.scope.CallStore(kv.Request{Op: kv.Get, Key: key}, func(response kv.Response) {
		b.removeRead(key, r)
		answered := response.Outcome == rpc.OK || response.Outcome == rpc.NotFound
		if answered && r.outdated {
			b.engine.Log(slog.LevelDebug, "read is older than a commit, reading again", "key", key)
			b.Read(key, f)
			return
		}
		f(response)
	})
}
