// Package config reads and validates the settings file of a node, which the platform provides.
package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"yewpass/internal/timeline"
	"yewpass/internal/tomltext"
)

// Seed is the address of another controller.
type Seed struct {
	HostName string `toml:"host_name"`
	Site     string `toml:"site"`
	Endpoint string `toml:"endpoint"`
}

// Team holds the quota of a team. 0 means no guarantee or no limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`     // guaranteed CPUs
	CPUsMax float64 `toml:"cpus_max"` // maximum CPUs
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective for starting or finishing the jobs of a class.
type Objective struct {
	Kind   string  `toml:"kind"`     // wait, finished, deadline or guarantee
	Class  string  `toml:"class"`    // job class; empty: all classes
	Within Seconds `toml:"within_s"` // time since the submission
	Share  float64 `toml:"share"`    // fraction of the jobs that must meet the objective
	Times  float64 `toml:"times"`    // kind deadline: multiple of the time until the deadline
}

// Seconds is a duration as a decimal number of seconds.
type Seconds float64

// Duration converts s to a time.Duration. Values that are out of range are clamped.
func (s Seconds) Duration() time.Duration { return timeline.Seconds(float64(s)) }

// Workers holds the timing of the worker protocol.
type Workers struct {
	Report Seconds `toml:"report_s"` // interval of heartbeats
	Lease  Seconds `toml:"lease_s"`  // duration of a lease
	Cancel Seconds `toml:"cancel_s"` // time within which the tasks of a cancelled job must end
}

// State holds the limits of the key-value store.
type State struct {
	RPS      float64 `toml:"rps"`       // requests per second
	WriteRPS float64 `toml:"write_rps"` // writes per second
	ValueKB  float64 `toml:"value_kb"`  // maximum size of a value
	TxnOps   int     `toml:"txn_ops"`   // maximum number of operations in a transaction
}

// Cloud holds the limits of the cloud API.
type Cloud struct {
	RPS     float64 `toml:"rps"`        // requests per second
	ListLag Seconds `toml:"list_lag_s"` // maximum staleness of the list of machines
}

// Limits holds the resource limits of the node's own process.
type Limits struct {
	CPUShare       float64 `toml:"cpu_share"`
	MemMB          float64 `toml:"mem_mb"`
	MaxConnections int     `toml:"max_connections"`
}

