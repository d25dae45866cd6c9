package scenario

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"
)

// store simulates the key-value store, including the JSON of its protocol.
type store struct {
	*clock
	keys          map[string]*storedKey
	rev           uint64
	leases        map[uint64]*storedLease
	lastLease     uint64
	watchers      []*watcher
	log           []keyChange // recent changes, in order of revision
	historyLength uint64      // how many revisions back a watch may start

	storeFaults
	storeAllowance
	storeCounters
}

type storeFaults struct {
	downUntil           time.Time                   // end of the current outage
	unavailableUntil    map[string]time.Time        // by node: it gets 503 until then
	droppedTxnResponses map[string]droppedResponses // by node
	delayedTxns         faultShare                  // share of transactions whose responses are dropped
	slowUntil           time.Time                   // until then requests are handled after slowDelay
	slowDelay           time.Duration
	unansweredChanges   map[string]unansweredChange // by key: the latest one
}

// storeAllowance holds the limits of the store and the token buckets of its rate limits.
type storeAllowance struct {
	rps, writeRPS              float64
	valueKB                    float64
	txnOps                     int
	requestTokens, writeTokens float64
	refilled                   time.Time
}

type storeCounters struct {
	occurrences      map[string]int // shared with the world's counters
	misuse           string         // description of a request beyond the protocol's limits
	requests, writes int
	writesByKind     map[string]int // written keys, by keyKind
	refused          int
}

// droppedResponses drops the responses to a node's transactions until a time. The transactions are
// applied after the delay late.
type droppedResponses struct {
	until time.Time
	late  time.Duration
}

// faultShare selects a random share of messages for a fault until a time.
type faultShare struct {
	until         time.Time
	share         float64
	atOnce        bool // for transactions: apply without delay
	forNextLeader bool // for reports: deliver the copy when the next leader starts
}

// sample draws whether the fault applies to a message.
func (l *faultShare) sample(c *clock) bool {
	return c.now.Before(l.until) && c.rng.Float64() < l.share
}

// unansweredChange is an applied change whose writer got no answer.
type unansweredChange struct {
	writer string
	at     time.Time
}

// unansweredFor is how long a writer does not know its change: the timeout of the core's calls.
const unansweredFor = 1500 * time.Millisecond

// countUnansweredRead counts reads of a key that another node has changed without knowing it yet.
func (s *store) countUnansweredRead(node, key string) {
	if u, ok := s.unansweredChanges[key]; ok && u.writer != node && s.now.Sub(u.at) < unansweredFor {
		s.occurrences["read-unanswered"]++
	}
}

type storedKey struct {
	value json.RawMessage
	rev   uint64
	lease uint64
}

type storedLease struct {
	expiresAt time.Time
	ttl       time.Duration
}

type watcher struct {
	prefix string
	from   uint64
	answer func(int, []byte)
}

type keyChange struct {
	key string
	rev uint64
}

type object = map[string]any

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// outage makes the store answer every request with 503 for d. Its end renews all leases.
func (s *store) outage(d time.Duration) {
	s.downUntil = s.now.Add(d)
	s.after(d, func() {
		for _, g := range s.leases {
			g.expiresAt = s.now.Add(g.ttl)
		}
		for _, id := range slices.Sorted(maps.Keys(s.leases)) {
			s.expireLease(id)
		}
		s.notify()
	})
}

func (s *store) expireLease(id uint64) {
	g := s.leases[id]
	s.at(g.expiresAt, func() {
		if s.leases[id] == g && !s.now.Before(g.expiresAt) && !s.now.Before(s.downUntil) {
			s.revokeLease(id)
		}
	})
}

func (s *store) revokeLease(id uint64) {
	delete(s.leases, id)
	for _, k := range s.sortedKeys("") {
		if s.keys[k].lease == id {
			s.rev++
			delete(s.keys, k)
			s.recordChange(k)
		}
	}
	s.notify()
}

func (s *store) sortedKeys(prefix string) []string {
	var ks []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			ks = append(ks, k)
		}
	}
	sort.Strings(ks)
	return ks
}

// recordChange appends a change to the log and trims the log to the watch history.
func (s *store) recordChange(key string) {
	s.log = append(s.log, keyChange{key, s.rev})
	if n := len(s.log) - 2*int(s.historyLength); n > 0 {
		s.log = append(s.log[:0], s.log[n+int(s.historyLength):]...)
	}
}

// changed reports whether a key with the prefix changed after a revision.
func (s *store) changed(prefix string, from uint64) bool {
	for i := len(s.log) - 1; i >= 0 && s.log[i].rev > from; i-- {
		if strings.HasPrefix(s.log[i].key, prefix) {
			return true
		}
	}
	return false
}

