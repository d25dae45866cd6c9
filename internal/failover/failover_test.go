package failover

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/kv"
	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/recovery"
	"yewpass/internal/replica"
	"yewpass/internal/replication"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
)

const era, ownTerm = 9, 7

// bench is a recovery with the store and the peers n1 and n2 played by the test.
type bench struct {
	*Recovery
	t        *testing.T
	engine   *engine.Engine
	replicas *replication.Replicas
	higher   uint64 // the term that ended ours
	outcome  *Outcome
}

func (b *bench) Observed() recovery.Observed { return recovery.Observed{Era: era, Term: ownTerm} }
func (b *bench) IsLinked(string) bool        { return true }
func (b *bench) EndTerm(higher uint64)       { b.higher = higher }
func (b *bench) Recovered(o *Outcome)        { b.outcome = o }
func (b *bench) HighestTerm() uint64         { return ownTerm }
func (b *bench) ConfirmedTerm() uint64       { return ownTerm }
func (b *bench) HasLoadedRecords() bool      { return false }

// begin starts a recovery of the term, with own as the replica of an earlier term that this
// process led, if any.
func begin(t *testing.T, term Term, own *replica.Replica) *bench {
	t.Helper()
	b := &bench{t: t, engine: engine.New(rand.New(rand.NewPCG(1, 1)), 1)}
	b.engine.Begin(time.Unix(1000, 0))
	cfg := &config.Config{HostName: "n0", Seeds: []config.Seed{{HostName: "n1"}, {HostName: "n2"}}}
	b.replicas = replication.New(b.engine, cfg, b)
	b.replicas.SetOwn(own)
	term.Number, term.ProcessID, term.LeaderLease = ownTerm, 1, 2*time.Second
	b.Recovery = New(b.engine, b.engine.NewScope(), cfg, b.replicas, b, term)
	b.Start()
	return b
}

// pass lets time go by in steps of 10 ms.
func (b *bench) pass(d time.Duration) {
	for range d / (10 * time.Millisecond) {
		b.engine.Begin(b.engine.Now.Add(10 * time.Millisecond))
		b.engine.RunTimers()
	}
}

// answer answers the store call of the operation that is an output of this step.
func (b *bench) answer(op kv.Op, r kv.Response) {
	b.t.Helper()
	i := slices.IndexFunc(b.engine.Outputs, func(o any) bool {
		call, ok := o.(kv.Request)
		return ok && call.Op == op && b.engine.StoreCallPending(call.Ref)
	})
	if i < 0 {
		b.t.Fatalf("no call of kind %v waits", op)
	}
	r.Ref = b.engine.Outputs[i].(kv.Request).Ref
	b.engine.HandleStore(r)
}

// wants returns whose replica was requested in this step.
func (b *bench) wants() (names []string) {
	for _, o := range b.engine.Outputs {
		if m, ok := o.(peermsg.Outgoing); ok && m.Msg.Kind == peermsg.ReplicaRequest {
			names = append(names, m.To)
		}
	}
	return names
}

func job(id string) replica.Record {
	return replica.Record{Key: record.JobPrefix + id, Value: &record.Job{Spec: spec.Job{ID: id}}, Rev: 3}
}

func replicaOf(term uint64, records ...replica.Record) *replica.Replica {
	r := replica.New(era, term, record.FinalPrefix, 100)
	for _, rec := range records {
		r.Put(rec.Key, rec.Value, rec.Rev)
	}
	return r
}

func page(records ...replica.Record) kv.Response {
	r := kv.Response{Outcome: rpc.OK}
	for _, rec := range records {
		r.Entries = append(r.Entries, kv.Entry{Key: rec.Key, Value: rec.Value, Rev: rec.Rev})
	}
	return r
}

// TestMissingJob: a job that only the replica has is restored if it has no final record, and
// is over if it has one.
func TestMissingJob(t *testing.T) {
	for name, x := range map[string]struct {
		final    kv.Response
		restored int
	}{
		"lost":  {kv.Response{Outcome: rpc.NotFound}, 1},
		"ended": {kv.Response{Outcome: rpc.OK, Entries: []kv.Entry{{Key: record.FinalPrefix + "b", Value: &record.Final{State: spec.Done}, Rev: 5}}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := begin(t, Term{Read: recovery.TermRead{Era: era, Term: 6}}, replicaOf(6, job("a"), job("b")))
			b.answer(kv.List, page(job("a")))
			if b.outcome != nil {
				t.Fatal("the final record is not looked up")
			}
			b.answer(kv.Get, x.final)
			o := b.outcome
			if o == nil || len(o.Restore) != x.restored || len(o.Records) != 1+x.restored || (o.LossReason != "") != (x.restored > 0) {
				t.Fatalf("%+v", o)
			}
			if o.Source != "n0" || o.Replica.Term != ownTerm || o.EarlierLeaderLag != 0 {
				t.Errorf("source %q, term %d, lag %v", o.Source, o.Replica.Term, o.EarlierLeaderLag)
			}
		})
	}
}

