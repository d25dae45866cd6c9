// Package request holds what users and operators ask of a controller, and the answers.
// Package api maps them to HTTP.
package request

import (
	"time"
	"yewpass/internal/liveconfig"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
)

// IsCluster reports whether an operation is about the controllers and not about jobs.
func IsCluster(op Operation) bool { return op == Cluster || op == HandOver }

// ConfigParams is what a user asks of the configuration, next to the operation.
type ConfigParams struct {
	Name       string                  `json:"name,omitempty"`       // of get
	Teams      []liveconfig.TeamChange `json:"teams,omitempty"`      // of set
	IfRevision *uint64                 `json:"ifRevision,omitempty"` // of set
	After      string                  `json:"after,omitempty"`      // of list: the name before
	Count      int                     `json:"count,omitempty"`      // of list: how many at the most
}

// NewOnly as an ETag stands for a schedule that is not there yet.
const NewOnly = "new"

// Operation is what a user asks for.
type Operation string

// The operations of the user interface.
const (
	Submit Operation = "submit"
	Get    Operation = "get"
	Cancel Operation = "cancel"

	Cluster  Operation = "cluster"
	HandOver Operation = "hand over"

	ConfigSet    Operation = "config set"
	ConfigGet    Operation = "config get"
	ConfigList   Operation = "config list"
	ConfigStatus Operation = "config status"
	ConfigHere   Operation = "config here" // what the node has that is asked, whoever leads

	SchedulePut      Operation = "schedule put"
	ScheduleGet      Operation = "schedule get"
	ScheduleList     Operation = "schedule list"
	ScheduleDelete   Operation = "schedule delete"
	SchedulePause    Operation = "schedule pause"
	ScheduleResume   Operation = "schedule resume"
	ScheduleRun      Operation = "schedule run"
	ScheduleUpcoming Operation = "schedule upcoming"
	ScheduleHistory  Operation = "schedule history"
)

// ScheduleParams is what a user asks of a schedule, next to the operation.
type ScheduleParams struct {
	Name    string         `json:"name,omitempty"`
	File    *schedule.File `json:"file,omitempty"`    // of put
	IfMatch string         `json:"ifMatch,omitempty"` // the ETag it is based on; "" any, "new" none
	After   string         `json:"after,omitempty"`   // of list: the name before
	Count   int            `json:"count,omitempty"`   // of list and upcoming: how many at the most
	Request string         `json:"request,omitempty"` // of run: the caller's name for it
}

// Request is a user's request, from this node's own socket or forwarded by a
// peer.
type Request struct {
	Ref  uint64
	From string // the peer that forwarded it, empty for our own user
	Op   Operation
	ID   string
	Spec *spec.Job

	Schedule *ScheduleParams
	Config   *ConfigParams
}

// IsJob reports whether the call is about one job.
func (u *Request) IsJob() bool { return u.Schedule == nil && u.Config == nil && !IsCluster(u.Op) }

// IsConfig reports whether an operation is about the configuration.
func IsConfig(op Operation) bool {
	return op == ConfigSet || op == ConfigGet || op == ConfigList || op == ConfigStatus
}

// MaxCount bounds what one answer lists.
const MaxCount = 200

// JobStatus is what a user is told of a job.
type JobStatus struct {
	ID            string
	State         spec.JobState
	Done, Running int
}

// Response answers a Request.
type Response struct {
	Ref        uint64
	Status     int
	RetryAfter time.Duration
	View       JobStatus
	Field      string
	Reason     string
	Doc        any    // a document in JSON instead of the view
	ETag       string // of the document
}

// Unavailable returns the response to a request that cannot be served for now and may be
// tried again.
func Unavailable(reason string) Response {
	return Response{Status: 503, RetryAfter: time.Second, Reason: reason}
}
