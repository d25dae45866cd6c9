package gateway

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/jobstore"
	"yewpass/internal/kv"
	"yewpass/internal/liveconfig"
	"yewpass/internal/peermsg"
	"yewpass/internal/policy"
	"yewpass/internal/provider"
	"yewpass/internal/quota"
	"yewpass/internal/record"
	"yewpass/internal/replica"
	"yewpass/internal/replication"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
	"yewpass/internal/view"
)

const (
	liveKey  = record.JobPrefix + "wk-1"
	finalKey = record.FinalPrefix + "wk-1"
)

// node is a Gateway and a fake of its Controller, which is not the leader.
type node struct {
	*Gateway
	t               *testing.T
	leads           bool
	upstream        Upstream
	versionRequests int // calls of RequestLeaderVersion
	replica         *replica.Replica
}

func (n *node) IsLeader() bool                      { return n.leads }
func (n *node) Upstream() Upstream                  { return n.upstream }
func (n *node) RequestLeaderVersion()               { n.versionRequests++ }
func (n *node) Cluster() *view.Cluster              { return &view.Cluster{Node: "n0"} }
func (n *node) LastLeaderReplica() *replica.Replica { return n.replica }
func (n *node) Team(_ *replica.Replica, name string) *quota.Account {
	if name != "t" {
		return nil
	}
	return quota.New(liveconfig.Team{Name: "t"})
}

func (n *node) HighestTerm() uint64    { return n.upstream.Term }
func (n *node) ConfirmedTerm() uint64  { return n.upstream.Term }
func (n *node) IsLinked(string) bool   { return true }
func (n *node) HasLoadedRecords() bool { return false }

// newNode returns a node linked to the leader n1, with the replica of its term.
func newNode(t *testing.T) *node {
	t.Helper()
	p, err := policy.New(map[string]string{"refuse": "false"})
	if err != nil {
		t.Fatal(err)
	}
	cfg := &config.Config{HostName: "n0", Seeds: []config.Seed{{HostName: "n1"}, {HostName: "n2"}}}
	cfg.Settings.State = config.State{RPS: 100, WriteRPS: 300, ValueKB: 64, TxnOps: 16}
	e := engine.New(rand.New(rand.NewPCG(1, 1)), 1)
	e.Begin(time.Unix(1_900_000_000, 0))
	n := &node{t: t, upstream: Upstream{Leader: "n1", Linked: true, Term: 5, TermRevision: 40}}
	n.replica = replica.New(1, 5, record.FinalPrefix, 100)
	n.replica.Put(record.ConfigHeadKey, nil, 17)
	n.Gateway = New(e, n, cfg, p, jobstore.NewReader(e, 100, 1, 10), replication.New(e, cfg, n))
	n.SetInstanceTypes([]provider.InstanceType{{Name: "plain", Capacity: timeline.Capacity(8, 0, 32), Zones: []string{"a"}}})
	return n
}

// takeOutputs returns the outputs of type T and clears all outputs.
func takeOutputs[T any](n *node) (found []T) {
	for _, out := range n.engine.Outputs {
		if x, ok := out.(T); ok {
			found = append(found, x)
		}
	}
	n.engine.Outputs = n.engine.Outputs[:0]
	return found
}

func takeOutput[T any](n *node) T {
	n.t.Helper()
	found := takeOutputs[T](n)
	if len(found) != 1 {
		n.t.Fatalf("%d outputs of type %T, want one", len(found), *new(T))
	}
	return found[0]
}

// replyFromStore answers the only pending store request and returns the request.
func (n *node) replyFromStore(r kv.Response) kv.Request {
	n.t.Helper()
	call := takeOutput[kv.Request](n)
	r.Ref = call.Ref
	n.engine.HandleStore(r)
	return call
}

func (n *node) advance(d time.Duration) {
	n.engine.Begin(n.engine.Now.Add(d))
	n.engine.RunTimers()
}

func submission(id string) request.Request {
	return request.Request{Ref: 9, Op: request.Submit, ID: id, Spec: &spec.Job{ID: id, Owner: "t", Tasks: 1, CPUs: 1, MemGB: 1}}
}

