package core

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"yewpass/internal/config"
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/provider"
	"yewpass/internal/quota"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
)

// instanceOffer is a kind of machine that can be rented.
type instanceOffer struct {
	instanceType string
	zone         string
	spot         bool
}

// autoscaler is what the leader knows of the cloud.
type autoscaler struct {
	instanceTypes     []provider.InstanceType
	callLimit         *rate.Limiter
	noCapacityUntil   map[instanceOffer]time.Time // no capacity until then
	pending           map[string]*pendingRequest  // requests whose outcome is not known
	requestCount      uint64                      // names never repeat: term and this
	backlog           time.Duration
	cpus              float64 // at hand or on their way
	burstCPUs         float64 // CPUs that a job takes which must start at once
	burstAt           time.Time
	bootPatience      map[string]float64 // by type, how much longer than usual boots take at present
	releases          []string
	releaseInFlight   bool
	fleetFull         bool // the controllers cannot serve more machines
	catalogUnreadable bool // the cloud's catalog could not be read last time
	catalogRead       bool // it has been read in this term: only then is a type that it lacks none
}

type pendingRequest struct {
	instanceOffer
	count       int
	cpus        float64
	requestedAt time.Time
}

func newAutoscaler(cfg *config.Config) autoscaler {
	rps := cfg.Settings.Cloud.RPS
	return autoscaler{
		callLimit: rate.NewLimiter(rate.Limit(rps*0.8), max(1, int(rps))), noCapacityUntil: map[instanceOffer]time.Time{},
		pending: map[string]*pendingRequest{}, bootPatience: map[string]float64{},
	}
}

func (r *autoscaler) instanceType(name string) *provider.InstanceType {
	for i := range r.instanceTypes {
		if r.instanceTypes[i].Name == name {
			return &r.instanceTypes[i]
		}
	}
	return nil
}

// requested is how many machines may come of the requests under way.
func (r *autoscaler) requested() (n int) {
	for _, w := range r.pending {
		n += w.count
	}
	return n
}

// mayHaveCapacity reports whether some zone may have capacity for the type.
func (r *autoscaler) mayHaveCapacity(f *provider.InstanceType, reclaimable bool, now time.Time) bool {
	for _, z := range f.Zones {
		if now.After(r.noCapacityUntil[instanceOffer{f.Name, z, false}]) || reclaimable && now.After(r.noCapacityUntil[instanceOffer{f.Name, z, true}]) {
			return true
		}
	}
	return false
}

// refreshCatalog reads the machine types and prices.
func (c *Core) refreshCatalog() {
	l := c.leadership
	c.CallCloud(provider.Request{Op: provider.Catalog}, func(r provider.Response) {
		if c.leadership != l {
			return
		}
		if r.Outcome != rpc.OK || len(r.InstanceTypes) == 0 {
			if !l.autoscaler.catalogUnreadable {
				l.autoscaler.catalogUnreadable = true
				c.Log(slog.LevelWarn, "instance types cannot be read", "known", len(l.autoscaler.instanceTypes))
			}
			c.afterWhileLeading(c.Jitter(time.Second), c.refreshCatalog)
			return
		}
		l.autoscaler.catalogUnreadable = false
		c.applyCatalog(r.InstanceTypes)
		c.afterWhileLeading(30*time.Second, c.refreshCatalog)
	})
}

// applyCatalog takes the machine types as the catalog has them now: prices move, and types come.
func (c *Core) applyCatalog(flavors []provider.InstanceType) {
	l := c.leadership
	l.autoscaler.instanceTypes, l.autoscaler.catalogRead = flavors, true
	for _, m := range l.fleet {
		if f := l.autoscaler.instanceType(m.TypeName); m.InstanceType == nil {
			c.setInstanceType(m)
			l.dispatchAll = true
		} else if f != nil {
			m.InstanceType = f
		}
	}
}

// maxListed ends a list that goes on and on: names that rise for ever would have us
// read and remember for ever. No fleet comes near it.
const maxListed = 100_000

