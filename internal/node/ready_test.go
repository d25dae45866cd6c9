package node

import (
	"testing"
	"time"
)

// TestReadyNeedsBeat: a node whose core stands still is not ready, whatever the core
// said last.
func TestReadyNeedsBeat(t *testing.T) {
	n := &node{startedAt: time.Now().Add(-time.Hour)}
	n.ready.Store(true)
	n.lastStep.Store(int64(time.Hour - stallThreshold - time.Second))
	if n.isReady() {
		t.Error("ready, and stuck")
	}
	n.lastStep.Store(int64(time.Hour))
	if !n.isReady() {
		t.Error("not ready, and well")
	}
}
