package core

import (
	"testing"

	"yewpass/internal/kv"
	"yewpass/internal/rpc"
)

// loadNoSchedules has a leader load the schedules from a store that has none.
func loadNoSchedules(tb testing.TB, c *Core) {
	tb.Helper()
	c.leadership.recurring.Load(c.leadership.restorer.RestoreMissingSchedules)
	c.HandleStore(kv.Response{Ref: c.LastRef, Outcome: rpc.OK})
	c.Outputs = nil
	if !c.leadership.recurring.Loaded() {
		tb.Fatal("the schedules are not loaded")
	}
}
