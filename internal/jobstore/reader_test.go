package jobstore_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"yewpass/internal/engine"
	"yewpass/internal/jobstore"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
)

const key, finalKey = record.JobPrefix + "wk-1", record.FinalPrefix + "wk-1"

// store is a fake key-value store with a fixed reply for each key.
type store struct {
	engine  *engine.Engine
	replies map[string]kv.Response
	read    []string
}

// run replies to all requests, including those that the replies cause.
func (s *store) run() {
	for i := 0; i < len(s.engine.Outputs); i++ {
		if call, ok := s.engine.Outputs[i].(kv.Request); ok {
			s.read = append(s.read, call.Key)
			reply := s.replies[call.Key]
			reply.Ref = call.Ref
			s.engine.HandleStore(reply)
		}
	}
	s.engine.Outputs = s.engine.Outputs[:0]
}

func newStore(replies map[string]kv.Response) *store {
	e := engine.New(rand.New(rand.NewPCG(1, 1)), 1)
	e.Begin(time.Unix(1_900_000_000, 0))
	return &store{engine: e, replies: replies}
}

func entryReply(key string, value any) kv.Response {
	return kv.Response{Outcome: rpc.OK, Entries: []kv.Entry{{Key: key, Value: value}}}
}

func TestRead(t *testing.T) {
	none := kv.Response{Outcome: rpc.NotFound}
	for _, test := range []struct {
		name        string
		live, final kv.Response
		want        string // the status, "none" or "unknown"
		reads       int
	}{
		{"queued", entryReply(key, &record.Job{}), none, "queued 0", 1},
		{"cancelled", entryReply(key, &record.Job{Cancelled: true}), none, "cancelled 0", 1},
		{"final", none, entryReply(finalKey, &record.Final{State: spec.Done, Done: 3}), "done 3", 2},
		{"no record", none, none, "none", 2},
		{"live record unreadable", entryReply(key, nil), none, "unknown", 1},
		{"final record unreadable", none, entryReply(finalKey, nil), "unknown", 2},
		{"no reply", kv.Response{Outcome: rpc.Unknown}, none, "unknown", 1},
		{"no second reply", none, kv.Response{Outcome: rpc.Refused}, "unknown", 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newStore(map[string]kv.Response{key: test.live, finalKey: test.final})
			r := jobstore.NewReader(s.engine, 100, 1, 10)
			got := ""
			r.Read("wk-1", func(status *request.JobStatus, known bool) {
				switch {
				case !known:
					got = "unknown"
				case status == nil:
					got = "none"
				case status.ID != "wk-1":
					t.Errorf("status has job ID %q, want wk-1", status.ID)
				default:
					got = fmt.Sprint(status.State, " ", status.Done)
				}
			})
			s.run()
			if got != test.want || len(s.read) != test.reads {
				t.Errorf("got %q after reading %q, want %q after %d reads", got, s.read, test.want, test.reads)
			}
			if _, cached := r.Final("wk-1"); cached != (test.name == "final") {
				t.Errorf("final record cached: %v", cached)
			}
		})
	}
}

// TestReadKeepsToShare checks that reads use at most a quarter of the store's request limit,
// divided among the controllers, and that further reads fail without a request.
func TestReadKeepsToShare(t *testing.T) {
	s := newStore(map[string]kv.Response{key: entryReply(key, &record.Job{})})
	r := jobstore.NewReader(s.engine, 96, 4, 10) // 6 requests a second each
	known := 0
	read := func() {
		r.Read("wk-1", func(_ *request.JobStatus, ok bool) {
			if ok {
				known++
			}
		})
		s.run()
	}
	for range 5 {
		read()
	}
	if known != 2 || len(s.read) != 2 {
		t.Errorf("%d results and %d requests within a second, want 2 of each", known, len(s.read))
	}
	s.engine.Begin(s.engine.Now.Add(time.Second / 2))
	for range 5 {
		read()
	}
	if known != 3 {
		t.Errorf("%d results after another half second, want 3", known)
	}
	r.ShareAmong(1)
	for range 20 {
		read()
	}
	if known != 3+8 {
		t.Errorf("%d results with the share of all controllers, want 8 more", known)
	}
}
