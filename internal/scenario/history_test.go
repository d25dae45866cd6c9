package scenario

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"yewpass/internal/request"
	"yewpass/internal/spec"
)

// The users' calls on a job, at any node, must form a linearizable history. A call without a
// definite answer may or may not have taken effect.

// The states of a job, in order. Queued and running are one state, because an answer may report a
// running job as queued.
const (
	jobUnknown = iota
	jobAccepted
	jobDone
	jobCancelled
)

// answerState returns the job state that an answer implies, or -1 if it implies none.
func answerState(x call) int {
	switch {
	case x.status == 404 || x.op == request.Submit && (x.status == 400 || x.status == 422):
		return jobUnknown
	case x.status != 200 && x.status != 201:
		return -1
	case x.state == spec.Done:
		return jobDone
	case x.state == spec.Cancelled:
		return jobCancelled
	}
	return jobAccepted
}

// jobModel is the sequential specification of a job. A call without a definite answer never
// returns in the history, so one that took no effect is ordered after all others.
var jobModel = porcupine.Model{
	Init: func() interface{} { return jobUnknown },
	Step: func(state, input, output interface{}) (bool, interface{}) {
		is, x, told := state.(int), input.(call), output.(int)
		switch {
		case x.op == request.Submit && is == jobUnknown && told != jobUnknown:
			is = jobAccepted
		case x.op == request.Cancel && is == jobAccepted:
			is = jobCancelled
		case x.op == "" && is == jobAccepted:
			is = jobDone
		}
		return told < 0 || told == is, is
	},
}

// pruneCalls removes calls that add no constraint to a history sorted by invocation, to speed up
// the search. It does not change the verdict.
func pruneCalls(calls []call) (rest []call) {
	indefinite := map[request.Operation]bool{}
	accepted, ended := time.Time{}, time.Time{} // first answers with these states
	first := func(t *time.Time, x call) {
		if t.IsZero() || x.ended.Before(*t) {
			*t = x.ended
		}
	}
	for _, x := range calls {
		if s := answerState(x); s >= jobAccepted {
			first(&accepted, x)
			if s >= jobDone {
				first(&ended, x)
			}
		}
	}
	after := func(x call, t time.Time) bool { return !t.IsZero() && x.invoked.After(t) }
	for i, x := range calls {
		told := answerState(x)
		if told < 0 {
			// Of several indefinite calls of one operation, the first subsumes the others. A
			// call that can no longer change the state adds nothing.
			if x.op == request.Get || indefinite[x.op] || x.op == request.Submit && after(x, accepted) || x.op == request.Cancel && after(x, ended) {
				continue
			}
			indefinite[x.op] = true
		} else if x.op == request.Get || x.op == request.Submit && after(x, accepted) {
			// The call changes nothing, and a call within its interval got the same answer.
			inside := func(k int, y call) bool {
				return k != i && answerState(y) == told && !y.invoked.Before(x.invoked) && !y.ended.After(x.ended) &&
					(k < i || y.invoked.After(x.invoked) || y.ended.Before(x.ended))
			}
			k := 0
			if slices.ContainsFunc(calls, func(y call) bool { k++; return inside(k-1, y) }) {
				continue
			}
		}
		rest = append(rest, x)
	}
	return rest
}

// checkLinearizable returns why a job's history is not linearizable, or "".
func checkLinearizable(id string, calls []call) string {
	var ops []porcupine.Operation
	calls = slices.Clone(calls)
	slices.SortStableFunc(calls, func(a, b call) int { return a.invoked.Compare(b.invoked) })
	for _, x := range pruneCalls(calls) {
		told, end := answerState(x), int64(math.MaxInt64)
		if told >= 0 {
			end = x.ended.UnixNano()
		}
		ops = append(ops, porcupine.Operation{Input: x, Call: x.invoked.UnixNano(), Output: told, Return: end})
	}
	var sb strings.Builder
	switch porcupine.CheckOperationsTimeout(jobModel, ops, 20*time.Second) {
	case porcupine.Ok:
		return ""
	case porcupine.Unknown:
		fmt.Fprintf(&sb, "linearizability check of the history of %s timed out", id)
	default:
		fmt.Fprintf(&sb, "history of %s is not linearizable:", id)
	}
	for _, x := range calls {
		end := "never"
		if !x.ended.IsZero() {
			end = fmt.Sprintf("%.4f", x.ended.Sub(newClock(0).start).Seconds())
		}
		fmt.Fprintf(&sb, "\n\t%.4f to %s %s: %d %s", x.invoked.Sub(newClock(0).start).Seconds(), end, cmp.Or(string(x.op), "end of the last task"), x.status, x.state)
	}
	return sb.String()
}