// listInstances reads the cloud's list, to find machines that an earlier leader
// or a late request rented, and those that have failed.
func (c *Core) listInstances(after string, got []provider.Instance) {
	l := c.leadership
	again := 6 * time.Second
	c.CallCloud(provider.Request{Op: provider.List, After: after}, func(r provider.Response) {
		if c.leadership != l {
			return
		}
		if r.Outcome != rpc.OK {
			c.afterWhileLeading(c.Jitter(again), func() { c.listInstances("", nil) })
			return
		}
		got = append(got, r.Instances...)
		if r.More && len(got) < maxListed {
			c.listInstances(r.Instances[len(r.Instances)-1].Host, got)
			return
		}
		for _, h := range got {
			c.handleListed(h)
		}
		c.afterWhileLeading(again, func() { c.listInstances("", nil) })
	})
}

func (c *Core) handleListed(h provider.Instance) {
	l := c.leadership
	if l.released.Has(h.Host) {
		return // the list lags
	}
	m := l.machines[h.Host]
	if m == nil {
		m = c.ensureMachine(h.Host, h.InstanceType, h.Zone, h.Spot)
		m.RentedAt = c.Now.Add(-h.Age)
		if m.InstanceType != nil {
			m.ReadyAt = m.RentedAt.Add(m.InstanceType.BootTime)
		}
		l.dispatchAll = true
	}
	if h.Status == "failed" && !m.Releasing {
		c.Log(slog.LevelWarn, "machine failed", "machine", h.Host)
		c.release(m)
	}
}

// release returns a machine. Once the cloud has confirmed it, the machine and
// all that was on it are gone.
func (c *Core) release(m *fleet.Machine) {
	if m.Releasing {
		return
	}
	m.Releasing = true
	c.leadership.autoscaler.releases = append(c.leadership.autoscaler.releases, m.Host)
	c.leadership.placement.DropMachineReservations(m)
}

func (c *Core) sendReleases() {
	l := c.leadership
	rent := &l.autoscaler
	if rent.releaseInFlight || len(rent.releases) == 0 || !c.canAct() || !rent.callLimit.AllowN(c.Now, 1) {
		return
	}
	rent.releaseInFlight = true
	hosts := slices.Clone(rent.releases[:min(len(rent.releases), 100)])
	c.CallCloud(provider.Request{Op: provider.Release, Hosts: hosts}, func(r provider.Response) {
		if c.leadership != l {
			return
		}
		rent.releaseInFlight = false
		if r.Outcome != rpc.OK {
			return // still in the list of releases: tried again
		}
		for _, h := range hosts {
			rent.releases = slices.DeleteFunc(rent.releases, func(x string) bool { return x == h })
			c.confirmReleased(h)
		}
		c.sendReleases()
	})
}

// confirmReleased: the machine is proven gone.
func (c *Core) confirmReleased(host string) {
	l := c.leadership
	m := l.machines[host]
	l.released.Add(host, c.Now)
	if m == nil {
		return
	}
	for _, r := range slices.Clone(m.Attempts) {
		c.dropAttempt(r)
	}
	if m.HeldReply != nil {
		c.refuseHeldReply(m)
	}
	l.clearReportsVia(m)
	delete(l.machines, host)
	l.places.Forget(host)
	if i := l.fleetIndex(host); i < len(l.fleet) && l.fleet[i] == m {
		l.fleet = slices.Delete(l.fleet, i, i+1)
	}
	c.markAccounted(host)
	c.removeFromRecord(m)
}

// maxIsolatedLeases is for how many leases we take ourselves to be cut off rather than most of
// the machines to be gone.
const maxIsolatedLeases = 2

