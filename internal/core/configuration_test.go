package core

import (
	"fmt"
	"testing"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/kv"
	"yewpass/internal/liveconfig"
	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
	"yewpass/internal/view"
	"yewpass/internal/writebatch"
)

// newLeaderWithPeers returns a leader with links to two other controllers.
func newLeaderWithPeers(t *testing.T) *Core {
	t.Helper()
	c := newLeader(t, 3)
	c.cfg.Seeds = []config.Seed{{HostName: "n1"}, {HostName: "n2"}}
	c.election.SetLink("n1", true)
	c.election.SetLink("n2", true)
	return c
}

// setTeam requests a change of a team and returns the immediate response, if any, and the
// transaction that writes the change.
func setTeam(c *Core, ref uint64, team liveconfig.Team) (answer *request.Response, txn *kv.Request) {
	call := request.Request{Ref: ref, Op: request.ConfigSet, Config: &request.ConfigParams{Teams: []liveconfig.TeamChange{{Team: team}}}}
	for _, o := range c.Step(c.Now, call) {
		switch o := o.(type) {
		case request.Response:
			answer = &o
		case kv.Request:
			if o.Op == kv.Txn && len(o.Writes) > 0 {
				txn = &o
			}
		}
	}
	return answer, txn
}

// queryConfig sends a configuration request and returns the document of the response.
func queryConfig(t *testing.T, c *Core, op request.Operation, name string) any {
	t.Helper()
	for _, o := range c.Step(c.Now, request.Request{Ref: 1, Op: op, Config: &request.ConfigParams{Name: name}}) {
		if a, ok := o.(request.Response); ok && a.Status == 200 {
			return a.Document
		}
	}
	t.Fatalf("no response to %s", op)
	return nil
}

// TestFirstConfigChangeRequiresAllPeers checks that the first configuration change, but no later
// one, is refused until every controller has reported support for it.
func TestFirstConfigChangeRequiresAllPeers(t *testing.T) {
	c := newLeaderWithPeers(t)
	lowered := liveconfig.Team{Name: "t", CPUsMax: 7}
	ack := func(from string, version uint64) {
		c.Step(c.Now, peermsg.Received{From: from, Msg: peermsg.Message{Kind: peermsg.Ack, Term: 1, Version: version}})
	}
	ack("n1", peermsg.Version)
	if a, txn := setTeam(c, 1, lowered); a == nil || a.Status != 503 || a.RetryAfter == 0 || txn != nil {
		t.Errorf("n2 has not reported its version: response %+v, transaction %+v, want status 503 and no transaction", a, txn)
	}
	ack("n2", 0) // an older version
	if a, _ := setTeam(c, 2, lowered); a == nil || a.Status != 503 {
		t.Errorf("n2 has an older version: response %+v, want status 503", a)
	}
	ack("n2", peermsg.Version)
	a, txn := setTeam(c, 3, lowered)
	if a != nil || txn == nil {
		t.Fatalf("all peers support the change: response %+v, want a transaction", a)
	}
	if got := c.leadership.teams["t"].Limit.CPU; got != 0 {
		t.Errorf("limit %d applied before the change committed", got)
	}
	outs := c.Step(c.Now, kv.Response{Ref: txn.Ref, Outcome: rpc.OK, Rev: 40})
	if got := c.leadership.teams["t"].Limit.CPU; got != 7000 {
		t.Errorf("limit %d after the change committed, want 7000", got)
	}
	answered := false
	for _, o := range outs {
		if a, ok := o.(request.Response); ok && a.Ref == 3 {
			answered = a.Status == 200 && a.Document == view.ConfigChanged{Revision: 1}
		}
	}
	if !answered || c.leadership.config.HeadRevision() != 40 {
		t.Errorf("outputs %v, head revision %d, want status 200 and 40", outs, c.leadership.config.HeadRevision())
	}
	c.Step(c.Now, peermsg.LinkChange{Name: "n2"})
	if a, txn := setTeam(c, 4, liveconfig.Team{Name: "t", CPUsMax: 9}); a != nil || txn == nil {
		t.Errorf("later change with n2 disconnected: response %+v, want a transaction", a)
	}
}

