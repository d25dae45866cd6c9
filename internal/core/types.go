// Package core is the controller as a state machine: inputs go in, what to
// send, write and answer comes out. It does no I/O, starts no goroutines, reads
// no clock and draws no randomness but from the seed it was given.
package core

// spareAttempts is how many attempt numbers a term ends with: more than tasks can start
// between two ticks.
const spareAttempts = 1 << 20

// ---- inputs

// Tick lets the core act on the passing of time.
type Tick struct{}

// ---- outputs

// ---- records in the state service
