package restore

import (
	"log/slog"
	"strings"

	"yewpass/internal/failover"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/replica"
	"yewpass/internal/schedule"
	"yewpass/internal/writebatch"
)

// defaultSize is the size estimate in bytes for records without their own.
const defaultSize = 400

// writeBack writes a lost record back, on the condition that its revision in the store is still
// rec.Rev. It then calls done with the entry in the store, which is empty if unknown or if nothing
// had to be written.
func (r *Restorer) writeBack(rec replica.Record, done func(stored kv.Entry)) {
	r.writeBackUnlessRemoved(rec, 0, done)
}

// writeBackUnlessRemoved is writeBack with the last known revision of a schedule's tombstone. For
// other records it is 0.
func (r *Restorer) writeBackUnlessRemoved(rec replica.Record, tombstoneRev uint64, done func(stored kv.Entry)) {
	change := newChange(rec)
	change.Prepare = func() bool {
		value, ok := r.currentValue(rec)
		if !ok {
			done(kv.Entry{})
			return false
		}
		change.Writes[0].Value = value
		if strings.HasPrefix(rec.Key, record.SchedulePrefix) {
			change.Conditions = r.scheduleConditions(rec, tombstoneRev)
		}
		return true
	}
	change.OnCommit = func(rev uint64) {
		switch rec.Key {
		case record.ScheduleNumberKey:
			r.cfg.Schedules.SetNumberRevision(rev)
		case record.ConfigHeadKey:
			r.cfg.Leader.SetConfigHeadRevision(rev)
		}
		done(kv.Entry{Key: rec.Key, Value: change.Writes[0].Value, Rev: rev})
	}
	change.OnConflict = func() { r.resolveConflict(rec, done) }
	change.OnReject = func() { done(kv.Entry{}) }
	r.cfg.Writes.Add(change)
}

// scheduleConditions returns the conditions on writing back a schedule. Every removal of a schedule
// writes its tombstone and the schedule number record, so the write fails after one.
func (r *Restorer) scheduleConditions(rec replica.Record, tombstoneRev uint64) []kv.Condition {
	return []kv.Condition{
		{Key: rec.Key, Rev: rec.Rev},
		{Key: record.ScheduleNumberKey, Rev: r.cfg.Schedules.NumberRevision()},
		{Key: record.RemovedScheduleKey(scheduleName(rec.Key)), Rev: tombstoneRev},
	}
}

// newChange returns the change that writes a record. The value is set later.
func newChange(rec replica.Record) *writebatch.Change {
	change := &writebatch.Change{
		Priority:   writebatch.Bulk,
		Conditions: []kv.Condition{{Key: rec.Key, Rev: rec.Rev}},
		Writes:     []kv.Write{{Key: rec.Key}},
		Size:       defaultSize,
	}
	if job, ok := rec.Value.(*record.Job); ok {
		// Without this condition, a delayed write could make the next leader run a finished
		// job again.
		change.Conditions = append(change.Conditions, kv.Condition{Key: record.FinalPrefix + job.Spec.ID, Rev: 0})
		change.Size = record.JobSize(&job.Spec)
	} else if sched, ok := rec.Value.(*schedule.Record); ok {
		change.Size, change.Priority = sched.Size(), writebatch.Urgent
	} else if record.IsConfigKey(rec.Key) || rec.Key == record.ScheduleNumberKey {
		change.Priority = writebatch.Urgent
	}
	return change
}

// currentValue returns the current value of a lost record, and false if it must not be written.
func (r *Restorer) currentValue(rec replica.Record) (value any, ok bool) {
	if record.IsScheduleKey(rec.Key) {
		return rec.Value, true // unchanged: the leader loads schedules only after they are restored
	}
	current, ok := r.cfg.Replicas.Own().Get(rec.Key)
	if job, isJob := strings.CutPrefix(rec.Key, record.JobPrefix); isJob {
		ok = ok && r.cfg.Leader.IsUnfinished(job)
	}
	return current.Value, ok
}

