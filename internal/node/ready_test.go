package node

import (
	"testing"
	"time"
)

// TestStalledCoreIsNotReady checks that a node whose core loop has stalled is not ready.
func TestStalledCoreIsNotReady(t *testing.T) {
	n := &node{startedAt: time.Now().Add(-time.Hour)}
	n.ready.Store(true)
	n.lastStepOffset.Store(int64(time.Hour - stallThreshold - time.Second))
	if n.isReady() {
		t.Error("isReady() = true with a stalled core, want false")
	}
	n.lastStepOffset.Store(int64(time.Hour))
	if !n.isReady() {
		t.Error("isReady() = false after a recent step, want true")
	}
}
