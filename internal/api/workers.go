package api

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"yewpass/internal/heartbeat"
	"yewpass/internal/spec"
)

type reportJSON struct {
	Host        string      `json:"host"`
	Address     string      `json:"address"`
	Flavor      string      `json:"flavor"`
	Hall        string      `json:"hall"`
	Reclaimable bool        `json:"reclaimable"`
	Tenure      *uint64     `json:"tenure"`
	Counter     *uint64     `json:"counter"`
	Epoch       uint64      `json:"epoch"`
	WarningS    *float64    `json:"warningS"`
	Shards      []shardJSON `json:"shards"`
}

type shardJSON struct {
	Shard  string          `json:"shard"`
	Try    uint64          `json:"try"`
	Status heartbeat.Phase `json:"status"`
	Cause  string          `json:"cause"`
}

type orderJSON struct {
	Verb   heartbeat.Verb `json:"verb"`
	Shard  string         `json:"shard"`
	Try    uint64         `json:"try"`
	DrainS *float64       `json:"drainS,omitempty"`
}

type replyJSON struct {
	Epoch  uint64      `json:"epoch"`
	Orders []orderJSON `json:"orders"`
}

type upstreamJSON struct {
	Upstream string `json:"upstream,omitempty"`
}

// maxNotice bounds the seconds of a notice. One that has run out may be below 0.
const maxNotice = 1e8

// report checks a report; "" or what is wrong with it.
func (j *reportJSON) report() (heartbeat.Report, string) {
	r := heartbeat.Report{Host: j.Host, Address: j.Address, InstanceType: j.Flavor, Zone: j.Hall, Spot: j.Reclaimable, FencingToken: j.Epoch}
	switch {
	case j.Host == "" || len(j.Host) > 128:
		return r, "host"
	case len(j.Address) > 128:
		return r, "address"
	case j.Flavor == "" || len(j.Flavor) > spec.MaxName:
		return r, "flavor"
	case j.Hall == "" || len(j.Hall) > spec.MaxName:
		return r, "hall"
	case j.Tenure == nil || *j.Tenure == 0:
		return r, "tenure"
	case j.Counter == nil:
		return r, "counter"
	}
	for _, c := range j.Host {
		if c <= ' ' || c > '~' {
			return r, "host"
		}
	}
	r.Incarnation, r.Counter = *j.Tenure, *j.Counter
	if j.WarningS != nil {
		if !(*j.WarningS >= -maxNotice && *j.WarningS <= maxNotice) {
			return r, "warningS"
		}
		r.HasNotice = true
		r.Notice = time.Duration(*j.WarningS * float64(time.Second))
	}
	r.Tasks = make([]heartbeat.Task, 0, len(j.Shards))
	for _, s := range j.Shards {
		id, ok := heartbeat.ParseTaskID(s.Shard)
		if !ok {
			return r, "shards.shard"
		}
		if !s.Status.Known() {
			// A state that we do not know is one in which the task is there.
			s.Status = heartbeat.Pulling
		}
		r.Tasks = append(r.Tasks, heartbeat.Task{Task: id, Try: s.Try, Phase: s.Status, Cause: s.Cause})
	}
	return r, ""
}

func (s *Server) hello(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var j reportJSON
	if !body(w, r, &j) {
		return
	}
	rep, bad := j.report()
	if bad != "" {
		fail(w, http.StatusBadRequest, bad, bad+": missing or malformed", 0)
		return
	}
	reports.Inc()
	s.conns.hasRequest(r, true)
	reply := make(chan any, 1)
	s.inbox <- Call{heartbeat.Received{Report: rep}, reply}
	t := time.NewTimer(reportWait)
	defer t.Stop()
	select {
	case v := <-reply:
		a := v.(heartbeat.Reply)
		switch a.Status {
		case http.StatusOK:
			out := replyJSON{a.FencingToken, make([]orderJSON, 0, len(a.Orders))}
			for _, o := range a.Orders {
				oj := orderJSON{Verb: o.Verb, Shard: o.Task.String(), Try: o.Try}
				if o.Verb == heartbeat.Stop {
					d := o.Drain.Seconds()
					oj.DrainS = &d
				}
				out.Orders = append(out.Orders, oj)
			}
			write(w, http.StatusOK, out)
		case http.StatusMisdirectedRequest:
			write(w, a.Status, upstreamJSON{a.Upstream})
		default:
			fail(w, a.Status, "", "not entitled to act", 0)
		}
	case <-t.C:
		s.inbox <- Gone{reply}
		fail(w, http.StatusServiceUnavailable, "", "the service is behind", 0)
	case <-r.Context().Done():
		s.inbox <- Gone{reply}
	}
}
