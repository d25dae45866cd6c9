package main

import (
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type object = map[string]any

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// store is the state service: strongly consistent, every request takes effect at one instant
// between its arrival and its answer.
type store struct {
	site      *site
	rec       *recorder
	slowShare float64 // share of the requests that take a few hundred milliseconds

	mu            sync.Mutex
	rev           uint64
	keys          map[string]*storedKey
	leases        map[uint64]*storedLease
	lastLease     uint64
	changes       []change
	changed       chan struct{} // closed at the next change
	tokens, wrote float64       // of the rate limits
	refilledAt    time.Time
	refused       int
}

type storedKey struct {
	value json.RawMessage
	rev   uint64
	lease uint64
}

type storedLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

type change struct {
	key   string
	value json.RawMessage // nil: deleted
	rev   uint64
}

func newStore(st *site, rec *recorder) *store {
	s := &store{
		site: st, rec: rec, keys: map[string]*storedKey{}, leases: map[uint64]*storedLease{}, changed: make(chan struct{}),
		tokens: st.rps, wrote: st.writeRPS, refilledAt: time.Now(),
	}
	return s
}

// expireLeases runs until done is closed.
func (s *store) expireLeases(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		s.mu.Lock()
		for _, id := range slices.Sorted(maps.Keys(s.leases)) {
			if time.Now().After(s.leases[id].expiresAt) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for _, k := range slices.Sorted(maps.Keys(s.keys)) {
		if s.keys[k].lease == id {
			s.rev++
			delete(s.keys, k)
			s.record(change{key: k, rev: s.rev})
		}
	}
}

func (s *store) record(c change) {
	s.changes = append(s.changes, c)
	if len(s.changes) > 20000 {
		s.changes = slices.Clone(s.changes[10000:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// allow counts a request with a number of writes against the limits.
func (s *store) allow(writes int) bool {
	now := time.Now()
	d := now.Sub(s.refilledAt).Seconds()
	s.refilledAt = now
	s.tokens, s.wrote = min(s.site.rps, s.tokens+d*s.site.rps), min(s.site.writeRPS, s.wrote+d*s.site.writeRPS)
	if s.tokens < 1 || s.wrote < float64(writes) {
		s.refused++
		return false
	}
	s.tokens--
	s.wrote -= float64(writes)
	return true
}

// delays draws how long a request is on its way, and its answer: under 10 ms together. Now and then an
// answer takes a few hundred.
func (s *store) delays() (there, back time.Duration) {
	there = time.Millisecond + time.Duration(rand.Int64N(int64(2*time.Millisecond)))
	back = time.Millisecond + time.Duration(rand.Int64N(int64(2*time.Millisecond)))
	if rand.Float64() < s.slowShare {
		back = 200*time.Millisecond + time.Duration(rand.Int64N(int64(200*time.Millisecond)))
	}
	return there, back
}

// ServeHTTP serves one request.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	there, back := s.delays()
	time.Sleep(there)
	var status int
	var answer any
	if r.URL.Path == "/follow" {
		status, answer = s.follow(r)
	} else {
		s.mu.Lock()
		status, answer = s.handle(r.Method, r.URL, body)
		s.mu.Unlock()
	}
	data := encode(answer)
	time.Sleep(back)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}

func (s *store) handle(method string, u *url.URL, body []byte) (int, any) {
	if u.Path == "/multi" {
		return s.multi(body)
	}
	if !s.allow(0) {
		return http.StatusTooManyRequests, object{"error": "too many requests"}
	}
	parts := strings.Split(u.Path, "/")
	switch {
	case u.Path == "/store":
		return s.list(u.Query())
	case strings.HasPrefix(u.Path, "/store/"):
		return s.get(strings.TrimPrefix(u.Path, "/store/"))
	case u.Path == "/grants" && method == http.MethodPost:
		var g struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if json.Unmarshal(body, &g) != nil || g.TTLMs < 100 || g.TTLMs > 600000 {
			return http.StatusBadRequest, object{"error": "malformed"}
		}
		s.lastLease++
		ttl := time.Duration(g.TTLMs) * time.Millisecond
		s.leases[s.lastLease] = &storedLease{ttl, time.Now().Add(ttl)}
		return http.StatusOK, object{"grant": s.lastLease}
	case len(parts) >= 3 && parts[1] == "grants":
		id, _ := strconv.ParseUint(parts[2], 10, 64)
		l := s.leases[id]
		switch {
		case l == nil:
			return http.StatusNotFound, object{"error": "no such lease"}
		case method == http.MethodDelete:
			s.endLease(id)
			return http.StatusOK, object{}
		}
		l.expiresAt = time.Now().Add(l.ttl)
		return http.StatusOK, object{"grant": id}
	}
	return http.StatusBadRequest, object{"error": "malformed"}
}

func (s *store) get(key string) (int, any) {
	e := s.keys[key]
	if e == nil {
		return http.StatusNotFound, object{"storeRev": s.rev}
	}
	o := object{"k": key, "v": e.value, "keyRev": e.rev}
	if e.lease != 0 {
		o["grant"] = e.lease
	}
	return http.StatusOK, o
}

func (s *store) list(q url.Values) (int, any) {
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > 1000 {
		limit = 1000
	}
	entries, more, size := []object{}, false, 0
	for _, k := range slices.Sorted(maps.Keys(s.keys)) {
		if !strings.HasPrefix(k, q.Get("under")) || k <= q.Get("from") {
			continue
		}
		e := s.keys[k]
		if size += len(k) + len(e.value) + 40; len(entries) == limit || size > 512<<10 {
			more = true
			break
		}
		entries = append(entries, object{"k": k, "v": e.value, "keyRev": e.rev})
	}
	return http.StatusOK, object{"entries": entries, "truncated": more, "storeRev": s.rev}
}

func (s *store) multi(body []byte) (int, any) {
	var t struct {
		When []struct {
			K      string `json:"k"`
			KeyRev uint64 `json:"keyRev"`
		} `json:"when"`
		Then []struct {
			Write string          `json:"write"`
			V     json.RawMessage `json:"v"`
			Grant uint64          `json:"grant"`
			Drop  string          `json:"drop"`
		} `json:"then"`
	}
	if json.Unmarshal(body, &t) != nil || len(body) > 64<<10 || len(t.Then) > s.site.txnOps || len(t.When) > 4*s.site.txnOps {
		return http.StatusBadRequest, object{"error": "malformed"}
	}
	for _, w := range t.Then {
		if len(w.V) > s.site.valueKB<<10 {
			return http.StatusBadRequest, object{"error": "value too large"}
		}
	}
	if !s.allow(len(t.Then)) {
		return http.StatusTooManyRequests, object{"error": "too many requests"}
	}
	for _, w := range t.Then {
		if w.Grant != 0 && s.leases[w.Grant] == nil {
			return http.StatusBadRequest, object{"error": "no such lease"}
		}
	}
	failed := []string{}
	for _, c := range t.When {
		var rev uint64
		if e := s.keys[c.K]; e != nil {
			rev = e.rev
		}
		if rev != c.KeyRev {
			failed = append(failed, c.K)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, object{"failed": failed, "storeRev": s.rev}
	}
	if len(t.Then) > 0 {
		s.rev++
	}
	for _, w := range t.Then {
		if w.Drop != "" {
			delete(s.keys, w.Drop)
			s.record(change{key: w.Drop, rev: s.rev})
		} else {
			s.keys[w.Write] = &storedKey{w.V, s.rev, w.Grant}
			s.record(change{w.Write, w.V, s.rev})
		}
	}
	return http.StatusOK, object{"storeRev": s.rev}
}

// follow answers once a key under the prefix has changed.
func (s *store) follow(r *http.Request) (int, any) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	block, _ := strconv.Atoi(q.Get("blockMs"))
	deadline := time.After(time.Duration(min(block, 60000)) * time.Millisecond)
	s.mu.Lock()
	allowed := s.allow(0)
	s.mu.Unlock()
	if !allowed {
		return http.StatusTooManyRequests, object{"error": "too many requests"}
	}
	for over := false; ; {
		s.mu.Lock()
		if len(s.changes) > 0 && s.changes[0].rev > from+1 && from+10000 < s.rev {
			s.mu.Unlock()
			return http.StatusGone, object{"storeRev": s.rev}
		}
		log := []object{}
		for i := len(s.changes) - 1; i >= 0 && s.changes[i].rev > from; i-- {
			c := s.changes[i]
			switch {
			case !strings.HasPrefix(c.key, q.Get("under")):
			case c.value == nil:
				log = append(log, object{"drop": c.key, "keyRev": c.rev})
			default:
				log = append(log, object{"write": c.key, "v": c.value, "keyRev": c.rev})
			}
		}
		slices.Reverse(log)
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(log) > 0 || over {
			return http.StatusOK, object{"storeRev": rev, "log": log}
		}
		select {
		case <-changed:
		case <-deadline:
			over = true
		case <-r.Context().Done():
			return http.StatusOK, object{"storeRev": rev, "log": log}
		}
	}
}