func TestForwardedRequestIsAnswered(t *testing.T) {
	n := newNode(t)
	n.Serve(request.Request{Ref: 9, Op: request.Cancel, ID: "wk-1"})
	sent := takeOutput[peermsg.Outgoing](n)
	if sent.To != "n1" || sent.Msg.Kind != peermsg.Request || sent.Msg.Op != request.Cancel || sent.Msg.ID != "wk-1" {
		t.Fatalf("got message %+v, want the cancellation forwarded to n1", sent)
	}
	answer := peermsg.Message{Ref: sent.Msg.Ref, Response: &request.Response{Status: 200, Job: request.JobStatus{ID: "wk-1", State: spec.Cancelled}}}
	n.HandleResponse("n2", answer)
	other := answer
	other.Response = &request.Response{Status: 200, Job: request.JobStatus{ID: "wk-2"}}
	n.HandleResponse("n1", other)
	if got := takeOutputs[request.Response](n); len(got) != 0 {
		t.Fatalf("accepted an answer from another controller or about another job: %+v", got)
	}
	n.HandleResponse("n1", answer)
	if got := takeOutput[request.Response](n); got.Ref != 9 || got.Status != 200 || got.Job.State != spec.Cancelled {
		t.Errorf("got response %+v, want the leader's answer for ref 9", got)
	}
	if _, ok := n.jobs.Final("wk-1"); ok {
		t.Error("answer to a cancellation was remembered as the final state of the job")
	}
	n.HandleResponse("n1", answer)
	if got := takeOutputs[request.Response](n); len(got) != 0 {
		t.Errorf("request was answered twice: %+v", got)
	}
}

func TestForwardedRequestWithoutAnswer(t *testing.T) {
	for _, test := range []struct {
		op      request.Operation
		timeout time.Duration
		status  int // of the response after the timeout; 0 if a store request is sent instead
	}{
		{request.Get, 800 * time.Millisecond, 0},
		{request.Submit, 700 * time.Millisecond, 0},
		{request.Cancel, 2500 * time.Millisecond, 503},
		{request.Cluster, 2500 * time.Millisecond, 200},
	} {
		t.Run(string(test.op), func(t *testing.T) {
			outcome := func(n *node, when string) {
				t.Helper()
				if test.status == 0 {
					takeOutput[kv.Request](n)
				} else if got := takeOutput[request.Response](n); got.Status != test.status {
					t.Errorf("unexpected response %s: %+v", when, got)
				}
			}
			r := submission("wk-1")
			r.Op = test.op
			n := newNode(t)
			n.Serve(r)
			takeOutput[peermsg.Outgoing](n)
			n.advance(test.timeout - time.Millisecond)
			if len(n.engine.Outputs) != 0 {
				t.Errorf("got outputs %+v before the timeout, want none", n.engine.Outputs)
			}
			n.advance(time.Millisecond)
			outcome(n, "after the timeout")

			n = newNode(t)
			n.Serve(r)
			takeOutput[peermsg.Outgoing](n)
			n.HandleLinkLost("n2")
			if len(n.engine.Outputs) != 0 {
				t.Errorf("got outputs %+v after the loss of another link, want none", n.engine.Outputs)
			}
			n.HandleLinkLost("n1")
			outcome(n, "after the link is lost")
		})
	}
}

func TestServeWithoutForwarding(t *testing.T) {
	n := newNode(t)
	n.Serve(request.Request{Ref: 9, From: "n2", Op: request.Get, ID: "wk-1"})
	if got := takeOutput[peermsg.Outgoing](n); got.To != "n2" || got.Msg.Ref != 9 || got.Msg.Response.Status != 503 || got.Msg.Response.Reason != "not the leader" {
		t.Errorf("forwarded request: got %+v, want status 503 sent to n2", got)
	}
	n.Serve(request.Request{Ref: 9, Op: request.ConfigSet, Config: &request.ConfigParams{}})
	if got := takeOutput[request.Response](n); got.Status != 503 || n.versionRequests != 1 {
		t.Errorf("configuration change, leader's version unknown: got %+v and %d version requests, want status 503 and 1", got, n.versionRequests)
	}
	n.upstream.KnowsConfig = true
	n.Serve(request.Request{Ref: 9, Op: request.ConfigSet, Config: &request.ConfigParams{}})
	takeOutput[peermsg.Outgoing](n)
	n.jobs.CacheFinal("wk-1", record.Final{State: spec.Done, Done: 3})
	n.Serve(request.Request{Ref: 9, Op: request.Get, ID: "wk-1"})
	if got := takeOutput[request.Response](n); got.Status != 200 || got.Job.State != spec.Done || got.Job.Done != 3 {
		t.Errorf("remembered final state: got %+v, want status 200 with a done job", got)
	}
}

