package writebatch

import (
	"slices"

	"yewpass/internal/kv"
)

// maxTxnBytes keeps a transaction below the protocol's 64 KiB.
const maxTxnBytes = 48 << 10

// queue holds the changes that wait, and knows what is on its way.
type queue struct {
	queued       [priorities][]*Change
	inFlight     [priorities]int
	keysInFlight map[string]bool // keys of transactions on their way
	sendSingly       int             // so many changes go one by one, to find a malformed one
}

// takeBatch removes the next batch of a priority, of at most ops writes.
func (q *queue) takeBatch(p Priority, ops int) []*Change {
	var batch []*Change
	n, conds, size := 0, 1, 0
	keys := map[string]bool{}
	list := q.queued[p]
	rest := list[:0:0]
	for i, ch := range list {
		clash := slices.ContainsFunc(ch.Writes, func(w kv.Write) bool { return q.keysInFlight[w.Key] || keys[w.Key] })
		full := q.sendSingly > 0 || n+len(ch.Writes) > ops || conds+len(ch.Conditions) > 4*ops || size+ch.Size > maxTxnBytes
		if full && len(batch) > 0 {
			rest = append(rest, list[i:]...)
			break
		}
		for _, w := range ch.Writes {
			keys[w.Key] = true // also when it must wait: what comes later waits behind it
		}
		if clash {
			rest = append(rest, ch)
			continue
		}
		if ch.Prepare != nil && !ch.Prepare() {
			continue
		}
		batch = append(batch, ch)
		n, conds, size = n+len(ch.Writes), conds+len(ch.Conditions), size+ch.Size
	}
	q.queued[p] = rest
	q.sendSingly = max(0, q.sendSingly-len(batch))
	return batch
}

// requeue queues changes again, in front of the others.
func (q *queue) requeue(changes []*Change) {
	for _, ch := range slices.Backward(changes) {
		q.queued[ch.Priority] = slices.Insert(q.queued[ch.Priority], 0, ch)
	}
}

// markInFlight notes that a transaction of a priority is on its way.
func (q *queue) markInFlight(p Priority, writes []kv.Write) {
	for _, w := range writes {
		q.keysInFlight[w.Key] = true
	}
	q.inFlight[p]++
}

// clearInFlight notes that a transaction has been answered.
func (q *queue) clearInFlight(p Priority, writes []kv.Write) {
	q.inFlight[p]--
	for _, w := range writes {
		delete(q.keysInFlight, w.Key)
	}
}
