// Package engine is what the parts of the controller's state machine share: the time
// of the current step, the outputs of that step, timers, random numbers, and calls to
// outside services that wait for their replies. It does no I/O and reads no clock.
package engine

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/kv"
	"yewpass/internal/provider"
	"yewpass/internal/timerheap"
)

const (
	storeTimeout    = 1500 * time.Millisecond // of a call to the key-value store that names none
	providerTimeout = 4 * time.Second
	// maxIdle is how long the state machine goes without a step.
	maxIdle = time.Second
)

// Engine runs the steps of a state machine. It is not safe for concurrent use.
type Engine struct {
	Now       time.Time // of the current step, with a steady reading
	StartedAt time.Time // the first step
	Rand      *rand.Rand
	Outputs   []any  // of the current step
	LastRef   uint64 // the number of the last call

	// ObserveStore is called with each call to the key-value store as it is sent. The
	// function that it returns sees the response before the caller does.
	ObserveStore func() func(kv.Response)

	clockOffset   time.Duration
	timers        timerheap.Heap[func()]
	pendingStore  map[uint64]func(kv.Response)
	pendingCloud  map[uint64]func(provider.Response)
	pendingProbes map[uint64]func(heartbeat.ProbeReply)
}

// New returns an engine whose calls are numbered from firstRef on.
func New(rng *rand.Rand, firstRef uint64) *Engine {
	return &Engine{
		Rand:          rng,
		LastRef:       firstRef,
		ObserveStore:  func() func(kv.Response) { return func(kv.Response) {} },
		pendingStore:  map[uint64]func(kv.Response){},
		pendingCloud:  map[uint64]func(provider.Response){},
		pendingProbes: map[uint64]func(heartbeat.ProbeReply){},
	}
}

// Begin begins a step at the given time and reports whether it is the first one.
func (e *Engine) Begin(now time.Time) (first bool) {
	first = e.Now.IsZero()
	e.Now = now
	e.Outputs = e.Outputs[:0]
	if first {
		e.StartedAt = now
	}
	return first
}

// Emit adds an output to the current step.
func (e *Engine) Emit(output any) { e.Outputs = append(e.Outputs, output) }

// Log adds a line for the operators' log to the current step.
func (e *Engine) Log(level slog.Level, text string, attrs ...any) {
	e.Emit(LogEntry{Level: level, Text: text, Attrs: attrs})
}

// NextRef returns a number that no call of this process has had.
func (e *Engine) NextRef() uint64 {
	e.LastRef++
	return e.LastRef
}

// Jitter returns a random duration between half of d and one and a half of it.
func (e *Engine) Jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(e.Rand.Int64N(int64(d)+1))
}

// RandomID returns a random number above 0 that JSON readers of any kind take whole.
func (e *Engine) RandomID() uint64 { return e.Rand.Uint64()>>11 | 1 }

// After has f called in the first step at or after d from now.
func (e *Engine) After(d time.Duration, f func()) { e.timers.Push(e.Now.Add(d), f) }

// RunTimers calls the functions of all timers that are due.
func (e *Engine) RunTimers() {
	for e.timers.Len() > 0 {
		if at, _ := e.timers.First(); at.After(e.Now) {
			return
		}
		e.timers.Pop()()
	}
}

// NextWake returns the time by which the next step is wanted.
func (e *Engine) NextWake() time.Time {
	at := e.Now.Add(maxIdle)
	if e.timers.Len() > 0 {
		if first, _ := e.timers.First(); first.Before(at) {
			at = first
		}
	}
	return at
}

// SetClockOffset moves the time of day against the time of the steps, for drivers whose
// times carry no separate steady reading. In a process a time carries both, and a time
// of day that is set back moves by itself.
func (e *Engine) SetClockOffset(d time.Duration) { e.clockOffset = d }

// WallClock returns the wall-clock time of the current step.
func (e *Engine) WallClock() time.Time { return e.Now.Round(0).Add(e.clockOffset) }

// ClockSkew returns how far the time of day has run ahead of the steady clock since the
// first step. A machine that was suspended wakes with a steady clock that has stood still.
func (e *Engine) ClockSkew(now time.Time) time.Duration {
	return now.Round(0).Add(e.clockOffset).Sub(e.StartedAt.Round(0)) - now.Sub(e.StartedAt)
}

// CallStore calls the key-value store and has f called with the response.
func (e *Engine) CallStore(call kv.Request, f func(kv.Response)) {
	call.Ref = e.NextRef()
	if call.Timeout == 0 {
		call.Timeout = storeTimeout
	}
	observe := e.ObserveStore()
	e.pendingStore[call.Ref] = func(r kv.Response) {
		observe(r)
		f(r)
	}
	e.Emit(call)
}

// CallCloud calls the cloud and has f called with the response.
func (e *Engine) CallCloud(call provider.Request, f func(provider.Response)) {
	call.Ref = e.NextRef()
	call.Timeout = providerTimeout
	e.pendingCloud[call.Ref] = f
	e.Emit(call)
}

// ProbeWorker probes a worker and has f called with the reply.
func (e *Engine) ProbeWorker(probe heartbeat.Probe, f func(heartbeat.ProbeReply)) {
	probe.Ref = e.NextRef()
	e.pendingProbes[probe.Ref] = f
	e.Emit(probe)
}

// HandleStore passes a response of the key-value store on to the caller.
func (e *Engine) HandleStore(r kv.Response) { deliver(e.pendingStore, r.Ref, r) }

// StoreCallPending reports whether a call to the key-value store waits for its response.
func (e *Engine) StoreCallPending(ref uint64) bool { return e.pendingStore[ref] != nil }

// HandleCloud passes a response of the cloud on to the caller.
func (e *Engine) HandleCloud(r provider.Response) { deliver(e.pendingCloud, r.Ref, r) }

// HandleProbe passes a worker's reply on to the caller.
func (e *Engine) HandleProbe(r heartbeat.ProbeReply) { deliver(e.pendingProbes, r.Ref, r) }

// deliver hands a reply to the function that waits for it, once.
func deliver[R any](pending map[uint64]func(R), ref uint64, r R) {
	if f := pending[ref]; f != nil {
		delete(pending, ref)
		f(r)
	}
}
