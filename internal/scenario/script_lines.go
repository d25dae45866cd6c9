package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"yewpass/internal/config"
)

// lineParsers maps the first word of a scenario line to its parser.
var lineParsers = map[string]func(s *script, f []string) error{
	"seed":      (*script).setSeed,
	"start":     (*script).setStart,
	"calendar":  (*script).setCalendar,
	"nodes":     (*script).setNodes,
	"workers":   (*script).setWorkers,
	"state":     (*script).setState,
	"cloud":     (*script).setCloud,
	"team":      (*script).setTeam,
	"objective": (*script).setObjective,
	"type":      (*script).setType,
	"capacity":  (*script).setCapacity,
	"machines":  (*script).setMachines,
	"policy":    (*script).setPolicy,
	"run":       (*script).setRun,
	"at":        (*script).setAt,
	"expect":    (*script).setExpect,
}

// parseLine parses the words of a line. Panics of the helpers on invalid values become errors.
func (s *script) parseLine(f []string) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%v", p)
		}
	}()
	parse := lineParsers[f[0]]
	if parse == nil {
		return fmt.Errorf("unknown line type %q", f[0])
	}
	return parse(s, f)
}

// setSeed parses "seed N".
func (s *script) setSeed(f []string) (err error) {
	s.seed, err = strconv.ParseUint(f[1], 10, 64)
	return err
}

// setStart parses "start TIME", the wall-clock time at which the scenario starts, as RFC 3339.
func (s *script) setStart(f []string) (err error) {
	var t time.Time
	t, err = time.Parse(time.RFC3339, f[1])
	s.clock.start, s.clock.now, s.store.refilled = t, t, t
	return err
}

// setCalendar parses "calendar NAME k=v...".
func (s *script) setCalendar(f []string) error {
	s.calendarDefs[f[1]] = parseCalendar(keyValues(f[2:]))
	return nil
}

// setNodes parses "nodes N", the number of controllers.
func (s *script) setNodes(f []string) (err error) {
	cs := &s.cfg.Settings
	cs.Nodes, err = strconv.Atoi(f[1])
	return err
}

// setWorkers parses "workers [report=D] [lease=D] [cancel=D]".
func (s *script) setWorkers(f []string) error {
	a := keyValues(f[1:])
	cs := &s.cfg.Settings
	cs.Workers = config.Workers{Report: config.Seconds(durationArg(a, "report", 3*time.Second).Seconds()),
		Lease: config.Seconds(durationArg(a, "lease", 20*time.Second).Seconds()), Cancel: config.Seconds(durationArg(a, "cancel", 40*time.Second).Seconds())}
	return nil
}

// setState parses "state [rps=N] [write_rps=N] [value_kb=N] [txn_ops=N] [keeps=N]", the limits of
// the key-value store. keeps is the number of revisions it retains for watches.
func (s *script) setState(f []string) error {
	a := keyValues(f[1:])
	cs := &s.cfg.Settings
	cs.State = config.State{RPS: numberArg(a, "rps", 250), WriteRPS: numberArg(a, "write_rps", 100), ValueKB: numberArg(a, "value_kb", 16), TxnOps: int(numberArg(a, "txn_ops", 48))}
	s.store.historyLength = uint64(numberArg(a, "keeps", 10000))
	return nil
}

// setCloud parses "cloud [rps=N]".
func (s *script) setCloud(f []string) error {
	a := keyValues(f[1:])
	cs := &s.cfg.Settings
	cs.Cloud = config.Cloud{RPS: numberArg(a, "rps", 6), ListLag: 3}
	return nil
}

// setTeam parses "team NAME [cpus=N] [max=N] [gpus=N] [gpus_max=N]": guarantees and limits.
func (s *script) setTeam(f []string) error {
	a := keyValues(f[1:])
	cs := &s.cfg.Settings
	cs.Teams = append(cs.Teams, config.Team{Name: f[1], CPUs: numberArg(a, "cpus", 0), CPUsMax: numberArg(a, "max", 0), GPUs: numberArg(a, "gpus", 0), GPUsMax: numberArg(a, "gpus_max", 0)})
	return nil
}

// setObjective parses "objective KIND CLASS within=D".
func (s *script) setObjective(f []string) error {
	cs := &s.cfg.Settings
	a := keyValues(f[3:])
	cs.Objectives = append(cs.Objectives, config.Objective{Kind: f[1], Class: f[2], Within: config.Seconds(durationArg(a, "within", 0).Seconds()), Share: 0.9, Times: 1})
	return nil
}

// setType parses "type NAME k=v...", an instance type.
func (s *script) setType(f []string) error {
	a := keyValues(f[1:])
	s.cloud.instanceTypes = append(s.cloud.instanceTypes, &instanceType{name: f[1], cpus: numberArg(a, "cpus", 8), gpus: numberArg(a, "gpus", 0), mem: numberArg(a, "mem", 64),
		price: numberArg(a, "rate", 1), spotPrice: numberArg(a, "low", 0.3), bootTime: durationArg(a, "ready", 20*time.Second), fetchRate: numberArg(a, "fetch", 0.5)})
	return nil
}

// setCapacity parses "capacity TYPE ZONE [n=N] [spot=N]".
func (s *script) setCapacity(f []string) error {
	a := keyValues(f[1:])
	k := offerKey{f[1], f[2], false}
	s.cloud.capacity[k] = int(numberArg(a, "n", 0))
	k.spot = true
	s.cloud.capacity[k] = int(numberArg(a, "spot", 0))
	if fl := s.cloud.instanceType(f[1]); !slices.Contains(fl.zones, f[2]) {
		fl.zones = append(fl.zones, f[2])
	}
	return nil
}

// setMachines parses "machines TYPE ZONE [n=N] [spot]", the machines at the start.
func (s *script) setMachines(f []string) error {
	s.actions = append(s.actions, action{0, f})
	return nil
}

// setPolicy parses "policy TEXT", a line of the policy file.
func (s *script) setPolicy(f []string) error {
	s.policyText = append(s.policyText, []byte(strings.Join(f[1:], " ")+"\n")...)
	return nil
}

// setRun parses "run D", the duration of the scenario.
func (s *script) setRun(f []string) error {
	s.end = parseDuration(f[1])
	return nil
}

// setAt parses "at D ACTION...", an action D after the start.
func (s *script) setAt(f []string) error {
	s.actions = append(s.actions, action{parseDuration(f[1]), f[2:]})
	return nil
}

// setExpect parses "expect NAME... [by D]", checked at D or at the end.
func (s *script) setExpect(f []string) error {
	s.expects = append(s.expects, expect{words: f[1:]})
	return nil
}

// keyValues parses k=v words. A word without = gets the value "yes".
func keyValues(words []string) map[string]string {
	m := map[string]string{}
	for _, w := range words {
		k, v, ok := strings.Cut(w, "=")
		if !ok {
			v = "yes"
		}
		m[k] = v
	}
	return m
}

func numberArg(m map[string]string, k string, fallback float64) float64 {
	if v, ok := m[k]; ok {
		f, err := strconv.ParseFloat(v, 64)
		if err != nil {
			panic(fmt.Sprintf("%s=%s is not a number", k, v))
		}
		return f
	}
	return fallback
}

func durationArg(m map[string]string, k string, fallback time.Duration) time.Duration {
	if v, ok := m[k]; ok {
		return parseDuration(v)
	}
	return fallback
}

func parseDuration(v string) time.Duration {
	d, err := time.ParseDuration(v)
	if err != nil {
		panic(v + " is not a duration")
	}
	return d
}
