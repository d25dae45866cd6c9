package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the seconds since the start.
type recorder struct {
	mu      sync.Mutex
	to      io.Writer
	started time.Time
	broken  int // times that the rule was broken
}

func newRecorder(to io.Writer) *recorder { return &recorder{to: to, started: time.Now()} }

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.to, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that the rule was broken.
func (r *recorder) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.add("RULE BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.broken++; r.broken <= 3 {
		fmt.Fprintln(os.Stderr, "rule broken:", text)
	}
}

func (r *recorder) status() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.broken > 0 {
		return ruleBroken
	}
	return ruleHeld
}
