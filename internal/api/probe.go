package api

import (
	"encoding/json"
	"net/http"
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/httpjson"
	"yewpass/internal/rpc"
)

// Prober sends status requests to workers. The caller limits the number of concurrent requests.
type Prober struct {
	client *httpjson.Client
	inbox  chan<- any
}

// NewProber returns a prober that delivers replies to inbox and keeps no idle connections.
func NewProber(inbox chan<- any) *Prober {
	return &Prober{httpjson.NewClient("", time.Second, -1, 4*maxBodyBytes), inbox}
}

type commandJSON struct {
	FencingToken uint64      `json:"epoch"`
	Incarnation  uint64      `json:"tenure"`
	Orders       []orderJSON `json:"orders"`
}

// Do sends a probe without blocking and delivers its heartbeat.ProbeReply to the inbox. The outcome
// is rpc.Unknown unless the worker sends a valid reply.
func (p *Prober) Do(probe heartbeat.Probe) {
	go func() {
		r := heartbeat.ProbeReply{Outcome: rpc.Unknown}
		body, _ := json.Marshal(commandJSON{probe.FencingToken, probe.Incarnation, []orderJSON{}}) // never fails: a plain struct
		status, data, ok := p.client.Call(http.MethodPost, probe.Address+"/do", body, probe.Timeout)
		var j heartbeatJSON
		if ok && (status == http.StatusOK || status == http.StatusConflict) && json.Unmarshal(data, &j) == nil {
			if report, invalid := j.decode(); invalid == "" {
				r.Outcome, r.Report = rpc.OK, report
				if status == http.StatusConflict {
					r.Outcome = rpc.Conflict
				}
			}
		}
		r.Ref = probe.Ref
		p.inbox <- r
	}()
}
