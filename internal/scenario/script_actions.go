package scenario

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"time"

	"yewpass/internal/core"
	"yewpass/internal/request"
)

// actionHandlers maps the action names of "at" lines to their handlers.
var actionHandlers map[string]func(s *script, f []string)

func init() {
	// Assigned here because some actions perform others, an initialization cycle.
	actionHandlers = map[string]func(s *script, f []string){
		"machines":             (*script).actMachines,
		"submit":               (*script).actSubmit,
		"burst":                (*script).actBurst,
		"cancel":               (*script).actCancel,
		"crash":                (*script).actCrash,
		"crash_loop":           (*script).actCrashLoop,
		"restart":              (*script).actRestart,
		"shutdown":             (*script).actShutdown,
		"rolling_restart":      (*script).actRollingRestart,
		"outage":               (*script).actOutage,
		"wipe":                 (*script).actWipe,
		"save":                 (*script).actSave,
		"restore":              (*script).actRestore,
		"ignore_releases":      (*script).actIgnoreReleases,
		"state_unavailable":    (*script).actStateUnavailable,
		"drop_txn_responses":   (*script).actDropTxnResponses,
		"delay_txns":           (*script).actDelayTxns,
		"duplicate_reports":    (*script).actDuplicateReports,
		"duplicate_commands":   (*script).actDuplicateCommands,
		"slow_state":           (*script).actSlowState,
		"block_inbound":        (*script).actBlockInbound,
		"block_reports":        (*script).actBlockReports,
		"cancel_running":       (*script).actCancelRunning,
		"cancel_on_completion": (*script).actCancelOnCompletion,
		"invalid_requests":     (*script).actInvalidRequests,
		"observe_transitions":  (*script).actObserveTransitions,
		"latency":              (*script).actLatency,
		"observe":              (*script).actObserve,
		"partition":            (*script).actPartition,
		"stall":                (*script).actStall,
		"poll_load":            (*script).actPollLoad,
		"hang":                 (*script).actHang,
		"fail_tasks":           (*script).actFailTasks,
		"slow":                 (*script).actSlow,
		"preempt":              (*script).actPreempt,
		"boot_time":            (*script).actBootTime,
		"schedule":             (*script).actSchedule,
		"edit":                 (*script).actSchedule,
		"config":               (*script).actConfig,
		"configs":              (*script).actConfig,
		"pause":                (*script).actPause,
		"resume":               (*script).actPause,
		"remove":               (*script).actPause,
		"start":                (*script).actPause,
		"corrupt":              (*script).actCorrupt,
		"repair":               (*script).actRepair,
		"clock_offset":         (*script).actClockOffset,
		"plant":                (*script).actPlant,
	}
}

// perform executes an action and panics if its name is unknown.
func (s *script) perform(f []string) {
	s.recordFault(f)
	handler := actionHandlers[f[0]]
	if handler == nil {
		panic("unknown action " + f[0])
	}
	handler(s, f)
}

// actMachines handles "machines TYPE ZONE [n=N] [spot]": adds running machines.
func (s *script) actMachines(f []string) {
	a := keyValues(f[3:])
	for range int(numberArg(a, "n", 1)) {
		s.cloud.create(offerKey{f[1], f[2], a["spot"] != ""}, 0)
	}
}

// actSubmit handles "submit ID k=v...": a user submits one job.
func (s *script) actSubmit(f []string) {
	w := s.world
	w.submit(s.parseJob(f[1], keyValues(f[2:])))
}

// actBurst handles "burst N [gap=D] [vary=S] [cancelled=P] k=v...": submits N jobs, gap apart.
// vary spreads the run times; a share P of the jobs is cancelled after 5 to 35 s.
func (s *script) actBurst(f []string) {
	w := s.world
	n, _ := strconv.Atoi(f[1])
	a := keyValues(f[2:])
	for i := range n {
		s.burstJobs++
		id := fmt.Sprintf("wk-1%05d", s.burstJobs)
		w.after(time.Duration(i)*durationArg(a, "gap", time.Second), func() {
			b := keyValues(f[2:])
			if p := numberArg(a, "vary", 0); p > 0 { // the actual run time deviates from the estimate
				b["est"] = b["run"]
				b["run"] = time.Duration(float64(parseDuration(a["run"])) * math.Exp(p*w.rng.NormFloat64())).String()
			}
			j := s.parseJob(id, b)
			w.submit(j)
			if w.rng.Float64() < numberArg(a, "cancelled", 0) {
				w.after(time.Duration(w.rng.IntN(30))*time.Second+5*time.Second, func() { w.cancel(j) })
			}
		})
	}
}

