// Package policy evaluates the operators' policy: expressions that override the embedded
// defaults. They are validated when they are loaded.
package policy

import (
	_ "embed"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"
	"github.com/pelletier/go-toml/v2"
)

//go:embed default.toml
var defaults []byte

// Env holds the variables that expressions can use. Times are in seconds.
type Env struct {
	Class          string  `expr:"class"`
	Owner          string  `expr:"owner"`
	Urgency        string  `expr:"urgency"`
	HasDeadline    bool    `expr:"dated"`
	LateSeconds    float64 `expr:"late_s"`    // estimated completion minus the deadline, positive if late
	BacklogSeconds float64 `expr:"backlog_s"` // waiting work divided by the number of present CPUs
	ReportSeconds  float64 `expr:"report_s"`  // interval of heartbeats
	LeaseSeconds   float64 `expr:"lease_s"`   // duration of worker leases
}

// setting identifies an expression. The constants are in the order of the setting names, which
// determines the error that is reported first.
type setting int

const (
	beginWithin setting = iota
	holdBusy
	holdIdle
	idleReturn
	margin
	ordinaryBacklog
	refuse
	rentBacklog
	reportBytes
	silentRelease
	takeoverRelease
	warm
	zoneKeep
	settingCount
)

var settingNames = [settingCount]string{
	beginWithin:     "begin_within_s",
	holdBusy:        "hold_busy_s",
	holdIdle:        "hold_idle_s",
	idleReturn:      "idle_return_s",
	margin:          "margin",
	ordinaryBacklog: "ordinary_backlog_s",
	refuse:          "refuse",
	rentBacklog:     "rent_backlog_s",
	reportBytes:     "report_bytes_s",
	silentRelease:   "silent_release_s",
	takeoverRelease: "takeover_release_s",
	warm:            "warm",
	zoneKeep:        "zone_keep_s",
}

// String returns the name of the setting in the operators' file.
func (s setting) String() string { return settingNames[s] }

// resultType returns the compiler option that enforces the type of the setting's result.
func (s setting) resultType() expr.Option {
	if s == refuse {
		return expr.AsBool()
	}
	return expr.AsFloat64()
}

// Policy is a validated set of compiled expressions. It is not safe for concurrent use.
type Policy struct {
	neverRefuses bool // the expression of refuse is the literal false
	programs     [settingCount]*vm.Program
}

// Parse returns the policy in which the expressions of a TOML document override the defaults.
func Parse(data []byte) (*Policy, error) {
	overrides := map[string]string{}
	if err := toml.Unmarshal(data, &overrides); err != nil {
		return nil, err
	}
	return New(overrides)
}

// New returns the policy in which the given expressions, by setting name, override the
// defaults. The error is one line that begins with the name of the invalid expression.
func New(overrides map[string]string) (*Policy, error) {
	expressions := map[string]string{}
	if err := toml.Unmarshal(defaults, &expressions); err != nil {
		return nil, err
	}
	for _, name := range slices.Sorted(maps.Keys(overrides)) {
		if _, ok := expressions[name]; !ok {
			return nil, fmt.Errorf("%s: no such setting", name)
		}
		expressions[name] = overrides[name]
	}
	p := &Policy{neverRefuses: strings.TrimSpace(expressions[refuse.String()]) == "false"}
	if err := p.compile(expressions); err != nil {
		return nil, err
	}
	if err := p.evaluateAll(); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *Policy) compile(expressions map[string]string) error {
	for s := range settingCount {
		program, err := expr.Compile(expressions[s.String()], expr.Env(Env{}), s.resultType())
		if err != nil {
			return settingError(s, err)
		}
		p.programs[s] = program
	}
	return nil
}

// evaluateAll evaluates each expression once, so that a policy with an expression that compiles but
// fails, for example by an index out of range, is rejected when it is loaded.
func (p *Policy) evaluateAll() error {
	for s := range settingCount {
		if _, err := expr.Run(p.programs[s], Env{}); err != nil {
			return settingError(s, err)
		}
	}
	return nil
}

// settingError returns an error with the setting's name and the first line of err. Its further
// lines repeat the expression.
func settingError(s setting, err error) error {
	firstLine, _, _ := strings.Cut(err.Error(), "\n")
	return fmt.Errorf("%s: %s", s, firstLine)
}

// maxValue is the largest result of a numeric expression. Larger results are clamped.
const maxValue = 1e8

// number evaluates a numeric setting and clamps the result to [0, maxValue]. It returns 0 for NaN
// or if evaluation fails.
func (p *Policy) number(s setting, env Env) float64 {
	result, err := expr.Run(p.programs[s], env)
	if err != nil {
		return 0
	}
	value, _ := result.(float64)
	if math.IsNaN(value) {
		return 0
	}
	return min(max(value, 0), maxValue)
}

// NeverRefuses reports whether Refuse returns false for every Env, so that callers need none.
func (p *Policy) NeverRefuses() bool { return p.neverRefuses }

// Refuse reports whether to refuse a job submission for now. It is false if evaluation fails.
func (p *Policy) Refuse(env Env) bool {
	result, err := expr.Run(p.programs[refuse], env)
	refused, _ := result.(bool)
	return err == nil && refused
}

// Margin returns the safety margin of an estimated runtime as a fraction of it.
func (p *Policy) Margin(env Env) float64 { return p.number(margin, env) }

// Warm returns the capacity to keep free for jobs with a waiting-time objective, as a multiple of
// the typical needs of such a job.
func (p *Policy) Warm(env Env) float64 { return p.number(warm, env) }

// RentBacklog returns the backlog in seconds above which machines are rented.
func (p *Policy) RentBacklog(env Env) float64 { return p.number(rentBacklog, env) }

// OrdinaryBacklog returns the backlog in seconds above which on-demand machines are rented if
// no spot machines are available.
func (p *Policy) OrdinaryBacklog(env Env) float64 { return p.number(ordinaryBacklog, env) }

// IdleReturn returns the idle time in seconds after which a machine is returned to the cloud.
func (p *Policy) IdleReturn(env Env) float64 { return p.number(idleReturn, env) }

// SilentRelease returns the time in seconds without a heartbeat after which a machine with
// tasks is released.
func (p *Policy) SilentRelease(env Env) float64 { return p.number(silentRelease, env) }

// TakeoverRelease returns the time in seconds since a failover after which a machine that may have
// tasks and has not reported to the new leader, while most others have, is released.
func (p *Policy) TakeoverRelease(env Env) float64 { return p.number(takeoverRelease, env) }

// ZoneKeep returns the time in seconds for which the machines of an unreachable zone are kept.
func (p *Policy) ZoneKeep(env Env) float64 { return p.number(zoneKeep, env) }

// BeginWithin returns the waiting time in seconds after which one task of a job is started
// ahead of its turn to prevent starvation.
func (p *Policy) BeginWithin(env Env) float64 { return p.number(beginWithin, env) }

// IdleReplyDelay returns the delay in seconds of heartbeat replies (long polling) while the machine
// runs no tasks or has room for jobs with a waiting-time objective.
func (p *Policy) IdleReplyDelay(env Env) float64 { return p.number(holdIdle, env) }

// BusyReplyDelay returns the delay in seconds of heartbeat replies while the machine runs tasks and
// has other free capacity.
func (p *Policy) BusyReplyDelay(env Env) float64 { return p.number(holdBusy, env) }

// ReportBytes returns the limit in bytes per second of a worker's heartbeats and replies. 0 means
// no limit.
func (p *Policy) ReportBytes(env Env) float64 { return p.number(reportBytes, env) }
