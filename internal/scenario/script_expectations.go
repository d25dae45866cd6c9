package scenario

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// expectationChecks maps the names of "expect" lines to their checks.
var expectationChecks = map[string]func(s *script, e []string) bool{
	"done":         (*script).holdsDone,
	"cancelled":    (*script).holdsDone,
	"over":         (*script).holdsOver,
	"finished":     (*script).holdsFinished,
	"submitted":    (*script).holdsSubmitted,
	"rejected":     (*script).holdsRejected,
	"accepted":     (*script).holdsAccepted,
	"pending":      (*script).holdsPending,
	"rule":         (*script).holdsRule,
	"configured":   (*script).holdsConfigured,
	"running":      (*script).holdsRunning,
	"on":           (*script).holdsRunning,
	"late-refused": (*script).holdsLateRefused,
	"met":          (*script).holdsMet,
	"largest":      (*script).holdsLargest,
	"machines":     (*script).holdsMachines,
	"rented":       (*script).holdsRented,
	"served":       (*script).holdsServed,
	"refused":      (*script).holdsRefused,
	"terms":        (*script).holdsTerms,
	"started":      (*script).holdsStarted,
	"moved":        (*script).holdsMoved,
	"killed":       (*script).holdsKilled,
	"requests":     (*script).holdsRequests,
	"made":         (*script).holdsMade,
	"removed":      (*script).holdsMade,
	"missed":       (*script).holdsMade,
	"late":         (*script).holdsMade,
	"whole":        (*script).holdsMade,
	"history":      (*script).holdsMade,
	"leaders":      (*script).holdsLeaders,
}

// holds reports whether an expectation is met now. It panics if its name is unknown.
func (s *script) holds(e []string) bool {
	check := expectationChecks[e[0]]
	if check == nil {
		panic("unknown expectation " + e[0])
	}
	return check(s, e)
}

// holdsDone checks "done ID|all" and "cancelled ID|all": the state that users were told.
func (s *script) holdsDone(e []string) bool {
	for _, j := range s.jobOrder {
		if (e[1] == "all" && j.accepted && !j.cancelRequested && !j.spec.Service && !j.faulty || e[1] == j.spec.ID) && string(j.finalState) != e[0] {
			return false
		}
	}
	return e[1] == "all" || s.jobs[e[1]] != nil
}

// holdsOver checks "over": users were told the final state of every accepted job.
func (s *script) holdsOver(e []string) bool {
	return !slices.ContainsFunc(s.jobOrder, func(j *userJob) bool { return j.accepted && j.finalState == "" })
}

// holdsFinished checks "finished ID": all tasks are done, whether or not the user was told.
func (s *script) holdsFinished(e []string) bool {
	j := s.jobs[e[1]]
	return j != nil && !j.finished.IsZero()
}

// holdsSubmitted checks "submitted N": the percentage of submissions accepted within a second.
func (s *script) holdsSubmitted(e []string) bool {
	n, in := 0, 0
	for _, j := range s.jobOrder {
		if n++; j.accepted && j.acceptedAt.Sub(j.firstSubmitted) <= time.Second {
			in++
		}
	}
	return compare(100*in/max(1, n), e[1])
}

// holdsRejected checks "rejected ID STATUS": the HTTP status that ended the submission.
func (s *script) holdsRejected(e []string) bool {
	return s.jobs[e[1]] != nil && strconv.Itoa(s.jobs[e[1]].status) == e[2]
}

func (s *script) holdsAccepted(e []string) bool {
	return s.jobs[e[1]] != nil && s.jobs[e[1]].accepted
}

// holdsPending checks "pending ID": the submission has no final response.
func (s *script) holdsPending(e []string) bool {
	return s.jobs[e[1]] != nil && !s.jobs[e[1]].accepted && s.jobs[e[1]].status == 0
}

// holdsRule checks "rule NAME": the rule was violated.
func (s *script) holdsRule(e []string) bool {
	return s.violatedRules[e[1]]
}

// holdsConfigured checks "configured": every controller has all configuration changes.
func (s *script) holdsConfigured(e []string) bool {
	return s.world.configConverged()
}

// holdsRunning checks "running ID N" and "on ID N": the number of tasks of a job on machines.
func (s *script) holdsRunning(e []string) bool {
	return compare(s.tasksOn(e[1]), e[2])
}

// holdsLateRefused checks "late-refused N": the number of heartbeats rejected as stale.
func (s *script) holdsLateRefused(e []string) bool {
	n := 0
	for _, x := range s.nodes {
		n += int(x.core.Stats().StaleHeartbeats)
	}
	return compare(n, e[1])
}

// holdsMet checks "met NAME N": how often an observed situation occurred.
func (s *script) holdsMet(e []string) bool {
	return compare(s.occurrences[e[1]], e[2])
}

// holdsLargest checks "largest N": the longest wait of a class's largest jobs for their first
// task, in seconds.
func (s *script) holdsLargest(e []string) bool {
	worst := time.Duration(0)
	for _, j := range s.jobOrder {
		if begun := j.firstStarted; s.mustServe(j) && s.isLargest(j) {
			if begun.IsZero() {
				begun = s.now
			}
			worst = max(worst, begun.Sub(j.firstSubmitted))
		}
	}
	return compare(int(worst.Seconds()), e[1])
}

