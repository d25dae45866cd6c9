package reconcile

import (
	"testing"

	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
)

// TestClassify checks that a heartbeat is accepted only if it is newer than the known state of its
// machine, and that one resent by a relay is not taken for a delayed one.
func TestClassify(t *testing.T) {
	known := fleet.Heartbeats{Reported: true, Incarnation: 3, Counter: 7, FencingToken: 5}
	probed := known
	probed.Probed = true
	expired := fleet.Heartbeats{ExpiredIncarnation: 3}
	relayed := heartbeat.RelaySession{Relay: "n1", Session: 1}
	for name, x := range map[string]struct {
		machine                     fleet.Heartbeats
		via                         heartbeat.RelaySession
		incarnation, counter, token uint64
		noAuthority                 bool
		want                        Verdict
	}{
		"first heartbeat":                            {incarnation: 1, counter: 1, want: Accepted},
		"next heartbeat":                             {machine: known, incarnation: 3, counter: 8, token: 5, want: Accepted},
		"first with a newer token":                   {machine: known, incarnation: 3, counter: 8, token: 6, want: Accepted},
		"next incarnation":                           {machine: known, incarnation: 4, counter: 1, token: 5, want: Accepted},
		"repeated":                                   {machine: known, incarnation: 3, counter: 7, token: 5, want: Stale},
		"repeated, through a relay":                  {machine: known, via: relayed, incarnation: 3, counter: 7, token: 5, want: Resent},
		"earlier, through a relay":                   {machine: known, via: relayed, incarnation: 3, counter: 6, token: 5, want: Stale},
		"earlier incarnation":                        {machine: known, incarnation: 2, counter: 9, token: 5, want: Stale},
		"older token":                                {machine: known, incarnation: 3, counter: 8, token: 4, want: Stale},
		"repeated with an older token, by a relay":   {machine: known, via: relayed, incarnation: 3, counter: 7, token: 4, want: Stale},
		"incarnation whose lease has expired":        {machine: expired, incarnation: 3, counter: 9, want: Stale},
		"incarnation after the expired one":          {machine: expired, incarnation: 4, counter: 1, want: Accepted},
		"before the answer to a probe":               {machine: probed, incarnation: 3, counter: 6, token: 4, want: Superseded},
		"the answer to a probe itself":               {machine: probed, incarnation: 3, counter: 7, token: 5, want: Superseded},
		"after the answer to a probe":                {machine: probed, incarnation: 3, counter: 8, token: 5, want: Accepted},
		"before the answer to a probe, no authority": {machine: probed, incarnation: 3, counter: 6, token: 5, noAuthority: true, want: Stale},
	} {
		t.Run(name, func(t *testing.T) {
			m := &fleet.Machine{Heartbeats: x.machine}
			in := heartbeat.Received{Via: x.via, Report: heartbeat.Report{Incarnation: x.incarnation, Counter: x.counter, FencingToken: x.token}}
			if got := Classify(m, in, !x.noAuthority); got != x.want {
				t.Errorf("Classify returned %v, want %v", got, x.want)
			}
		})
	}
}
