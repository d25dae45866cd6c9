// Package core is the controller as a state machine: inputs go in, what to
// send, write and answer comes out. It does no I/O, starts no goroutines, reads
// no clock and draws no randomness but from the seed it was given.
package core

import (
	"yewpass/internal/record"
)

// A term has so many attempts, and ends while there are some left: more than can go
// out between two ticks.
const (
	maxAttempts   = 1<<record.AttemptBits - 1
	spareAttempts = 1 << 20
)

// ---- inputs

// Tick lets the core act on the passing of time.
type Tick struct{}

// ---- outputs

// ---- records in the state service