// TestFetchFromNextPeer: after a loss the newest replica is fetched, or the next one if its
// holder does not send it; and nothing is loaded while an earlier leader may act.
func TestFetchFromNextPeer(t *testing.T) {
	b := begin(t, Term{Read: recovery.TermRead{Missing: true}, Observed: recovery.Observed{Era: 8, Term: 6}}, nil)
	b.answer(kv.List, page())
	b.HandleKnowledge("n1", &peermsg.PeerState{ReplicaTerm: 4})
	b.HandleKnowledge("n2", &peermsg.PeerState{ReplicaTerm: 5})
	if got := b.wants(); !slices.Equal(got, []string{"n2"}) {
		t.Fatalf("wants %v", got)
	}
	var later []string
	for range 600 { // 6 s
		b.pass(10 * time.Millisecond)
		later = append(later, b.wants()...)
	}
	if !slices.Equal(later, []string{"n1"}) {
		t.Fatalf("then wants %v", later)
	}
	if b.ReceiveReplica("n2", &replica.Line{Era: 8, Term: 5, Session: 1, Number: 1, Complete: true}) {
		t.Error("a line of the peer that was given up is taken")
	}
	if !b.ReceiveReplica("n1", &replica.Line{Era: 8, Term: 4, Session: 2, Number: 1, Complete: true, Puts: []replica.Record{job("a")}}) {
		t.Fatal("the replica is not taken")
	}
	b.AdvanceIfFetched()
	b.answer(kv.Get, kv.Response{Outcome: rpc.NotFound})
	o := b.outcome
	if o == nil || o.Source != "n1" || len(o.Restore) != 1 || o.LossReason == "" || o.EarlierLeaderLag == 0 || !o.NoEarlierTerm {
		t.Fatalf("%+v", o)
	}
}

// TestEarlierLeaderMayAct: after a loss nothing is loaded before an earlier leader's lease is
// surely over.
func TestEarlierLeaderMayAct(t *testing.T) {
	b := begin(t, Term{Read: recovery.TermRead{Missing: true}, Observed: recovery.Observed{Era: 8, Term: 6}}, replicaOf(6))
	b.answer(kv.List, page())
	b.pass(1900 * time.Millisecond)
	if b.outcome != nil {
		t.Fatal("loads while an earlier leader may act")
	}
	b.pass(time.Second)
	if b.outcome == nil {
		t.Fatal("does not go on")
	}
}

// TestStoreSuffices: a peer's replica is not waited for if the store has the same keys; how
// jobs have ended is learned from it later.
func TestStoreSuffices(t *testing.T) {
	b := begin(t, Term{Read: recovery.TermRead{Era: era, Term: 6}}, nil)
	b.answer(kv.List, page(job("a")))
	b.HandleKnowledge("n1", &peermsg.PeerState{ReplicaEra: era, ReplicaTerm: 6, LiveDigest: replica.DigestOf([]replica.Record{job("a")})})
	o := b.outcome
	if o == nil || o.FinalsSource != "n1" || o.Restored != nil || o.LossReason != "" || len(o.Records) != 1 || len(b.wants()) != 0 {
		t.Fatalf("%+v, wants %v", o, b.wants())
	}
}

// TestHigherTermEndsOurs: a leader whose term is below one that a peer knows of ends it.
func TestHigherTermEndsOurs(t *testing.T) {
	b := begin(t, Term{Read: recovery.TermRead{Missing: true}}, nil)
	b.answer(kv.List, page())
	b.HandleKnowledge("n1", &peermsg.PeerState{Observed: recovery.Observed{Era: 8, Term: 12}})
	b.HandleKnowledge("n2", &peermsg.PeerState{})
	if b.higher != 12 || b.outcome != nil {
		t.Errorf("ended by %d, outcome %+v", b.higher, b.outcome)
	}
}
