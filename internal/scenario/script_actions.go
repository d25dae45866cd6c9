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

// actionWords are the words of "at" lines, each with what carries it out.
var actionWords map[string]func(s *script, f []string)

func init() {
	// Set here because some actions are made of others.
	actionWords = map[string]func(s *script, f []string){
		"machines":      (*script).actMachines,
		"submit":        (*script).actSubmit,
		"burst":         (*script).actBurst,
		"cancel":        (*script).actCancel,
		"crash":         (*script).actCrash,
		"flap":          (*script).actFlap,
		"restart":       (*script).actRestart,
		"leave":         (*script).actLeave,
		"roll":          (*script).actRoll,
		"outage":        (*script).actOutage,
		"wipe":          (*script).actWipe,
		"save":          (*script).actSave,
		"restore":       (*script).actRestore,
		"deaf":          (*script).actDeaf,
		"deny":          (*script).actDeny,
		"mute":          (*script).actMute,
		"late_writes":   (*script).actLateWrites,
		"late_reports":  (*script).actLateReports,
		"slow_state":    (*script).actSlowState,
		"machine_deaf":  (*script).actMachineDeaf,
		"machine_mute":  (*script).actMachineMute,
		"cancel_now":    (*script).actCancelNow,
		"cancel_at_end": (*script).actCancelAtEnd,
		"odd_requests":  (*script).actOddRequests,
		"close_looks":   (*script).actCloseLooks,
		"latency":       (*script).actLatency,
		"look":          (*script).actLook,
		"cut":           (*script).actCut,
		"stall":         (*script).actStall,
		"storm":         (*script).actStorm,
		"hang":          (*script).actHang,
		"sick":          (*script).actSick,
		"slow":          (*script).actSlow,
		"take":          (*script).actTake,
		"boots":         (*script).actBoots,
		"schedule":      (*script).actSchedule,
		"edit":          (*script).actSchedule,
		"config":        (*script).actConfig,
		"configs":       (*script).actConfig,
		"pause":         (*script).actPause,
		"resume":        (*script).actPause,
		"remove":        (*script).actPause,
		"start":         (*script).actPause,
		"damage":        (*script).actDamage,
		"repair":        (*script).actRepair,
		"wander":        (*script).actWander,
		"plant":         (*script).actPlant,
	}
}

// act carries out an action.
func (s *script) act(f []string) {
	s.noteFault(f)
	carryOut := actionWords[f[0]]
	if carryOut == nil {
		panic("unknown action " + f[0])
	}
	carryOut(s, f)
}

// actMachines carries out the word machines.
func (s *script) actMachines(f []string) {
	a := args(f[3:])
	for range int(num(a, "n", 1)) {
		s.cloud.create(offerKey{f[1], f[2], a["spot"] != ""}, 0)
	}
}

// actSubmit carries out the word submit.
func (s *script) actSubmit(f []string) {
	w := s.world
	w.submit(s.job(f[1], args(f[2:])))
}

