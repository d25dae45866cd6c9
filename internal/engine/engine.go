// Package engine runs the steps of the controller's state machine. It provides time, outputs,
// timers, random numbers and asynchronous calls. It does no I/O and does not read the clock, so
// that runs are deterministic.
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
	storeTimeout    = 1500 * time.Millisecond // default for calls to the key-value store
	providerTimeout = 4 * time.Second
	maxIdle         = time.Second // maximum interval between steps
)

// Engine runs the steps of a state machine. It is not safe for concurrent use.
type Engine struct {
	Now       time.Time // time of the current step, with a monotonic clock reading
	StartedAt time.Time // time of the first step
	Rand      *rand.Rand
	Outputs   []any  // outputs of the current step
	LastRef   uint64 // reference of the last call

	// ObserveStore is called before each call to the key-value store. The function that it
	// returns gets the response before the caller does.
	ObserveStore func() func(kv.Response)

	clockOffset   time.Duration
	timers        timerheap.Heap[func()]
	pendingStore  map[uint64]func(kv.Response)
	pendingCloud  map[uint64]func(provider.Response)
	pendingProbes map[uint64]func(heartbeat.ProbeReply)
}

// New returns an engine whose first call has the reference firstRef+1.
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

// Begin starts a step, discards the outputs of the previous one and reports whether it is the
// first.
func (e *Engine) Begin(now time.Time) (first bool) {
	first = e.Now.IsZero()
	e.Now = now
	e.Outputs = e.Outputs[:0]
	if first {
		e.StartedAt = now
	}
	return first
}

// Emit appends an output to those of the current step.
func (e *Engine) Emit(output any) { e.Outputs = append(e.Outputs, output) }

// Log emits a LogEntry.
func (e *Engine) Log(level slog.Level, text string, attrs ...any) {
	e.Emit(LogEntry{Level: level, Text: text, Attrs: attrs})
}

// NextRef returns a call reference that this process has not used before.
func (e *Engine) NextRef() uint64 {
	e.LastRef++
	return e.LastRef
}

// Jitter returns a random duration in [d/2, 3d/2].
func (e *Engine) Jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(e.Rand.Int64N(int64(d)+1))
}

// RandomID returns a random positive number of at most 53 bits, which a float64 holds exactly.
func (e *Engine) RandomID() uint64 { return e.Rand.Uint64()>>11 | 1 }

// After calls f in the first step that is at least d after the current one.
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

// NextWake returns the time by which the driver must run the next step.
func (e *Engine) NextWake() time.Time {
	at := e.Now.Add(maxIdle)
	if e.timers.Len() > 0 {
		if first, _ := e.timers.First(); first.Before(at) {
			at = first
		}
	}
	return at
}

// SetClockOffset sets the difference between the wall clock and the time of the steps. Only
// simulations need it, whose times have no separate monotonic reading.
func (e *Engine) SetClockOffset(d time.Duration) { e.clockOffset = d }

// WallClock returns the wall-clock time of the current step.
func (e *Engine) WallClock() time.Time { return e.Now.Round(0).Add(e.clockOffset) }

// ClockSkew returns how far the wall clock has advanced beyond the monotonic clock since the first
// step. The monotonic clock stops while the machine is suspended.
func (e *Engine) ClockSkew(now time.Time) time.Duration {
	return now.Round(0).Add(e.clockOffset).Sub(e.StartedAt.Round(0)) - now.Sub(e.StartedAt)
}

// CallStore emits a request to the key-value store and calls f with the response.
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

// CallCloud emits a request to the cloud provider and calls f with the response.
func (e *Engine) CallCloud(call provider.Request, f func(provider.Response)) {
	call.Ref = e.NextRef()
	call.Timeout = providerTimeout
	e.pendingCloud[call.Ref] = f
	e.Emit(call)
}

// ProbeWorker emits a probe of a worker and calls f with the reply.
func (e *Engine) ProbeWorker(probe heartbeat.Probe, f func(heartbeat.ProbeReply)) {
	probe.Ref = e.NextRef()
	e.pendingProbes[probe.Ref] = f
	e.Emit(probe)
}

// HandleStore calls the callback of the request that r answers. It ignores unknown references.
func (e *Engine) HandleStore(r kv.Response) { deliver(e.pendingStore, r.Ref, r) }

// StoreCallPending reports whether the request with the given reference is unanswered.
func (e *Engine) StoreCallPending(ref uint64) bool { return e.pendingStore[ref] != nil }

// HandleCloud calls the callback of the request that r answers. It ignores unknown references.
func (e *Engine) HandleCloud(r provider.Response) { deliver(e.pendingCloud, r.Ref, r) }

// HandleProbe calls the callback of the probe that r answers. It ignores unknown references.
func (e *Engine) HandleProbe(r heartbeat.ProbeReply) { deliver(e.pendingProbes, r.Ref, r) }

// deliver removes the callback for ref and calls it with r, if there is one.
func deliver[R any](pending map[uint64]func(R), ref uint64, r R) {
	if f := pending[ref]; f != nil {
		delete(pending, ref)
		f(r)
	}
}
