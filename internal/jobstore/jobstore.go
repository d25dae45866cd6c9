// Package jobstore reads and writes the records of jobs in the key-value store.
package jobstore

import (
	"yewpass/internal/config"
	"yewpass/internal/record"
	"yewpass/internal/request"
)

// FitsValue reports whether a record of so many bytes fits into a value of the store.
func FitsValue(size int, limits config.State) bool {
	return float64(size) <= limits.ValueKB*1024
}

// FinalStatus returns what users are told of a job that has ended.
func FinalStatus(id string, f record.Final) request.JobStatus {
	return request.JobStatus{ID: id, State: f.State, Done: f.Done}
}
