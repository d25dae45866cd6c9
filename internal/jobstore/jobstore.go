// Package jobstore reads and writes the records of jobs in the key-value store.
package jobstore

import (
	"yewpass/internal/record"
	"yewpass/internal/request"
)

// FinalStatus returns what users are told of a job that has ended.
func FinalStatus(id string, f record.Final) request.JobStatus {
	return request.JobStatus{ID: id, State: f.State, Done: f.Done}
}