// actBurst carries out: burst N every=D k=v...: jobs one after the other.
func (s *script) actBurst(f []string) {
	w := s.world
	n, _ := strconv.Atoi(f[1])
	a := args(f[2:])
	for i := range n {
		s.burst++
		id := fmt.Sprintf("wk-1%05d", s.burst)
		w.after(time.Duration(i)*dur(a, "gap", time.Second), func() {
			b := args(f[2:])
			if p := num(a, "vary", 0); p > 0 { // run times and estimates apart
				b["est"] = b["run"]
				b["run"] = time.Duration(float64(span(a["run"])) * math.Exp(p*w.rng.NormFloat64())).String()
			}
			j := s.job(id, b)
			w.submit(j)
			if w.rng.Float64() < num(a, "cancelled", 0) {
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
		for _, j := range s.jobOrder[:min(n, len(s.jobOrder))] {
			if !j.cancelRequested {
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
	back := dur(args(f[2:]), "back", 8*time.Second)
	for _, n := range w.nodes {
		if f[1] == "all" || n == s.node(f[1]) {
			n.crash(back)
			if f[1] != "all" {
				break
			}
		}
	}
}

// actFlap carries out: flap WHO D every=D [back=D]: its process ends again and again.
func (s *script) actFlap(f []string) {
	w := s.world
	for t := time.Duration(0); t < span(f[2]); t += dur(args(f[3:]), "every", time.Second) {
		w.after(t, func() {
			s.act([]string{"crash", f[1], "back=" + dur(args(f[3:]), "back", 100*time.Millisecond).String()})
		})
	}
}

// actRestart carries out: restart N [back=D] [anew]: the busiest machines end and are back, counting on or from 1.
func (s *script) actRestart(f []string) {
	n, _ := strconv.Atoi(f[1])
	for _, m := range s.busiest(n) {
		m.restart(dur(args(f[2:]), "back", 200*time.Millisecond), args(f[2:])["anew"] != "")
	}
}

// actLeave carries out: leave NODE [back=D]: its process is told to end, hands over and ends.
func (s *script) actLeave(f []string) {
	w := s.world
	if n := s.node(f[1]); n != nil {
		n.input(core.Shutdown{})
		w.after(400*time.Millisecond, func() { n.crash(dur(args(f[2:]), "back", 8*time.Second)) })
	}
}

// actRoll carries out the word roll.
func (s *script) actRoll(f []string) {
	w := s.world
	for i, n := range w.nodes {
		w.after(time.Duration(i)*span(f[1]), func() { n.crash(dur(args(f[2:]), "back", 3*time.Second)) })
	}
}

// actOutage carries out the word outage.
func (s *script) actOutage(f []string) {
	w := s.world
	switch f[1] {
	case "state":
		w.store.outage(span(f[2]))
	case "cloud":
		w.cloud.downUntil = w.now.Add(span(f[2]))
	}
}

// actWipe carries out: wipe [under=PREFIX] [rev]: the state service loses keys; rev: and begins again.
func (s *script) actWipe(f []string) {
	w := s.world
	w.dataLost = true
	w.store.wipe(args(f[1:])["under"], args(f[1:])["rev"] != "")
}

// actSave carries out: save: what a later restore brings back.
func (s *script) actSave(f []string) {
	w := s.world
	w.restoreSnapshot = w.store.snapshot()
}

// actRestore carries out the word restore.
func (s *script) actRestore(f []string) {
	w := s.world
	w.dataLost = true
	w.restoreSnapshot()
}

// actDeaf carries out: the cloud answers releases and carries none out.
func (s *script) actDeaf(f []string) {
	w := s.world
	w.cloud.ignoresReleasesUntil = w.now.Add(span(f[1]))
}

// actDeny carries out: only this node gets 503 from the state service.
func (s *script) actDeny(f []string) {
	w := s.world
	if n := s.node(f[1]); n != nil {
		w.store.deniedUntil[n.name] = w.now.Add(span(f[2]))
	}
}

// actMute carries out: mute NODE D [late=D]: its transactions are applied, and not answered.
func (s *script) actMute(f []string) {
	w := s.world
	if n := s.node(f[1]); n != nil {
		w.store.unanswered[n.name] = unansweredWrites{w.now.Add(span(f[2])), dur(args(f[3:]), "late", 0)}
	}
}

// actLateWrites carries out: late_writes D share=S [at_once=true]: transactions without an answer, carried out 2 to 12 s later.
func (s *script) actLateWrites(f []string) {
	w := s.world
	a := args(f[2:])
	w.store.delayedWrites = delayedShare{until: w.now.Add(span(f[1])), share: num(a, "share", 0.3), atOnce: a["at_once"] == "true"}
}

// actLateReports carries out: late_reports D share=S [for_next=true]: copies that arrive from 2 s to two leases later.
func (s *script) actLateReports(f []string) {
	w := s.world
	a := args(f[2:])
	w.lateReports = delayedShare{until: w.now.Add(span(f[1])), share: num(a, "share", 0.3), forNextLeader: a["for_next"] == "true"}
}

// actSlowState carries out: slow_state D by=D: what is asked is carried out and answered late.
func (s *script) actSlowState(f []string) {
	w := s.world
	w.store.slowUntil, w.store.slowDelay = w.now.Add(span(f[1])), dur(args(f[2:]), "by", 2*time.Second)
}

// actMachineDeaf carries out: machine_deaf N|zone=Z D: answers and commands to them are lost.
func (s *script) actMachineDeaf(f []string) {
	w := s.world
	for _, m := range s.some(f[1]) {
		m.inboundLostUntil = w.now.Add(span(f[2]))
	}
}

// actMachineMute carries out: machine_mute N|zone=Z D: they reach no controller, and direct commands reach them.
func (s *script) actMachineMute(f []string) {
	w := s.world
	for _, m := range s.some(f[1]) {
		m.outboundLostUntil = w.now.Add(span(f[2]))
	}
}

// actCancelNow carries out: cancel_now N [hang=D]: users call off jobs that run and have long to go.
func (s *script) actCancelNow(f []string) {
	w := s.world
	n, _ := strconv.Atoi(f[1])
	w.cancelRunning(n, dur(args(f[2:]), "hang", 0))
}

// actCancelAtEnd carries out: cancel_at_end D share=S: that share of the jobs that end is called off just then.
func (s *script) actCancelAtEnd(f []string) {
	w := s.world
	w.cancelAtEnd = delayedShare{until: w.now.Add(span(f[1])), share: num(args(f[2:]), "share", 0.3)}
}

// actOddRequests carries out: odd_requests D: repeats, cancellations of what is done, jobs that cannot run.
func (s *script) actOddRequests(f []string) {
	w := s.world
	w.sendOddRequests(w.now.Add(span(f[1])))
}

// actCloseLooks carries out: close_looks D: users ask at all nodes right after a job is accepted, ended or cancelled.
func (s *script) actCloseLooks(f []string) {
	w := s.world
	w.observeUntil = w.now.Add(span(f[1]))
}

// actLatency carries out: latency D: messages take so long from now on.
func (s *script) actLatency(f []string) {
	w := s.world
	w.net.latency = span(f[1])
}

// actLook carries out: look ID: one such look.
func (s *script) actLook(f []string) {
	w := s.world
	w.observeJob(w.jobs[f[1]], false)
}

// actCut carries out: cut WHO D hold|reset [only=HOSTS]: leader, peers (all nodes), workers, state, user, names.
func (s *script) actCut(f []string) {
	hosts, zone := s.cutHosts(f)
	only := s.cutFrom(args(f[3:])["only"])
	s.net.addPartition(hosts, only, f[3] == "hold", span(f[2]), zone)
}

// cutHosts returns the hosts that a cut names, and their zone if it names one.
func (s *script) cutHosts(f []string) (hosts map[string]bool, zone string) {
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
	nodes := args(f[3:])["nodes"] // that live in the zone as well
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

// cutFrom returns the hosts that those of a cut cannot reach, or nil for all.
func (s *script) cutFrom(words string) map[string]bool {
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
		n.stall(span(f[2]))
	}
}

// actStorm carries out: storm D rate=N: so many polls a second besides.
func (s *script) actStorm(f []string) {
	w := s.world
	w.pollStorm(num(args(f[2:]), "rate", 400), w.now.Add(span(f[1])))
}

// actHang carries out the word hang.
func (s *script) actHang(f []string) {
	w := s.world
	n, _ := strconv.Atoi(f[1])
	for _, m := range s.busiest(n) {
		m.hungUntil = w.now.Add(span(f[2]))
	}
}

// actSick carries out the word sick.
func (s *script) actSick(f []string) {
	w := s.world
	n, _ := strconv.Atoi(f[1])
	for _, m := range s.busiest(n) {
		m.failsTasks = true
		w.after(span(f[2]), func() { m.failsTasks = false })
	}
}

// actSlow carries out the word slow.
func (s *script) actSlow(f []string) {
	n, _ := strconv.Atoi(f[1])
	for _, m := range s.busiest(n) {
		m.slowdown = num(args(f[2:]), "factor", 3)
	}
}

// actTake carries out: take N notice=D | take N.
func (s *script) actTake(f []string) {
	w := s.world
	n, _ := strconv.Atoi(f[1])
	notice := dur(args(f[2:]), "notice", 0)
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

// actBoots carries out: boots never | boots 300 (percent).
func (s *script) actBoots(f []string) {
	w := s.world
	if f[1] == "never" {
		w.cloud.bootPercent = func() (time.Duration, bool) { return 100, w.rng.IntN(2) == 0 }
	} else {
		p, _ := strconv.Atoi(f[1])
		w.cloud.bootPercent = func() (time.Duration, bool) { return time.Duration(p), true }
	}
}

// actSchedule carries out the word schedule or edit.
func (s *script) actSchedule(f []string) {
	s.putSchedule(f[1], args(f[2:]))
}

// actConfig carries out the word config or configs.
func (s *script) actConfig(f []string) {
	s.configure(f)
}

// actPause carries out the word pause or resume or remove or start.
func (s *script) actPause(f []string) {
	w := s.world
	w.scheduleClients[f[1]].callUntilAnswered(map[string]request.Operation{"pause": request.SchedulePause, "resume": request.ScheduleResume, "remove": request.ScheduleDelete, "start": request.ScheduleRun}[f[0]], args(f[2:]))
}

// actDamage carries out: damage PREFIX VALUE: what the first key below the prefix holds.
func (s *script) actDamage(f []string) {
	w := s.world
	w.dataLost = true
	for _, k := range w.store.sortedKeys(f[1])[:1] {
		e := w.store.keys[k]
		was := e.value
		e.value = json.RawMessage(f[2])
		w.undoDamage = func() { e.value = was }
	}
}

// actRepair carries out: what was damaged last is put right.
func (s *script) actRepair(f []string) {
	w := s.world
	w.undoDamage()
}

// actWander carries out: wander NODE D: its time of day goes D wrong.
func (s *script) actWander(f []string) {
	if n := s.node(f[1]); n != nil {
		n.wallOffset = span(f[2])
		n.core.SetClockOffset(n.wallOffset)
	}
}

// actPlant carries out the word plant.
func (s *script) actPlant(f []string) {
	s.plant(f[1])
}
