package recordcodec

import (
	"encoding/json"
	"math"
	"strings"
	"time"

	"yewpass/internal/record"
	"yewpass/internal/spec"
)

type jobJSON struct {
	Type      string `json:"type"` // typeJob
	Spec      Spec   `json:"spec"`
	Submitted int64  `json:"submittedMs"`
	Cancelled bool   `json:"cancelled,omitempty"`
}

type finalJSON struct {
	Type  string        `json:"type"` // typeFinal
	State spec.JobState `json:"state"`
	Done  int           `json:"done"`
}

type progressJSON struct {
	Type   string `json:"type"` // typeProgress
	Ranges string `json:"ranges"`
}

func encodeJob(r *record.Job) jobJSON {
	return jobJSON{typeJob, EncodeSpec(&r.Spec), r.Submitted.UnixMilli(), r.Cancelled}
}

func decodeJob(key string, data []byte) any {
	var j jobJSON
	if json.Unmarshal(data, &j) != nil {
		return nil
	}
	s, ok := j.Spec.Decode()
	if !ok || !strings.HasSuffix(key, "/"+s.ID) {
		return nil
	}
	return &record.Job{Spec: s, Submitted: time.UnixMilli(j.Submitted), Cancelled: j.Cancelled}
}

func decodeFinal(_ string, data []byte) any {
	var f finalJSON
	if json.Unmarshal(data, &f) != nil || f.State != spec.Done && f.State != spec.Cancelled || f.Done < 0 {
		return nil
	}
	return &record.Final{State: f.State, Done: f.Done}
}

func decodeProgress(_ string, data []byte) any {
	var p progressJSON
	if json.Unmarshal(data, &p) != nil {
		return nil
	}
	return &record.Progress{Ranges: p.Ranges}
}

// Spec is the encoded job specification in records and in messages between controllers.
type Spec struct {
	ID                   string       `json:"id"`
	Class                string       `json:"class"`
	Owner                string       `json:"owner"`
	Service              bool         `json:"service,omitempty"`
	Urgency              spec.Urgency `json:"urgency"`
	Tasks                int          `json:"tasks"`
	CPUs                 float64      `json:"cpus,omitempty"`
	GPUs                 float64      `json:"gpus,omitempty"`
	MemGB                float64      `json:"memGb,omitempty"`
	Image                string       `json:"image,omitempty"`
	ImageGB              float64      `json:"imageGb,omitempty"`
	InstanceTypes        []string     `json:"flavors,omitempty"`
	Zone                 string       `json:"zone,omitempty"`
	SamePlace            bool         `json:"samePlace,omitempty"`
	Apart                bool         `json:"apart,omitempty"`
	AllowSpot            bool         `json:"reclaimable,omitempty"`
	RuntimeMS            int64        `json:"runtimeMs,omitempty"`
	CheckpointIntervalMS int64        `json:"snapshotEveryMs,omitempty"`
	CheckpointTimeMS     int64        `json:"snapshotMs,omitempty"`
	DeadlineMS           int64        `json:"dueMs,omitempty"`
	HasDeadline          bool         `json:"dated,omitempty"`
}

// EncodeSpec converts a job specification for encoding. Durations are cut to milliseconds.
func EncodeSpec(s *spec.Job) Spec {
	return Spec{
		ID:                   s.ID,
		Class:                s.Class,
		Owner:                s.Owner,
		Service:              s.Service,
		Urgency:              s.Urgency,
		Tasks:                s.Tasks,
		CPUs:                 s.CPUs,
		GPUs:                 s.GPUs,
		MemGB:                s.MemGB,
		Image:                s.Image,
		ImageGB:              s.ImageGB,
		InstanceTypes:        s.InstanceTypes,
		Zone:                 s.Zone,
		SamePlace:            s.SamePlace,
		Apart:                s.Apart,
		AllowSpot:            s.AllowSpot,
		RuntimeMS:            s.Runtime.Milliseconds(),
		CheckpointIntervalMS: s.CheckpointInterval.Milliseconds(),
		CheckpointTimeMS:     s.CheckpointTime.Milliseconds(),
		DeadlineMS:           s.Deadline.Milliseconds(),
		HasDeadline:          s.HasDeadline,
	}
}

// Decode returns the job specification, or false if it is invalid.
func (r Spec) Decode() (spec.Job, bool) {
	s := spec.Job{
		ID:                 r.ID,
		Class:              r.Class,
		Owner:              r.Owner,
		Service:            r.Service,
		Urgency:            r.Urgency,
		Tasks:              r.Tasks,
		CPUs:               r.CPUs,
		GPUs:               r.GPUs,
		MemGB:              r.MemGB,
		Image:              r.Image,
		ImageGB:            r.ImageGB,
		InstanceTypes:      r.InstanceTypes,
		Zone:               r.Zone,
		SamePlace:          r.SamePlace,
		Apart:              r.Apart,
		AllowSpot:          r.AllowSpot,
		Runtime:            milliseconds(r.RuntimeMS),
		CheckpointInterval: milliseconds(r.CheckpointIntervalMS),
		CheckpointTime:     milliseconds(r.CheckpointTimeMS),
		Deadline:           milliseconds(r.DeadlineMS),
		HasDeadline:        r.HasDeadline,
	}
	return s, s.Valid()
}

// milliseconds returns a duration of n milliseconds, or -1 if n is negative or overflows.
func milliseconds(n int64) time.Duration {
	if n < 0 || n > int64(math.MaxInt64/time.Millisecond) {
		return -1
	}
	return time.Duration(n) * time.Millisecond
}
