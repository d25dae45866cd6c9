package core

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"yewpass/internal/bitset"
	"yewpass/internal/failover"
	"yewpass/internal/kv"
	"yewpass/internal/liveconfig"
	"yewpass/internal/record"
	"yewpass/internal/replica"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
	"yewpass/internal/writebatch"
)

// How records that were lost are written back.

// restorePollInterval is how often it is looked again whether schedules are restored.
const restorePollInterval = 100 * time.Millisecond

// prepareRestore has the machines written back at once that were lost from record. Until
// they are, nothing starts on them.
func (c *Core) prepareRestore() {
	l := c.leadership
	lost := map[string]bool{}
	l.restoring = slices.DeleteFunc(l.restoring, func(r replica.Record) bool {
		if strings.HasPrefix(r.Key, record.MachinePrefix) {
			lost[r.Key] = true
			l.loss.pending--
			return true
		}
		return false
	})
	l.machineRecords.Restore(lost)
	// Schedules first, which nothing is made of until they are there, then jobs, the
	// most pressing and oldest first, then their progress, then how jobs have ended.
	rank := func(r *replica.Record) (int, time.Time) {
		switch v := r.Value.(type) {
		case *schedule.Record, *record.ScheduleNumber, *liveconfig.HeadRecord, *liveconfig.TeamRecord:
			return 0, time.Time{}
		case *record.Job:
			return 1 + int(spec.Idle) - int(v.Spec.Urgency), v.Submitted
		case *record.Progress:
			return 100, time.Time{}
		}
		return 101, time.Time{}
	}
	slices.SortStableFunc(l.restoring, func(a, b replica.Record) int {
		x, s := rank(&a)
		y, t := rank(&b)
		if x != y {
			return x - y
		}
		return s.Compare(t)
	})
}

// restoreNext has lost records written back, some at a time: what users wait for goes
// first, and so does the news of the day.
func (c *Core) restoreNext() {
	l := c.leadership
	for len(l.restoring) > 0 && len(l.writes.Queued(writebatch.Bulk)) < c.cfg.Settings.State.TxnOps {
		r := l.restoring[0]
		l.restoring = l.restoring[1:]
		c.restoreRecord(r)
	}
}

// restoreRecord writes a record back as it now is, if it still is, and counts it.
func (c *Core) restoreRecord(r replica.Record) {
	l := c.leadership
	over := func(kv.Entry) {
		if record.IsScheduleKey(r.Key) {
			l.schedulesRestoring--
		}
		if record.IsConfigKey(r.Key) {
			l.config.restoring--
		}
		if l.loss.pending--; l.loss.pending == 0 {
			c.Log(slog.LevelInfo, "all records restored", "term", l.term, "restored", l.loss.restored, "after", c.Now.Sub(l.loss.since))
		}
	}
	if part, ok := strings.CutPrefix(r.Key, record.ProgressPrefix); ok {
		// By the way that progress is always written.
		if id, chunk := record.SplitProgressKey(part); l.jobs[id] != nil && chunk >= 0 {
			c.leadership.lifecycle.RecordProgressSoon(l.jobs[id], chunk*bitset.ChunkSize)
		}
		over(kv.Entry{})
		return
	}
	c.writeBack(r, over)
}

