package admission_test

import (
	"testing"

	"yewpass/internal/admission"
	"yewpass/internal/liveconfig"
	"yewpass/internal/provider"
	"yewpass/internal/quota"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
)

func TestCheckSchedulable(t *testing.T) {
	types := []provider.InstanceType{
		{Name: "plain", Capacity: timeline.Capacity(8, 0, 32), Zones: []string{"a", "b"}},
		{Name: "accelerated", Capacity: timeline.Capacity(4, 2, 16), Zones: []string{"a"}},
	}
	team := func(change func(*liveconfig.Team)) *quota.Account {
		settings := liveconfig.Team{Name: "t"}
		change(&settings)
		return quota.New(settings)
	}
	open := team(func(*liveconfig.Team) {})
	retired := team(func(*liveconfig.Team) {})
	retired.Retired = true
	limited := team(func(s *liveconfig.Team) { s.CPUsMax, s.GPUsMax = 6, 1 })
	for _, test := range []struct {
		name   string
		change func(*spec.Job)
		team   *quota.Account
		field  string // "" if the job can be scheduled
	}{
		{"fits", func(*spec.Job) {}, open, ""},
		{"no team", func(*spec.Job) {}, nil, "owner"},
		{"team not configured", func(*spec.Job) {}, &quota.Account{}, "owner"},
		{"team retired", func(*spec.Job) {}, retired, "owner"},
		{"one task within the limit", func(j *spec.Job) { j.Tasks = 100 }, limited, ""},
		{"all tasks of a service above the limit", func(j *spec.Job) { j.Tasks, j.Service = 100, true }, limited, "vcpus"},
		{"CPUs above the limit", func(j *spec.Job) { j.CPUs = 7 }, limited, "vcpus"},
		{"GPUs above the limit", func(j *spec.Job) { j.GPUs = 2 }, limited, "gpus"},
		{"type unknown", func(j *spec.Job) { j.InstanceTypes = []string{"other"} }, open, "flavors"},
		{"type not in the zone", func(j *spec.Job) { j.InstanceTypes, j.Zone = []string{"accelerated"}, "b" }, open, "hall"},
		{"CPUs of no type", func(j *spec.Job) { j.CPUs = 9 }, open, "vcpus"},
		{"GPUs of no type", func(j *spec.Job) { j.GPUs = 3 }, open, "gpus"},
		{"memory of no type", func(j *spec.Job) { j.MemGB = 33 }, open, "memGb"},
		{"one type lacks CPUs, the other is not in the zone", func(j *spec.Job) { j.CPUs, j.Zone = 9, "b" }, open, "vcpus"},
	} {
		t.Run(test.name, func(t *testing.T) {
			job := &spec.Job{Owner: "t", Tasks: 1, CPUs: 1, MemGB: 1}
			test.change(job)
			refusal := admission.CheckSchedulable(job, test.team, types)
			switch {
			case refusal == nil && test.field == "":
			case refusal == nil:
				t.Errorf("job accepted, want a refusal of field %s", test.field)
			case refusal.Field != test.field:
				t.Errorf("refused field %s (%s), want %q", refusal.Field, refusal.Reason, test.field)
			case refusal.Response().Status != 422 || refusal.Response().Reason != refusal.Field+": "+refusal.Reason:
				t.Errorf("response %+v", refusal.Response())
			}
		})
	}
}
