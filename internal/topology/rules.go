package topology

import (
	"fmt"
	"math"
)

// Kind is the kind of a rule.
type Kind int

// The kinds of rules.
const (
	Spread       Kind = iota // at most so many of the job's tasks in one place
	Colocate                 // all of the job's tasks in one place
	Affinity                 // in a place where Of has tasks, if it has any
	AntiAffinity             // in no place where Of has tasks
)

// Rule is one rule of a job, at a level of the tree.
type Rule struct {
	Kind        Kind
	Level       int
	MaxPerPlace int     // Spread: this many; if 0, by Share
	Share       float64 // Spread: this share of the job's tasks, rounded up
	Target      string  // Near, AwayFrom: a job or team, as the tally names it
	Soft        bool    // it does not forbid a start, but ranks the machines
}

// Job is a job as its rules see it.
type Job struct {
	Key   string // as the tally names it
	Tasks int
	Rules []Rule
}

// SamePlace and Apart are the rules that the protocol has fields for.
var (
	SamePlace = Rule{Kind: Colocate}
	Apart     = Rule{Kind: Spread, Share: 0.5}
)

// maxTasks returns how many tasks a spread rule allows in one place.
func (r *Rule) maxTasks(tasks int) int {
	if r.MaxPerPlace > 0 {
		return r.MaxPerPlace
	}
	// A share such as 0.1 of 30 is 3, whatever binary fractions make of it.
	return int(math.Ceil(r.Share*float64(tasks) - 1e-9))
}

// TaskCounter counts tasks by job or team and place: all that are, or may be, on a machine, from the
// order to start until they are proven gone.
type TaskCounter struct {
	counts map[counterKey]int
}

// counterKey identifies a counter of a Tally.
type counterKey struct {
	key   string
	place *Place // nil: everywhere
}

// NewTaskCounter returns a tally of no tasks.
func NewTaskCounter() *TaskCounter { return &TaskCounter{counts: map[counterKey]int{}} }

// Add adds n tasks on a machine; n is below 0 to remove them. They must be removed with the leaf
// that they were added with, even if the machine's place has changed.
func (t *TaskCounter) Add(key string, leaf *Place, n int) {
	t.add(counterKey{key: key}, n)
	for p := leaf; p != nil; p = p.Parent {
		t.add(counterKey{key: key, place: p}, n)
	}
}

// add adds n to a counter and drops it at 0.
func (t *TaskCounter) add(c counterKey, n int) {
	if n += t.counts[c]; n == 0 {
		delete(t.counts, c)
	} else {
		t.counts[c] = n
	}
}

// Count returns how many tasks a job or team has in a place, or everywhere if the place is nil.
func (t *TaskCounter) Count(key string, p *Place) int {
	return t.counts[counterKey{key: key, place: p}]
}

// Violation is why a task may not start on a machine.
type Violation struct {
	Rule   Rule
	Place  *Place
	Reason string
}

// placeAt returns the place that a machine shares with others at a level. A machine whose place at
// that level is not known is a place of its own.
func placeAt(leaf *Place, level int) (p *Place, known bool) {
	if p = leaf.Ancestor(level); p != nil {
		return p, true
	}
	return leaf, false
}

// Check decides whether one more task of a job may start on a machine. If not, refusal says why;
// if so, it is nil, and broken is how many soft rules the start would break.
func (t *TaskCounter) Check(j *Job, leaf *Place) (broken int, refusal *Violation) {
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

// violation returns why a rule forbids a start, or "".
func (t *TaskCounter) violation(j *Job, r *Rule, leaf *Place) string {
	p, known := placeAt(leaf, r.Level)
	switch r.Kind {
	case Spread:
		if n, most := t.Count(j.Key, p), r.maxTasks(j.Tasks); n >= most {
			return fmt.Sprintf("%s has %d of its tasks, %d are allowed", p, n, most)
		}
	case Colocate:
		if !known {
			return fmt.Sprintf("where %s stands is not known", p)
		}
		if n := t.Count(j.Key, nil) - t.Count(j.Key, p); n > 0 {
			return fmt.Sprintf("%d of its tasks are elsewhere than in %s", n, p)
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

// AllowedTasks returns how many tasks of a job, at most n, the hard rules allow to start on a machine
// one after the other.
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
