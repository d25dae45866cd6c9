package scenario

import (
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"
)

func (s *store) handle(node, method, path string, body []byte, answer func(int, []byte)) {
	if s.now.Before(s.down) || s.now.Before(s.denied[node]) {
		if strings.HasPrefix(path, "/follow") {
			return // open watches just wait
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

// serveTransaction carries out a transaction, unless a fault has it late or unanswered.
func (s *store) serveTransaction(node string, body []byte, answer func(int, []byte)) {
	var t txn
	if json.Unmarshal(body, &t) != nil || !s.checkTxn(&t, len(body)) {
		answer(400, nil)
		return
	}
	if !s.allow(len(t.Then)) {
		s.refused++
		answer(429, nil)
		return
	}
	switch {
	case len(t.Then) > 0 && s.now.Before(s.unanswered[node].until):
		s.after(s.unanswered[node].late, func() { s.multi(&t, func(int, []byte) {}) })
	case len(t.Then) > 0 && s.late.hits(s.clock):
		s.loseAnswer(node, &t)
	default:
		s.multi(&t, answer)
	}
}

// loseAnswer carries out a transaction at once or late, and answers nobody.
func (s *store) loseAnswer(node string, t *txn) {
	if s.late.atOnce {
		s.multi(t, func(status int, _ []byte) {
			if status != 200 {
				return
			}
			s.met["write-unanswered"]++
			for _, w := range t.Then {
				s.unansweredChanges[w.Write+w.Drop] = unansweredChange{node, s.now}
			}
		})
		return
	}
	s.after(s.spread(7*time.Second, 5./7), func() { // as the bench has it
		s.multi(t, func(status int, _ []byte) {
			s.met["late-write"]++
			if status == 200 {
				s.met["late-write-done"]++
			}
		})
	})
}

// serveList answers with a page of the keys under a prefix.
func (s *store) serveList(query url.Values, answer func(int, []byte)) {
	limit, _ := strconv.Atoi(query.Get("limit"))
	from := query.Get("from")
	entries, more := []any{}, false
	for _, k := range s.sorted(query.Get("under")) {
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

// serveGet answers with a key.
func (s *store) serveGet(node, key string, answer func(int, []byte)) {
	s.readMeanwhile(node, key)
	if e := s.keys[key]; e != nil {
		answer(200, encode(object{"k": key, "v": e.value, "keyRev": e.rev, "grant": e.lease}))
	} else {
		answer(404, encode(object{"storeRev": s.rev}))
	}
}

// serveWatch answers when a key under a prefix has changed after a revision, or when the
// caller waits no more.
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

// serveGrant grants a lease.
func (s *store) serveGrant(body []byte, answer func(int, []byte)) {
	var g struct{ TTLMS int64 }
	json.Unmarshal(body, &g)
	s.next++
	ttl := time.Duration(g.TTLMS) * time.Millisecond
	s.leases[s.next] = &storedLease{s.now.Add(ttl), ttl}
	s.expireLease(s.next)
	answer(200, encode(object{"grant": s.next}))
}

// serveLease renews or revokes a lease.
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
