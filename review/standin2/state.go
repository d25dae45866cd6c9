package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is one key of the state service.
type entry struct {
	Key   string          `json:"k"`
	Value json.RawMessage `json:"v"`
	Rev   uint64          `json:"keyRev"`
	Grant uint64          `json:"grant,omitempty"`
}

// logEntry is one change, as GET /follow returns it.
type logEntry struct {
	Write string          `json:"write,omitempty"`
	Drop  string          `json:"drop,omitempty"`
	Value json.RawMessage `json:"v,omitempty"`
	Rev   uint64          `json:"keyRev"`
}

type grant struct {
	ttl  time.Duration
	ends time.Time
}

// keptChanges is how many changes the state service keeps for GET /follow.
const keptChanges = 10000

// stateService is a stand-in for the state service of the protocol. Every controller has its own
// listener, so that a script can refuse one of them.
type stateService struct {
	mu      sync.Mutex
	rev     uint64
	entries map[string]*entry
	log     []logEntry
	grants  map[uint64]*grant
	nextID  uint64
	changed chan struct{} // closed and replaced after each change

	down    bool
	refused map[string]bool // controllers that get 503
	slow    time.Duration
	late    float64 // share of transactions without an answer, that are carried out late
}

func newStateService() *stateService {
	s := &stateService{entries: map[string]*entry{}, grants: map[uint64]*grant{}, changed: make(chan struct{}), refused: map[string]bool{}}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expireGrants()
			s.mu.Unlock()
		}
	}()
	return s
}

// setDown begins or ends an outage. At its end every lease has its full time again.
func (s *stateService) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		for _, g := range s.grants {
			g.ends = time.Now().Add(g.ttl)
		}
	}
}

func (s *stateService) setRefused(node string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = refused
}

