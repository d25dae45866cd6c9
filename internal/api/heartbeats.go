package api

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"yewpass/internal/heartbeat"
	"yewpass/internal/spec"
)

type heartbeatJSON struct {
	Host          string     `json:"host"`
	Address       string     `json:"address"`
	InstanceType  string     `json:"flavor"`
	Zone          string     `json:"hall"`
	Spot          bool       `json:"reclaimable"`
	Incarnation   *uint64    `json:"tenure"`
	Counter       *uint64    `json:"counter"`
	FencingToken  uint64     `json:"epoch"`
	NoticeSeconds *float64   `json:"warningS"`
	Tasks         []taskJSON `json:"shards"`
}

type taskJSON struct {
	Task    string          `json:"shard"`
	Attempt uint64          `json:"try"`
	Phase   heartbeat.Phase `json:"status"`
	Cause   string          `json:"cause"`
}

type orderJSON struct {
	Verb         heartbeat.Verb `json:"verb"`
	Task         string         `json:"shard"`
	Attempt      uint64         `json:"try"`
	DrainSeconds *float64       `json:"drainS,omitempty"`
}

type replyJSON struct {
	FencingToken uint64      `json:"epoch"`
	Orders       []orderJSON `json:"orders"`
}

type upstreamJSON struct {
	Upstream string `json:"upstream,omitempty"`
}

// maxNotice bounds the announced seconds until the termination of a spot machine, which are
// negative once that time has passed.
const maxNotice = 1e8

// decode validates a heartbeat. Its second result is the name of the invalid field, or empty.
func (j *heartbeatJSON) decode() (heartbeat.Report, string) {
	r := heartbeat.Report{Host: j.Host, Address: j.Address, InstanceType: j.InstanceType, Zone: j.Zone, Spot: j.Spot, FencingToken: j.FencingToken}
	switch {
	case j.Host == "" || len(j.Host) > 128:
		return r, "host"
	case len(j.Address) > 128:
		return r, "address"
	case j.InstanceType == "" || len(j.InstanceType) > spec.MaxNameBytes:
		return r, "flavor"
	case j.Zone == "" || len(j.Zone) > spec.MaxNameBytes:
		return r, "hall"
	case j.Incarnation == nil || *j.Incarnation == 0:
		return r, "tenure"
	case j.Counter == nil:
		return r, "counter"
	}
	for _, c := range j.Host {
		if c <= ' ' || c > '~' {
			return r, "host"
		}
	}
	r.Incarnation, r.Counter = *j.Incarnation, *j.Counter
	if j.NoticeSeconds != nil {
		if !(*j.NoticeSeconds >= -maxNotice && *j.NoticeSeconds <= maxNotice) {
			return r, "warningS"
		}
		r.HasNotice = true
		r.Notice = time.Duration(*j.NoticeSeconds * float64(time.Second))
	}
	r.Tasks = make([]heartbeat.Task, 0, len(j.Tasks))
	for _, s := range j.Tasks {
		id, ok := heartbeat.ParseTaskID(s.Task)
		if !ok {
			return r, "shards.shard"
		}
		if !s.Phase.Known() {
			// A newer worker's state: like Pulling, the task occupies the machine.
			s.Phase = heartbeat.Pulling
		}
		r.Tasks = append(r.Tasks, heartbeat.Task{ID: id, Attempt: s.Attempt, Phase: s.Phase, Cause: s.Cause})
	}
	return r, ""
}

// handleHeartbeat serves POST /hello: it passes a heartbeat to the core and writes the orders for
// the worker, or status 421 with the node to report to.
func (s *Server) handleHeartbeat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var j heartbeatJSON
	if !readJSON(w, r, &j) {
		return
	}
	report, invalid := j.decode()
	if invalid != "" {
		writeError(w, http.StatusBadRequest, invalid, invalid+": missing or malformed", 0)
		return
	}
	heartbeatsReceived.Inc()
	s.conns.markBusy(r, true)
	reply := make(chan any, 1)
	s.inbox <- Exchange{heartbeat.Received{Report: report}, reply}
	t := time.NewTimer(heartbeatTimeout)
	defer t.Stop()
	select {
	case v := <-reply:
		answer := v.(heartbeat.Reply)
		switch answer.Status {
		case http.StatusOK:
			out := replyJSON{answer.FencingToken, make([]orderJSON, 0, len(answer.Orders))}
			for _, o := range answer.Orders {
				oj := orderJSON{Verb: o.Verb, Task: o.Task.String(), Attempt: o.Attempt}
				if o.Verb == heartbeat.Stop {
					d := o.Drain.Seconds()
					oj.DrainSeconds = &d
				}
				out.Orders = append(out.Orders, oj)
			}
			writeJSON(w, http.StatusOK, out)
		case http.StatusMisdirectedRequest:
			writeJSON(w, answer.Status, upstreamJSON{answer.Upstream})
		default:
			writeError(w, answer.Status, "", "not entitled to act", 0)
		}
	case <-t.C:
		s.inbox <- Abandoned{reply}
		writeError(w, http.StatusServiceUnavailable, "", "the service is behind", 0)
	case <-r.Context().Done():
		s.inbox <- Abandoned{reply}
	}
}
