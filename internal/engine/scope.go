package engine

import (
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/provider"
)

// Scope limits timers and calls to a period, such as one term as leader. Once it is closed, their
// callbacks are no longer called.
type Scope struct {
	engine *Engine
	closed bool
}

// NewScope returns an open scope.
func (e *Engine) NewScope() *Scope { return &Scope{engine: e} }

// Close closes the scope permanently.
func (s *Scope) Close() { s.closed = true }

// Closed reports whether Close was called.
func (s *Scope) Closed() bool { return s.closed }

// After calls f after d unless the scope is closed.
func (s *Scope) After(d time.Duration, f func()) {
	s.engine.After(d, func() {
		if !s.closed {
			f()
		}
	})
}

// CallStore sends a request to the key-value store and calls f with the response unless the
// scope is closed.
func (s *Scope) CallStore(call kv.Request, f func(kv.Response)) {
	s.engine.CallStore(call, func(r kv.Response) {
		if !s.closed {
			f(r)
		}
	})
}

// CallCloud sends a request to the cloud provider and calls f with the response unless the
// scope is closed.
func (s *Scope) CallCloud(call provider.Request, f func(provider.Response)) {
	s.engine.CallCloud(call, func(r provider.Response) {
		if !s.closed {
			f(r)
		}
	})
}