// TestConfigChangeWithLostResponse checks that a change whose commit was not acknowledged is found
// by reading the head, answered once and not written again, and that a lease renewal that conflicts
// with it does not end the leadership.
func TestConfigChangeWithLostResponse(t *testing.T) {
	c := newLeader(t, 3)
	_, txn := setTeam(c, 1, liveconfig.Team{Name: "t", CPUsMax: 7})
	if txn == nil {
		t.Fatal("the change is not written")
	}
	confirmed := false
	c.Now = c.Now.Add(time.Millisecond)
	c.leadership.config.HandleConflict(0, func() { confirmed = true })
	var read *kv.Request
	for _, o := range c.Outputs {
		if call, ok := o.(kv.Request); ok && call.Op == kv.Get && call.Key == record.ConfigHeadKey {
			read = &call
		}
	}
	if read == nil {
		t.Fatal("the head record is not read")
	}
	answers := 0
	count := func(outs []any) {
		for _, o := range outs {
			if a, ok := o.(request.Response); ok && a.Ref == 1 && a.Status == 200 {
				answers++
			}
		}
	}
	count(c.Step(c.Now, kv.Response{Ref: read.Ref, Outcome: rpc.OK, Entries: []kv.Entry{{Key: record.ConfigHeadKey, Value: &liveconfig.HeadRecord{Revision: 1}, Rev: 40}}}))
	if !confirmed || c.LocalConfig().Revision != 1 || c.leadership.config.HeadRevision() != 40 || c.leadership.teams["t"].Limit.CPU != 7000 {
		t.Errorf("confirmed %v, revision %d, head revision %d, want true, 1, 40 and the new limit", confirmed, c.LocalConfig().Revision, c.leadership.config.HeadRevision())
	}
	count(c.Step(c.Now, kv.Response{Ref: txn.Ref, Outcome: rpc.Unknown}))
	for range 300 {
		c.Now = c.Now.Add(10 * time.Millisecond)
		for _, o := range c.Step(c.Now, Tick{}) {
			if call, ok := o.(kv.Request); ok && call.Op == kv.Txn && len(call.Writes) > 0 && call.Writes[0].Key == record.ConfigTeamPrefix+"t" {
				t.Fatal("the change is written again")
			}
		}
	}
	if answers != 1 {
		t.Errorf("%d responses, want 1", answers)
	}
}

// TestLateHeadRead guards against a configuration that goes back: the head record is read, a change
// is committed, and the response to the read, as old as the read, arrives after that.
func TestLateHeadRead(t *testing.T) {
	c := newLeader(t, 3)
	_, txn := setTeam(c, 1, liveconfig.Team{Name: "t", CPUsMax: 7})
	if txn == nil {
		t.Fatal("the change is not written")
	}
	c.Now = c.Now.Add(time.Millisecond)
	c.leadership.config.HandleConflict(0, func() {})
	read := headRead(t, c)
	c.Step(c.Now, kv.Response{Ref: txn.Ref, Outcome: rpc.OK, Rev: 40})
	c.Step(c.Now, kv.Response{Ref: read.Ref, Outcome: rpc.NotFound})
	reread := headRead(t, c)
	c.Step(c.Now, kv.Response{Ref: reread.Ref, Outcome: rpc.OK, Entries: []kv.Entry{{Key: record.ConfigHeadKey, Value: &liveconfig.HeadRecord{Revision: 1}, Rev: 40}}})
	for _, o := range c.Outputs {
		if call, ok := o.(kv.Request); ok && call.Op == kv.List && call.Key == record.ConfigPrefix {
			t.Error("the configuration is reloaded")
		}
	}
	if c.LocalConfig().Revision != 1 || c.leadership.config.HeadRevision() != 40 || c.leadership.teams["t"].Limit.CPU != 7000 {
		t.Errorf("revision %d, head revision %d, limit %d, want 1, 40 and 7000", c.LocalConfig().Revision, c.leadership.config.HeadRevision(), c.leadership.teams["t"].Limit.CPU)
	}
}

// TestChangeDuringReload guards against a configuration that goes back: a change is committed while
// the records are being reloaded.
func TestChangeDuringReload(t *testing.T) {
	c := newLeader(t, 3)
	c.Now = c.Now.Add(time.Millisecond)
	c.leadership.config.HandleConflict(0, func() {})
	unexpected := kv.Entry{Key: record.ConfigHeadKey, Value: &liveconfig.HeadRecord{Revision: 6}, Rev: 30}
	outs := c.Step(c.Now, kv.Response{Ref: headRead(t, c).Ref, Outcome: rpc.OK, Entries: []kv.Entry{unexpected}})
	var list *kv.Request
	for _, o := range outs {
		if call, ok := o.(kv.Request); ok && call.Op == kv.List && call.Key == record.ConfigPrefix {
			list = &call
		}
	}
	if list == nil {
		t.Fatal("the configuration is not reloaded")
	}
	_, txn := setTeam(c, 1, liveconfig.Team{Name: "t", CPUsMax: 7})
	if txn == nil {
		t.Fatal("the change is not written")
	}
	c.Step(c.Now, kv.Response{Ref: txn.Ref, Outcome: rpc.OK, Rev: 40})
	c.Step(c.Now, kv.Response{Ref: list.Ref, Outcome: rpc.OK, Entries: []kv.Entry{unexpected}})
	if c.leadership.config.HeadRevision() != 40 || c.leadership.teams["t"].Limit.CPU != 7000 {
		t.Errorf("head revision %d, limit %d, want 40 and 7000", c.leadership.config.HeadRevision(), c.leadership.teams["t"].Limit.CPU)
	}
	headRead(t, c) // the head record is read again
}

