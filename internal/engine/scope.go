package engine

import (
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/provider"
)

// Scope bounds timers and calls to a period such as one leadership: once it is closed,
// what it has started is dropped when it comes due or is answered.
type Scope struct {
	engine *Engine
	closed bool
}

// NewScope returns an open scope.
func (e *Engine) NewScope() *Scope { return &Scope{engine: e} }

// Close ends the scope.
func (s *Scope) Close() { s.closed = true }

// Closed reports whether the scope has ended.
func (s *Scope) Closed() bool { return s.closed }

// After has f called after d unless the scope has ended by then.
func (s *Scope) After(d time.Duration, f func()) {
	s.engine.After(d, func() {
		if !s.closed {
			f()
		}
	})
}

// CallStore calls the key-value store; f is not called if the scope has ended by the
// time of the response.
func (s *Scope) CallStore(call kv.Request, f func(kv.Response)) {
	s.engine.CallStore(call, func(r kv.Response) {
		if !s.closed {
			f(r)
		}
	})
}

// CallCloud calls the cloud; f is not called if the scope has ended by the time of the
// response.
func (s *Scope) CallCloud(call provider.Request, f func(provider.Response)) {
	s.engine.CallCloud(call, func(r provider.Response) {
		if !s.closed {
			f(r)
		}
	})
}
