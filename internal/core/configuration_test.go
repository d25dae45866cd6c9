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

// leaderOfThree is a leader with two other controllers in reach.
func leaderOfThree(t *testing.T) *Core {
	t.Helper()
	c := leaderOf(t, 3)
	c.cfg.Seeds = []config.Seed{{HostName: "n1"}, {HostName: "n2"}}
	c.election.SetLink("n1", true)
	c.election.SetLink("n2", true)
	return c
}

// setTeam asks for a change and returns the answer, if there is one at once, and the
// transaction that is to make it.
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

// askConfig asks the leader about its configuration and returns what it answers.
func askConfig(t *testing.T, c *Core, op request.Operation, name string) any {
	t.Helper()
	for _, o := range c.Step(c.Now, request.Request{Ref: 1, Op: op, Config: &request.ConfigParams{Name: name}}) {
		if a, ok := o.(request.Response); ok && a.Status == 200 {
			return a.Document
		}
	}
	t.Fatalf("%s is not answered", op)
	return nil
}

// TestFirstChangeNeedsAll: before all controllers have said that they know live configuration
// no change is taken: one that does not would lead by the settings. Then it is, and a
// controller that is away later holds up nothing.
func TestFirstChangeNeedsAll(t *testing.T) {
	c := leaderOfThree(t)
	lowered := liveconfig.Team{Name: "t", CPUsMax: 7}
	ack := func(from string, speaks uint64) {
		c.Step(c.Now, peermsg.Received{From: from, Msg: peermsg.Message{Kind: peermsg.Ack, Term: 1, Version: speaks}})
	}
	ack("n1", peermsg.Version)
	if a, txn := setTeam(c, 1, lowered); a == nil || a.Status != 503 || a.RetryAfter == 0 || txn != nil {
		t.Errorf("n2 has said nothing: %+v, %+v", a, txn)
	}
	ack("n2", 0) // an older version
	if a, _ := setTeam(c, 2, lowered); a == nil || a.Status != 503 {
		t.Errorf("n2 does not know of it: %+v", a)
	}
	ack("n2", peermsg.Version)
	a, txn := setTeam(c, 3, lowered)
	if a != nil || txn == nil {
		t.Fatalf("all know of it: %+v", a)
	}
	if got := c.leadership.teams["t"].Limit.CPU; got != 0 {
		t.Errorf("in force before it is on record: %d", got)
	}
	outs := c.Step(c.Now, kv.Response{Ref: txn.Ref, Outcome: rpc.OK, Rev: 40})
	if got := c.leadership.teams["t"].Limit.CPU; got != 7000 {
		t.Errorf("not in force once it is on record: %d", got)
	}
	answered := false
	for _, o := range outs {
		if a, ok := o.(request.Response); ok && a.Ref == 3 {
			answered = a.Status == 200 && a.Document == view.ConfigChanged{Revision: 1}
		}
	}
	if !answered || c.leadership.config.HeadRevision() != 40 {
		t.Errorf("%v, head at %d", outs, c.leadership.config.HeadRevision())
	}
	c.Step(c.Now, peermsg.LinkChange{Name: "n2"})
	if a, txn := setTeam(c, 4, liveconfig.Team{Name: "t", CPUsMax: 9}); a != nil || txn == nil {
		t.Errorf("a later change with n2 away: %+v", a)
	}
}

// TestChangeUnanswered: a change whose answer was lost is found by reading back, answered
// once and not made twice; a renewal that meets it meanwhile does not end the leadership.
func TestChangeUnanswered(t *testing.T) {
	c := leaderOf(t, 3)
	_, txn := setTeam(c, 1, liveconfig.Team{Name: "t", CPUsMax: 7})
	if txn == nil {
		t.Fatal("no transaction")
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
		t.Fatal("the head is not read back")
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
		t.Errorf("confirmed %v, revision %d, head %d", confirmed, c.LocalConfig().Revision, c.leadership.config.HeadRevision())
	}
	count(c.Step(c.Now, kv.Response{Ref: txn.Ref, Outcome: rpc.Unknown}))
	for range 300 {
		c.Now = c.Now.Add(10 * time.Millisecond)
		for _, o := range c.Step(c.Now, Tick{}) {
			if call, ok := o.(kv.Request); ok && call.Op == kv.Txn && len(call.Writes) > 0 && call.Writes[0].Key == record.ConfigTeamPrefix+"t" {
				t.Fatal("the change is made again")
			}
		}
	}
	if answers != 1 {
		t.Errorf("answered %d times", answers)
	}
}

