package core

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/kv"
	"yewpass/internal/peermsg"
	"yewpass/internal/provider"
	"yewpass/internal/record"
	"yewpass/internal/relay"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
)

// FuzzInputs checks that no sequence of valid inputs, with any outcome of the resulting calls,
// makes the core panic. Each byte of the data selects the next input or a value in it, often at the
// limits of its range.
func FuzzInputs(f *testing.F) {
	rng := rand.New(rand.NewPCG(2, 9))
	for range 60 {
		data := make([]byte, 12000)
		for i := range data {
			data[i] = byte(rng.Uint32())
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 20000 {
			return
		}
		next := func() int {
			if len(data) == 0 {
				return 0
			}
			b := data[0]
			data = data[1:]
			return int(b)
		}
		pick := func(xs ...string) string { return xs[next()%len(xs)] }
		num := func() uint64 { return []uint64{0, 1, 2, 3, 9, 1 << 28, record.MaxTerm, 1<<63 - 1, 1<<64 - 1}[next()%9] }
		amount := func(largest float64) float64 { return []float64{0, 1e-9, 0.5, 1, 4, largest}[next()%6] }
		span := func() time.Duration {
			return []time.Duration{0, 1, time.Second, time.Minute, 1e8 * time.Second}[next()%5]
		}
		c := newLeader(t, 3)
		c.cfg.Seeds = append(c.cfg.Seeds, struct {
			HostName string `toml:"host_name"`
			Site     string `toml:"site"`
			Endpoint string `toml:"endpoint"`
		}{HostName: "n1"})
		loadNoSchedules(t, c)
		instanceTypes := c.leadership.autoscaler.InstanceTypes
		c.tickLeader()
		counter := uint64(10)
		hosts := []string{"host-000000", "host-000001", "host-000002", "host-x", "a"}
		jobs := []string{"wk-1", "wk-2", "wk-3", "wk-99"}
		task := func() heartbeat.TaskID {
			return heartbeat.TaskID{Job: pick(jobs...), Index: []int{0, 1, 7, spec.MaxTasks - 1}[next()%4]}
		}
		difference := func() time.Duration {
			d := span()
			return d - span()
		}
		report := func() heartbeat.Report {
			r := heartbeat.Report{Host: pick(hosts...), Address: "x", InstanceType: pick("f0", "f2", "none"), Zone: "a", Spot: next()%2 == 0,
				Incarnation: 1, FencingToken: 1, HasNotice: next()%9 == 0, Notice: difference()}
			counter++
			r.Counter = counter
			if c.leadership != nil {
				r.FencingToken = c.leadership.term
			}
			switch next() % 12 { // sometimes a value that no correct worker sends
			case 0:
				r.Incarnation = max(1, num())
			case 1:
				r.Counter = num()
			case 2:
				r.FencingToken = num()
			}
			for range next() % 4 {
				r.Tasks = append(r.Tasks, heartbeat.Task{ID: task(), Attempt: num(), Phase: []heartbeat.Phase{heartbeat.Pulling, heartbeat.Running, heartbeat.Checkpointing, heartbeat.Exited}[next()%4], Cause: pick(heartbeat.CauseDone, heartbeat.CauseError, heartbeat.CauseNoRoom, heartbeat.CauseStopped, "?", "")})
			}
			for range next() % 3 { // tasks that a machine was ordered to start
				if m := c.leadership; m != nil && len(m.inventory.Machines()) > 0 {
					for _, x := range m.inventory.Machines()[next()%len(m.inventory.Machines())].Attempts {
						r.Tasks = append(r.Tasks, heartbeat.Task{ID: x.ID, Attempt: x.Number, Phase: []heartbeat.Phase{heartbeat.Running, heartbeat.Exited}[next()%2], Cause: heartbeat.CauseDone})
					}
				}
			}
			return r
		}
		var calls []any
		step := func(in any) {
			c.Now = c.Now.Add([]time.Duration{time.Millisecond, 50 * time.Millisecond, time.Second, time.Minute}[next()%4])
			if c.leadership == nil && next()%3 == 0 {
				rev := num()
				c.After(0, func() { // in a step, so that its requests are collected
					if c.leadership == nil {
						c.becomeLeader(min(c.election.ConfirmedTerm()+1, 1<<20), rev, 1, c.Now, 0)
					}
				})
			}
			if l := c.leadership; l != nil && next()%20 > 0 {
				l.expiresAt = c.Now.Add(time.Minute)
			}
			for _, o := range slices.Clone(c.Step(c.Now, in)) {
				switch o.(type) {
				case kv.Request, provider.Request, heartbeat.Probe:
					calls = append(calls, o)
				}
			}
			calls = calls[max(0, len(calls)-40):]
		}
		ref := uint64(1e9)
		for len(data) > 0 {
			ref++
			switch next() % 14 {
			case 0:
				step(Tick{})
			case 1, 2:
				step(heartbeat.Received{Ref: ref, Report: report()})
			case 3:
				s := &spec.Job{ID: pick(jobs...), Class: "c", Owner: pick("t", "nobody"), Service: next()%4 == 0, Urgency: spec.Urgency(next() % 4), Tasks: []int{1, 2, 300, spec.MaxTasks}[next()%4],
					CPUs: amount(1e6), GPUs: amount(1e6), MemGB: amount(1e7), Image: "i", ImageGB: amount(1e6), AllowSpot: next()%2 == 0, SamePlace: next()%4 == 0, Apart: next()%4 == 0,
					Runtime: span(), CheckpointInterval: span(), CheckpointTime: span(), Deadline: span(), HasDeadline: next()%2 == 0}
				call := request.Request{Ref: ref, Op: request.Submit, ID: s.ID, Spec: s, From: pick("", "n1")}
				if next()%3 == 0 {
					call.Op, call.Spec = []request.Operation{request.Get, request.Cancel}[next()%2], nil
				}
				step(call)
			case 4:
				step(peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: []peermsg.Kind{peermsg.Ack, peermsg.Response, peermsg.Ack, peermsg.Response, peermsg.Leader}[next()%5], Term: max(1, min(num(), record.MaxTerm)), Ref: ref,
					Response: &request.Response{Status: 200, Job: request.JobStatus{ID: "wk-1", State: spec.Done}}}})
			case 5:
				if q := nightlySchedule(); next()%2 == 0 {
					ops := []request.Operation{request.SchedulePut, request.SchedulePut, request.ScheduleGet, request.ScheduleList, request.ScheduleDelete, request.SchedulePause, request.ScheduleResume, request.ScheduleRun, request.ScheduleUpcoming, request.ScheduleHistory}
					q.Name, q.IdempotencyKey, q.Count = pick("n", "m"), pick("r", "s"), next()%request.MaxCount
					step(request.Request{Ref: ref, Op: ops[next()%len(ops)], Schedule: q})
					continue
				}
				step(peermsg.LinkChange{Name: "n1", Up: next()%2 == 0})
				step(heartbeat.Abandoned{Ref: ref - uint64(next())})
				switch heartbeatReport := report(); next() % 4 {
				case 0: // a valid relay batch
					encoder := relay.NewEncoder(uint64(next()) + 1)
					for range 1 + next()%3 {
						step(peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: peermsg.Heartbeats, Term: max(1, c.election.HighestTerm()), Heartbeats: encoder.Batch([]relay.Delta{encoder.Encode(uint64(next()%3), &heartbeatReport)}, []uint64{uint64(next() % 3)})}})
						heartbeatReport.Counter++
					}
				case 1: // an arbitrary relay batch
					step(peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: peermsg.Heartbeats, Term: max(1, c.election.HighestTerm()), Heartbeats: &relay.Batch{Session: num(), Number: num(), Released: []uint64{num()},
						Reports: []relay.Delta{{Ref: num(), Handle: num(), Incarnation: num(), Counter: num(), FencingToken: num(), Dropped: []int{next() - 9}}}}}})
				case 2: // replies of a leader
					replies := &relay.Replies{Session: num(), Resync: next()%4 == 0, List: []relay.Reply{{Ref: ref - uint64(next()%9)}, {Ref: ref, Status: 421, Upstream: "n2"}}}
					if s := c.forwarder.SessionID(); s != 0 && next()%2 == 0 {
						replies.Session = s
					}
					step(peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: peermsg.HeartbeatReplies, Term: max(1, c.election.HighestTerm()), HeartbeatReplies: replies}})
				}
			default:
				if len(calls) == 0 {
					continue
				}
				i := next() % len(calls)
				call := calls[i]
				calls = slices.Delete(calls, i, i+1)
				outcome := []rpc.Outcome{rpc.OK, rpc.OK, rpc.OK, rpc.OK, rpc.OK, rpc.OK, rpc.OK, rpc.OK, rpc.OK, rpc.Conflict, rpc.NotFound, rpc.Refused, rpc.Invalid, rpc.Unknown}[next()%14]
				switch call := call.(type) {
				case kv.Request:
					if call.Op == kv.KeepAlive && next()%40 > 0 {
						outcome = rpc.OK
					}
					if l := c.leadership; l != nil && call.Key == record.TermKey && next()%4 > 0 {
						step(kv.Response{Ref: call.Ref, Entries: []kv.Entry{{Key: record.TermKey, Value: &record.Term{Term: l.term}, Rev: l.termRevision}}})
						continue
					}
					r := kv.Response{Ref: call.Ref, Outcome: outcome, Rev: num(), LeaseID: 1, FailedKeys: []string{pick("x", record.JobPrefix+"wk-1", record.FinalPrefix+"wk-2", "y", record.TermKey)}, More: next()%4 == 0}
					if call.Op == kv.Get || call.Op == kv.List {
						values := []any{nil, &record.Job{Spec: *plainJob("wk-1", 3)}, &record.Final{State: spec.Done, Done: 3}, &record.Machines{Machines: []record.Machine{{Host: "host-x"}}},
							&record.Progress{Ranges: "0-1"}, &record.Leader{Node: "n1", Term: 5}, &record.Term{Term: 5}}
						key := pick(call.Key, call.Key+"wk-1", call.Key+"machine/x", call.Key+"job/wk-1", call.Key+"progress/wk-1/0")
						if call.Op == kv.Get {
							key = call.Key
						}
						r.Entries = []kv.Entry{{Key: key, Value: values[next()%len(values)], Rev: num()}}
					}
					step(r)
				case provider.Request:
					r := provider.Response{Ref: call.Ref, Outcome: outcome, More: next()%4 == 0}
					r.Hosts = hosts[:min(call.Count, next()%3)]
					r.Instances = []provider.Instance{{Host: pick(hosts...), InstanceType: pick("f0", "none"), Zone: "a", Status: pick("running", "failed", "?"), Age: span()}}
					if call.Op == provider.Catalog {
						r.InstanceTypes = slices.Clone(instanceTypes)
					}
					step(r)
				case heartbeat.Probe:
					step(heartbeat.ProbeReply{Ref: call.Ref, Outcome: outcome, Report: report()})
				}
			}
		}
	})
}