// Config is the settings file. Unknown fields in the file are ignored.
type Config struct {
	HostName     string `toml:"host_name"`
	Site         string `toml:"site"`
	ClientListen string `toml:"client_listen"`
	PeerBind     string `toml:"peer_bind"`
	Seeds        []Seed `toml:"seeds"`
	External     struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"external"`
	Settings struct {
		Nodes      int         `toml:"nodes"`
		Zones      []string    `toml:"zones"`
		SkewMS     float64     `toml:"skew_ms"`
		Teams      []Team      `toml:"teams"`
		Objectives []Objective `toml:"objectives"`
		Workers    Workers     `toml:"workers"`
		State      State       `toml:"state"`
		Cloud      Cloud       `toml:"cloud"`
		Limits     Limits      `toml:"machine_limits"`
	} `toml:"settings"`
}

// Load reads and validates the file at path. The error is one line that names the file, the
// field and the reason.
func Load(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	config, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return config, nil
}

// Parse decodes and validates settings. The error is one line that names the field and the
// reason.
func Parse(data []byte) (*Config, error) {
	var config Config
	if err := tomltext.Decode(data, &config, false); err != nil {
		return nil, err
	}
	return &config, config.check()
}

// maxNumber is the largest number allowed in the file. It prevents overflow in sums and products.
const maxNumber = 1e8

// inRange reports whether value is in [0, maxNumber]. It rejects NaN and infinity, which TOML
// allows and which would have no effect as a limit.
func inRange(value float64) bool { return value >= 0 && value <= maxNumber }

type numericField struct {
	field string
	value float64
}

// check returns an error for the first invalid field.
func (c *Config) check() error {
	if c.HostName == "" {
		return errors.New("host_name: missing")
	}
	for _, check := range []func() error{
		c.checkSeedNames,
		c.checkAddresses,
		c.checkTeams,
		c.checkLimits,
		c.checkObjectives,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) checkSeedNames() error {
	names := map[string]bool{c.HostName: true}
	for i, seed := range c.Seeds {
		if seed.HostName == "" {
			return fmt.Errorf("seeds[%d].host_name: missing", i)
		}
		if names[seed.HostName] {
			return fmt.Errorf("seeds[%d].host_name: duplicate name %q", i, seed.HostName)
		}
		names[seed.HostName] = true
	}
	return nil
}

func (c *Config) checkAddresses() error {
	type field struct{ name, address string }
	fields := []field{
		{"client_listen", c.ClientListen},
		{"peer_bind", c.PeerBind},
		{"external.cloud", c.External.Cloud},
		{"external.state", c.External.State},
	}
	for i, seed := range c.Seeds {
		fields = append(fields, field{fmt.Sprintf("seeds[%d].endpoint", i), seed.Endpoint})
	}
	for _, field := range fields {
		if field.address == "" {
			return fmt.Errorf("%s: missing", field.name)
		}
		if _, _, err := net.SplitHostPort(field.address); err != nil {
			return fmt.Errorf("%s: %q is not host:port", field.name, field.address)
		}
	}
	return nil
}

func (c *Config) checkTeams() error {
	names := map[string]bool{}
	for i, team := range c.Settings.Teams {
		if team.Name == "" {
			return fmt.Errorf("settings.teams[%d].name: missing", i)
		}
		if names[team.Name] {
			return fmt.Errorf("settings.teams[%d].name: duplicate name %q", i, team.Name)
		}
		names[team.Name] = true
		for _, amount := range []numericField{
			{"cpus", team.CPUs},
			{"cpus_max", team.CPUsMax},
			{"gpus", team.GPUs},
			{"gpus_max", team.GPUsMax},
		} {
			if !inRange(amount.value) {
				return fmt.Errorf("settings.teams[%d].%s: must be 0 to %g", i, amount.field, maxNumber)
			}
		}
	}
	return nil
}

// checkLimits validates the times and limits. All except list_lag_s must be positive.
func (c *Config) checkLimits() error {
	settings := &c.Settings
	for _, limit := range []numericField{
		{"workers.report_s", float64(settings.Workers.Report)},
		{"workers.lease_s", float64(settings.Workers.Lease)},
		{"workers.cancel_s", float64(settings.Workers.Cancel)},
		{"state.rps", settings.State.RPS},
		{"state.write_rps", settings.State.WriteRPS},
		{"state.value_kb", settings.State.ValueKB},
		{"state.txn_ops", float64(settings.State.TxnOps)},
		{"cloud.rps", settings.Cloud.RPS},
		{"machine_limits.cpu_share", settings.Limits.CPUShare},
		{"machine_limits.mem_mb", settings.Limits.MemMB},
		{"machine_limits.max_connections", float64(settings.Limits.MaxConnections)},
	} {
		if !inRange(limit.value) || limit.value == 0 {
			return fmt.Errorf("settings.%s: must be more than 0, at most %g", limit.field, maxNumber)
		}
	}
	if !inRange(float64(settings.Cloud.ListLag)) {
		return fmt.Errorf("settings.cloud.list_lag_s: must be 0 to %g", maxNumber)
	}
	return nil
}

func (c *Config) checkObjectives() error {
	for i, objective := range c.Settings.Objectives {
		if !inRange(float64(objective.Within)) || !inRange(objective.Times) || !inRange(objective.Share) {
			return fmt.Errorf("settings.objectives[%d]: numbers must be 0 to %g", i, maxNumber)
		}
	}
	return nil
}
