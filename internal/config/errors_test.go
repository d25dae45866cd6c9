package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestParseErrors checks the error messages for invalid settings.
func TestParseErrors(t *testing.T) {
	for _, test := range []struct{ old, new, want string }{
		{`host_name = "hostbox-0"`, ``, `host_name: missing`},
		{`host_name = "hostbox-1"`, ``, `seeds[0].host_name: missing`},
		{`"hostbox-1"`, `"hostbox-0"`, `seeds[0].host_name: duplicate name "hostbox-0"`},
		{`client_listen = "10.0.0.1:8080"`, ``, `client_listen: missing`},
		{`"10.0.0.1:8081"`, `"10.0.0.1"`, `peer_bind: "10.0.0.1" is not host:port`},
		{`cloud = "10.2.0.2:8443"`, ``, `external.cloud: missing`},
		{`state = "10.2.0.1:2379"`, `state = "x"`, `external.state: "x" is not host:port`},
		{`endpoint = "10.0.0.2:8081"`, `endpoint = "10.0.0.2"`, `seeds[0].endpoint: "10.0.0.2" is not host:port`},
		{`name = "ops"`, ``, `settings.teams[0].name: missing`},
		{`cpus = 5.0`, "cpus = 5.0\n[[settings.teams]]\nname = \"ops\"", `settings.teams[1].name: duplicate name "ops"`},
		{`cpus = 5.0`, `cpus = -5.0`, `settings.teams[0].cpus: must be 0 to 1e+08`},
		{`cpus = 5.0`, `gpus_max = nan`, `settings.teams[0].gpus_max: must be 0 to 1e+08`},
		{`report_s = 3.0`, `report_s = 0.0`, `settings.workers.report_s: must be more than 0, at most 1e+08`},
		{`cancel_s = 40.0`, ``, `settings.workers.cancel_s: must be more than 0, at most 1e+08`},
		{`rps = 6.0`, `rps = 2e8`, `settings.cloud.rps: must be more than 0, at most 1e+08`},
		{`cpu_share = 0.096`, `cpu_share = -1.0`, `settings.machine_limits.cpu_share: must be more than 0, at most 1e+08`},
		{`max_connections = 800`, `max_connections = 0`, `settings.machine_limits.max_connections: must be more than 0, at most 1e+08`},
		{`list_lag_s = 3.0`, `list_lag_s = -1.0`, `settings.cloud.list_lag_s: must be 0 to 1e+08`},
		{`[settings.workers]`, "[[settings.objectives]]\nkind = \"wait\"\nshare = nan\n[settings.workers]", `settings.objectives[0]: numbers must be 0 to 1e+08`},
	} {
		t.Run(test.new, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validSettings, test.old, test.new, 1)))
			if err == nil || err.Error() != test.want {
				t.Errorf("got  %v\nwant %s", err, test.want)
			}
		})
	}
}

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	if _, err := Load(path); !os.IsNotExist(err) {
		t.Errorf("Load of an absent file: error %v, want os.ErrNotExist", err)
	}
	if err := os.WriteFile(path, []byte(validSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	if c, err := Load(path); err != nil || c.HostName != "hostbox-0" {
		t.Errorf("Load of a valid file: %+v, %v", c, err)
	}
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil || err.Error() != path+": host_name: missing" {
		t.Errorf("Load of an empty file: error %v, want %s: host_name: missing", err, path)
	}
}
