// Package request holds what users and operators ask of a controller, and the answers.
// Package api maps them to HTTP, package peer to lines between controllers.
package request

import (
	"time"

	"yewpass/internal/liveconfig"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
)

// Operation is what a request asks for. The texts are those of lines between controllers.
type Operation string

// The operations on jobs.
const (
	Submit Operation = "submit"
	Get    Operation = "get"
	Cancel Operation = "cancel"
)

// The operations on the controllers themselves.
const (
	Cluster            Operation = "cluster"
	TransferLeadership Operation = "hand over"
)

// The operations on the live configuration.
const (
	ConfigSet    Operation = "config set"
	ConfigGet    Operation = "config get"
	ConfigList   Operation = "config list"
	ConfigStatus Operation = "config status"
	ConfigLocal  Operation = "config here" // what the node that is asked has, whoever leads
)

// The operations on schedules.
const (
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

// IsCluster reports whether an operation is about the controllers and not about jobs.
func IsCluster(op Operation) bool { return op == Cluster || op == TransferLeadership }

// IsConfig reports whether an operation is about the configuration and served by the leader.
func IsConfig(op Operation) bool {
	return op == ConfigSet || op == ConfigGet || op == ConfigList || op == ConfigStatus
}

// MaxCount bounds how many items one answer lists.
const MaxCount = 200

// IfAbsent stands in ScheduleParams.IfMatch for a schedule that does not exist yet.
const IfAbsent = "new"

// Request is a user's request, from this node's own socket or forwarded by a peer.
type Request struct {
	Ref  uint64
	From string // the peer that forwarded it; empty for our own user
	Op   Operation
	ID   string    // of the job
	Spec *spec.Job // of Submit

	Schedule *ScheduleParams // of operations on schedules
	Config   *ConfigParams   // of operations on the configuration
}

// IsJob reports whether the request is about one job.
func (r *Request) IsJob() bool { return r.Schedule == nil && r.Config == nil && !IsCluster(r.Op) }

// ScheduleParams are the parameters of an operation on schedules.
type ScheduleParams struct {
	Name           string         `json:"name,omitempty"`
	File           *schedule.File `json:"file,omitempty"`    // of put
	IfMatch        string         `json:"ifMatch,omitempty"` // the ETag that the request is based on, NewOnly, or empty for any
	After          string         `json:"after,omitempty"`   // of list: the last name of the page before
	Count          int            `json:"count,omitempty"`   // of list and upcoming: how many at most
	IdempotencyKey string         `json:"request,omitempty"` // of run: the caller's name for it, which makes it idempotent
}

// ConfigParams are the parameters of an operation on the configuration.
type ConfigParams struct {
	Name       string                  `json:"name,omitempty"`       // of get
	Teams      []liveconfig.TeamChange `json:"teams,omitempty"`      // of set
	IfRevision *uint64                 `json:"ifRevision,omitempty"` // of set: the revision that it is based on
	After      string                  `json:"after,omitempty"`      // of list: the last name of the page before
	Count      int                     `json:"count,omitempty"`      // of list: how many at most
}

// Response is the answer to a Request.
type Response struct {
	Ref        uint64
	Status     int           // of HTTP
	RetryAfter time.Duration // with 503 and 429
	Job        JobStatus
	Field      string // that is wrong
	Reason     string
	Document   any    // a document in JSON in place of View
	ETag       string // of the document
}

// JobStatus is what a user is told of a job.
type JobStatus struct {
	ID      string
	State   spec.JobState
	Done    int // tasks
	Running int // tasks
}

// Statuses of HTTP, on which this package does not depend.
const (
	statusUnprocessable = 422
	statusUnavailable   = 503
)

// retryAfter is when a request that cannot be served for now may be tried again.
const retryAfter = time.Second

// Unavailable returns the response to a request that cannot be served for now.
func Unavailable(reason string) Response {
	return Response{Status: statusUnavailable, RetryAfter: retryAfter, Reason: reason}
}

// Unprocessable returns the response to a request that is refused for good because of a
// field of what it describes.
func Unprocessable(field, reason string) Response {
	return Response{Status: statusUnprocessable, Field: field, Reason: field + ": " + reason}
}
