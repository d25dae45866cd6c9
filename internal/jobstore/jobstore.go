// Package jobstore reads job records from the key-value store on behalf of clients.
package jobstore

import (
	"yewpass/internal/config"
	"yewpass/internal/record"
	"yewpass/internal/request"
)

// FitsValue reports whether a record of size bytes fits into a value of the key-value store.
func FitsValue(size int, limits config.State) bool {
	return float64(size) <= limits.ValueKB*1024
}

// FinalStatus returns the client-visible status of a job with the given final record.
func FinalStatus(id string, f record.Final) request.JobStatus {
	return request.JobStatus{ID: id, State: f.State, Done: f.Done}
}
