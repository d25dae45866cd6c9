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

// loadRecord loads a record written in an earlier term. The key determines its type; a record of
// another type counts as unreadable and stays in the store.
//
// It recovers from panics, so that one bad record cannot crash every controller at each start.
func (c *Core) loadRecord(e kv.Entry) {
	l := c.leadership
	defer func() {
		if p := recover(); p != nil {
			c.logUnreadable(e.Key, fmt.Sprint("record ignored after a panic: ", p))
			if id, ok := strings.CutPrefix(e.Key, record.JobPrefix); ok {
				delete(l.jobs, id)
				l.unreadableJobs[id] = true
			} else if strings.HasPrefix(e.Key, record.MachinePrefix) {
				l.machineRecords.LoadUnreadable(e.Key, e.Rev)
			}
		}
	}()
	switch {
	case strings.HasPrefix(e.Key, record.JobPrefix):
		c.loadJob(e)
	case record.IsConfigKey(e.Key):
		l.config.Load(e)
	case strings.HasPrefix(e.Key, record.MachinePrefix):
		c.loadMachineRecord(e)
	case strings.HasPrefix(e.Key, record.ProgressPrefix):
		c.loadProgress(e)
	default:
		c.logUnreadable(e.Key, "none, the key is not known")
	}
}

func (c *Core) logUnreadable(key, effect string) {
	c.Log(slog.LevelError, "record is unreadable", "key", key, "effect", effect)
}

func (c *Core) loadJob(e kv.Entry) {
	l := c.leadership
	id := strings.TrimPrefix(e.Key, record.JobPrefix)
	if rec, _ := e.Value.(*record.Job); rec == nil || rec.Spec.ID != id {
		l.unreadableJobs[id] = true
		c.logUnreadable(e.Key, "the job is not served")
	} else if l.jobs[id] == nil {
		l.lifecycle.Add(rec, true)
	}
}

func (c *Core) loadMachineRecord(e kv.Entry) {
	records := c.leadership.machineRecords
	if rec, _ := e.Value.(*record.Machines); rec == nil {
		c.logUnreadable(e.Key, "the failover completes only after all worker leases of earlier terms have expired")
		records.LoadUnreadable(e.Key, e.Rev)
	} else {
		records.Load(e.Key, rec, e.Rev)
	}
}

// loadProgress loads the complete tasks of one chunk of a job. Jobs are loaded before their
// progress, in key order.
func (c *Core) loadProgress(e kv.Entry) {
	l := c.leadership
	id, chunk := record.SplitProgressKey(strings.TrimPrefix(e.Key, record.ProgressPrefix))
	j := l.jobs[id]
	if j == nil {
		if !l.unreadableJobs[id] { // left behind by a finished job
			l.writes.Add(&writebatch.Change{Writes: []kv.Write{{Key: e.Key}}, Priority: writebatch.Bulk})
		}
		return
	}
	first := chunk * bitset.ChunkSize
	if chunk < 0 || first >= j.Spec.Tasks {
		c.logUnreadable(e.Key, "none, the job does not have these tasks")
		return
	}
	if rec, _ := e.Value.(*record.Progress); rec == nil || !j.Done.DecodeChunk(first, j.Spec.Tasks, rec.Ranges) {
		c.logUnreadable(e.Key, "the tasks of the chunk run again")
	}
	j.ChunkRevisions[chunk] = e.Rev
}

func (c *Core) startTermWork() {
	l := c.leadership
	l.loaded = true
	l.config.Start()
	for _, j := range l.sortedJobs() {
		l.lifecycle.Queue(j)
	}
	c.Log(slog.LevelInfo, "records loaded", "term", l.term, "jobs", len(l.jobs), "machines", l.inventory.UnaccountedCount())
	if c.processPendingHeartbeats(); c.leadership != l {
		return // stepped down: a worker has seen a newer fencing token
	}
	l.autoscaler.ListInstances()
	l.prober.Start(func(host string) bool { return l.knownReporters[host] != nil })
	if len(c.cfg.Seeds) > 0 {
		l.admitter.WatchLeaderless()
	}
	l.restorer.WhenSchedulesRestored(func() { l.recurring.Load(l.restorer.RestoreMissingSchedules) })
	c.afterWhileLeading(c.Jitter(replication.ScrubInterval), l.scrubber.Run)
	c.tickLeader()
}

// pendingHeartbeatsPerStep bounds the heartbeats handled per step after the records are loaded.
const pendingHeartbeatsPerStep = 100

// processPendingHeartbeats handles up to pendingHeartbeatsPerStep waiting heartbeats in each step.
func (c *Core) processPendingHeartbeats() {
	l := c.leadership
	n := min(len(l.pendingHeartbeats), pendingHeartbeatsPerStep)
	batch := slices.Clone(l.pendingHeartbeats[:n])
	l.pendingHeartbeats = slices.Delete(l.pendingHeartbeats, 0, n)
	for _, r := range batch {
		c.handleHeartbeat(r) // forwards it if this node is no longer the leader
	}
	if c.leadership == l && len(l.pendingHeartbeats) > 0 && !l.pendingScheduled {
		l.pendingScheduled = true
		c.afterWhileLeading(0, func() {
			l.pendingScheduled = false
			c.processPendingHeartbeats()
		})
	}
}