// headRead returns the read of the configuration's head record in the outputs of the current step.
func headRead(t *testing.T, c *Core) kv.Request {
	t.Helper()
	for _, o := range c.Outputs {
		if call, ok := o.(kv.Request); ok && call.Op == kv.Get && call.Key == record.ConfigHeadKey {
			return call
		}
	}
	t.Fatal("the head record is not read")
	return kv.Request{}
}

// TestUnreadableTeamRecord checks that a team with an unreadable record keeps its settings and is
// reported as damaged.
func TestUnreadableTeamRecord(t *testing.T) {
	c := newLeader(t, 1)
	c.leadership.config.Load(kv.Entry{Key: record.ConfigTeamPrefix + "t", Rev: 7})
	c.leadership.config.Start()
	if v, ok := queryConfig(t, c, request.ConfigGet, "t").(view.Team); !ok || !v.Damaged || v.CPUs != 100 {
		t.Errorf("team %+v, want damaged with 100 CPUs", v)
	}
	if s, _ := queryConfig(t, c, request.ConfigStatus, "").(view.ConfigStatus); fmt.Sprint(s.Damaged) != "[team/t]" {
		t.Errorf("status %+v, want team/t damaged", s)
	}
}

// TestRetiredTeamRejectsJobs checks that new jobs of a retired team are refused until it is
// reinstated.
func TestRetiredTeamRejectsJobs(t *testing.T) {
	c := newLeader(t, 1)
	configLeader{c, c.leadership}.ApplyTeams([]liveconfig.Team{{Name: "t", CPUs: 5, Retired: true}})
	spec := &spec.Job{ID: "wk-1", Owner: "t", Tasks: 1, CPUs: 1}
	if refusal := c.leadership.admitter.CheckSchedulable(spec); refusal == nil || refusal.Field != "owner" || refusal.Reason == "" {
		t.Errorf("refusal %+v, want field owner with a reason", refusal)
	}
	configLeader{c, c.leadership}.ApplyTeams([]liveconfig.Team{{Name: "t", CPUs: 5}})
	if refusal := c.leadership.admitter.CheckSchedulable(spec); refusal != nil {
		t.Errorf("reinstated team is refused: %+v", refusal)
	}
}

// TestLeaderVersionRequest checks that a controller that knows the leader only from the leader
// record requests its version, once, when a configuration call needs it.
func TestLeaderVersionRequest(t *testing.T) {
	leader, other := newLeaderWithPeers(t), newLeaderWithPeers(t)
	other.leadership, other.cfg.HostName = nil, "n1"
	other.election.SetLink("n0", true)
	other.election.SetLeader("n0", 1)
	var versionRequest *peermsg.Message
	for _, o := range other.Step(other.Now, request.Request{Ref: 1, Op: request.ConfigStatus, Config: &request.ConfigParams{}}) {
		switch o := o.(type) {
		case peermsg.Outgoing:
			if o.Msg.Kind == peermsg.Ack {
				versionRequest = &o.Msg
			}
		case request.Response:
			if o.Status != 503 || o.RetryAfter == 0 {
				t.Errorf("response %+v, want status 503 with Retry-After", o)
			}
		}
	}
	if versionRequest == nil {
		t.Fatal("the leader's version is not requested")
	}
	replies := 0
	for _, o := range leader.Step(leader.Now, peermsg.Received{From: "n1", Msg: *versionRequest}) {
		if p, ok := o.(peermsg.Outgoing); ok && p.Msg.Kind == peermsg.Leader {
			replies++
			if p.Msg.Version != peermsg.Version {
				t.Errorf("the leader replies with version %d, want peermsg.Version", p.Msg.Version)
			}
			for _, o := range other.Step(other.Now, peermsg.Received{From: "n0", Msg: p.Msg}) {
				if p, ok := o.(peermsg.Outgoing); ok && p.Msg.Kind == peermsg.Ack && p.Msg.Ref == peermsg.VersionRequest {
					t.Error("the reply causes another version request")
				}
			}
		}
	}
	if replies != 1 || other.election.LeaderVersion() != peermsg.Version {
		t.Errorf("%d replies, leader version %d, want one reply with peermsg.Version", replies, other.election.LeaderVersion())
	}
	forwarded := false
	for _, o := range other.Step(other.Now, request.Request{Ref: 2, Op: request.ConfigStatus, Config: &request.ConfigParams{}}) {
		p, ok := o.(peermsg.Outgoing)
		forwarded = forwarded || ok && p.Msg.Kind == peermsg.Request
	}
	if !forwarded {
		t.Error("the call is not forwarded to the leader")
	}
}

