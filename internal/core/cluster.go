package core

import (
	"log/slog"
	"maps"
	"slices"

	"yewpass/internal/relaylinks"
	"yewpass/internal/request"
	"yewpass/internal/view"
	"yewpass/internal/zones"
)

// records tells how whole the records are, as the leader knows.
func (c *Core) records() *view.Records {
	l := c.leadership
	r := &view.Records{Era: c.observed.Era}
	if loss := l.restorer.Loss(); loss != nil {
		r.LossReason, r.Source, r.SinceSeconds, r.Restored, r.Pending = loss.Reason, loss.Source, c.Now.Sub(loss.Since).Seconds(), loss.Restored, loss.Pending
	}
	r.UnreadableJobs = slices.Sorted(maps.Keys(l.unreadableJobs))
	r.UnreadableJobs = r.UnreadableJobs[:min(len(r.UnreadableJobs), 10)]
	r.Replicas = l.publisher.CompleteFollowers()
	return r
}

// cluster returns what is known here.
func (c *Core) cluster() *view.Cluster {
	v := &view.Cluster{Node: c.cfg.HostName, Leader: c.election.Leader(), Term: c.election.HighestTerm()}
	own := view.ClusterNode{Name: c.cfg.HostName, Zone: c.cfg.Site, Role: "relay", Link: true, Workers: c.forwarder.Workers()}
	l := c.leadership
	if l != nil {
		v.Leader, v.Term, v.LeadsSeconds, v.Authority = c.cfg.HostName, l.term, c.Now.Sub(l.electedAt).Seconds(), c.hasAuthority()
		v.FailoverComplete, v.Machines, v.Unaccounted, v.MaxMachines = l.loaded && l.allAccounted(), len(l.inventory.Machines()), l.inventory.UnaccountedCount(), relaylinks.MaxFleet(c.cfg)
		own.Role, own.Workers = "leader", l.relays.Direct()
		v.Regions = c.clusterRegions()
		v.Zones, v.Records = c.clusterZones(), c.records()
	} else if !c.election.IsLinkedToLeader() {
		own.Role = "away"
	}
	v.Nodes = append(v.Nodes, own)
	for _, s := range c.cfg.Seeds {
		n := view.ClusterNode{Name: s.HostName, Zone: s.Site, Link: c.election.IsLinked(s.HostName)}
		if s.HostName == c.election.Leader() {
			n.Role = "leader"
		}
		if l != nil {
			n.Role = "away"
			if p := l.relays.Lookup(s.HostName); p != nil {
				n.Workers = p.Workers
				if !p.LastBatch.IsZero() {
					n.LagSeconds = c.Now.Sub(p.LastBatch).Seconds()
				}
				if l.relays.TakesWorkers(s.HostName) {
					n.Role = "relay"
				}
			}
		}
		v.Nodes = append(v.Nodes, n)
	}
	return v
}

func (c *Core) clusterRegions() (rs []view.ClusterRegion) {
	for _, r := range c.leadership.outages.Regions.All() {
		rs = append(rs, view.ClusterRegion{Name: r.Name, State: r.State.String(), StateSeconds: c.Now.Sub(r.Since).Seconds(), Zones: r.Zones, ZonesAway: r.UnreachableZones, Heard: r.Seen.Heard, Silent: r.Seen.Silent})
	}
	return rs
}

func (c *Core) clusterZones() []view.ClusterZone {
	l := c.leadership
	waiting := map[*zones.Zone]int{}
	for _, m := range l.inventory.Machines() {
		if m.Unreachable {
			for _, r := range m.Attempts {
				if r.Occupies {
					waiting[m.ZoneState]++
				}
			}
		}
	}
	var zs []view.ClusterZone
	for _, z := range l.outages.Zones.All() {
		zs = append(zs, view.ClusterZone{Name: z.Name, State: z.State.String(), StateSeconds: c.Now.Sub(z.Since).Seconds(),
			Heard: z.Seen.Heard, Silent: z.Seen.Silent, UnconfirmedTasks: waiting[z]})
	}
	return zs
}

// serveCluster answers what operators ask of the controllers, as the leader.
func (c *Core) serveCluster(call request.Request) {
	if call.Op == request.Cluster {
		c.answer(call, request.Response{Status: 200, Doc: c.cluster()})
		return
	}
	if reason := c.cannotHandOver(); reason != "" {
		c.answer(call, request.Response{Status: 409, Reason: reason})
		return
	}
	c.answer(call, request.Response{Status: 200, Doc: c.cluster()})
	c.handOver("asked for by an operator")
}

// cannotHandOver says what stands against giving the leadership away, or "".
func (c *Core) cannotHandOver() string {
	switch l := c.leadership; {
	case l == nil || !l.loaded:
		return "this node does not lead"
	case !l.allAccounted():
		return "the take-over is not complete"
	case len(l.relays.Nodes()) == 0:
		return "no other controller is in reach"
	}
	return ""
}

// handOver gives the leadership to whoever of the others takes it first.
func (c *Core) handOver(why string) {
	c.election.NoteHandOver()
	c.resign(why)
}

// Leave has a leader hand over before its process ends on purpose.
type Leave struct{}

func (c *Core) leave() {
	if reason := c.cannotHandOver(); reason != "" {
		c.Log(slog.LevelInfo, "leadership not handed over", "reason", reason)
		return
	}
	c.handOver("the process ends")
}