// writeBack writes a lost record back, on the condition that the service still has what r
// says it has. Then over is called with what is on record by then: no value if that is not
// known, or nothing has to be written any more.
func (c *Core) writeBack(r replica.Record, over func(on kv.Entry)) {
	l := c.leadership
	ch := &writebatch.Change{Priority: writebatch.Bulk, Conditions: []kv.Condition{{Key: r.Key, Rev: r.Rev}}, Writes: []kv.Write{{Key: r.Key}}, Size: 400}
	if rec, ok := r.Value.(*record.Job); ok {
		// Applied late, once the job is over and its record gone again, it would bring the
		// job back to the next leader.
		ch.Conditions = append(ch.Conditions, kv.Condition{Key: record.FinalPrefix + rec.Spec.ID, Rev: 0})
		ch.Size = record.JobSize(&rec.Spec)
	} else if rec, ok := r.Value.(*schedule.Record); ok {
		ch.Size, ch.Priority = rec.Size(), writebatch.Urgent
	} else if record.IsConfigKey(r.Key) || r.Key == record.ScheduleNumberKey {
		ch.Priority = writebatch.Urgent
	}
	ch.Prepare = func() bool {
		now, ok := c.replicas.Own().Get(r.Key)
		if id, live := strings.CutPrefix(r.Key, record.JobPrefix); live {
			j := l.jobs[id]
			ok = ok && j != nil && !j.Finishing
		} else if record.IsScheduleKey(r.Key) {
			now, ok = r, true // they are read from record later
		}
		if !ok {
			over(kv.Entry{})
			return false
		}
		ch.Writes[0].Value = now.Value
		if strings.HasPrefix(r.Key, record.SchedulePrefix) {
			ch.Conditions = []kv.Condition{{Key: r.Key, Rev: r.Rev}, {Key: record.ScheduleNumberKey, Rev: l.recurring.NumberRevision()}} // see newSchedule
		}
		return true
	}
	ch.OnCommit = func(rev uint64) {
		switch r.Key {
		case record.ScheduleNumberKey:
			l.recurring.SetNumberRevision(rev)
		case record.ConfigHeadKey:
			l.config.headRev = rev
		}
		over(kv.Entry{Key: r.Key, Value: ch.Writes[0].Value, Rev: rev})
	}
	ch.OnConflict = func() { // there is one by now, written after the loss or late, or older
		if !record.IsScheduleKey(r.Key) {
			over(kv.Entry{})
			return
		}
		c.readBack(r.Key, func(e kv.Entry, found bool) {
			if _, differ := failover.Join(e.Value, r.Value, true); found && !differ {
				over(e)
				return
			}
			r.Rev = e.Rev
			if r.Key == record.ScheduleNumberKey {
				c.writeBack(r, over)
				return
			}
			c.readBack(record.ScheduleNumberKey, func(n kv.Entry, _ bool) {
				l.recurring.SetNumberRevision(n.Rev)
				c.writeBack(r, over)
			})
		})
	}
	ch.OnReject = func() { over(kv.Entry{}) }
	l.writes.Add(ch)
}

// loadSchedulesWhenRestored reads the schedules once they are on record.
func (c *Core) loadSchedulesWhenRestored() {
	if c.leadership.schedulesRestoring == 0 {
		c.leadership.recurring.Load(c.restoreMissingSchedules)
		return
	}
	c.afterWhileLeading(restorePollInterval, c.loadSchedulesWhenRestored)
}

// restoreMissingSchedules has schedules written back that the copy we have gone by has, and the
// service has not; first the numbers' record, if that is lost as well.
func (c *Core) restoreMissingSchedules() {
	own := c.ownReplica()
	if own == nil {
		return
	}
	var keys []string
	for _, key := range own.Keys(record.SchedulePrefix) {
		r, _ := own.Get(key)
		if rec, _ := r.Value.(*schedule.Record); r.Rev == 0 && rec != nil && !c.leadership.recurring.Has(strings.TrimPrefix(key, record.SchedulePrefix)) {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	c.readBack(record.ScheduleNumberKey, func(e kv.Entry, found bool) {
		if n, ok := own.Get(record.ScheduleNumberKey); ok && !found {
			n.Rev = 0
			c.writeBack(n, func(kv.Entry) { c.afterWhileLeading(restorePollInterval, c.restoreMissingSchedules) })
			return
		}
		c.leadership.recurring.SetNumberRevision(e.Rev)
		for _, key := range keys {
			r, _ := own.Get(key)
			c.Log(slog.LevelError, "restoring missing schedule from replica", "key", key)
			c.writeBack(r, func(on kv.Entry) {
				if on.Value != nil && !c.leadership.recurring.Has(strings.TrimPrefix(key, record.SchedulePrefix)) {
					c.leadership.recurring.LoadRecord(on)
				}
			})
		}
	})
}
