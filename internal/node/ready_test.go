package node

import (
	"testing"
	"time"
)

// TestReadyNeedsBeat: a node whose core stands still is not ready, whatever the core
// said last.
func TestReadyNeedsBeat(t *testing.T) {
	n := &node{began: time.Now().Add(-time.Hour)}
	n.ready.Store(true)
	n.beat.Store(int64(time.Hour - stuckAfter - time.Second))
	if n.isReady() {
		t.Error("ready, and stuck")
	}
	n.beat.Store(int64(time.Hour))
	if !n.isReady() {
		t.Error("not ready, and well")
	}
}