// tickFleet does what the passing of time asks for.
func (c *Core) tickFleet() {
	l := c.leadership
	c.demand()
	e := c.policyEnv()
	secs := timeline.Seconds
	l.holdIdle, l.holdBusy = secs(c.pol.HoldIdle(e)), secs(c.pol.HoldBusy(e))
	l.placement.Margin, l.reportBudget = c.pol.Margin(e), c.pol.ReportBytes(e)
	c.leadership.placement.FindOverdue(secs(c.pol.BeginWithin(e)))
	silent, idle := secs(c.pol.SilentRelease(e)), secs(c.pol.IdleReturn(e))
	if !c.canAct() {
		return
	}
	c.noteSilentRelays()
	c.observeZones()
	// When most machines fall silent at once, it is rather we who are cut off.
	quiet, reporting := 0, 0
	overdue := map[*fleet.RelayLink]int{}
	for _, m := range l.fleet {
		if m.Reported && !m.Unreachable {
			reporting++
			if m.ReportsVia != nil && c.Now.Sub(m.LastHeartbeat) > overdueHeartbeat(c.heartbeatInterval) {
				overdue[m.ReportsVia]++
			}
			if c.Now.Sub(c.lastHeard(m)) > silent {
				quiet++
			}
		}
	}
	c.noteIsolatedRelays(overdue)
	takeover := silent
	if 2*len(l.unaccounted) < reporting {
		takeover = secs(c.pol.TakeoverRelease(e))
	}
	cutOff := quiet > 2 && 2*quiet > reporting
	if !cutOff {
		l.lastMostlyHeardAt = c.Now
	} else if c.Now.Sub(l.lastMostlyHeardAt) > maxIsolatedLeases*c.workerLease {
		// Machines that are no more, of which a late report has told, must not stand in
		// the way of all others for ever: they count as room, and nothing is rented.
		cutOff = false
	}
	for _, m := range slices.Clone(l.fleet) {
		c.reviewMachine(m, silent, takeover, idle, cutOff)
	}
	c.dropExpiredMachineRecords()
	c.reserveWarmRoom(c.pol.Warm(e))
	c.preemptForGuarantees()
	c.scaleIn()
	l.placement.RereserveOverdue(tickEvery)
	// Releases go first: a take-over may wait for one, and rentals use up what
	// calls the cloud allows for as long as there is a backlog.
	c.sendReleases()
	c.scaleOut(secs(c.pol.RentBacklog(e)), secs(c.pol.OrdinaryBacklog(e)))
}