// actCancel handles "cancel ID", also of the job of an occurrence, and "cancel first N": users cancel
// jobs.
func (s *script) actCancel(f []string) {
	w := s.world
	if f[1] == "first" {
		n, _ := strconv.Atoi(f[2])
		for _, j := range s.jobOrder[:min(n, len(s.jobOrder))] {
			if !j.cancelRequested {
				w.cancel(j)
			}
		}
		return
	}
	w.cancel(w.describedJob(f[1]))
}

// actCrash handles "crash NODE|all [back=D]": processes are killed and restart after D.
func (s *script) actCrash(f []string) {
	w := s.world
	back := durationArg(keyValues(f[2:]), "back", 8*time.Second)
	for _, n := range w.nodes {
		if f[1] == "all" || n == s.node(f[1]) {
			n.crash(back)
			if f[1] != "all" {
				break
			}
		}
	}
}

// actCrashLoop handles "crash_loop WHO D every=D [back=D]": crashes WHO repeatedly during D.
func (s *script) actCrashLoop(f []string) {
	w := s.world
	for t := time.Duration(0); t < parseDuration(f[2]); t += durationArg(keyValues(f[3:]), "every", time.Second) {
		w.after(t, func() {
			s.perform([]string{"crash", f[1], "back=" + durationArg(keyValues(f[3:]), "back", 100*time.Millisecond).String()})
		})
	}
}

// actRestart handles "restart N [back=D] [reset_counter]"; counters continue unless reset.
func (s *script) actRestart(f []string) {
	n, _ := strconv.Atoi(f[1])
	for _, m := range s.busiest(n) {
		m.restart(durationArg(keyValues(f[2:]), "back", 200*time.Millisecond), keyValues(f[2:])["reset_counter"] != "")
	}
}

// actShutdown handles "shutdown NODE [back=D]": shuts a controller down gracefully.
func (s *script) actShutdown(f []string) {
	w := s.world
	if n := s.node(f[1]); n != nil {
		n.input(core.Shutdown{})
		w.after(400*time.Millisecond, func() { n.crash(durationArg(keyValues(f[2:]), "back", 8*time.Second)) })
	}
}

// actRollingRestart handles "rolling_restart D [back=D]": crashes the controllers, D apart.
func (s *script) actRollingRestart(f []string) {
	w := s.world
	for i, n := range w.nodes {
		w.after(time.Duration(i)*parseDuration(f[1]), func() { n.crash(durationArg(keyValues(f[2:]), "back", 3*time.Second)) })
	}
}

// actOutage handles "outage state|cloud D": the key-value store or the cloud API is down.
func (s *script) actOutage(f []string) {
	w := s.world
	switch f[1] {
	case "state":
		w.store.outage(parseDuration(f[2]))
	case "cloud":
		w.cloud.downUntil = w.now.Add(parseDuration(f[2]))
	}
}

// actWipe handles "wipe [under=PREFIX] [rev]": the store loses keys and, with rev, its revision.
func (s *script) actWipe(f []string) {
	w := s.world
	w.dataLost = true
	w.store.wipe(keyValues(f[1:])["under"], keyValues(f[1:])["rev"] != "")
}

// actSave handles "save": takes the snapshot of the key-value store that restore loads.
func (s *script) actSave(f []string) {
	w := s.world
	w.restoreSnapshot = w.store.snapshot()
}

// actRestore handles "restore": resets the key-value store to the saved snapshot.
func (s *script) actRestore(f []string) {
	w := s.world
	w.dataLost = true
	w.restoreSnapshot()
}

// actIgnoreReleases handles "ignore_releases D": the cloud confirms releases but ignores them.
func (s *script) actIgnoreReleases(f []string) {
	w := s.world
	w.cloud.ignoresReleasesUntil = w.now.Add(parseDuration(f[1]))
}

// actStateUnavailable handles "state_unavailable NODE D": the store answers 503 to NODE only.
func (s *script) actStateUnavailable(f []string) {
	w := s.world
	if n := s.node(f[1]); n != nil {
		w.store.unavailableUntil[n.name] = w.now.Add(parseDuration(f[2]))
	}
}

// actCancelRunning handles "cancel_running N [hang=D]": cancels the N jobs with the most time left,
// and with hang=D some of their machines hang.
func (s *script) actCancelRunning(f []string) {
	w := s.world
	n, _ := strconv.Atoi(f[1])
	w.cancelRunning(n, durationArg(keyValues(f[2:]), "hang", 0))
}

// actCancelOnCompletion handles "cancel_on_completion D share=S": users cancel completing jobs.
func (s *script) actCancelOnCompletion(f []string) {
	w := s.world
	w.cancelOnCompletion = faultShare{until: w.now.Add(parseDuration(f[1])), share: numberArg(keyValues(f[2:]), "share", 0.3)}
}

// actInvalidRequests handles "invalid_requests D": users send the requests of sendInvalidRequests.
func (s *script) actInvalidRequests(f []string) {
	w := s.world
	w.sendInvalidRequests(w.now.Add(parseDuration(f[1])))
}

