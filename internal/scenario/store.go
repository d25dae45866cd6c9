package scenario

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"
)

// store is the stand-in of the state service. It speaks the protocol's JSON.
type store struct {
	*clock
	keys          map[string]*storedKey
	rev           uint64
	leases        map[uint64]*storedLease
	next          uint64
	watchers      []*watcher
	log           []logged // the latest changes
	historyLength uint64   // how many revisions back one can watch from

	storeFaults
	storeAllowance
	storeFigures
}

// storeFaults are those of the service that are under way.
type storeFaults struct {
	down       time.Time                   // an outage lasts until then
	denied     map[string]time.Time        // nodes that get 503 until then
	unanswered map[string]unansweredWrites // nodes whose transactions are applied and not answered
	late       delayedShare                // that share of transactions is applied late and not answered
	slow       time.Time                   // until then answers come late
	slowBy     time.Duration
	// Keys that a node has changed without hearing of it, until it may know.
	unansweredChanges map[string]unansweredChange
}

// storeAllowance is what the service takes, and what is left of it.
type storeAllowance struct {
	rps, writeRPS                    float64
	valueKB                          float64
	txnOps                           int
	requestAllowance, writeAllowance float64
	refilled                         time.Time
}

// storeFigures are counted for expectations and reports.
type storeFigures struct {
	met            map[string]int // see world
	misuse         string         // a request beyond the protocol's limits
	requests, puts int
	putsOf         map[string]int // puts, by the kind of their keys
	refused        int
}

// unansweredWrites loses the answers to a node's transactions until a time; they are applied
// at once or late.
type unansweredWrites struct {
	until time.Time
	late  time.Duration
}

// delayedShare is a share of messages that are delayed, until a time.
type delayedShare struct {
	until  time.Time
	share  float64
	atOnce bool // of transactions: they are carried out at once, and only the answer is lost
	next   bool // of reports: the copy is kept until the next leader begins
}

// hits reports whether this one is delayed.
func (l *delayedShare) hits(c *clock) bool {
	return c.now.Before(l.until) && c.rng.Float64() < l.share
}

// unansweredChange is a change whose writer has not been answered.
type unansweredChange struct {
	writer string
	at     time.Time
}

// unansweredFor is for how long a writer does not know: core gives a call up after that.
const unansweredFor = 1500 * time.Millisecond

// readMeanwhile counts reads of what another node has written and does not know of yet.
func (s *store) readMeanwhile(node, key string) {
	if u, ok := s.unansweredChanges[key]; ok && u.writer != node && s.now.Sub(u.at) < unansweredFor {
		s.met["read-unanswered"]++
	}
}

type storedKey struct {
	value json.RawMessage
	rev   uint64
	lease uint64
}

type storedLease struct {
	until time.Time
	ttl   time.Duration
}

type watcher struct {
	prefix string
	from   uint64
	answer func(int, []byte)
}

type logged struct {
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

// outage makes the service answer 503 to everybody. Every grant has its full
// time again when it ends.
func (s *store) outage(d time.Duration) {
	s.down = s.now.Add(d)
	s.after(d, func() {
		for _, g := range s.leases {
			g.until = s.now.Add(g.ttl)
		}
		for _, id := range slices.Sorted(maps.Keys(s.leases)) {
			s.expireLease(id)
		}
		s.notify()
	})
}

func (s *store) expireLease(id uint64) {
	g := s.leases[id]
	s.at(g.until, func() {
		if s.leases[id] == g && !s.now.Before(g.until) && !s.now.Before(s.down) {
			s.revokeLease(id)
		}
	})
}

func (s *store) revokeLease(id uint64) {
	delete(s.leases, id)
	for _, k := range s.sorted("") {
		if s.keys[k].lease == id {
			s.rev++
			delete(s.keys, k)
			s.note(k)
		}
	}
	s.notify()
}

func (s *store) sorted(prefix string) []string {
	var ks []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			ks = append(ks, k)
		}
	}
	sort.Strings(ks)
	return ks
}

// note logs a change; what is too old is forgotten.
func (s *store) note(key string) {
	s.log = append(s.log, logged{key, s.rev})
	if n := len(s.log) - 2*int(s.historyLength); n > 0 {
		s.log = append(s.log[:0], s.log[n+int(s.historyLength):]...)
	}
}

// changed reports whether a key with the prefix has changed after a revision.
func (s *store) changed(prefix string, from uint64) bool {
	for i := len(s.log) - 1; i >= 0 && s.log[i].rev > from; i-- {
		if strings.HasPrefix(s.log[i].key, prefix) {
			return true
		}
	}
	return false
}

// notify answers the followers of what has changed.
func (s *store) notify() {
	if s.now.Before(s.down) {
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
	s.requestAllowance = min(s.rps, s.requestAllowance+dt*s.rps)
	s.writeAllowance = min(s.writeRPS, s.writeAllowance+dt*s.writeRPS)
	if s.requestAllowance < 1 || s.writeAllowance < float64(writes) {
		return false
	}
	s.requestAllowance--
	s.writeAllowance -= float64(writes)
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
	if s.now.Before(s.slow) && !strings.HasPrefix(path, "/follow") {
		// Whatever is asked is looked at late, and the answer is as old as it is.
		s.after(s.spread(s.slowBy, 0.3), func() { s.handle(node, method, path, body, answer) })
		return
	}
	s.handle(node, method, path, body, answer)
}

// checkTxn holds transactions to the protocol's limits; going beyond them is a
// fault of ours and fails the scenario.
func (s *store) checkTxn(t *txn, size int) bool {
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
			bad = "a bad key, or one twice in a transaction"
		}
		keys[k] = true
	}
	if bad != "" {
		s.misuse = bad
	}
	return bad == ""
}

// wipe loses keys without a word; with revisions and grants it begins again from nothing.
func (s *store) wipe(under string, rev bool) {
	for _, k := range s.sorted(under) {
		delete(s.keys, k)
	}
	if rev {
		s.rev, s.log = 0, nil
		clear(s.leases)
	}
}

// save returns what puts back the keys as they are now, without grants; revisions then go
// on from where they are now.
func (s *store) save() (restore func()) {
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

// kindOfKey is what a key is of: its path without the last part, and without a number before that.
func kindOfKey(key string) string {
	parts := strings.Split(strings.TrimPrefix(key, "yewpass/"), "/")
	if len(parts) > 1 && parts[0] == "live" {
		return parts[1]
	}
	return parts[0]
}

func (s *store) multi(t *txn, answer func(int, []byte)) {
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
		s.puts++
		s.putsOf[kindOfKey(w.Drop+w.Write)]++
		s.note(w.Drop + w.Write)
		if w.Drop != "" {
			delete(s.keys, w.Drop)
		} else {
			s.keys[w.Write] = &storedKey{w.V, s.rev, w.Grant}
		}
	}
	answer(200, encode(object{"storeRev": s.rev}))
	s.notify()
}
