package quota

import (
	"testing"
	"time"

	"yewpass/internal/liveconfig"
	"yewpass/internal/timeline"
)

func TestConfigureKeepsUse(t *testing.T) {
	accounts := Accounts{}
	accounts.Configure(liveconfig.Team{Name: "a", CPUsMax: 20})
	a := accounts["a"]
	if accounts.AnyGuarantee() || !a.HasLimit() || a.Retired {
		t.Errorf("team with a limit only: %+v", a)
	}
	a.Allocated, a.JobCount = timeline.Capacity(15, 0, 0), 3
	accounts.Configure(liveconfig.Team{Name: "a", CPUs: 10, Retired: true})
	if accounts["a"] != a || a.Allocated.CPU != 15000 || a.JobCount != 3 {
		t.Errorf("Configure did not keep the use: %+v", accounts["a"])
	}
	if !accounts.AnyGuarantee() || a.HasLimit() || !a.Retired || !a.Configured {
		t.Errorf("retired team with a guarantee only: %+v", a)
	}
}

func TestTasksWithin(t *testing.T) {
	need := timeline.Capacity(2, 1, 0)
	for name, test := range map[string]struct {
		team                liveconfig.Team
		used                timeline.Resources
		limited, guaranteed int
		fits                bool // whether ten tasks alone fit into the limit
	}{
		"neither":           {liveconfig.Team{}, timeline.Resources{}, 10, 0, true},
		"limit of CPUs":     {liveconfig.Team{CPUsMax: 9}, timeline.Resources{}, 4, 0, false},
		"limit of GPUs":     {liveconfig.Team{CPUsMax: 90, GPUsMax: 3}, timeline.Capacity(2, 1, 0), 2, 0, false},
		"above the limit":   {liveconfig.Team{CPUsMax: 90}, timeline.Capacity(100, 0, 0), 0, 0, true},
		"guarantee":         {liveconfig.Team{CPUs: 10, GPUs: 10}, timeline.Capacity(4, 2, 0), 10, 3, true},
		"guarantee of CPUs": {liveconfig.Team{CPUs: 10}, timeline.Resources{}, 10, 0, true}, // no guarantee of GPUs
	} {
		t.Run(name, func(t *testing.T) {
			a := New(test.team)
			a.Allocated = test.used
			if got := a.TasksWithinLimit(need, 10); got != test.limited {
				t.Errorf("%d tasks within the limit, want %d", got, test.limited)
			}
			if got := a.TasksWithinGuarantee(need, 10); got != test.guaranteed {
				t.Errorf("%d tasks within the guarantee, want %d", got, test.guaranteed)
			}
			if got := a.FitsLimit(need, 10); got != test.fits {
				t.Errorf("ten tasks fit into the limit: %v, want %v", got, test.fits)
			}
		})
	}
}

func TestExpectedCPUsDecay(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	a := &Account{ArrivalLoad: 100, LoadAt: now}
	if got := a.ExpectedCPUs(now); got != 100 {
		t.Errorf("expected CPUs without decay: %g, want 100", got)
	}
	if got := a.ExpectedCPUs(now.Add(ArrivalTimeConstant)); got < 36.7 || got > 36.9 {
		t.Errorf("expected CPUs after one time constant: %g, want 100/e", got)
	}
}