// resolveConflict handles a failed condition of writeBack. Only schedule records are read back and
// retried; for other records the stored version is kept.
func (r *Restorer) resolveConflict(rec replica.Record, done func(stored kv.Entry)) {
	if !record.IsScheduleKey(rec.Key) {
		done(kv.Entry{})
		return
	}
	r.cfg.Writes.ReadBack(rec.Key, func(stored kv.Entry, found bool) {
		if _, differs := failover.MergeValues(stored.Value, rec.Value, true); found && !differs {
			done(stored)
			return
		}
		rec.Rev = stored.Rev
		if rec.Key == record.ScheduleNumberKey {
			r.writeBack(rec, done)
			return
		}
		r.retrySchedule(rec, stored, done)
	})
}

// retrySchedule writes a schedule back after a conflict, unless the schedule has been removed. stored
// is the entry under its key, which is empty if there is none.
func (r *Restorer) retrySchedule(rec replica.Record, stored kv.Entry, done func(stored kv.Entry)) {
	lost, _ := rec.Value.(*schedule.Record)
	r.cfg.Writes.ReadBack(record.RemovedScheduleKey(scheduleName(rec.Key)), func(e kv.Entry, _ bool) {
		tombstone, _ := e.Value.(*record.RemovedSchedule)
		if lost == nil || tombstone.Covers(lost.Number) {
			r.dropRemovedSchedule(rec.Key, stored)
			done(stored)
			return
		}
		r.cfg.Writes.ReadBack(record.ScheduleNumberKey, func(numbers kv.Entry, _ bool) {
			r.cfg.Schedules.SetNumberRevision(numbers.Rev)
			r.writeBackUnlessRemoved(rec, e.Rev, done)
		})
	})
}

// dropRemovedSchedule removes a schedule that was removed from the store from the replicas too, which
// had it from an older replica.
func (r *Restorer) dropRemovedSchedule(key string, stored kv.Entry) {
	if stored.Value != nil || r.cfg.Schedules.Has(scheduleName(key)) {
		return // a later schedule with this name exists
	}
	r.engine.Log(slog.LevelInfo, "schedule of an older replica has been removed", "key", key)
	r.cfg.Publisher.PublishDelete(key)
}

// RestoreMissingSchedules writes back the schedules that the leader's replica has and the store
// lacks, unless a tombstone shows that they were removed: the replica may be older than the store. A
// missing schedule number record is written first.
func (r *Restorer) RestoreMissingSchedules() {
	own := r.cfg.Publisher.Replica()
	if own == nil {
		return
	}
	missing := r.missingSchedules(own)
	if len(missing) == 0 {
		return
	}
	r.cfg.Writes.ReadBack(record.ScheduleNumberKey, func(numbers kv.Entry, found bool) {
		if rec, ok := own.Get(record.ScheduleNumberKey); ok && !found {
			rec.Rev = 0
			r.writeBack(rec, func(kv.Entry) { r.scope.After(pollInterval, r.RestoreMissingSchedules) })
			return
		}
		r.cfg.Schedules.SetNumberRevision(numbers.Rev)
		for _, key := range missing {
			rec, _ := own.Get(key)
			r.writeBack(rec, func(stored kv.Entry) {
				if stored.Value != nil && !r.cfg.Schedules.Has(scheduleName(key)) {
					r.engine.Log(slog.LevelError, "schedule was missing from the store; restored it from the replica", "key", key)
					r.cfg.Schedules.LoadRecord(stored)
				}
			})
		}
	})
}

// missingSchedules returns the schedule keys in the replica that the leader has not read from the
// store.
func (r *Restorer) missingSchedules(own *replica.Replica) (missing []string) {
	for _, key := range own.Keys(record.SchedulePrefix) {
		rec, _ := own.Get(key)
		if sched, _ := rec.Value.(*schedule.Record); rec.Rev == 0 && sched != nil && !r.cfg.Schedules.Has(scheduleName(key)) {
			missing = append(missing, key)
		}
	}
	return missing
}

func scheduleName(key string) string { return strings.TrimPrefix(key, record.SchedulePrefix) }