// TestLargeConfigChangeWaitsForWriteBudget checks that a change of many teams is written in one
// transaction once the write budget of configuration covers it.
func TestLargeConfigChangeWaitsForWriteBudget(t *testing.T) {
	c := newLeader(t, 1)
	c.leadership.writes.Consume(writebatch.Config, c.Now, 10) // leaves two of twelve writes
	var changes []liveconfig.TeamChange
	for i := range c.cfg.Settings.State.TxnOps - 1 {
		changes = append(changes, liveconfig.TeamChange{Team: liveconfig.Team{Name: fmt.Sprint("w", i)}})
	}
	outs := c.Step(c.Now, request.Request{Ref: 1, Op: request.ConfigSet, Config: &request.ConfigParams{Teams: changes}})
	began := c.Now
	for c.Now.Sub(began) < 5*time.Second {
		for _, o := range outs {
			call, ok := o.(kv.Request)
			if !ok || call.Op != kv.Txn || len(call.Writes) == 0 {
				continue
			}
			if len(call.Writes) != len(changes)+1 {
				t.Errorf("transaction with %d writes, want the head and all changes", len(call.Writes))
			}
			if after := c.Now.Sub(began); after < time.Second || after > 1500*time.Millisecond {
				t.Errorf("transaction sent after %s, want 1 to 1.5 s, in which the budget refills ten writes", after)
			}
			if room := c.leadership.writes.AvailableWrites(writebatch.Config, c.Now, 12); room > 0 {
				t.Errorf("%d writes available after the transaction, want none", room)
			}
			return
		}
		c.Now = c.Now.Add(20 * time.Millisecond)
		outs = c.Step(c.Now, Tick{})
	}
	t.Error("no transaction within 5 s")
}

// TestConfigBacklogDrains checks that a backlog of configuration changes drains while further
// changes arrive.
func TestConfigBacklogDrains(t *testing.T) {
	c := newLeader(t, 1)
	st := c.cfg.Settings.State
	rate := st.WriteRPS * writebatch.ConfigShare
	c.leadership.writes.Consume(writebatch.Config, c.Now, st.TxnOps)
	const backlog = 40
	requested, written := 0, 0
	sendChange := func() []any {
		requested++
		team := liveconfig.TeamChange{Team: liveconfig.Team{Name: fmt.Sprint("team-", requested)}}
		return c.Step(c.Now, request.Request{Ref: uint64(requested), Op: request.ConfigSet, Config: &request.ConfigParams{Teams: []liveconfig.TeamChange{team}}})
	}
	var outs []any
	for range backlog {
		outs = append(outs, sendChange()...)
	}
	began, rev := c.Now, uint64(100)
	next := began
	for written < requested && c.Now.Sub(began) < 5*time.Minute {
		c.Now = c.Now.Add(20 * time.Millisecond)
		if !c.Now.Before(next) { // new changes arrive at 70% of the write rate
			next = next.Add(time.Duration(float64(time.Second) / (0.7 * rate)))
			outs = append(outs, sendChange()...)
		}
		outs = append(outs, c.Step(c.Now, Tick{})...)
		for len(outs) > 0 {
			o := outs[0]
			outs = outs[1:]
			switch o := o.(type) {
			case request.Response:
				written++
			case kv.Request:
				if o.Op == kv.Txn && len(o.Writes) > 0 {
					rev++
					outs = append(outs, c.Step(c.Now, kv.Response{Ref: o.Ref, Outcome: rpc.OK, Rev: rev})...)
				}
			}
		}
	}
	if written < requested {
		t.Errorf("%d of %d changes written after %s", written, requested, c.Now.Sub(began))
	}
	t.Logf("%d changes written after %s", written, c.Now.Sub(began))
}