// TestDamagedTeamKeepsWhatWasKnown: a record that cannot be read leaves the settings, or
// what a copy has, in force, and is told of.
func TestDamagedTeamKeepsWhatWasKnown(t *testing.T) {
	c := leaderOf(t, 1)
	c.leadership.config.Load(kv.Entry{Key: record.ConfigTeamPrefix + "t", Rev: 7})
	c.leadership.config.Start()
	if v, ok := askConfig(t, c, request.ConfigGet, "t").(view.Team); !ok || !v.Damaged || v.CPUs != 100 {
		t.Errorf("%+v", v)
	}
	if s, _ := askConfig(t, c, request.ConfigStatus, "").(view.ConfigStatus); fmt.Sprint(s.Damaged) != "[team/t]" {
		t.Errorf("%+v", s)
	}
}

// TestRetiredTeam: new jobs are refused by the name of the team, and tasks that run count.
func TestRetiredTeam(t *testing.T) {
	c := leaderOf(t, 1)
	configLeader{c, c.leadership}.ApplyTeams([]liveconfig.Team{{Name: "t", CPUs: 5, Retired: true}})
	spec := &spec.Job{ID: "wk-1", Owner: "t", Tasks: 1, CPUs: 1}
	if refusal := c.leadership.admitter.CheckSchedulable(spec); refusal == nil || refusal.Field != "owner" || refusal.Reason == "" {
		t.Errorf("%+v", refusal)
	}
	configLeader{c, c.leadership}.ApplyTeams([]liveconfig.Team{{Name: "t", CPUs: 5}})
	if refusal := c.leadership.admitter.CheckSchedulable(spec); refusal != nil {
		t.Errorf("back again: %+v", refusal)
	}
}

// TestLeaderVersionAskedFor: a controller that knows the leader from the record alone asks it
// for its version, once a call about the configuration needs it; the leader says so, and
// nobody answers an answer.
func TestLeaderVersionAskedFor(t *testing.T) {
	leader, other := leaderOfThree(t), leaderOfThree(t)
	other.leadership, other.cfg.HostName = nil, "n1"
	other.election.SetLink("n0", true)
	other.election.SetLeader("n0", 1)
	var ask *peermsg.Message
	for _, o := range other.Step(other.Now, request.Request{Ref: 1, Op: request.ConfigStatus, Config: &request.ConfigParams{}}) {
		switch o := o.(type) {
		case peermsg.Outgoing:
			if o.Msg.Kind == peermsg.Ack {
				ask = &o.Msg
			}
		case request.Response:
			if o.Status != 503 || o.RetryAfter == 0 {
				t.Errorf("%+v", o)
			}
		}
	}
	if ask == nil {
		t.Fatal("the leader is not asked")
	}
	told := 0
	for _, o := range leader.Step(leader.Now, peermsg.Received{From: "n1", Msg: *ask}) {
		if p, ok := o.(peermsg.Outgoing); ok && p.Msg.Kind == peermsg.Leader {
			told++
			if p.Msg.Version != peermsg.Version {
				t.Errorf("the leader tells version %d", p.Msg.Version)
			}
			for _, o := range other.Step(other.Now, peermsg.Received{From: "n0", Msg: p.Msg}) {
				if p, ok := o.(peermsg.Outgoing); ok && p.Msg.Kind == peermsg.Ack && p.Msg.Ref == peermsg.VersionRequest {
					t.Error("the answer is answered with a question")
				}
			}
		}
	}
	if told != 1 || other.election.LeaderVersion() != peermsg.Version {
		t.Errorf("told %d times, the leader speaks %d", told, other.election.LeaderVersion())
	}
	forwarded := false
	for _, o := range other.Step(other.Now, request.Request{Ref: 2, Op: request.ConfigStatus, Config: &request.ConfigParams{}}) {
		p, ok := o.(peermsg.Outgoing)
		forwarded = forwarded || ok && p.Msg.Kind == peermsg.Request
	}
	if !forwarded {
		t.Error("the call is not passed on to the leader")
	}
}

