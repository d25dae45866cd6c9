package core

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"

	"yewpass/internal/bitset"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/replication"
	"yewpass/internal/writebatch"
)

// How a new leader reads the records of earlier terms and begins its work.

// loadRecord takes in a record of an earlier term. Its key says what must be in it;
// anything else there cannot be read, whatever it is, and is left as it is.
//
// Should a fault of ours make one of them end the process, every controller would come
// to the same end at each start, and no job would be served for the sake of one.
func (c *Core) loadRecord(e kv.Entry) {
	l := c.leadership
	unreadable := func(effect string) {
		c.Log(slog.LevelError, "record is unreadable", "key", e.Key, "effect", effect)
	}
	defer func() {
		if p := recover(); p != nil {
			unreadable(fmt.Sprint("set aside: ", p))
			if id, ok := strings.CutPrefix(e.Key, record.JobPrefix); ok {
				delete(l.jobs, id)
				l.unreadableJobs[id] = true
			} else if strings.HasPrefix(e.Key, record.MachinePrefix) {
				c.leadership.machineRecords.LoadUnreadable(e.Key, e.Rev)
			}
		}
	}()
	if id, ok := strings.CutPrefix(e.Key, record.JobPrefix); ok {
		if v, _ := e.Value.(*record.Job); v == nil || v.Spec.ID != id {
			l.unreadableJobs[id] = true
			unreadable("the job is not served")
		} else if l.jobs[id] == nil {
			c.leadership.lifecycle.Add(v, true)
		}
	} else if record.IsConfigKey(e.Key) {
		c.loadConfig(e)
	} else if strings.HasPrefix(e.Key, record.MachinePrefix) {
		if v, _ := e.Value.(*record.Machines); v == nil {
			unreadable("the take-over waits until every lease of an earlier term is over")
			c.leadership.machineRecords.LoadUnreadable(e.Key, e.Rev)
		} else {
			c.leadership.machineRecords.Load(e.Key, v, e.Rev)
		}
	} else if name, ok := strings.CutPrefix(e.Key, record.ProgressPrefix); ok {
		// Progress comes after jobs in key order, so the job is known by now.
		id, chunk := record.SplitProgressKey(name)
		j := l.jobs[id]
		if j == nil {
			if !l.unreadableJobs[id] { // left over by a job that is over
				l.writes.Add(&writebatch.Change{Writes: []kv.Write{{Key: e.Key}}, Priority: writebatch.Bulk})
			}
			return
		}
		if chunk < 0 || chunk*bitset.ChunkSize >= j.Spec.Tasks {
			unreadable("none, the job has no such tasks")
			return
		}
		if v, _ := e.Value.(*record.Progress); v == nil || !j.Done.DecodeChunk(chunk*bitset.ChunkSize, j.Spec.Tasks, v.Ranges) {
			unreadable("its tasks run again")
		}
		j.ChunkRevisions[chunk] = e.Rev
	} else {
		unreadable("none")
	}
}

// startWork begins the work of the term.
func (c *Core) startWork() {
	l := c.leadership
	l.loaded = true
	c.applyLoadedConfig()
	for _, j := range l.sortedJobs() {
		c.leadership.lifecycle.Queue(j)
	}
	c.Log(slog.LevelInfo, "records loaded", "term", l.term, "jobs", len(l.jobs), "machines", l.inventory.UnaccountedCount())
	if c.takePendingHeartbeats(); c.leadership != l {
		return // one of them has seen a newer epoch, and we were out of authority
	}
	c.leadership.autoscaler.ListInstances()
	c.probeUnaccounted()
	if len(c.cfg.Seeds) > 0 {
		c.leadership.admitter.WatchLeaderless()
	}
	l.restorer.WhenSchedulesRestored(func() { l.recurring.Load(l.restorer.RestoreMissingSchedules) })
	c.afterWhileLeading(c.Jitter(replication.ScrubInterval), l.scrubber.Run)
	c.tickLeader()
}

// pendingHeartbeatsPerStep is how many reports are taken in a row that have waited for the records.
const pendingHeartbeatsPerStep = 100

// takePendingHeartbeats takes in reports that have waited for the records, or the first of them.
func (c *Core) takePendingHeartbeats() {
	l := c.leadership
	n := min(len(l.pendingHeartbeats), pendingHeartbeatsPerStep)
	some := slices.Clone(l.pendingHeartbeats[:n])
	l.pendingHeartbeats = slices.Delete(l.pendingHeartbeats, 0, n)
	for _, r := range some {
		c.handleHeartbeat(r) // which passes it on should we lead no more
	}
	if c.leadership == l && len(l.pendingHeartbeats) > 0 && !l.takingPending {
		l.takingPending = true
		c.afterWhileLeading(0, func() {
			l.takingPending = false
			c.takePendingHeartbeats()
		})
	}
}
