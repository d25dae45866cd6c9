// Package config reads the settings file that the platform hands to a node.
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

// Seed is another controller.
type Seed struct {
	HostName string `toml:"host_name"`
	Site     string `toml:"site"`
	Endpoint string `toml:"endpoint"`
}

// Team has a guarantee and a limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is an aim on starting or finishing the jobs of a class.
type Objective struct {
	Kind   string  `toml:"kind"`
	Class  string  `toml:"class"`
	Within Seconds `toml:"within_s"`
	Share  float64 `toml:"share"`
	Times  float64 `toml:"times"`
}

// Seconds is a decimal number of seconds in the file.
type Seconds float64

// Duration returns s as a duration.
func (s Seconds) Duration() time.Duration { return timeline.Seconds(float64(s)) }

// Workers holds the times of the worker protocol.
type Workers struct {
	Report Seconds `toml:"report_s"`
	Lease  Seconds `toml:"lease_s"`
	Cancel Seconds `toml:"cancel_s"`
}

// State holds the limits of the state service.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Cloud holds the limits of the cloud API.
type Cloud struct {
	RPS     float64 `toml:"rps"`
	ListLag Seconds `toml:"list_lag_s"`
}

// Limits are those of the machine that the node runs on.
type Limits struct {
	CPUShare       float64 `toml:"cpu_share"`
	MemMB          float64 `toml:"mem_mb"`
	MaxConnections int     `toml:"max_connections"`
}

// Config is the whole file. Fields it does not know are ignored.
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

// Load reads and checks the file at path. The error is one line that names the
// file, the field and the reason.
func Load(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse reads and checks settings.
func Parse(data []byte) (*Config, error) {
	var c Config
	if err := tomltext.Decode(data, &c, false); err != nil {
		return nil, err
	}
	return &c, c.check()
}

// most bounds the numbers of the file. No deployment comes near it, and sums and
// products of numbers below it fit.
const most = 1e8

func (c *Config) check() error {
	if c.HostName == "" {
		return errors.New("host_name: missing")
	}
	addrs := []struct{ field, addr string }{
		{"client_listen", c.ClientListen}, {"peer_bind", c.PeerBind},
		{"external.cloud", c.External.Cloud}, {"external.state", c.External.State},
	}
	names := map[string]bool{c.HostName: true}
	for i, s := range c.Seeds {
		if s.HostName == "" {
			return fmt.Errorf("seeds[%d].host_name: missing", i)
		}
		if names[s.HostName] {
			return fmt.Errorf("seeds[%d].host_name: %q is named twice", i, s.HostName)
		}
		names[s.HostName] = true
		addrs = append(addrs, struct{ field, addr string }{fmt.Sprintf("seeds[%d].endpoint", i), s.Endpoint})
	}
	for _, a := range addrs {
		if a.addr == "" {
			return fmt.Errorf("%s: missing", a.field)
		}
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return fmt.Errorf("%s: %q is not host:port", a.field, a.addr)
		}
	}
	s := &c.Settings
	// TOML has nan and inf. A limit that is no number would be none: quotas off.
	amount := func(v float64) bool { return v >= 0 && v <= most }
	teams := map[string]bool{}
	for i, t := range s.Teams {
		switch {
		case t.Name == "":
			return fmt.Errorf("settings.teams[%d].name: missing", i)
		case teams[t.Name]:
			return fmt.Errorf("settings.teams[%d].name: %q is named twice", i, t.Name)
		}
		teams[t.Name] = true
		for _, p := range []struct {
			field string
			v     float64
		}{{"cpus", t.CPUs}, {"cpus_max", t.CPUsMax}, {"gpus", t.GPUs}, {"gpus_max", t.GPUsMax}} {
			if !amount(p.v) {
				return fmt.Errorf("settings.teams[%d].%s: must be 0 to %g", i, p.field, most)
			}
		}
	}
	for _, p := range []struct {
		field string
		v     float64
	}{
		{"workers.report_s", float64(s.Workers.Report)}, {"workers.lease_s", float64(s.Workers.Lease)},
		{"workers.cancel_s", float64(s.Workers.Cancel)}, {"state.rps", s.State.RPS},
		{"state.write_rps", s.State.WriteRPS}, {"state.value_kb", s.State.ValueKB},
		{"state.txn_ops", float64(s.State.TxnOps)}, {"cloud.rps", s.Cloud.RPS},
		{"machine_limits.cpu_share", s.Limits.CPUShare}, {"machine_limits.mem_mb", s.Limits.MemMB},
		{"machine_limits.max_connections", float64(s.Limits.MaxConnections)},
	} {
		if !(p.v > 0 && amount(p.v)) {
			return fmt.Errorf("settings.%s: must be more than 0, at most %g", p.field, most)
		}
	}
	if !amount(float64(s.Cloud.ListLag)) {
		return fmt.Errorf("settings.cloud.list_lag_s: must be 0 to %g", most)
	}
	for i, o := range s.Objectives {
		if !amount(float64(o.Within)) || !amount(o.Times) || !amount(o.Share) {
			return fmt.Errorf("settings.objectives[%d]: a number is not from 0 to %g", i, most)
		}
	}
	return nil
}
