package writebatch

import (
	"slices"

	"yewpass/internal/kv"
)

// maxTxnBytes limits the estimated size of a transaction. The protocol allows 64 KiB.
const maxTxnBytes = 48 << 10

// queue holds the queued changes and tracks the transactions in flight.
type queue struct {
	queued       [priorities][]*Change
	inFlight     [priorities]int
	keysInFlight map[string]bool // keys written by transactions in flight
	sendSingly   int             // number of changes to send one by one, to find a malformed one
}

// dequeueBatch removes and returns the next batch of a priority with at most ops writes, or a
// single larger change. To keep changes to a key in order, it skips a change if one of its keys is
// in flight or written by an earlier change.
func (q *queue) dequeueBatch(p Priority, ops int) []*Change {
	var batch []*Change
	n, conds, size := 0, 1, 0
	keys := map[string]bool{}
	list := q.queued[p]
	remaining := list[:0:0]
	for i, ch := range list {
		overlaps := slices.ContainsFunc(ch.Writes, func(w kv.Write) bool { return q.keysInFlight[w.Key] || keys[w.Key] })
		full := q.sendSingly > 0 || n+len(ch.Writes) > ops || conds+len(ch.Conditions) > 4*ops || size+ch.Size > maxTxnBytes
		if full && len(batch) > 0 {
			remaining = append(remaining, list[i:]...)
			break
		}
		for _, w := range ch.Writes {
			keys[w.Key] = true // also if ch is left in the queue, so that later changes wait for it
		}
		if overlaps {
			remaining = append(remaining, ch)
			continue
		}
		if ch.Prepare != nil && !ch.Prepare() {
			continue
		}
		batch = append(batch, ch)
		n, conds, size = n+len(ch.Writes), conds+len(ch.Conditions), size+ch.Size
	}
	q.queued[p] = remaining
	q.sendSingly = max(0, q.sendSingly-len(batch))
	return batch
}

// requeue prepends changes to the queue.
func (q *queue) requeue(changes []*Change) {
	for _, ch := range slices.Backward(changes) {
		q.queued[ch.Priority] = slices.Insert(q.queued[ch.Priority], 0, ch)
	}
}

func (q *queue) markInFlight(p Priority, writes []kv.Write) {
	for _, w := range writes {
		q.keysInFlight[w.Key] = true
	}
	q.inFlight[p]++
}

func (q *queue) clearInFlight(p Priority, writes []kv.Write) {
	q.inFlight[p]--
	for _, w := range writes {
		delete(q.keysInFlight, w.Key)
	}
}
