package scenario

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"yewpass/internal/core"
	"yewpass/internal/request"
)

// actionHandlers are the words of "at" lines, each with what carries it out.
var actionHandlers map[string]func(s *script, f []string)

func init() {
	// Set here because some actions are made of others.
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

// perform carries out an action.
func (s *script) perform(f []string) {
	s.noteFault(f)
	carryOut := actionHandlers[f[0]]
	if carryOut == nil {
		panic("unknown action " + f[0])
	}
	carryOut(s, f)
}

// actMachines carries out the word machines.
func (s *script) actMachines(f []string) {
	a := keyValues(f[3:])
	for range int(numberArg(a, "n", 1)) {
		s.cloud.create(offerKey{f[1], f[2], a["spot"] != ""}, 0)
	}
}

// actSubmit carries out the word submit.
func (s *script) actSubmit(f []string) {
	w := s.world
	w.submit(s.parseJob(f[1], keyValues(f[2:])))
}

// actBurst carries out: burst N every=D k=v...: jobs one after the other.
func (s *script) actBurst(f []string) {
	w := s.world
	n, _ := strconv.Atoi(f[1])
	a := keyValues(f[2:])
	for i := range n {
		s.burst++
		id := fmt.Sprintf("wk-1%05d", s.burst)
		w.after(time.Duration(i)*durationArg(a, "gap", time.Second), func() {
			b := keyValues(f[2:])
			if p := numberArg(a, "vary", 0); p > 0 { // run times and estimates apart
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

// actCancel carries out: cancel ID, cancel first N.
func (s *script) actCancel(f []string) {
	w := s.world
	if f[1] == "first" {
		n, _ := strconv.Atoi(f[2])
		for _, j := range s.order[:min(n, len(s.order))] {
			if !j.wantsCancel {
				w.cancel(j)
			}
		}
		return
	}
	w.cancel(w.jobs[f[1]])
}

// actCrash carries out the word crash.
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

// actCrashLoop carries out: flap WHO D every=D [back=D]: its process ends again and again.
func (s *script) actCrashLoop(f []string) {
	w := s.world
	for t := time.Duration(0); t < parseDuration(f[2]); t += durationArg(keyValues(f[3:]), "every", time.Second) {
		w.after(t, func() {
			s.perform([]string{"crash", f[1], "back=" + durationArg(keyValues(f[3:]), "back", 100*time.Millisecond).String()})
		})
	}
}

// actRestart carries out: restart N [back=D] [anew]: the busiest machines end and are back, counting on or from 1.
func (s *script) actRestart(f []string) {
	n, _ := strconv.Atoi(f[1])
	for _, m := range s.busiest(n) {
		m.restart(durationArg(keyValues(f[2:]), "back", 200*time.Millisecond), keyValues(f[2:])["reset_counter"] != "")
	}
}

// actShutdown carries out: leave NODE [back=D]: its process is told to end, hands over and ends.
func (s *script) actShutdown(f []string) {
	w := s.world
	if n := s.node(f[1]); n != nil {
		n.input(core.Shutdown{})
		w.after(400*time.Millisecond, func() { n.crash(durationArg(keyValues(f[2:]), "back", 8*time.Second)) })
	}
}

// actRollingRestart carries out the word roll.
func (s *script) actRollingRestart(f []string) {
	w := s.world
	for i, n := range w.nodes {
		w.after(time.Duration(i)*parseDuration(f[1]), func() { n.crash(durationArg(keyValues(f[2:]), "back", 3*time.Second)) })
	}
}

// actOutage carries out the word outage.
func (s *script) actOutage(f []string) {
	w := s.world
	switch f[1] {
	case "state":
		w.store.outage(parseDuration(f[2]))
	case "cloud":
		w.cloud.down = w.now.Add(parseDuration(f[2]))
	}
}

// actWipe carries out: wipe [under=PREFIX] [rev]: the state service loses keys; rev: and begins again.
func (s *script) actWipe(f []string) {
	w := s.world
	w.dataLost = true
	w.store.wipe(keyValues(f[1:])["under"], keyValues(f[1:])["rev"] != "")
}

// actSave carries out: save: what a later restore brings back.
func (s *script) actSave(f []string) {
	w := s.world
	w.saved = w.store.save()
}

// actRestore carries out the word restore.
func (s *script) actRestore(f []string) {
	w := s.world
	w.dataLost = true
	w.saved()
}

// actIgnoreReleases carries out: the cloud answers releases and carries none out.
func (s *script) actIgnoreReleases(f []string) {
	w := s.world
	w.cloud.deaf = w.now.Add(parseDuration(f[1]))
}

// actStateUnavailable carries out: only this node gets 503 from the state service.
func (s *script) actStateUnavailable(f []string) {
	w := s.world
	if n := s.node(f[1]); n != nil {
		w.store.denied[n.name] = w.now.Add(parseDuration(f[2]))
	}
}

// actDropTxnResponses carries out: mute NODE D [late=D]: its transactions are applied, and not answered.
func (s *script) actDropTxnResponses(f []string) {
	w := s.world
	if n := s.node(f[1]); n != nil {
		w.store.unanswered[n.name] = unansweredWrites{w.now.Add(parseDuration(f[2])), durationArg(keyValues(f[3:]), "late", 0)}
	}
}

// actDelayTxns carries out: late_writes D share=S [at_once=true]: transactions without an answer, carried out 2 to 12 s later.
func (s *script) actDelayTxns(f []string) {
	w := s.world
	a := keyValues(f[2:])
	w.store.late = delayedShare{until: w.now.Add(parseDuration(f[1])), share: numberArg(a, "share", 0.3), atOnce: a["at_once"] == "true"}
}

// actDuplicateReports carries out: late_reports D share=S [for_next=true]: copies that arrive from 2 s to two leases later.
func (s *script) actDuplicateReports(f []string) {
	w := s.world
	a := keyValues(f[2:])
	w.lateReports = delayedShare{until: w.now.Add(parseDuration(f[1])), share: numberArg(a, "share", 0.3), next: a["next_leader"] == "true"}
}

// actSlowState carries out: slow_state D by=D: what is asked is carried out and answered late.
func (s *script) actSlowState(f []string) {
	w := s.world
	w.store.slow, w.store.slowBy = w.now.Add(parseDuration(f[1])), durationArg(keyValues(f[2:]), "by", 2*time.Second)
}

// actBlockInbound carries out: machine_deaf N|zone=Z D: answers and commands to them are lost.
func (s *script) actBlockInbound(f []string) {
	w := s.world
	for _, m := range s.selectMachines(f[1]) {
		m.deaf = w.now.Add(parseDuration(f[2]))
	}
}

// actBlockReports carries out: machine_mute N|zone=Z D: they reach no controller, and direct commands reach them.
func (s *script) actBlockReports(f []string) {
	w := s.world
	for _, m := range s.selectMachines(f[1]) {
		m.mute = w.now.Add(parseDuration(f[2]))
	}
}

// actCancelRunning carries out: cancel_now N [hang=D]: users call off jobs that run and have long to go.
func (s *script) actCancelRunning(f []string) {
	w := s.world
	n, _ := strconv.Atoi(f[1])
	w.cancelRunning(n, durationArg(keyValues(f[2:]), "hang", 0))
}

// actCancelOnCompletion carries out: cancel_at_end D share=S: that share of the jobs that end is called off just then.
func (s *script) actCancelOnCompletion(f []string) {
	w := s.world
	w.cancelAtEnd = delayedShare{until: w.now.Add(parseDuration(f[1])), share: numberArg(keyValues(f[2:]), "share", 0.3)}
}

// actInvalidRequests carries out: odd_requests D: repeats, cancellations of what is done, jobs that cannot run.
func (s *script) actInvalidRequests(f []string) {
	w := s.world
	w.sendOddRequests(w.now.Add(parseDuration(f[1])))
}

// actObserveTransitions carries out: close_looks D: users ask at all nodes right after a job is accepted, ended or cancelled.
func (s *script) actObserveTransitions(f []string) {
	w := s.world
	w.observeUntil = w.now.Add(parseDuration(f[1]))
}

// actLatency carries out: latency D: messages take so long from now on.
func (s *script) actLatency(f []string) {
	w := s.world
	w.net.latency = parseDuration(f[1])
}

// actObserve carries out: look ID: one such look.
func (s *script) actObserve(f []string) {
	w := s.world
	w.observeJob(w.jobs[f[1]], false)
}

// actPartition carries out: cut WHO D hold|reset [only=HOSTS]: leader, peers (all nodes), workers, state, user, names.
func (s *script) actPartition(f []string) {
	hosts, zone := s.partitionHosts(f)
	only := s.partitionPeers(keyValues(f[3:])["only"])
	s.net.split(hosts, only, f[3] == "hold", parseDuration(f[2]), zone)
}

// partitionHosts returns the hosts that a cut names, and their zone if it names one.
func (s *script) partitionHosts(f []string) (hosts map[string]bool, zone string) {
	hosts = map[string]bool{}
	if n := s.node(f[1]); n != nil {
		hosts[n.name] = true
		return hosts, ""
	}
	if f[1] == "user" {
		hosts["user"] = true
		return hosts, ""
	}
	zone, inZone := strings.CutPrefix(f[1], "zone=")
	if !inZone {
		n, _ := strconv.Atoi(f[1])
		for _, m := range s.busiest(n) {
			hosts[m.host] = true
		}
		return hosts, ""
	}
	for _, m := range s.cloud.machines {
		if m.zone == zone {
			hosts[m.host] = true
		}
	}
	nodes := keyValues(f[3:])["nodes"] // that live in the zone as well
	if nodes == "" {
		nodes = "n0"
	}
	for word := range strings.SplitSeq(nodes, ",") {
		if n := s.node(word); n != nil {
			hosts[n.name] = true
		}
	}
	return hosts, zone
}

// partitionPeers returns the hosts that those of a cut cannot reach, or nil for all.
func (s *script) partitionPeers(words string) map[string]bool {
	if words == "" {
		return nil
	}
	only := map[string]bool{}
	for word := range strings.SplitSeq(words, ",") {
		only[word] = true
		if n := s.node(word); n != nil {
			only[n.name] = true
		}
		switch word {
		case "workers":
			for _, m := range s.cloud.machines {
				only[m.host] = true
			}
		case "peers":
			for _, n := range s.nodes {
				only[n.name] = true
			}
		}
	}
	return only
}

// actStall carries out: stall NODE D: its process stands still, its clocks run on.
func (s *script) actStall(f []string) {
	if n := s.node(f[1]); n != nil {
		n.stall(parseDuration(f[2]))
	}
}

// actPollLoad carries out: storm D rate=N: so many polls a second besides.
func (s *script) actPollLoad(f []string) {
	w := s.world
	w.storm(numberArg(keyValues(f[2:]), "rate", 400), w.now.Add(parseDuration(f[1])))
}

// actHang carries out the word hang.
func (s *script) actHang(f []string) {
	w := s.world
	n, _ := strconv.Atoi(f[1])
	for _, m := range s.busiest(n) {
		m.hung = w.now.Add(parseDuration(f[2]))
	}
}

// actFailTasks carries out the word sick.
func (s *script) actFailTasks(f []string) {
	w := s.world
	n, _ := strconv.Atoi(f[1])
	for _, m := range s.busiest(n) {
		m.sick = true
		w.after(parseDuration(f[2]), func() { m.sick = false })
	}
}

// actSlow carries out the word slow.
func (s *script) actSlow(f []string) {
	n, _ := strconv.Atoi(f[1])
	for _, m := range s.busiest(n) {
		m.speed = numberArg(keyValues(f[2:]), "factor", 3)
	}
}

// actPreempt carries out: take N notice=D | take N.
func (s *script) actPreempt(f []string) {
	w := s.world
	n, _ := strconv.Atoi(f[1])
	notice := durationArg(keyValues(f[2:]), "notice", 0)
	for _, m := range s.busiest(len(w.cloud.machines)) {
		if n > 0 && m.spot {
			n--
			if notice > 0 {
				m.leaves = w.now.Add(notice)
				m.do(m.changed)
			}
			w.after(notice, m.end)
		}
	}
}

// actBootTime carries out: boots never | boots 300 (percent).
func (s *script) actBootTime(f []string) {
	w := s.world
	if f[1] == "never" {
		w.cloud.boots = func() (time.Duration, bool) { return 100, w.rng.IntN(2) == 0 }
	} else {
		p, _ := strconv.Atoi(f[1])
		w.cloud.boots = func() (time.Duration, bool) { return time.Duration(p), true }
	}
}

// actSchedule carries out the word schedule or edit.
func (s *script) actSchedule(f []string) {
	s.putSchedule(f[1], keyValues(f[2:]))
}

// actConfig carries out the word config or configs.
func (s *script) actConfig(f []string) {
	s.configure(f)
}

// actPause carries out the word pause or resume or remove or start.
func (s *script) actPause(f []string) {
	w := s.world
	w.scheduleClients[f[1]].ask(map[string]request.Operation{"pause": request.SchedulePause, "resume": request.ScheduleResume, "remove": request.ScheduleDelete, "start": request.ScheduleRun}[f[0]], keyValues(f[2:]))
}

// actCorrupt carries out: damage PREFIX VALUE: what the first key below the prefix holds.
func (s *script) actCorrupt(f []string) {
	w := s.world
	w.dataLost = true
	for _, k := range w.store.sorted(f[1])[:1] {
		e := w.store.keys[k]
		was := e.value
		e.value = json.RawMessage(f[2])
		w.repair = func() { e.value = was }
	}
}

// actRepair carries out: what was damaged last is put right.
func (s *script) actRepair(f []string) {
	w := s.world
	w.repair()
}

// actClockOffset carries out: wander NODE D: its time of day goes D wrong.
func (s *script) actClockOffset(f []string) {
	if n := s.node(f[1]); n != nil {
		n.wander = parseDuration(f[2])
		n.core.SetClockOffset(n.wander)
	}
}

// actPlant carries out the word plant.
func (s *script) actPlant(f []string) {
	s.violateRule(f[1])
}