// actObserveTransitions handles "observe_transitions D": users poll all controllers at state
// changes.
func (s *script) actObserveTransitions(f []string) {
	w := s.world
	w.observeTransitionsUntil = w.now.Add(parseDuration(f[1]))
}

// actObserve handles "observe ID": a job's user polls all controllers repeatedly.
func (s *script) actObserve(f []string) {
	w := s.world
	w.pollEveryNode(w.jobs[f[1]], false)
}

// actStall handles "stall NODE D": the process is paused while its clocks advance.
func (s *script) actStall(f []string) {
	if n := s.node(f[1]); n != nil {
		n.stall(parseDuration(f[2]))
	}
}

// actPollLoad handles "poll_load D rate=N": users send N additional polls per second.
func (s *script) actPollLoad(f []string) {
	w := s.world
	w.addPollLoad(numberArg(keyValues(f[2:]), "rate", 400), w.now.Add(parseDuration(f[1])))
}

// actHang handles "hang N D": the N busiest machines do not execute anything.
func (s *script) actHang(f []string) {
	w := s.world
	n, _ := strconv.Atoi(f[1])
	for _, m := range s.busiest(n) {
		m.hungUntil = w.now.Add(parseDuration(f[2]))
	}
}

// actFailTasks handles "fail_tasks N D": every task on the N busiest machines fails.
func (s *script) actFailTasks(f []string) {
	w := s.world
	n, _ := strconv.Atoi(f[1])
	for _, m := range s.busiest(n) {
		m.failsTasks = true
		w.after(parseDuration(f[2]), func() { m.failsTasks = false })
	}
}

// actSlow handles "slow N [factor=F]": tasks on the N busiest machines take F times as long.
func (s *script) actSlow(f []string) {
	n, _ := strconv.Atoi(f[1])
	for _, m := range s.busiest(n) {
		m.slowdown = numberArg(keyValues(f[2:]), "factor", 3)
	}
}

// actPreempt handles "preempt N [notice=D]": the cloud preempts N spot machines, D after a notice.
func (s *script) actPreempt(f []string) {
	w := s.world
	n, _ := strconv.Atoi(f[1])
	notice := durationArg(keyValues(f[2:]), "notice", 0)
	for _, m := range s.busiest(len(w.cloud.machines)) {
		if n > 0 && m.spot {
			n--
			if notice > 0 {
				m.preemptedAt = w.now.Add(notice)
				m.whenRunning(m.reportSoon)
			}
			w.after(notice, m.terminate)
		}
	}
}

// actBootTime handles "boot_time P" and "boot_time never": new machines take P percent of their
// type's boot time, or half of them never boot.
func (s *script) actBootTime(f []string) {
	w := s.world
	if f[1] == "never" {
		w.cloud.bootPercent = func() (time.Duration, bool) { return 100, w.rng.IntN(2) == 0 }
	} else {
		p, _ := strconv.Atoi(f[1])
		w.cloud.bootPercent = func() (time.Duration, bool) { return time.Duration(p), true }
	}
}

// actSchedule handles "schedule NAME k=v..." and "edit NAME k=v...": creates or changes a schedule.
func (s *script) actSchedule(f []string) {
	s.putSchedule(f[1], keyValues(f[2:]))
}

// actConfig handles "config" and "configs": changes the live configuration.
func (s *script) actConfig(f []string) {
	s.configure(f)
}

// actPause handles "pause NAME", "resume NAME", "remove NAME" and "start NAME" for schedules.
func (s *script) actPause(f []string) {
	w := s.world
	w.scheduleClients[f[1]].callUntilAnswered(map[string]request.Operation{"pause": request.SchedulePause, "resume": request.ScheduleResume, "remove": request.ScheduleDelete, "start": request.ScheduleRun}[f[0]], keyValues(f[2:]))
}

// actCorrupt handles "corrupt PREFIX VALUE": overwrites the first key below PREFIX.
func (s *script) actCorrupt(f []string) {
	w := s.world
	w.dataLost = true
	for _, k := range w.store.sortedKeys(f[1])[:1] {
		e := w.store.keys[k]
		was := e.value
		e.value = json.RawMessage(f[2])
		w.undoCorruption = func() { e.value = was }
	}
}

// actRepair handles "repair": restores the value that was corrupted last.
func (s *script) actRepair(f []string) {
	w := s.world
	w.undoCorruption()
}

// actClockOffset handles "clock_offset NODE D": sets the wall-clock error of a controller.
func (s *script) actClockOffset(f []string) {
	if n := s.node(f[1]); n != nil {
		n.clockOffset = parseDuration(f[2])
		n.core.SetClockOffset(n.clockOffset)
	}
}

// actPlant handles "plant RULE": violates a rule on purpose.
func (s *script) actPlant(f []string) {
	s.violateRule(f[1])
}