// holdsMachines checks "machines N [TYPE]": the number of machines that exist.
func (s *script) holdsMachines(e []string) bool {
	n := 0
	for _, m := range s.cloud.machines {
		if m.terminatedAt.IsZero() && (len(e) < 3 || m.instanceType.name == e[2]) {
			n++
		}
	}
	return compare(n, e[1])
}

// holdsRented checks "rented N [ZONE]": the number of machines ever created.
func (s *script) holdsRented(e []string) bool {
	n := 0
	for _, m := range s.cloud.machines {
		if len(e) < 3 || m.zone == e[2] {
			n++
		}
	}
	return compare(n, e[1])
}

// holdsServed checks "served CLASS|team=NAME|largest=CLASS|all N": the percentage that
// servedPercent returns, the lowest one for all.
func (s *script) holdsServed(e []string) bool {
	worst := -1
	for of, percent := range s.servedPercent() {
		if of == e[1] || e[1] == "all" && (worst < 0 || percent < worst) {
			worst = percent
		}
	}
	return worst >= 0 && compare(worst, e[2])
}

// holdsRefused checks "refused N": the key-value store requests rejected by its rate limit.
func (s *script) holdsRefused(e []string) bool {
	return compare(s.store.refused, e[1])
}

// holdsTerms checks "terms N": the newest term that a controller knows.
func (s *script) holdsTerms(e []string) bool {
	return compare(int(s.newestTerm()), e[1])
}

// holdsStarted checks "started N": the number of task starts.
func (s *script) holdsStarted(e []string) bool {
	return compare(s.started, e[1])
}

// holdsMoved checks "moved N": how often workers changed the controller they report to.
func (s *script) holdsMoved(e []string) bool {
	return compare(s.workerMoves, e[1])
}

// holdsKilled checks "killed N": the number of tasks that ended by lease expiry.
func (s *script) holdsKilled(e []string) bool {
	return compare(s.expiredTasks, e[1])
}

// holdsRequests checks "requests N": the number of requests to the key-value store.
func (s *script) holdsRequests(e []string) bool {
	return compare(s.store.requests, e[1])
}

// holdsMade checks the expectations on schedules: made, removed, missed, late, whole, history.
func (s *script) holdsMade(e []string) bool {
	return s.scheduleClients[e[1]].holds(e)
}

// holdsLeaders checks "leaders N": the number of controllers that hold authority.
func (s *script) holdsLeaders(e []string) bool {
	n := 0
	for _, x := range s.nodes {
		if x.alive && x.core.HasAuthority(x.localNow()) {
			n++
		}
	}
	return compare(n, e[1])
}

// tasksOn returns the number of tasks of a job that run or checkpoint on machines.
func (w *world) tasksOn(id string) (n int) {
	for _, m := range w.cloud.machines {
		for _, t := range m.tasks {
			if t.active() && t.id.Job == id {
				n++
			}
		}
	}
	return n
}

// newestTerm returns the newest term that a simulated controller knows.
func (w *world) newestTerm() (n uint64) {
	for _, x := range w.nodes {
		if x.core != nil { // nil for a controller that runs as a real process
			n = max(n, x.core.Stats().Term)
		}
	}
	return n
}

// mustServe reports whether a job counts for the served percentages.
func (s *script) mustServe(j *userJob) bool {
	return j.accepted && !j.cancelRequested && !j.faulty && !j.spec.Service
}

// isLargest reports whether a job requests at least as many CPUs as nine tenths of its class.
func (s *script) isLargest(j *userJob) bool {
	size := func(j *userJob) float64 { return float64(j.spec.Tasks) * j.spec.CPUs }
	smaller, of := 0, 0
	for _, x := range s.jobOrder {
		if x.spec.Class == j.spec.Class && s.mustServe(x) {
			of++
			if size(x) <= size(j) {
				smaller++
			}
		}
	}
	return 10*smaller >= 9*of
}

// servedPercent returns the lesser of the percentages of jobs and of tasks done, by class, largest
// jobs of a class, and team.
func (s *script) servedPercent() map[string]int {
	type tally struct{ jobs, jobsOf, tasks, tasksOf int }
	of := map[string]*tally{}
	for _, j := range s.jobOrder {
		if !s.mustServe(j) {
			continue
		}
		keys := []string{j.spec.Class, "team=" + j.spec.Owner}
		if s.isLargest(j) {
			keys = append(keys, "largest="+j.spec.Class)
		}
		for _, k := range keys {
			t := of[k]
			if t == nil {
				t = &tally{}
				of[k] = t
			}
			t.jobsOf++
			t.tasksOf += j.spec.Tasks
			t.tasks += len(j.done)
			if !j.finished.IsZero() {
				t.jobs++
			}
		}
	}
	percent := map[string]int{}
	for k, t := range of {
		percent[k] = min(100*t.jobs/t.jobsOf, 100*t.tasks/t.tasksOf)
	}
	return percent
}

// compare compares n with a bound such as =3, <3, >3 or 3.
func compare(n int, s string) bool {
	op, num := s[0], strings.TrimLeft(s, "<>=")
	x, err := strconv.Atoi(num)
	if err != nil {
		panic(s + " is not a number")
	}
	switch op {
	case '<':
		return n < x
	case '>':
		return n > x
	}
	return n == x
}
