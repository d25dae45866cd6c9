// Package core implements the controller as a deterministic state machine. Each step takes one
// input and returns the messages, store calls, cloud calls, replies and log entries that result.
// The package does no I/O, starts no goroutines, reads no clock, and takes all randomness from the
// seed passed to New.
//
// It connects the packages that make the decisions. Core holds the state of the process, and
// leadership the state of one term as leader. docs/ARCHITECTURE.md gives an overview.
package core

// Tick is an input without content. It makes the core run the timers that are due.
type Tick struct{}
