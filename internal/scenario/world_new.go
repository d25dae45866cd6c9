package scenario

import (
	"time"

	"yewpass/internal/calendar"
	"yewpass/internal/config"
	"yewpass/internal/heartbeat"
)

// newWorld returns a world with the default settings of scenarios.
func newWorld() *world {
	w := &world{
		clock:           newClock(1),
		workers:         map[string]*worker{},
		jobs:            map[string]*userJob{},
		calendarDefs:    map[string]calendar.Definition{},
		scheduleClients: map[string]*scheduleClient{},
		checker: checker{
			violatedRules: map[string]bool{},
			allocations:   allocations{},
			history:       map[string][]call{},
			lastAttempts:  map[heartbeat.TaskID]uint64{},
		},
		worldCounters: worldCounters{occurrences: map[string]int{}},
		hooks:         hooks{address: func(host string) string { return host + workerPort }},
	}
	w.admin = newConfigAdmin(w)
	w.net = &network{clock: w.clock, latency: time.Millisecond, lastDelivery: map[[2]string]time.Time{}}
	w.store = newStore(w.clock, w.occurrences)
	w.cloud = &cloudSim{clock: w.clock, w: w, capacity: map[offerKey]int{}, rentals: map[string][]string{}, rentalBodies: map[string]string{}, lag: 3 * time.Second}
	w.cloud.bootPercent = func() (time.Duration, bool) { return time.Duration(60 + w.rng.IntN(90)), true }
	setDefaults(&w.cfg)
	return w
}

func newStore(c *clock, met map[string]int) *store {
	return &store{
		clock:         c,
		keys:          map[string]*storedKey{},
		leases:        map[uint64]*storedLease{},
		historyLength: 10000,
		storeFaults: storeFaults{
			unavailableUntil:    map[string]time.Time{},
			droppedTxnResponses: map[string]droppedResponses{},
			unansweredChanges:   map[string]unansweredChange{},
		},
		storeAllowance: storeAllowance{refilled: c.now},
		storeCounters:  storeCounters{occurrences: met, writesByKind: map[string]int{}},
	}
}

// setDefaults sets the settings that a script may override.
func setDefaults(c *config.Config) {
	s := &c.Settings
	s.Nodes, s.Zones = 3, []string{"a", "b"}
	s.Workers = config.Workers{Report: 3, Lease: 20, Cancel: 40}
	s.State = config.State{RPS: 250, WriteRPS: 100, ValueKB: 16, TxnOps: 48}
	s.Cloud = config.Cloud{RPS: 6, ListLag: 3}
	s.Limits = config.Limits{CPUShare: 0.1, MemMB: 100, MaxConnections: 800}
}
