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

// loadRecord loads a record of an earlier term. Its key says what must be in it; anything else
// there cannot be read and is left as it is.
//
// A panic is contained: if one record ended the process, every controller would end the same
// way at each start, and no job would be served because of it.
func (c *Core) loadRecord(e kv.Entry) {
	l := c.leadership
	defer func() {
		if p := recover(); p != nil {
			c.logUnreadable(e.Key, fmt.Sprint("set aside: ", p))
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
		c.loadMachines(e)
	case strings.HasPrefix(e.Key, record.ProgressPrefix):
		c.loadProgress(e)
	default:
		c.logUnreadable(e.Key, "none")
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

func (c *Core) loadMachines(e kv.Entry) {
	records := c.leadership.machineRecords
	if rec, _ := e.Value.(*record.Machines); rec == nil {
		c.logUnreadable(e.Key, "the failover waits until every worker lease of an earlier term has expired")
		records.LoadUnreadable(e.Key, e.Rev)
	} else {
		records.Load(e.Key, rec, e.Rev)
	}
}

// loadProgress loads the progress of a chunk of a job. Jobs come before it in the order of
// keys, so that the job is known by now.
func (c *Core) loadProgress(e kv.Entry) {
	l := c.leadership
	id, chunk := record.SplitProgressKey(strings.TrimPrefix(e.Key, record.ProgressPrefix))
	j := l.jobs[id]
	if j == nil {
		if !l.unreadableJobs[id] { // left over by a job that is over
			l.writes.Add(&writebatch.Change{Writes: []kv.Write{{Key: e.Key}}, Priority: writebatch.Bulk})
		}
		return
	}
	first := chunk * bitset.ChunkSize
	if chunk < 0 || first >= j.Spec.Tasks {
		c.logUnreadable(e.Key, "none, the job has no such tasks")
		return
	}
	if rec, _ := e.Value.(*record.Progress); rec == nil || !j.Done.DecodeChunk(first, j.Spec.Tasks, rec.Ranges) {
		c.logUnreadable(e.Key, "its tasks run again")
	}
	j.ChunkRevisions[chunk] = e.Rev
}

// startWork begins the work of the term.
func (c *Core) startWork() {
	l := c.leadership
	l.loaded = true
	l.config.Start()
	for _, j := range l.sortedJobs() {
		l.lifecycle.Queue(j)
	}
	c.Log(slog.LevelInfo, "records loaded", "term", l.term, "jobs", len(l.jobs), "machines", l.inventory.UnaccountedCount())
	if c.takePendingHeartbeats(); c.leadership != l {
		return // one of them has seen a newer fencing token, and we had no authority
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

// pendingHeartbeatsPerStep is how many heartbeats that waited for the records are handled in one
// step.
const pendingHeartbeatsPerStep = 100

// takePendingHeartbeats handles the heartbeats that waited for the records, a part in each step.
func (c *Core) takePendingHeartbeats() {
	l := c.leadership
	n := min(len(l.pendingHeartbeats), pendingHeartbeatsPerStep)
	batch := slices.Clone(l.pendingHeartbeats[:n])
	l.pendingHeartbeats = slices.Delete(l.pendingHeartbeats, 0, n)
	for _, r := range batch {
		c.handleHeartbeat(r) // which forwards it if we lead no more
	}
	if c.leadership == l && len(l.pendingHeartbeats) > 0 && !l.takingPending {
		l.takingPending = true
		c.afterWhileLeading(0, func() {
			l.takingPending = false
			c.takePendingHeartbeats()
		})
	}
}