// notify answers the watchers whose prefix has changed.
func (s *store) notify() {
	if s.now.Before(s.downUntil) {
		return
	}
	fs := s.watchers
	s.watchers = nil
	for _, f := range fs {
		if s.changed(f.prefix, f.from) {
			f.answer(200, encode(object{"storeRev": s.rev, "log": []any{}}))
		} else {
			s.watchers = append(s.watchers, f)
		}
	}
}

func (s *store) allow(writes int) bool {
	dt := s.now.Sub(s.refilled).Seconds()
	s.refilled = s.now
	s.requestTokens = min(s.rps, s.requestTokens+dt*s.rps)
	s.writeTokens = min(s.writeRPS, s.writeTokens+dt*s.writeRPS)
	if s.requestTokens < 1 || s.writeTokens < float64(writes) {
		return false
	}
	s.requestTokens--
	s.writeTokens -= float64(writes)
	return true
}

type txn struct {
	When []struct {
		K      string
		KeyRev uint64
	}
	Then []struct {
		Write string
		V     json.RawMessage
		Grant uint64
		Drop  string
	}
}

func (s *store) serve(node, method, path string, body []byte, answer func(int, []byte)) {
	s.requests++
	if s.now.Before(s.slowUntil) && !strings.HasPrefix(path, "/follow") {
		// The request is handled after the delay, so its answer is current when it is sent.
		s.after(s.jitter(s.slowDelay, 0.3), func() { s.handle(node, method, path, body, answer) })
		return
	}
	s.handle(node, method, path, body, answer)
}

// validateTxn checks a transaction against the protocol's limits. A violation fails the scenario.
func (s *store) validateTxn(t *txn, size int) bool {
	bad := ""
	switch {
	case len(t.Then) > s.txnOps:
		bad = "too many changes in a transaction"
	case len(t.When) > 4*s.txnOps:
		bad = "too many conditions in a transaction"
	case size > 64<<10:
		bad = "a transaction larger than 64 KiB"
	}
	keys := map[string]bool{}
	for _, w := range t.Then {
		if float64(len(w.V)) > s.valueKB*1024 {
			bad = "a value larger than allowed"
		}
		k := w.Write + w.Drop
		if len(k) == 0 || len(k) > 200 || strings.Contains(k, " ") || keys[k] {
			bad = "an invalid or repeated key in a transaction"
		}
		keys[k] = true
	}
	if bad != "" {
		s.misuse = bad
	}
	return bad == ""
}

// wipe deletes the keys under a prefix without notifying watchers. With rev, it also resets the
// revision, the change log and the leases.
func (s *store) wipe(under string, rev bool) {
	for _, k := range s.sortedKeys(under) {
		delete(s.keys, k)
	}
	if rev {
		s.rev, s.log = 0, nil
		clear(s.leases)
	}
}

// snapshot returns a function that restores the current keys, without leases, and revision.
func (s *store) snapshot() (restore func()) {
	keys, rev := map[string]storedKey{}, s.rev
	for k, e := range s.keys {
		keys[k] = storedKey{e.value, e.rev, 0}
	}
	return func() {
		s.keys, s.rev, s.log = map[string]*storedKey{}, rev, nil
		for k, e := range keys {
			s.keys[k] = &e
		}
		clear(s.leases)
	}
}

// keyKind returns the kind of record under a key: the first path element after yewpass/ and live/.
func keyKind(key string) string {
	parts := strings.Split(strings.TrimPrefix(key, "yewpass/"), "/")
	if len(parts) > 1 && parts[0] == "live" {
		return parts[1]
	}
	return parts[0]
}

func (s *store) applyTxn(t *txn, answer func(int, []byte)) {
	for _, w := range t.Then {
		if w.Grant != 0 && s.leases[w.Grant] == nil {
			answer(400, encode(object{"error": "no such lease"}))
			return
		}
	}
	failed := []string{}
	for _, w := range t.When {
		var rev uint64
		if e := s.keys[w.K]; e != nil {
			rev = e.rev
		}
		if rev != w.KeyRev {
			failed = append(failed, w.K)
		}
	}
	if len(failed) > 0 {
		answer(409, encode(object{"failed": failed, "storeRev": s.rev}))
		return
	}
	if len(t.Then) > 0 {
		s.rev++
	}
	for _, w := range t.Then {
		s.writes++
		s.writesByKind[keyKind(w.Drop+w.Write)]++
		s.recordChange(w.Drop + w.Write)
		if w.Drop != "" {
			delete(s.keys, w.Drop)
		} else {
			s.keys[w.Write] = &storedKey{w.V, s.rev, w.Grant}
		}
	}
	answer(200, encode(object{"storeRev": s.rev}))
	s.notify()
}
