// Package request defines the requests of users and operators to a controller, and the responses.
// Package api maps them to HTTP, and package peer to messages between controllers.
package request

import (
	"time"

	"yewpass/internal/liveconfig"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
)

// Operation is the kind of a request. Its values are sent in messages between controllers.
type Operation string

// Operations on jobs.
const (
	Submit Operation = "submit"
	Get    Operation = "get"
	Cancel Operation = "cancel"
)

// Operations on the cluster of controllers.
const (
	Cluster            Operation = "cluster"   // returns the state of the cluster
	TransferLeadership Operation = "hand over" // makes the leader step down
)

// Operations on the live configuration.
const (
	ConfigSet    Operation = "config set"
	ConfigGet    Operation = "config get"
	ConfigList   Operation = "config list"
	ConfigStatus Operation = "config status"
	ConfigLocal  Operation = "config here" // returns the configuration of the receiving node; not forwarded to the leader
)

// Operations on schedules.
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

// IsCluster reports whether op is an operation on the cluster of controllers.
func IsCluster(op Operation) bool { return op == Cluster || op == TransferLeadership }

// IsConfig reports whether op is an operation on the live configuration that the leader serves,
// which ConfigLocal is not.
func IsConfig(op Operation) bool {
	return op == ConfigSet || op == ConfigGet || op == ConfigList || op == ConfigStatus
}

// MaxCount is the maximum number of items in one page of a response.
const MaxCount = 200

// IfAbsent is a value of ScheduleParams.IfMatch that requires that the schedule does not exist.
const IfAbsent = "new"

// Request is a user's request, received by this node or forwarded by a peer.
type Request struct {
	Ref  uint64
	From string // the peer that forwarded it; empty if this node received it
	Op   Operation
	ID   string    // job ID
	Spec *spec.Job // Submit only

	Schedule *ScheduleParams // operations on schedules only
	Config   *ConfigParams   // operations on the configuration only
}

// IsJob reports whether the request is an operation on a job.
func (r *Request) IsJob() bool { return r.Schedule == nil && r.Config == nil && !IsCluster(r.Op) }

// ScheduleParams are the parameters of an operation on schedules.
type ScheduleParams struct {
	Name           string         `json:"name,omitempty"`
	File           *schedule.File `json:"file,omitempty"`    // put only
	IfMatch        string         `json:"ifMatch,omitempty"` // required ETag, IfAbsent, or empty for no condition
	After          string         `json:"after,omitempty"`   // list: the last name of the previous page
	Count          int            `json:"count,omitempty"`   // list and upcoming: maximum number of items
	IdempotencyKey string         `json:"request,omitempty"` // run: chosen by the caller
}

// ConfigParams are the parameters of an operation on the configuration.
type ConfigParams struct {
	Name       string                  `json:"name,omitempty"`       // get only
	Teams      []liveconfig.TeamChange `json:"teams,omitempty"`      // set only
	IfRevision *uint64                 `json:"ifRevision,omitempty"` // set: required current revision; nil for no condition
	After      string                  `json:"after,omitempty"`      // list: the last name of the previous page
	Count      int                     `json:"count,omitempty"`      // list: maximum number of items
}

// Response is the response to the Request with the same Ref.
type Response struct {
	Ref        uint64
	Status     int           // HTTP status
	RetryAfter time.Duration // with 503 and 429
	Job        JobStatus
	Field      string // name of the invalid field, if any
	Reason     string
	Document   any    // if not nil, returned as JSON instead of Job
	ETag       string // entity tag of Document
}

// JobStatus is the status of a job as returned to users.
type JobStatus struct {
	ID      string
	State   spec.JobState
	Done    int // completed tasks
	Running int // running tasks
}

// HTTP statuses. They are defined here to avoid a dependency on net/http.
const (
	statusUnprocessable = 422
	statusUnavailable   = 503
)

// retryAfter is the delay after which a client should retry an unavailable response.
const retryAfter = time.Second

// Unavailable returns a response with status 503 and a retry delay.
func Unavailable(reason string) Response {
	return Response{Status: statusUnavailable, RetryAfter: retryAfter, Reason: reason}
}

// Unprocessable returns a response with status 422 that names the invalid field.
func Unprocessable(field, reason string) Response {
	return Response{Status: statusUnprocessable, Field: field, Reason: field + ": " + reason}
}
