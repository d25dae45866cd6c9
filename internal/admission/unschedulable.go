// Package admission validates submitted jobs on the leader and stores the records of accepted jobs.
package admission

import (
	"yewpass/internal/fleet"
	"yewpass/internal/provider"
	"yewpass/internal/quota"
	"yewpass/internal/request"
	"yewpass/internal/spec"
)

// Refusal says why a job can never be scheduled.
type Refusal struct {
	Field  string // wire name of the invalid field of the job description
	Reason string
}

// Response returns the response to the client, with status 422.
func (r *Refusal) Response() request.Response { return request.Unprocessable(r.Field, r.Reason) }

// SpecTooLarge answers a submission whose record exceeds the store's maximum value size.
var SpecTooLarge = request.Response{Status: 400, Field: "flavors", Reason: "flavors: the description is too long"}

// CheckSchedulable returns why a job can never be scheduled, or nil. team is the account of the
// job's owner, nil if the team does not exist; types are the instance types on offer.
func CheckSchedulable(job *spec.Job, team *quota.Account, types []provider.InstanceType) *Refusal {
	if refusal := checkTeam(job, team); refusal != nil {
		return refusal
	}
	return checkInstanceTypes(job, types)
}

func checkTeam(job *spec.Job, team *quota.Account) *Refusal {
	if team == nil || !team.Configured {
		return &Refusal{"owner", "unknown team " + job.Owner}
	}
	if team.Retired {
		return &Refusal{"owner", "team " + job.Owner + " is retired"}
	}
	atOnce := 1
	if job.Service {
		atOnce = job.Tasks
	}
	need := job.TaskResources()
	if team.FitsLimit(need, atOnce) {
		return nil
	}
	field := "vcpus"
	if team.Limit.CPU == 0 || need.CPU*int64(atOnce) <= team.Limit.CPU {
		field = "gpus"
	}
	return &Refusal{field, "the job needs more than the limit of team " + job.Owner}
}

// checkInstanceTypes checks that a task of the job fits on some instance type. If none fits, the
// refusal names the field that rules out the last of the allowed types in the job's zone.
func checkInstanceTypes(job *spec.Job, types []provider.InstanceType) *Refusal {
	need, field := job.TaskResources(), "flavors"
	for i := range types {
		t := &types[i]
		switch {
		case !fleet.AllowsInstanceType(job, t.Name):
		case job.Zone != "" && !fleet.OfferedIn(t, job.Zone):
			if field == "flavors" {
				field = "hall"
			}
		case need.Fits(t.Capacity):
			return nil
		case need.CPU > t.Capacity.CPU:
			field = "vcpus"
		case need.GPU > t.Capacity.GPU:
			field = "gpus"
		default:
			field = "memGb"
		}
	}
	return &Refusal{field, "a task fits no allowed machine type"}
}