// keys returns the keys with a prefix, for the record of a case.
func (s *stateService) keys(prefix string) (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.entries {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

func (s *stateService) expireGrants() {
	if s.down {
		return
	}
	now := time.Now()
	for id, g := range s.grants {
		if now.After(g.ends) {
			s.endGrant(id)
		}
	}
}

func (s *stateService) endGrant(id uint64) {
	delete(s.grants, id)
	var drops []string
	for k, e := range s.entries {
		if e.Grant == id {
			drops = append(drops, k)
		}
	}
	if len(drops) == 0 {
		return
	}
	s.rev++
	for _, k := range drops {
		delete(s.entries, k)
		s.log = append(s.log, logEntry{Drop: k, Rev: s.rev})
	}
	s.announce()
}

func (s *stateService) announce() {
	if n := len(s.log); n > keptChanges {
		s.log = append([]logEntry(nil), s.log[n-keptChanges:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeBody(w http.ResponseWriter, status int, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}

// handler returns the handler of the listener of one controller.
func (s *stateService) handler(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.pause()
		if r.URL.Path == "/multi" && s.isLate() {
			s.multiLate(node, r, body)
			return
		}
		if r.URL.Path == "/follow" {
			s.follow(node, w, r)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.down || s.refused[node] {
			writeBody(w, 503, map[string]string{"error": "trouble"})
			return
		}
		s.expireGrants()
		switch {
		case r.Method == "GET" && strings.HasPrefix(r.URL.Path, "/store/"):
			s.get(w, strings.TrimPrefix(r.URL.Path, "/store/"))
		case r.Method == "GET" && r.URL.Path == "/store":
			s.list(w, r)
		case r.Method == "POST" && r.URL.Path == "/multi":
			s.multi(w, body)
		case strings.HasPrefix(r.URL.Path, "/grants"):
			s.serveGrant(w, r, body)
		default:
			writeBody(w, 400, map[string]string{"error": "malformed"})
		}
	})
}

// setSlow makes every answer take up to twice that long, half of it before the request is carried out.
func (s *stateService) setSlow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

func (s *stateService) pause() {
	s.mu.Lock()
	d := s.slow
	s.mu.Unlock()
	if d > 0 {
		time.Sleep(time.Duration(rand.Int64N(int64(2 * d))))
	}
}

func (s *stateService) setLate(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = share
}

func (s *stateService) isLate() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.Float64() < s.late
}

// multiLate carries a transaction out at once or 2 to 12 s later, and gives no answer.
func (s *stateService) multiLate(node string, r *http.Request, body []byte) {
	if rand.IntN(2) == 0 {
		s.mu.Lock()
		if !s.down && !s.refused[node] {
			s.multi(httptest.NewRecorder(), body)
		}
		s.mu.Unlock()
	} else {
		time.AfterFunc(time.Duration(2000+rand.IntN(10000))*time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.down {
				s.multi(httptest.NewRecorder(), body)
			}
		})
	}
	<-r.Context().Done()
}

func (s *stateService) get(w http.ResponseWriter, key string) {
	if e := s.entries[key]; e != nil {
		writeBody(w, 200, e)
		return
	}
	writeBody(w, 404, map[string]uint64{"storeRev": s.rev})
}

func (s *stateService) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 1000 {
		limit = 1000
	}
	var keys []string
	for k := range s.entries {
		if strings.HasPrefix(k, q.Get("under")) && k > q.Get("from") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	truncated, size := false, 0
	entries := []*entry{}
	for _, k := range keys {
		e := s.entries[k]
		if size += len(k) + len(e.Value) + 40; len(entries) == limit || size > 512<<10 {
			truncated = true
			break
		}
		entries = append(entries, e)
	}
	writeBody(w, 200, map[string]any{"entries": entries, "truncated": truncated, "storeRev": s.rev})
}

type multiBody struct {
	When []struct {
		Key string `json:"k"`
		Rev uint64 `json:"keyRev"`
	} `json:"when"`
	Then []struct {
		Write string          `json:"write"`
		Value json.RawMessage `json:"v"`
		Grant uint64          `json:"grant"`
		Drop  string          `json:"drop"`
	} `json:"then"`
}

func (s *stateService) multi(w http.ResponseWriter, body []byte) {
	var m multiBody
	if json.Unmarshal(body, &m) != nil || len(body) > 64<<10 || len(m.Then) > txnOps || len(m.When) > 4*txnOps {
		writeBody(w, 400, map[string]string{"error": "malformed"})
		return
	}
	for _, t := range m.Then {
		if t.Write != "" && t.Grant != 0 && s.grants[t.Grant] == nil {
			writeBody(w, 400, map[string]string{"error": "no such lease"})
			return
		}
	}
	failed := []string{}
	for _, c := range m.When {
		var rev uint64
		if e := s.entries[c.Key]; e != nil {
			rev = e.Rev
		}
		if rev != c.Rev {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		writeBody(w, 409, map[string]any{"failed": failed, "storeRev": s.rev})
		return
	}
	if len(m.Then) > 0 {
		s.rev++
		for _, t := range m.Then {
			if t.Write != "" {
				s.entries[t.Write] = &entry{Key: t.Write, Value: t.Value, Rev: s.rev, Grant: t.Grant}
				s.log = append(s.log, logEntry{Write: t.Write, Value: t.Value, Rev: s.rev})
			} else if s.entries[t.Drop] != nil {
				delete(s.entries, t.Drop)
				s.log = append(s.log, logEntry{Drop: t.Drop, Rev: s.rev})
			}
		}
		s.announce()
	}
	writeBody(w, 200, map[string]uint64{"storeRev": s.rev})
}

func (s *stateService) serveGrant(w http.ResponseWriter, r *http.Request, body []byte) {
	if r.Method == "POST" && r.URL.Path == "/grants" {
		var b struct{ TTLMs int64 }
		if json.Unmarshal(body, &b) != nil || b.TTLMs < 100 || b.TTLMs > 600000 {
			writeBody(w, 400, map[string]string{"error": "malformed"})
			return
		}
		s.nextID++
		ttl := time.Duration(b.TTLMs) * time.Millisecond
		s.grants[s.nextID] = &grant{ttl: ttl, ends: time.Now().Add(ttl)}
		writeBody(w, 200, map[string]uint64{"grant": s.nextID})
		return
	}
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	id, err := strconv.ParseUint(parts[min(1, len(parts)-1)], 10, 64)
	g := s.grants[id]
	if err != nil || g == nil {
		writeBody(w, 404, map[string]string{"error": "no such lease"})
		return
	}
	if r.Method == "DELETE" {
		s.endGrant(id)
	} else {
		g.ends = time.Now().Add(g.ttl)
	}
	writeBody(w, 200, map[string]uint64{"grant": id})
}

func (s *stateService) follow(node string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	block, _ := strconv.Atoi(q.Get("blockMs"))
	deadline := time.After(time.Duration(block) * time.Millisecond)
	for first := true; ; first = false {
		s.mu.Lock()
		if s.down || s.refused[node] {
			waiting := !first
			s.mu.Unlock()
			if !waiting {
				writeBody(w, 503, map[string]string{"error": "trouble"})
				return
			}
			select { // an open watch stays open in an outage
			case <-time.After(50 * time.Millisecond):
				continue
			case <-r.Context().Done():
				return
			}
		}
		if len(s.log) > 0 && s.log[0].Rev > from+1 && len(s.log) == keptChanges {
			s.mu.Unlock()
			writeBody(w, 410, map[string]string{"error": "too old"})
			return
		}
		changes := []logEntry{}
		for _, l := range s.log {
			if l.Rev > from && strings.HasPrefix(l.Write+l.Drop, q.Get("under")) {
				changes = append(changes, l)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(changes) > 0 {
			writeBody(w, 200, map[string]any{"storeRev": rev, "log": changes})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeBody(w, 200, map[string]any{"storeRev": rev, "log": changes})
			return
		case <-r.Context().Done():
			return
		}
	}
}
