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

// All users' calls on a job are a history of invocations and responses, whichever node took
// them. It must be linearizable: there is one order of the calls, each somewhere between its
// invocation and its response, in which every answer is the state of a single job. A call
// without a certain answer may have happened or not.

// The states of a job in the order that PROTOCOL gives them. Queued and running are one: an
// answer may call a running job queued.
const (
	jobUnknown = iota
	jobAccepted
	jobDone
	jobCancelled
)

// stateOf is the state that an answer tells, or -1 when it tells none.
func stateOf(x call) int {
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

// jobModel is one job, as it is specified. A call without a certain answer has all the time
// there is to take effect, so one that never did comes after everything else.
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

// needed takes out of a history, in the order of invocations, what says nothing that the rest
// does not: the search goes over the orders of all that overlaps. Each step is exact.
func needed(calls []call) (rest []call) {
	unsure := map[request.Operation]bool{}
	known, over := time.Time{}, time.Time{} // when an answer first said that it is accepted, that it is over
	first := func(t *time.Time, x call) {
		if t.IsZero() || x.ended.Before(*t) {
			*t = x.ended
		}
	}
	for _, x := range calls {
		if s := stateOf(x); s >= jobAccepted {
			first(&known, x)
			if s >= jobDone {
				first(&over, x)
			}
		}
	}
	after := func(x call, t time.Time) bool { return !t.IsZero() && x.invoked.After(t) }
	for i, x := range calls {
		told := stateOf(x)
		if told < 0 {
			// Of those that may have happened at any time from then on the first says it all,
			// and one that can change nothing any more says nothing.
			if x.op == request.Get || unsure[x.op] || x.op == request.Submit && after(x, known) || x.op == request.Cancel && after(x, over) {
				continue
			}
			unsure[x.op] = true
		} else if x.op == request.Get || x.op == request.Submit && after(x, known) {
			// It changes nothing, and another call in the midst of it was told the same.
			inside := func(k int, y call) bool {
				return k != i && stateOf(y) == told && !y.invoked.Before(x.invoked) && !y.ended.After(x.ended) &&
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

// linear returns what is wrong with a job's history, or "".
func linear(id string, calls []call) string {
	var ops []porcupine.Operation
	calls = slices.Clone(calls)
	slices.SortStableFunc(calls, func(a, b call) int { return a.invoked.Compare(b.invoked) })
	for _, x := range needed(calls) {
		told, end := stateOf(x), int64(math.MaxInt64)
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
		fmt.Fprintf(&sb, "whether the answers about %s could be a single job's was not found out in time", id)
	default:
		fmt.Fprintf(&sb, "the answers about %s are in no order: no single job could have given them", id)
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

// notLinear returns what is wrong with the histories of a play.
func notLinear(res Result) (wrong []string) {
	for _, id := range slices.Sorted(maps.Keys(res.History)) {
		if why := linear(id, res.History[id]); why != "" {
			wrong = append(wrong, why)
		}
	}
	return wrong
}

// TestLinear: the checker tells good histories from bad ones.
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
		"in order":                       {true, []call{x(get, 0, 1, 404, ""), x(submit, 2, 5, 201, spec.Queued), x("", 6, 0, 0, ""), x(get, 7, 8, 200, spec.Running), x(get, 9, 10, 200, spec.Done)}},
		"overlapping":                    {true, []call{x(submit, 0, 9, 201, spec.Queued), x(get, 1, 8, 404, ""), x(get, 2, 7, 200, spec.Queued)}},
		"404 after an acceptance":        {false, []call{x(submit, 0, 2, 201, spec.Queued), x(get, 3, 4, 404, "")}},
		"404 after another poll":         {false, []call{x(submit, 0, 9, 201, spec.Queued), x(get, 1, 2, 200, spec.Queued), x(get, 3, 4, 404, "")}},
		"accepted without an answer":     {true, []call{x(submit, 0, 0, 0, ""), x(get, 8, 9, 200, spec.Queued)}},
		"queued after done":              {false, []call{x(submit, 0, 2, 201, spec.Queued), x("", 3, 0, 0, ""), x(get, 4, 5, 200, spec.Done), x(get, 6, 7, 200, spec.Queued)}},
		"running after cancelled":        {false, []call{x(submit, 0, 2, 201, spec.Queued), x(cancel, 3, 6, 200, spec.Cancelled), x(get, 7, 8, 200, spec.Running)}},
		"running after a repeat says so": {false, []call{x(submit, 0, 2, 201, spec.Queued), x(cancel, 3, 0, 503, ""), x(submit, 4, 5, 200, spec.Cancelled), x(get, 7, 8, 200, spec.Running)}},
		"cancelled without an answer":    {true, []call{x(submit, 0, 2, 201, spec.Queued), x(cancel, 3, 0, 503, ""), x(get, 5, 6, 200, spec.Running), x(get, 7, 8, 200, spec.Cancelled)}},
		"done after cancelled":           {false, []call{x(submit, 0, 2, 201, spec.Queued), x("", 2, 0, 0, ""), x(cancel, 3, 4, 200, spec.Cancelled), x(get, 5, 6, 200, spec.Done)}},
		"cancelled by nobody":            {false, []call{x(submit, 0, 2, 201, spec.Queued), x(get, 5, 6, 200, spec.Cancelled)}},
		"refused after an acceptance":    {false, []call{x(submit, 0, 2, 201, spec.Queued), x(submit, 3, 4, 422, "")}},
		"known to nobody":                {false, []call{x(get, 5, 6, 200, spec.Queued)}},
	} {
		if got := linear("wk-1", h.calls) == ""; got != h.good {
			t.Errorf("%s: %v, want %v", name, got, h.good)
		}
	}
}
