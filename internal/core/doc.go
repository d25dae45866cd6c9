// Package core is the controller as a state machine: inputs go in, what to send, write and
// answer comes out. It does no I/O, starts no goroutines, reads no clock and draws no
// randomness but from the seed that it was given.
//
// It composes the packages that decide: Core has what lasts as long as the process,
// leadership what lasts as long as a term. docs/ARCHITECTURE.md has the whole.
package core

// Tick is the input that lets the core act on the passing of time.
type Tick struct{}