// reviewMachine looks after one machine.
func (c *Core) reviewMachine(m *fleet.Machine, silent, takeover, idle time.Duration, cutOff bool) {
	l := c.leadership
	if (len(m.Attempts) > 0 || l.unaccounted[m.Host]) && (m.Reported || l.unaccounted[m.Host]) {
		if at, ok := c.leaseExpiry(m); ok && c.Now.After(at) {
			c.expireLease(m)
		}
	}
	if m.Releasing {
		return
	}
	seen := c.lastHeard(m)
	if l.unaccounted[m.Host] && (!m.Reported || seen != m.LastHeartbeat) && takeover < silent {
		// Everything waits for it. When most others have found us, it is gone
		// or cut off.
		silent = takeover
		if m.FailedProbes >= maxProbeAttempts {
			silent /= 2 // it does not answer us either
		}
	}
	if !m.InterruptionAt.IsZero() && c.Now.After(m.InterruptionAt.Add(time.Second)) {
		// Its notice has run out: a report that is a little overdue says enough.
		silent = min(silent, c.heartbeatInterval*3/4)
	}
	// A zone that returns does so over a report interval, and so do those who have tried
	// in vain while we had no authority.
	last := maxTime(seen, maxTime(m.ZoneState.Since, l.resumedAt))
	if !m.Reported {
		last = maxTime(last, maxTime(m.KnownSince, l.electedAt))
	}
	wait := c.silenceLimit(m, silent)
	booting := m.LastHeartbeat.IsZero() && !l.unaccounted[m.Host]
	if booting {
		// Some machines take several times as long, a few never come up.
		ready := 30 * time.Second
		if m.InstanceType != nil {
			ready = m.InstanceType.BootTime
		}
		last, wait = m.RentedAt, max(3*ready, ready+30*time.Second)
		if p := l.autoscaler.bootPatience[m.TypeName]; p > 0 {
			wait = timeline.Seconds(wait.Seconds() * p)
		}
		if m.KnownSince.Add(3 * silent).After(last.Add(wait)) {
			last, wait = m.KnownSince, 3*silent
		}
	}
	switch {
	case m.Unreachable && !l.unaccounted[m.Host] && (!booting || c.Now.Sub(last) <= 2*wait):
		// Its zone is cut off: see releaseLostZones.
	case c.Now.Sub(last) > wait && (!cutOff || booting):
		c.Log(slog.LevelWarn, "releasing silent machine", "machine", m.Host, "type", m.TypeName, "silent", c.Now.Sub(last), "tasks", len(m.Attempts), "booted", !booting)
		if booting && !m.Unreachable {
			// When boots take longer than that for a while, giving up each time
			// would never get a machine.
			l.autoscaler.bootPatience[m.TypeName] = min(max(l.autoscaler.bootPatience[m.TypeName], 1)*1.25, 6)
		}
		c.release(m)
		return
	case m.InstanceType == nil && l.autoscaler.catalogRead:
		c.release(m) // of a type that the catalog does not have
		return
	}
	if !m.Reported {
		return
	}
	c.drainMachine(m)
	if len(m.Attempts) > 0 {
		return
	}
	age := c.Now.Sub(m.RentedAt)
	switch {
	case m.Quarantined, m.Draining, !m.InterruptionAt.IsZero():
		c.release(m)
	case c.Now.Sub(m.IdleSince) > idle && age > 50*time.Second && !c.isWanted(m):
		c.Log(slog.LevelInfo, "releasing idle machine", "machine", m.Host, "type", m.TypeName)
		c.release(m)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isWanted reports whether waiting tasks could use the machine.
func (c *Core) isWanted(m *fleet.Machine) bool {
	return slices.ContainsFunc(c.leadership.placement.Queue, func(j *fleet.Job) bool {
		return m.EligibleFor(j) && c.leadership.placement.CouldStart(j)
	})
}

// drainMachine empties a machine that the cloud takes away or that is condemned: tasks
// that will not be over in time save and go, the others finish.
func (c *Core) drainMachine(m *fleet.Machine) {
	if !m.Quarantined && !m.Draining && m.InterruptionAt.IsZero() {
		return
	}
	for _, r := range m.Attempts {
		if r.Phase == heartbeat.Exited || r.StopRequested || r.Job == nil {
			continue
		}
		left := m.InterruptionAt.Sub(c.Now)
		switch {
		case m.Quarantined:
		case m.InterruptionAt.IsZero():
			// Only what saves is moved, and only when it has long to go.
			s := &r.Job.Spec
			if r.Phase != heartbeat.TaskRuns || s.CheckpointInterval <= 0 || c.remaining(r) < 2*s.CheckpointTime+10*time.Second {
				continue
			}
		case r.Phase == heartbeat.TaskRuns && !r.Job.Spec.Service:
			end := r.StartedAt.Add(c.leadership.placement.Estimate(r.Job))
			if end.Before(m.InterruptionAt) {
				continue
			}
			if s := r.Job.Spec.CheckpointTime; r.Job.Spec.CheckpointInterval > 0 && left > s+3*time.Second+c.heartbeatInterval {
				continue // saves a little later, as late as is safe
			}
		}
		r.StopRequested, r.DrainTime = true, 0
		if s := r.Job.Spec.CheckpointTime; r.Job.Spec.CheckpointInterval > 0 && (m.InterruptionAt.IsZero() || left > s) {
			r.DrainTime = s + time.Second
		}
		c.requestDispatch(m)
	}
}

// remaining is how long a run still takes, as far as we know.
func (c *Core) remaining(r *fleet.Attempt) time.Duration {
	if r.Job.Spec.Service {
		return timeline.Forever
	}
	return r.StartedAt.Add(c.leadership.placement.Estimate(r.Job)).Sub(c.Now)
}

// recordArrival takes note of a new job's work.
func (c *Core) recordArrival(j *fleet.Job) {
	rent := &c.leadership.autoscaler
	secs := quota.ArrivalMemory.Seconds()
	if !j.Spec.Service {
		secs = c.leadership.placement.Estimate(j).Seconds()
	}
	if j.StartsAtOnce {
		cpus := float64(j.Spec.Tasks) * float64(j.Need.CPU) / 1000
		if rent.burstAt.IsZero() {
			rent.burstCPUs = cpus
		}
		rent.burstCPUs += 0.15 * (cpus - rent.burstCPUs)
		rent.burstAt = c.Now
	}
	t := j.Team
	t.Load = t.ExpectedCPUs(c.Now) + float64(j.Spec.Tasks)*float64(j.Need.CPU)/1000*secs/quota.ArrivalMemory.Seconds()
	t.LoadAt = c.Now
}

// ExpectedCPUs is how many CPUs the work of late arrivals keeps busy, as far as the
// teams' limits let it.
func (c *Core) expectedCPUs() float64 {
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(c.leadership.teams)) {
		t := c.leadership.teams[name]
		x := t.ExpectedCPUs(c.Now)
		if t.Limit.CPU > 0 {
			x = min(x, float64(t.Limit.CPU)/1000)
		}
		sum += x
	}
	return sum
}

// scaleIn empties the machines that are the dearest to keep when what runs
// on them fits on the others, with some room for what is to be expected.
func (c *Core) scaleIn() {
	l := c.leadership
	used, free, draining := 0.0, 0.0, 0
	var spare []*fleet.Machine
	for _, m := range l.fleet {
		if m.Draining && !m.Releasing {
			draining++
		}
		if !m.Usable() || !m.Reported {
			continue
		}
		u := float64(m.Allocated.CPU) / 1000
		used += u
		free += float64(m.Room().CPU) / 1000
		if c.Now.Sub(m.RentedAt) < 50*time.Second {
			continue // it is paid for a minute anyway
		}
		spare = append(spare, m)
	}
	waits := len(l.placement.Queue) > 0 && l.autoscaler.backlog > time.Second
	if waits {
		for _, m := range l.fleet {
			if m.Draining && !m.Releasing && l.autoscaler.backlog > 10*time.Second {
				m.Draining = false // needed after all
			}
		}
		return
	}
	if !l.allAccounted() {
		return
	}
	// The dearest first, among those of about the same price the emptiest.
	dear := func(m *fleet.Machine) int { return int(math.Round(50 * math.Log(m.PerCPU()+1e-9))) }
	slices.SortStableFunc(spare, func(a, b *fleet.Machine) int {
		if x := cmp.Compare(dear(b), dear(a)); x != 0 {
			return x
		}
		return cmp.Compare(a.Allocated.CPU*b.Timeline.Capacity().CPU, b.Allocated.CPU*a.Timeline.Capacity().CPU)
	})
	reserve := max(c.expectedCPUs()-used, 0) + 0.1*used + 2
	most := draining + 1 + len(l.fleet)/drainDivisor
	for _, m := range spare {
		if draining >= most || draining > len(l.fleet)/3 {
			break
		}
		if free-m.InstanceType.CPUs < reserve {
			continue // what the others have, less what would move to them
		}
		free -= m.InstanceType.CPUs
		draining++
		m.Draining = true
		c.Log(slog.LevelInfo, "draining machine", "machine", m.Host, "type", m.TypeName, "spot", m.Spot, "tasks", len(m.Attempts))
		c.leadership.placement.DropMachineReservations(m)
	}
}

// drainDivisor bounds how many machines begin to drain at a time: one, and one
// more for so many that there are.
const drainDivisor = 20

// supply is how many CPUs are at hand or on their way.
func (c *Core) supply(ordinaryOnly bool) (total, free float64) {
	for _, m := range c.leadership.fleet {
		if !m.Usable() || ordinaryOnly && m.Spot {
			continue
		}
		if !m.Reported && c.Now.Sub(m.RentedAt) > 2*m.InstanceType.BootTime+10*time.Second {
			continue // not to be counted on
		}
		total += m.InstanceType.CPUs
		free += float64(m.Room().CPU) / 1000
	}
	for _, r := range c.leadership.autoscaler.pending {
		if !ordinaryOnly || !r.spot {
			total += r.cpus
			free += r.cpus
		}
	}
	return total, free
}

// demand sums up what waits: CPUs and CPU seconds.
func (c *Core) demand() (cpus, work, ordinaryCPUs, ordinaryWork float64) {
	l := c.leadership
	room := map[*quota.Account]float64{}
	for _, j := range l.placement.Queue {
		if j.Halted() || c.Now.Before(j.RetryAt) || j.Spec.Zone != "" && !l.zones.Zone(j.Spec.Zone).Rents() {
			continue // machines elsewhere would be rented for nothing
		}
		n := float64(j.Waiting) * float64(j.Need.CPU) / 1000
		if t := j.Team; t.Limit.CPU > 0 {
			left, ok := room[t]
			if !ok {
				left = float64(t.Limit.CPU-t.Allocated.CPU) / 1000
			}
			n = min(n, left)
			room[t] = left - n
		}
		secs := 600.0
		if !j.Spec.Service {
			secs = c.leadership.placement.Estimate(j).Seconds() + 1
		}
		cpus += n
		work += n * secs
		if !j.Spec.AllowSpot {
			ordinaryCPUs += n
			ordinaryWork += n * secs
		}
	}
	total, _ := c.supply(false)
	l.autoscaler.backlog, l.autoscaler.cpus = timeline.Seconds(work/max(total, 1)), total
	return cpus, work, ordinaryCPUs, ordinaryWork
}

// scaleOut rents machines while the waiting work would take too long on those
// at hand.
func (c *Core) scaleOut(bar, ordinaryBar time.Duration) {
	l := c.leadership
	if len(l.autoscaler.instanceTypes) == 0 || !c.canAct() {
		return
	}
	// A job that no machine at hand can take needs one of its own.
	for _, j := range l.placement.Queue {
		if j.Reservations[0].Machine != nil || j.Halted() || slices.ContainsFunc(l.fleet, func(m *fleet.Machine) bool { return m.EligibleFor(j) }) {
			continue
		}
		if j.Spec.Zone != "" && !l.zones.Zone(j.Spec.Zone).Rents() {
			continue // it waits for its zone, and nobody else for it
		}
		if !c.requestInstances(&j.Spec, float64(min(j.Waiting, 8))*j.Spec.CPUs, true, false) {
			return
		}
		break
	}
	cpus, work, ocpus, owork := c.demand()
	c.coverShortage(ocpus, owork, bar, 0, true)
	c.coverShortage(cpus, work, bar, ordinaryBar, false)
}

func (c *Core) coverShortage(cpus, work float64, bar, ordinaryBar time.Duration, ordinary bool) {
	total, free := c.supply(ordinary)
	// Enough to do the waiting work within the bar, but never more than could
	// be used at once.
	short := min(cpus-free, work/max(bar.Seconds(), 1)-free)
	if total > 0 && work/total < bar.Seconds()/3 {
		return
	}
	for short > 0.5 {
		any := &spec.Job{AllowSpot: !ordinary}
		got := c.requestInstances(any, short, work/max(total, 1) > ordinaryBar.Seconds(), false)
		if !got {
			return
		}
		_, now := c.supply(ordinary)
		if now <= free {
			return
		}
		short -= now - free
		free = now
	}
}

// requestInstances sends one request for machines that suit the job; false if none could
// be sent. Nothing is rented in a zone that is cut off, but as a probe.
func (c *Core) requestInstances(s *spec.Job, cpus float64, pressing, probe bool) bool {
	l := c.leadership
	room := c.maxFleet() - len(l.fleet) - l.autoscaler.requested()
	if l.autoscaler.fleetFull != (room <= 0) {
		// More machines than the controllers have connections for would serve nobody:
		// they would crowd out each other, and users.
		if l.autoscaler.fleetFull = room <= 0; l.autoscaler.fleetFull {
			c.Log(slog.LevelWarn, "not scaling out, controllers are at capacity", "machines", len(l.fleet), "most", c.maxFleet(), "reason", "the controllers cannot serve more")
		} else {
			c.Log(slog.LevelInfo, "scaling out again", "machines", len(l.fleet), "most", c.maxFleet())
		}
	}
	if room <= 0 {
		return false
	}
	type choice struct {
		instanceOffer
		f    *provider.InstanceType
		cost float64
	}
	// Tasks that take no CPU need a machine all the same.
	cpus = max(cpus, 0.001)
	var cs []choice
	have := map[instanceOffer]int{}
	for _, m := range l.fleet {
		have[instanceOffer{m.TypeName, m.Zone, m.Spot}]++
	}
	for i := range l.autoscaler.instanceTypes {
		f := &l.autoscaler.instanceTypes[i]
		if !fleet.AllowsInstanceType(s, f.Name) || !(s.Need() == timeline.Resources{} || s.Need().Fits(f.Capacity)) || f.CPUs <= 0 {
			continue
		}
		for _, z := range f.Zones {
			if s.Zone != "" && s.Zone != z || !probe && !l.zones.Zone(z).Rents() {
				continue
			}
			for _, low := range []bool{true, false} {
				o := instanceOffer{f.Name, z, low}
				if low && !s.AllowSpot || !low && s.AllowSpot && !pressing || c.Now.Before(l.autoscaler.noCapacityUntil[o]) {
					continue
				}
				price := f.OnDemandRate
				if low {
					price = f.SpotRate
				}
				// What the shortage would cost on this type, its boot included.
				n := math.Ceil(cpus / f.CPUs)
				used := min(cpus, n*f.CPUs)
				cost := price * n / used * (1 + f.BootTime.Seconds()/120)
				cs = append(cs, choice{o, f, cost + 1e-9*float64(have[o])})
			}
		}
	}
	if len(cs) == 0 || !l.autoscaler.callLimit.AllowN(c.Now, 1) {
		return false
	}
	slices.SortStableFunc(cs, func(a, b choice) int {
		if a.spot != b.spot { // cheap ones first, ordinary ones when those are out
			if a.spot {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.cost, b.cost)
	})
	ch := cs[0]
	n := min(int(math.Ceil(cpus/ch.f.CPUs)), 50, room)
	l.autoscaler.requestCount++
	// Terms rise for as long as they are on record; where all of it is lost they may begin
	// again, and only the era is another then. The cloud would answer a name that it knows
	// with machines that are long gone.
	name := fmt.Sprintf("t%d-%d-%x", l.term, l.autoscaler.requestCount, c.observed.Era)
	l.autoscaler.pending[name] = &pendingRequest{instanceOffer: ch.instanceOffer, count: n, cpus: float64(n) * ch.f.CPUs, requestedAt: c.Now}
	c.sendRequest(name)
	return true
}

// sendRequest sends a rental, and again under the same name while its outcome is
// not known.
func (c *Core) sendRequest(name string) {
	l := c.leadership
	w := l.autoscaler.pending[name]
	c.CallCloud(provider.Request{Op: provider.ScaleOut, RequestName: name, InstanceType: w.instanceType, Zone: w.zone, Spot: w.spot, Count: w.count}, func(r provider.Response) {
		if c.leadership != l {
			return
		}
		switch r.Outcome {
		case rpc.OK:
			delete(l.autoscaler.pending, name)
			for _, h := range r.Hosts {
				if l.released.Has(h) {
					continue
				}
				m := c.ensureMachine(h, w.instanceType, w.zone, w.spot)
				m.RentedAt = w.requestedAt
				if m.InstanceType != nil {
					m.ReadyAt = w.requestedAt.Add(m.InstanceType.BootTime)
				}
			}
			c.Log(slog.LevelInfo, "instances started", "rental", name, "type", w.instanceType, "zone", w.zone, "spot", w.spot, "wanted", w.count, "got", len(r.Hosts))
			if len(r.Hosts) < w.count {
				l.autoscaler.noCapacityUntil[w.instanceOffer] = c.Now.Add(c.Jitter(10 * time.Second))
			}
			l.dispatchAll = true
		case rpc.Refused:
			delete(l.autoscaler.pending, name)
			l.zones.Zone(w.zone).Refused(c.Now)
			l.autoscaler.noCapacityUntil[w.instanceOffer] = c.Now.Add(c.Jitter(10 * time.Second))
			c.Log(slog.LevelInfo, "instance request refused, no capacity", "type", w.instanceType, "zone", w.zone, "spot", w.spot, "wanted", w.count)
		case rpc.Invalid:
			delete(l.autoscaler.pending, name)
			l.autoscaler.noCapacityUntil[w.instanceOffer] = c.Now.Add(time.Minute)
			c.Log(slog.LevelError, "instance request rejected as malformed", "type", w.instanceType, "zone", w.zone)
		default:
			c.afterWhileLeading(c.Jitter(2*time.Second), func() {
				if l.autoscaler.pending[name] != nil {
					c.sendRequest(name)
				}
			})
		}
	})
}