// TestWideChangeWaitsForItsRoom: a change of many teams goes whole, once the part of the
// allowance that configuration has holds all of it.
func TestWideChangeWaitsForItsRoom(t *testing.T) {
	c := leaderOf(t, 1)
	c.leadership.writes.Consume(writebatch.Config, c.Now, 10) // two of twelve are left
	var wide []liveconfig.TeamChange
	for i := range c.cfg.Settings.State.TxnOps - 1 {
		wide = append(wide, liveconfig.TeamChange{Team: liveconfig.Team{Name: fmt.Sprint("w", i)}})
	}
	outs := c.Step(c.Now, request.Request{Ref: 1, Op: request.ConfigSet, Config: &request.ConfigParams{Teams: wide}})
	began := c.Now
	for c.Now.Sub(began) < 5*time.Second {
		for _, o := range outs {
			call, ok := o.(kv.Request)
			if !ok || call.Op != kv.Txn || len(call.Writes) == 0 {
				continue
			}
			if len(call.Writes) != len(wide)+1 {
				t.Errorf("%d changes in the transaction", len(call.Writes))
			}
			if after := c.Now.Sub(began); after < time.Second || after > 1500*time.Millisecond {
				t.Errorf("it goes after %s, ten changes come back in 1.1 s", after)
			}
			if room := c.leadership.writes.AvailableWrites(writebatch.Config, c.Now, 12); room > 0 {
				t.Errorf("room for %d more", room)
			}
			return
		}
		c.Now = c.Now.Add(20 * time.Millisecond)
		outs = c.Step(c.Now, Tick{})
	}
	t.Error("it never goes")
}

// TestBacklogOfChangesIsWorkedOff: changes that have piled up, as behind a change of leader,
// go in batches as large as they may be, so that those that keep coming do not outrun them.
func TestBacklogOfChangesIsWorkedOff(t *testing.T) {
	c := leaderOf(t, 1)
	st := c.cfg.Settings.State
	rate := st.WriteRPS * writebatch.ConfigShare
	c.leadership.writes.Consume(writebatch.Config, c.Now, st.TxnOps)
	const piled = 40
	asked, made := 0, 0
	ask := func() []any {
		asked++
		team := liveconfig.TeamChange{Team: liveconfig.Team{Name: fmt.Sprint("team-", asked)}}
		return c.Step(c.Now, request.Request{Ref: uint64(asked), Op: request.ConfigSet, Config: &request.ConfigParams{Teams: []liveconfig.TeamChange{team}}})
	}
	var outs []any
	for range piled {
		outs = append(outs, ask()...)
	}
	began, rev := c.Now, uint64(100)
	next := began
	for made < asked && c.Now.Sub(began) < 5*time.Minute {
		c.Now = c.Now.Add(20 * time.Millisecond)
		if !c.Now.Before(next) { // seven tenths of what the part takes keep coming
			next = next.Add(time.Duration(float64(time.Second) / (0.7 * rate)))
			outs = append(outs, ask()...)
		}
		outs = append(outs, c.Step(c.Now, Tick{})...)
		for len(outs) > 0 {
			o := outs[0]
			outs = outs[1:]
			switch o := o.(type) {
			case request.Response:
				made++
			case kv.Request:
				if o.Op == kv.Txn && len(o.Writes) > 0 {
					rev++
					outs = append(outs, c.Step(c.Now, kv.Response{Ref: o.Ref, Outcome: rpc.OK, Rev: rev})...)
				}
			}
		}
	}
	if made < asked {
		t.Errorf("%d of %d changes are made after %s", made, asked, c.Now.Sub(began))
	}
	t.Logf("%d changes after %s", made, c.Now.Sub(began))
}
