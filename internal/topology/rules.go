package topology

import (
	"fmt"
	"math"
)

// Kind is the effect of a placement rule.
type Kind int

// Kinds of placement rules. A place is a node of the topology at the level of the rule.
const (
	Spread       Kind = iota // at most MaxPerPlace or Share of the job's tasks in one place
	Colocate                 // all tasks of the job in one place
	Affinity                 // only places where Target has tasks, if it has any
	AntiAffinity             // no place where Target has tasks
)

// Rule is a placement rule at one level of the topology.
type Rule struct {
	Kind        Kind
	Level       int
	MaxPerPlace int     // Spread: maximum per place; if 0, Share applies
	Share       float64 // Spread: maximum fraction of the job's tasks, rounded up
	Target      string  // Affinity, AntiAffinity: TaskCounter key of another job or team
	Soft        bool    // ranks machines instead of excluding them
}

// Job is the part of a job that its placement rules depend on.
type Job struct {
	Key   string // key in the TaskCounter
	Tasks int
	Rules []Rule
}

// SamePlace and Apart are the rules for the samePlace and apart fields of submissions, both for
// zones.
var (
	SamePlace = Rule{Kind: Colocate}
	Apart     = Rule{Kind: Spread, Share: 0.5}
)

// maxTasks returns how many of a job's tasks a Spread rule allows in one place.
func (r *Rule) maxTasks(tasks int) int {
	if r.MaxPerPlace > 0 {
		return r.MaxPerPlace
	}
	// The tolerance keeps 0.1 of 30 at 3 despite binary fractions.
	return int(math.Ceil(r.Share*float64(tasks) - 1e-9))
}

// TaskCounter counts tasks by job or team and by place. It includes every task from its start order
// until it is known to be gone from its machine.
type TaskCounter struct {
	counts map[counterKey]int
}

type counterKey struct {
	key   string
	place *Place // nil for the total over all places
}

// NewTaskCounter returns a counter without tasks.
func NewTaskCounter() *TaskCounter { return &TaskCounter{counts: map[counterKey]int{}} }

// Add adds n tasks on a machine, or removes them if n is negative. Tasks must be removed with the
// leaf that they were added with, even if the machine has moved since.
func (t *TaskCounter) Add(key string, leaf *Place, n int) {
	t.add(counterKey{key: key}, n)
	for p := leaf; p != nil; p = p.Parent {
		t.add(counterKey{key: key, place: p}, n)
	}
}

// add adds n to one counter, and deletes a counter that reaches 0.
func (t *TaskCounter) add(c counterKey, n int) {
	if n += t.counts[c]; n == 0 {
		delete(t.counts, c)
	} else {
		t.counts[c] = n
	}
}

// Count returns the number of tasks of a job or team in a place, or in all places if p is nil.
func (t *TaskCounter) Count(key string, p *Place) int {
	return t.counts[counterKey{key: key, place: p}]
}

// Violation describes the hard rule that forbids a task to start on a machine.
type Violation struct {
	Rule   Rule
	Place  *Place
	Reason string
}

// placeAt returns the ancestor of a machine at a level and true. If it is unknown, placeAt returns
// the machine itself and false, so the machine shares the place with no other.
func placeAt(leaf *Place, level int) (p *Place, known bool) {
	if p = leaf.Ancestor(level); p != nil {
		return p, true
	}
	return leaf, false
}

// Check reports whether one more task of a job may start on a machine. The violation is nil if all
// hard rules allow it; broken is then the number of soft rules that the start would break.
func (t *TaskCounter) Check(j *Job, leaf *Place) (broken int, violation *Violation) {
	for i := range j.Rules {
		r := &j.Rules[i]
		why := t.violation(j, r, leaf)
		switch {
		case why == "":
		case r.Soft:
			broken++
		default:
			p, _ := placeAt(leaf, r.Level)
			return 0, &Violation{Rule: *r, Place: p, Reason: why}
		}
	}
	return broken, nil
}

// violation returns why a rule forbids a start, or an empty string if it does not.
func (t *TaskCounter) violation(j *Job, r *Rule, leaf *Place) string {
	p, known := placeAt(leaf, r.Level)
	switch r.Kind {
	case Spread:
		if n, most := t.Count(j.Key, p), r.maxTasks(j.Tasks); n >= most {
			return fmt.Sprintf("%s already has %d tasks of the job, the maximum is %d", p, n, most)
		}
	case Colocate:
		if !known {
			return fmt.Sprintf("the place of %s at this level is unknown", p)
		}
		if n := t.Count(j.Key, nil) - t.Count(j.Key, p); n > 0 {
			return fmt.Sprintf("%d tasks of the job are elsewhere, not in %s", n, p)
		}
	case Affinity:
		if t.Count(r.Target, nil) > 0 && t.Count(r.Target, p) == 0 {
			return fmt.Sprintf("%s has no task of %s", p, r.Target)
		}
	case AntiAffinity:
		if n := t.Count(r.Target, p); n > 0 {
			return fmt.Sprintf("%s has %d tasks of %s", p, n, r.Target)
		}
	}
	return ""
}

// AllowedTasks returns how many more tasks of a job, at most n, the hard rules allow on a machine.
func (t *TaskCounter) AllowedTasks(j *Job, leaf *Place, n int) int {
	for i := range j.Rules {
		r := &j.Rules[i]
		if r.Soft {
			continue
		}
		if r.Kind == Spread {
			p, _ := placeAt(leaf, r.Level)
			n = min(n, r.maxTasks(j.Tasks)-t.Count(j.Key, p))
		} else if t.violation(j, r, leaf) != "" {
			return 0
		}
	}
	return max(n, 0)
}
