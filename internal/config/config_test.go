package config

import (
	"strings"
	"testing"
)

// validSettings is a valid settings file with an unknown field.
const validSettings = `
host_name = "hostbox-0"
site = "north"
client_listen = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
unknown = [1, 2]
[[seeds]]
host_name = "hostbox-1"
endpoint = "10.0.0.2:8081"
[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[settings]
nodes = 2
[[settings.teams]]
name = "ops"
cpus = 5.0
[settings.workers]
report_s = 3.0
lease_s = 20.0
cancel_s = 40.0
[settings.state]
rps = 250.0
write_rps = 100.0
value_kb = 16.0
txn_ops = 48
[settings.cloud]
rps = 6.0
list_lag_s = 3.0
[settings.machine_limits]
cpu_share = 0.096
mem_mb = 98.0
max_connections = 800
`

func TestParse(t *testing.T) {
	c, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if c.Settings.Workers.Lease.Duration().Seconds() != 20 || c.Settings.Teams[0].CPUs != 5 || c.Seeds[0].HostName != "hostbox-1" {
		t.Errorf("parsed %+v, want the lease, team and seed of validSettings", c)
	}
}

// TestInvalidFieldIsNamed checks that an error is one line that names the field or the line.
func TestInvalidFieldIsNamed(t *testing.T) {
	for _, test := range []struct{ old, new, field string }{
		{`host_name = "hostbox-0"`, ``, "host_name"},
		{`client_listen = "10.0.0.1:8080"`, `client_listen = "10.0.0.1"`, "client_listen"},
		{`"hostbox-1"`, `"hostbox-0"`, "seeds[0].host_name"},
		{`endpoint = "10.0.0.2:8081"`, ``, "seeds[0].endpoint"},
		{`state = "10.2.0.1:2379"`, ``, "external.state"},
		{`cpus = 5.0`, `cpus = -5.0`, "settings.teams[0]"},
		{`lease_s = 20.0`, ``, "settings.workers.lease_s"},
		{`txn_ops = 48`, `txn_ops = "x"`, "settings.state.txn_ops"},
		{`mem_mb = 98.0`, `mem_mb = nan`, "settings.machine_limits.mem_mb"},
		{`cpus = 5.0`, `cpus_max = nan`, "settings.teams[0].cpus_max"}, // NaN would disable the limit
		{`cpus = 5.0`, `gpus_max = inf`, "settings.teams[0].gpus_max"},
		{`[settings.workers]`, "[[settings.teams]]\nname = \"ops\"\n[settings.workers]", "settings.teams[1].name"},
		{`lease_s = 20.0`, `lease_s = 1e300`, "settings.workers.lease_s"},
		{`write_rps = 100.0`, `write_rps = inf`, "settings.state.write_rps"},
		{`list_lag_s = 3.0`, `list_lag_s = nan`, "settings.cloud.list_lag_s"},
		{`[settings.workers]`, "[[settings.objectives]]\nkind = \"wait\"\nwithin_s = nan\n[settings.workers]", "settings.objectives[0]"},
		{`nodes = 2`, `nodes = `, "line"},
		{`nodes = 2`, "nodes = 2\nnodes = 3", "line"},
		{`nodes = 2`, "nodes = \"\xff\"", "line"},
	} {
		t.Run(test.new, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validSettings, test.old, test.new, 1)))
			if err == nil || !strings.Contains(err.Error(), test.field) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want one line that names %s", err, test.field)
			}
		})
	}
}
