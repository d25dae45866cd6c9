package scenario

import (
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"
)

func (s *store) handle(node, method, path string, body []byte, answer func(int, []byte)) {
	if s.now.Before(s.downUntil) || s.now.Before(s.unavailableUntil[node]) {
		if strings.HasPrefix(path, "/follow") {
			return // watches stay open without an answer
		}
		answer(503, nil)
		return
	}
	u, err := url.Parse(path)
	if err != nil {
		answer(400, nil)
		return
	}
	if u.Path == "/multi" {
		s.serveTransaction(node, body, answer)
		return
	}
	if !s.allow(0) {
		s.refused++
		answer(429, nil)
		return
	}
	parts := strings.Split(u.Path, "/")
	switch {
	case u.Path == "/store":
		s.serveList(u.Query(), answer)
	case strings.HasPrefix(u.Path, "/store/"):
		s.serveGet(node, strings.TrimPrefix(u.Path, "/store/"), answer)
	case u.Path == "/follow":
		s.serveWatch(u.Query(), answer)
	case u.Path == "/grants" && method == "POST":
		s.serveGrant(body, answer)
	case len(parts) >= 3 && parts[1] == "grants":
		id, _ := strconv.ParseUint(parts[2], 10, 64)
		s.serveLease(method, id, answer)
	default:
		answer(400, nil)
	}
}

// serveTransaction validates, rate-limits and applies a transaction. Faults may delay it or drop
// its response.
func (s *store) serveTransaction(node string, body []byte, answer func(int, []byte)) {
	var t txn
	if json.Unmarshal(body, &t) != nil || !s.validateTxn(&t, len(body)) {
		answer(400, nil)
		return
	}
	if !s.allow(len(t.Then)) {
		s.refused++
		answer(429, nil)
		return
	}
	switch {
	case len(t.Then) > 0 && s.now.Before(s.droppedTxnResponses[node].until):
		s.after(s.droppedTxnResponses[node].late, func() { s.applyTxn(&t, func(int, []byte) {}) })
	case len(t.Then) > 0 && s.delayedTxns.sample(s.clock):
		s.dropTxnResponse(node, &t)
	default:
		s.applyTxn(&t, answer)
	}
}

// dropTxnResponse applies a transaction at once or later and drops its response.
func (s *store) dropTxnResponse(node string, t *txn) {
	if s.delayedTxns.atOnce {
		s.applyTxn(t, func(status int, _ []byte) {
			if status != 200 {
				return
			}
			s.occurrences["write-unanswered"]++
			for _, w := range t.Then {
				s.unansweredChanges[w.Write+w.Drop] = unansweredChange{node, s.now}
			}
		})
		return
	}
	s.after(s.jitter(7*time.Second, 5./7), func() {
		s.applyTxn(t, func(status int, _ []byte) {
			s.occurrences["late-write"]++
			if status == 200 {
				s.occurrences["late-write-done"]++
			}
		})
	})
}

// serveList answers with one page of the entries under a prefix.
func (s *store) serveList(query url.Values, answer func(int, []byte)) {
	limit, _ := strconv.Atoi(query.Get("limit"))
	from := query.Get("from")
	entries, more := []any{}, false
	for _, k := range s.sortedKeys(query.Get("under")) {
		if k <= from && from != "" {
			continue
		}
		if len(entries) == limit {
			more = true
			break
		}
		entries = append(entries, object{"k": k, "v": s.keys[k].value, "keyRev": s.keys[k].rev})
	}
	answer(200, encode(object{"entries": entries, "truncated": more, "storeRev": s.rev}))
}

func (s *store) serveGet(node, key string, answer func(int, []byte)) {
	s.countUnansweredRead(node, key)
	if e := s.keys[key]; e != nil {
		answer(200, encode(object{"k": key, "v": e.value, "keyRev": e.rev, "grant": e.lease}))
	} else {
		answer(404, encode(object{"storeRev": s.rev}))
	}
}

// serveWatch answers when a key under a prefix has changed after a revision, or when the caller's
// timeout has passed. It answers 410 if the revision is older than the history.
func (s *store) serveWatch(query url.Values, answer func(int, []byte)) {
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	block, _ := strconv.Atoi(query.Get("blockMs"))
	if from+s.historyLength < s.rev {
		answer(410, encode(object{"storeRev": s.rev}))
		return
	}
	f := &watcher{query.Get("under"), from, answer}
	if s.changed(f.prefix, f.from) {
		answer(200, encode(object{"storeRev": s.rev, "log": []any{}}))
		return
	}
	s.watchers = append(s.watchers, f)
	s.after(time.Duration(block)*time.Millisecond, func() {
		for i, x := range s.watchers {
			if x == f {
				s.watchers = append(s.watchers[:i:i], s.watchers[i+1:]...)
				answer(200, encode(object{"storeRev": s.rev, "log": []any{}}))
				return
			}
		}
	})
}

func (s *store) serveGrant(body []byte, answer func(int, []byte)) {
	var g struct{ TTLMS int64 }
	json.Unmarshal(body, &g)
	s.lastLease++
	ttl := time.Duration(g.TTLMS) * time.Millisecond
	s.leases[s.lastLease] = &storedLease{s.now.Add(ttl), ttl}
	s.expireLease(s.lastLease)
	answer(200, encode(object{"grant": s.lastLease}))
}

func (s *store) serveLease(method string, id uint64, answer func(int, []byte)) {
	g := s.leases[id]
	switch {
	case g == nil:
		answer(404, nil)
	case method == "DELETE":
		s.revokeLease(id)
		answer(200, nil)
	default:
		s.leases[id] = &storedLease{s.now.Add(g.ttl), g.ttl}
		s.expireLease(id)
		answer(200, encode(object{"grant": id}))
	}
}