// nonLinearizable describes the job histories of a scenario run that are not linearizable.
func nonLinearizable(res Result) (wrong []string) {
	for _, id := range slices.Sorted(maps.Keys(res.History)) {
		if why := checkLinearizable(id, res.History[id]); why != "" {
			wrong = append(wrong, why)
		}
	}
	return wrong
}

// TestLinear checks the verdicts of checkLinearizable on valid and invalid histories.
func TestLinear(t *testing.T) {
	at := func(ms int) time.Time { return newClock(0).start.Add(time.Duration(ms) * time.Millisecond) }
	x := func(op request.Operation, from, to, status int, s spec.JobState) call {
		c := call{op: op, invoked: at(from), status: status, state: s}
		if to > 0 {
			c.ended = at(to)
		}
		return c
	}
	const submit, get, cancel = request.Submit, request.Get, request.Cancel
	for name, h := range map[string]struct {
		good  bool
		calls []call
	}{
		"in order":                                 {true, []call{x(get, 0, 1, 404, ""), x(submit, 2, 5, 201, spec.Queued), x("", 6, 0, 0, ""), x(get, 7, 8, 200, spec.Running), x(get, 9, 10, 200, spec.Done)}},
		"overlapping":                              {true, []call{x(submit, 0, 9, 201, spec.Queued), x(get, 1, 8, 404, ""), x(get, 2, 7, 200, spec.Queued)}},
		"404 after an acceptance":                  {false, []call{x(submit, 0, 2, 201, spec.Queued), x(get, 3, 4, 404, "")}},
		"404 after another poll":                   {false, []call{x(submit, 0, 9, 201, spec.Queued), x(get, 1, 2, 200, spec.Queued), x(get, 3, 4, 404, "")}},
		"accepted without an answer":               {true, []call{x(submit, 0, 0, 0, ""), x(get, 8, 9, 200, spec.Queued)}},
		"queued after done":                        {false, []call{x(submit, 0, 2, 201, spec.Queued), x("", 3, 0, 0, ""), x(get, 4, 5, 200, spec.Done), x(get, 6, 7, 200, spec.Queued)}},
		"running after cancelled":                  {false, []call{x(submit, 0, 2, 201, spec.Queued), x(cancel, 3, 6, 200, spec.Cancelled), x(get, 7, 8, 200, spec.Running)}},
		"running after a repeat reports cancelled": {false, []call{x(submit, 0, 2, 201, spec.Queued), x(cancel, 3, 0, 503, ""), x(submit, 4, 5, 200, spec.Cancelled), x(get, 7, 8, 200, spec.Running)}},
		"cancelled without an answer":              {true, []call{x(submit, 0, 2, 201, spec.Queued), x(cancel, 3, 0, 503, ""), x(get, 5, 6, 200, spec.Running), x(get, 7, 8, 200, spec.Cancelled)}},
		"done after cancelled":                     {false, []call{x(submit, 0, 2, 201, spec.Queued), x("", 2, 0, 0, ""), x(cancel, 3, 4, 200, spec.Cancelled), x(get, 5, 6, 200, spec.Done)}},
		"cancelled without a cancellation":         {false, []call{x(submit, 0, 2, 201, spec.Queued), x(get, 5, 6, 200, spec.Cancelled)}},
		"rejected after an acceptance":             {false, []call{x(submit, 0, 2, 201, spec.Queued), x(submit, 3, 4, 422, "")}},
		"queued without a submission":              {false, []call{x(get, 5, 6, 200, spec.Queued)}},
	} {
		if got := checkLinearizable("wk-1", h.calls) == ""; got != h.good {
			t.Errorf("%s: linearizable = %v, want %v", name, got, h.good)
		}
	}
}
