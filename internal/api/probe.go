package api

import (
	"encoding/json"
	"net/http"
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/httpjson"
	"yewpass/internal/rpc"
)

// Prober is the actor that sends commands to workers. The core bounds how many
// are on their way.
type Prober struct {
	caller *httpjson.Caller
	inbox  chan<- any
}

// NewProber returns a prober that delivers to inbox. Workers are many and seldom
// probed, so no connection is kept.
func NewProber(inbox chan<- any) *Prober {
	return &Prober{httpjson.NewCaller("", time.Second, -1, 4*maxBody), inbox}
}

type commandJSON struct {
	FencingToken uint64      `json:"epoch"`
	Incarnation  uint64      `json:"tenure"`
	Orders       []orderJSON `json:"orders"`
}

// Do makes the call and delivers its reply.
func (p *Prober) Do(call heartbeat.Probe) {
	go func() {
		r := heartbeat.ProbeReply{Outcome: rpc.Unknown}
		body, _ := json.Marshal(commandJSON{call.FencingToken, call.Incarnation, []orderJSON{}}) // plain struct: cannot fail
		status, data, ok := p.caller.Call(http.MethodPost, call.Address+"/do", body, call.Timeout)
		var j heartbeatJSON
		if ok && (status == http.StatusOK || status == http.StatusConflict) && json.Unmarshal(data, &j) == nil {
			if rep, bad := j.decode(); bad == "" {
				r.Outcome, r.Report = rpc.OK, rep
				if status == http.StatusConflict {
					r.Outcome = rpc.Conflict
				}
			}
		}
		r.Ref = call.Ref
		p.inbox <- r
	}()
}
