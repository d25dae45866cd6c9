package core

import (
	"maps"
	"slices"

	"yewpass/internal/config"
	"yewpass/internal/fleet"
	"yewpass/internal/relaylinks"
	"yewpass/internal/view"
	"yewpass/internal/zones"
)

// clusterView returns the state of the cluster as this controller knows it. Only a leader fills in
// the fleet, the zones and the records.
func (c *Core) clusterView() *view.Cluster {
	v := &view.Cluster{Node: c.cfg.HostName, Leader: c.election.Leader(), Term: c.election.HighestTerm()}
	if c.leadership != nil {
		c.addLeaderView(v)
	}
	v.Nodes = append(v.Nodes, c.ownNodeView())
	for _, s := range c.cfg.Seeds {
		v.Nodes = append(v.Nodes, c.peerNodeView(s))
	}
	return v
}

func (c *Core) addLeaderView(v *view.Cluster) {
	l := c.leadership
	v.Leader = c.cfg.HostName
	v.Term = l.term
	v.LeadingSeconds = c.Now.Sub(l.electedAt).Seconds()
	v.Authority = c.hasAuthority()
	v.FailoverComplete = l.loaded && l.allAccounted()
	v.Machines = len(l.inventory.Machines())
	v.Unaccounted = l.inventory.UnaccountedCount()
	v.MaxMachines = relaylinks.MaxFleetSize(c.cfg)
	v.Regions = c.regionViews()
	v.Zones = c.zoneViews()
	v.Records = c.recordsView()
}

func (c *Core) ownNodeView() view.ClusterNode {
	n := view.ClusterNode{Name: c.cfg.HostName, Zone: c.cfg.Site, Role: view.RoleRelay, Link: true, Workers: c.forwarder.Workers()}
	if c.leadership != nil {
		n.Role, n.Workers = view.RoleLeader, c.leadership.relays.DirectWorkers()
	} else if !c.election.IsLinkedToLeader() {
		n.Role = view.RoleDisconnected
	}
	return n
}

// peerNodeView returns the state of another controller. Only the leader knows its relayed workers.
func (c *Core) peerNodeView(s config.Seed) view.ClusterNode {
	n := view.ClusterNode{Name: s.HostName, Zone: s.Site, Link: c.election.IsLinked(s.HostName)}
	if s.HostName == c.election.Leader() {
		n.Role = view.RoleLeader
	}
	if c.leadership == nil {
		return n
	}
	relays := c.leadership.relays
	n.Role = view.RoleDisconnected
	if link := relays.Lookup(s.HostName); link != nil {
		n.Workers = link.Workers
		if !link.LastBatch.IsZero() {
			n.LagSeconds = c.Now.Sub(link.LastBatch).Seconds()
		}
		if relays.AcceptsWorkers(s.HostName) {
			n.Role = view.RoleRelay
		}
	}
	return n
}

const maxUnreadableListed = 10

func (c *Core) recordsView() *view.Records {
	l := c.leadership
	unreadable := slices.Sorted(maps.Keys(l.unreadableJobs))
	r := &view.Records{
		Era:            c.observed.Era,
		UnreadableJobs: unreadable[:min(len(unreadable), maxUnreadableListed)],
		Replicas:       l.publisher.CompleteFollowers(),
	}
	if loss := l.restorer.Loss(); loss != nil {
		r.LossReason = loss.Reason
		r.Source = loss.Source
		r.SinceSeconds = c.Now.Sub(loss.Since).Seconds()
		r.Restored = loss.Restored
		r.Pending = loss.Pending
	}
	return r
}

func (c *Core) regionViews() []view.ClusterRegion {
	var views []view.ClusterRegion
	for _, r := range c.leadership.outages.Regions.All() {
		views = append(views, view.ClusterRegion{
			Name:             r.Name,
			State:            r.State.String(),
			StateSeconds:     c.Now.Sub(r.Since).Seconds(),
			Zones:            r.Zones,
			ZonesUnreachable: r.UnreachableZones,
			Reporting:        r.Counts.Reporting,
			Silent:           r.Counts.Silent,
		})
	}
	return views
}

func (c *Core) zoneViews() []view.ClusterZone {
	l := c.leadership
	unconfirmed := unconfirmedTasks(l.inventory.Machines())
	var views []view.ClusterZone
	for _, z := range l.outages.Zones.All() {
		views = append(views, view.ClusterZone{
			Name:             z.Name,
			State:            z.State.String(),
			StateSeconds:     c.Now.Sub(z.Since).Seconds(),
			Reporting:        z.Counts.Reporting,
			Silent:           z.Counts.Silent,
			UnconfirmedTasks: unconfirmed[z],
		})
	}
	return views
}

// unconfirmedTasks counts by zone the tasks on unreachable machines that may still be running.
func unconfirmedTasks(machines []*fleet.Machine) map[*zones.Zone]int {
	counts := map[*zones.Zone]int{}
	for _, m := range machines {
		if !m.Unreachable {
			continue
		}
		for _, a := range m.Attempts {
			if a.HoldsResources {
				counts[m.ZoneState]++
			}
		}
	}
	return counts
}
