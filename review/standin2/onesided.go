package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["onesided"] = playOneSided }

// health is the load balancer's view of one controller, by the rules of the protocol.
type health struct {
	healthy, ever bool
	recent        []bool // the last six probes, the latest last
	good          int    // successes in a row
}

func (h *health) probe(ok bool) {
	h.recent = append(h.recent, ok)
	h.recent = h.recent[max(0, len(h.recent)-6):]
	if h.good++; !ok {
		h.good = 0
	}
	n, failed := len(h.recent), 0
	for _, x := range h.recent {
		if !x {
			failed++
		}
	}
	switch {
	case h.healthy && (failed >= 3 || n >= 2 && !h.recent[n-1] && !h.recent[n-2]):
		h.healthy = false
	case !h.healthy && ok && (!h.ever || h.good >= 2):
		h.healthy, h.ever = true, true
	}
}

// pinnedUser polls over one connection, as the load balancer never moves an open one.
type pinnedUser struct {
	rec    *record
	node   *controller
	client *http.Client
	moved  bool // a second connection was needed, which may go to another controller
}

func (u *pinnedUser) poll(id string) int {
	if u.client == nil {
		dialled := false
		u.client = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{
			MaxConnsPerHost: 1, IdleConnTimeout: time.Hour,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				u.moved, dialled = dialled, true
				return new(net.Dialer).DialContext(ctx, network, address)
			},
		}}
	}
	status, answer := 0, "no answer"
	if resp, err := u.client.Get("http://" + u.node.client + "/v2/runs/" + id); err == nil {
		data, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		status, answer = resp.StatusCode, string(data)
	}
	u.rec.add("GET /v2/runs/%s at %s over the open connection -> %d %s", id, u.node.name, status, short(answer))
	return status
}

// playOneSided restarts a controller that does not lead. With the trouble, the connections of the
// other controllers to it are refused from then on. A user whose connection the load balancer has
// given to it polls there.
func playOneSided(rec *record, trouble bool) (outcome, string) {
	w, why := begin(rec, []flavor{smallBox("sofia-north", "sofia-south")}, 4, settings{teams: oneTeam, zones: []string{"sofia-north", "sofia-south"}})
	if w == nil {
		return couldNotRun, why
	}
	lead := w.leader()
	var b, other *controller
	for _, c := range w.controllers {
		switch {
		case c == lead:
		case b == nil:
			b = c
		default:
			other = c
		}
	}
	const id = "wk-000412"
	w.jobs[id] = description{bundle: "img-07", sizeGB: 0.5, run: 150 * time.Second}
	if status, _ := w.call(lead, "POST", "/v2/runs", submission(id, 4, 1, 1.1)); status != 201 {
		return couldNotRun, "the job was not accepted"
	}
	w.kill(b)
	if trouble {
		for i, c := range w.controllers {
			if c != b {
				w.links[[2]int{i, w.index(b.name)}].refuse()
				rec.add("connections of %s to %s are refused from now on", c.name, b.name)
			}
		}
	}
	time.Sleep(2 * time.Second)
	if err := w.startController(b); err != nil {
		return couldNotRun, err.Error()
	}
	lb := &health{}
	user := &pinnedUser{rec: rec, node: b}
	var failing time.Time // since when every poll at b has failed
	longest, polls, otherPolls, otherAnswered := time.Duration(0), 0, 0, 0
	started := time.Now()
	for second := 0; time.Since(started) < 103*time.Second; second++ {
		tick := time.Now()
		status, _ := w.quiet(b, "GET", "/ready", "")
		before := lb.healthy
		if lb.probe(status == 200); lb.healthy != before {
			rec.add("the load balancer takes %s for healthy: %v", b.name, lb.healthy)
		}
		if !lb.healthy {
			failing = time.Time{} // a sound load balancer sends the user elsewhere
		}
		if second%5 == 4 {
			asked := time.Now()
			for _, c := range []*controller{lead, other} {
				otherPolls++
				if s, _ := w.call(c, "GET", "/v2/runs/"+id, ""); s == 200 {
					otherAnswered++
				}
			}
			if lb.healthy {
				polls++
				switch s := user.poll(id); {
				case user.moved:
					return couldNotRun, "the user's connection has ended"
				case s == 404:
					return ruleBroken, "forgotten: an accepted job gets 404"
				case s == 200:
					failing = time.Time{}
				case failing.IsZero():
					failing = asked
				default:
					longest = max(longest, time.Since(failing))
				}
			}
		}
		time.Sleep(time.Until(tick.Add(time.Second)))
	}
	text := fmt.Sprintf("%d polls at %s, which the load balancer takes for healthy, failed without a break for %.0f s; of %d polls at the others %d were answered", polls, b.name, longest.Seconds(), otherPolls, otherAnswered)
	if longest >= 90*time.Second && 2*otherAnswered > otherPolls {
		return ruleBroken, "forgotten: " + text
	}
	return held, text
}
