package node

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"yewpass/internal/view"
)

// gauges exports the latest core statistics as Prometheus metrics.
type gauges struct{ stats atomic.Pointer[view.Stats] }

func newGauges() *gauges {
	g := &gauges{}
	g.stats.Store(&view.Stats{})
	flag := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	for name, f := range map[string]func(s *view.Stats) float64{
		"yewpass_leader":                  func(s *view.Stats) float64 { return flag(s.IsLeader) },
		"yewpass_authority":               func(s *view.Stats) float64 { return flag(s.Authority) },
		"yewpass_term":                    func(s *view.Stats) float64 { return float64(s.Term) },
		"yewpass_jobs":                    func(s *view.Stats) float64 { return float64(s.Jobs) },
		"yewpass_tasks_waiting":           func(s *view.Stats) float64 { return float64(s.WaitingTasks) },
		"yewpass_tasks_on_machines":       func(s *view.Stats) float64 { return float64(s.TasksOnMachines) },
		"yewpass_machines":                func(s *view.Stats) float64 { return float64(s.Machines) },
		"yewpass_machines_reporting":      func(s *view.Stats) float64 { return float64(s.Reporting) },
		"yewpass_machines_unaccounted":    func(s *view.Stats) float64 { return float64(s.Unaccounted) },
		"yewpass_cpus":                    func(s *view.Stats) float64 { return s.CPUs },
		"yewpass_cpus_used":               func(s *view.Stats) float64 { return s.CPUsUsed },
		"yewpass_backlog_seconds":         func(s *view.Stats) float64 { return s.BacklogSeconds },
		"yewpass_workers_direct":          func(s *view.Stats) float64 { return float64(s.Direct) },
		"yewpass_workers_passed_on":       func(s *view.Stats) float64 { return float64(s.Relayed) },
		"yewpass_relays":                  func(s *view.Stats) float64 { return float64(s.Relays) },
		"yewpass_regions_away":            func(s *view.Stats) float64 { return float64(s.RegionsUnreachable) },
		"yewpass_zones_away":              func(s *view.Stats) float64 { return float64(s.ZonesUnreachable) },
		"yewpass_machines_away":           func(s *view.Stats) float64 { return float64(s.MachinesUnreachable) },
		"yewpass_reports_late_total":      func(s *view.Stats) float64 { return float64(s.StaleHeartbeats) },
		"yewpass_records_to_restore":      func(s *view.Stats) float64 { return float64(s.RecordsPending) },
		"yewpass_jobs_unreadable":         func(s *view.Stats) float64 { return float64(s.UnreadableJobs) },
		"yewpass_copies":                  func(s *view.Stats) float64 { return float64(s.Replicas) },
		"yewpass_fleet_full":              func(s *view.Stats) float64 { return flag(s.AtMachineLimit) },
		"yewpass_config_revision":         func(s *view.Stats) float64 { return float64(s.ConfigRevision) },
		"yewpass_config_age_seconds":      func(s *view.Stats) float64 { return s.ConfigAge },
		"yewpass_config_in_force_seconds": func(s *view.Stats) float64 { return s.ConfigPropagation },
		"yewpass_config_changes_total":    func(s *view.Stats) float64 { return float64(s.ConfigChanges) },
		"yewpass_config_damaged":          func(s *view.Stats) float64 { return float64(s.ConfigDamaged) },
		"yewpass_schedules":               func(s *view.Stats) float64 { return float64(s.Schedules) },
		"yewpass_occurrences_made":        func(s *view.Stats) float64 { return float64(s.OccurrencesCreated) },
		"yewpass_occurrences_missed":      func(s *view.Stats) float64 { return float64(s.OccurrencesMissed) },
		"yewpass_occurrences_late":        func(s *view.Stats) float64 { return float64(s.OccurrencesLate) },
	} {
		metrics.NewGauge(name, func() float64 { return f(g.stats.Load()) })
	}
	return g
}