func TestCorrectByReplica(t *testing.T) {
	status := func(s spec.JobState) *request.JobStatus { return &request.JobStatus{ID: "wk-1", State: s} }
	for _, test := range []struct {
		name  string
		key   string
		value any
		read  *request.JobStatus
		want  spec.JobState // "" if no job is expected
	}{
		{"unknown to both", "", nil, nil, ""},
		{"lost from the store", liveKey, &record.Job{}, nil, spec.Queued},
		{"cancelled, older copy in the store", liveKey, &record.Job{Cancelled: true}, status(spec.Queued), spec.Cancelled},
		{"final, older copy in the store", finalKey, &record.Final{State: spec.Done}, status(spec.Queued), spec.Done},
		{"cancelled after the replica's last update", liveKey, &record.Job{}, status(spec.Cancelled), spec.Cancelled},
		{"final after the replica's last update", liveKey, &record.Job{}, status(spec.Done), spec.Done},
		{"accepted after the replica's last update", "", nil, status(spec.Queued), spec.Queued},
		{"unreadable in the replica", liveKey, nil, status(spec.Queued), spec.Queued},
	} {
		t.Run(test.name, func(t *testing.T) {
			k := replica.New(1, 5, record.FinalPrefix, 100)
			if test.key != "" {
				k.Put(test.key, test.value, 30)
			}
			var got spec.JobState
			if s := correctByReplica(k, "wk-1", test.read); s != nil {
				got = s.State
			}
			if got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestLeaderlessAdmission checks that the job record and the note are written only if the job has
// no record and neither the term nor the configuration has changed.
func TestLeaderlessAdmission(t *testing.T) {
	conditions := []kv.Condition{{Key: liveKey}, {Key: finalKey}, {Key: record.TermKey, Rev: 40}, {Key: record.ConfigHeadKey, Rev: 17}}
	n := newNode(t)
	n.upstream.Linked = false
	n.Serve(submission("wk-1"))
	call := n.replyFromStore(kv.Response{Outcome: rpc.OK, Rev: 50})
	if call.Op != kv.Txn || !slices.Equal(call.Conditions, conditions) {
		t.Errorf("got store request %+v, want a transaction with all four conditions", call)
	}
	if len(call.Writes) != 2 || call.Writes[0].Key != liveKey || call.Writes[1].Key != record.LeaderlessPrefix+"wk-1" {
		t.Errorf("got writes %+v, want the job record and the note", call.Writes)
	}
	if got := takeOutputs[request.Response](n); len(got) != 1 || got[0].Status != 201 || got[0].Job.State != spec.Queued {
		t.Errorf("got responses %+v, want one with status 201 and a queued job", got)
	}

	n.Serve(submission("wk-1"))
	n.replyFromStore(kv.Response{Outcome: rpc.Conflict})
	n.replyFromStore(kv.Response{Outcome: rpc.OK, Entries: []kv.Entry{{Key: liveKey, Value: &record.Job{}}}})
	if got := takeOutput[request.Response](n); got.Status != 200 || got.Job.State != spec.Queued {
		t.Errorf("existing job: got %+v, want status 200 with a queued job", got)
	}
}

func TestLeaderlessAdmissionDeclined(t *testing.T) {
	for name, change := range map[string]func(*node, *request.Request){
		"leads without authority":  func(n *node, _ *request.Request) { n.leads = true },
		"no instance types":        func(n *node, _ *request.Request) { n.SetInstanceTypes(nil) },
		"no replica":               func(n *node, _ *request.Request) { n.replica = nil },
		"final in the replica":     func(n *node, _ *request.Request) { n.replica.Put(finalKey, &record.Final{}, 3) },
		"refused, live in replica": func(n *node, r *request.Request) { n.replica.Put(liveKey, &record.Job{}, 3); r.Spec.Owner = "x" },
		"no other controllers":     func(n *node, _ *request.Request) { n.cfg.Seeds = nil },
		"write limit is exhausted": func(n *node, _ *request.Request) { n.writeLimit.AllowN(n.engine.Now, n.writeLimit.Burst()) },
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode(t)
			n.upstream.Linked = false
			r := submission("wk-1")
			change(n, &r)
			n.Serve(r)
			if got := takeOutput[request.Response](n); got.Status != 503 {
				t.Errorf("got %+v, want status 503", got)
			}
		})
	}
}

// TestLeaderlessRefusal checks that a job is refused permanently only after the store has confirmed
// that it was never accepted.
func TestLeaderlessRefusal(t *testing.T) {
	for outcome, status := range map[rpc.Outcome]int{rpc.OK: 422, rpc.Conflict: 503, rpc.Unknown: 503} {
		n := newNode(t)
		n.upstream.Linked = false
		r := submission("wk-1")
		r.Spec.CPUs = 9
		n.Serve(r)
		call := n.replyFromStore(kv.Response{Outcome: outcome})
		if len(call.Writes) != 0 || len(call.Conditions) != 4 {
			t.Errorf("got %+v, want a transaction with four conditions and no writes", call)
		}
		if got := takeOutput[request.Response](n); got.Status != status || status == 422 && got.Field != "vcpus" {
			t.Errorf("store outcome %v: unexpected response %+v", outcome, got)
		}
	}
}
