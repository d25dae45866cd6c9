package api

import (
	"math"
	"slices"
	"strings"
	"time"

	"yewpass/internal/core"
)

// jobJSON is a submission. Pointers tell which fields are there.
type jobJSON struct {
	ID             *string   `json:"id"`
	JobClass       *string   `json:"jobclass"`
	Owner          *string   `json:"owner"`
	Shape          *string   `json:"shape"`
	Urgency        *string   `json:"urgency"`
	Shards         *int      `json:"shards"`
	VCPUs          *float64  `json:"vcpus"`
	GPUs           *float64  `json:"gpus"`
	MemGB          *float64  `json:"memGb"`
	Bundle         *string   `json:"bundle"`
	SizeGB         *float64  `json:"sizeGb"`
	Flavors        *[]string `json:"flavors"`
	Hall           *string   `json:"hall"`
	SamePlace      *bool     `json:"samePlace"`
	Apart          *bool     `json:"apart"`
	Reclaimable    *bool     `json:"reclaimable"`
	RuntimeS       *float64  `json:"runtimeS"`
	SnapshotEveryS *float64  `json:"snapshotEveryS"`
	SnapshotS      *float64  `json:"snapshotS"`
	DueS           *float64  `json:"dueS"`
}

const (
	idPrefix = "wk-"
	maxName  = 512 // keeps a job's record far below the state service's limits
)

// validID reports whether id has the form of a job id.
func validID(id string) bool {
	digits, ok := strings.CutPrefix(id, idPrefix)
	return ok && len(digits) >= 1 && len(digits) <= 32 && strings.Trim(digits, "0123456789") == ""
}

// spec turns a submission into the job it describes, or names the field that is
// wrong and why.
func (j *jobJSON) spec() (s *core.JobSpec, field, reason string) {
	bad := func(f, r string) {
		if field == "" {
			field, reason = f, r
		}
	}
	text := func(name string, p *string) string {
		switch {
		case p == nil:
			bad(name, "missing")
		case len(*p) == 0 || len(*p) > maxName:
			bad(name, "empty or too long")
		default:
			return *p
		}
		return ""
	}
	number := func(name string, p *float64, limit float64) float64 {
		switch {
		case p == nil:
			bad(name, "missing")
		case !(*p >= 0 && *p <= limit):
			bad(name, "out of range")
		default:
			return *p
		}
		return 0
	}
	flag := func(name string, p *bool) bool {
		if p == nil {
			bad(name, "missing")
			return false
		}
		return *p
	}
	span := func(name string, p *float64) time.Duration {
		return time.Duration(math.Round(number(name, p, 1e8)*1000)) * time.Millisecond
	}
	out := &core.JobSpec{ID: text("id", j.ID)}
	if out.ID != "" && !validID(out.ID) {
		bad("id", "not of the form "+idPrefix+"000412")
	}
	out.Class, out.Owner = text("jobclass", j.JobClass), text("owner", j.Owner)
	switch shape := text("shape", j.Shape); shape {
	case "array":
	case "service":
		out.Service = true
	default:
		bad("shape", "neither array nor service")
	}
	u := slices.Index(core.UrgencyNames[:], text("urgency", j.Urgency))
	if u < 0 {
		bad("urgency", "not one of idle, standard, urgent, production")
	}
	out.Urgency = core.Urgency(u)
	switch {
	case j.Shards == nil:
		bad("shards", "missing")
	case *j.Shards < 1 || *j.Shards > core.MaxTasks:
		bad("shards", "out of range")
	default:
		out.Tasks = *j.Shards
	}
	out.CPUs, out.GPUs, out.MemGB = number("vcpus", j.VCPUs, 1e6), number("gpus", j.GPUs, 1e6), number("memGb", j.MemGB, 1e7)
	out.Image, out.ImageGB = text("bundle", j.Bundle), number("sizeGb", j.SizeGB, 1e6)
	if j.Flavors != nil {
		if len(*j.Flavors) == 0 || len(*j.Flavors) > 100 {
			bad("flavors", "empty or too long")
		}
		for i := range *j.Flavors {
			text("flavors", &(*j.Flavors)[i])
		}
		out.Flavors = *j.Flavors
	}
	if j.Hall != nil {
		out.Zone = text("hall", j.Hall)
	}
	out.SamePlace, out.Apart, out.Reclaimable = flag("samePlace", j.SamePlace), flag("apart", j.Apart), flag("reclaimable", j.Reclaimable)
	out.Runtime = span("runtimeS", j.RuntimeS)
	out.SnapshotEvery, out.Snapshot = span("snapshotEveryS", j.SnapshotEveryS), span("snapshotS", j.SnapshotS)
	if j.DueS != nil {
		out.Due, out.Dated = span("dueS", j.DueS), true
	}
	if field != "" {
		return nil, field, reason
	}
	return out, "", ""
}
