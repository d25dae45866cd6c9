// Package restore writes lost records back to the key-value store, at a lower priority than user
// requests. Conditions keep a delayed write from bringing back a finished job or a removed
// schedule.
package restore

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"yewpass/internal/engine"
	"yewpass/internal/kv"
	"yewpass/internal/liveconfig"
	"yewpass/internal/record"
	"yewpass/internal/replica"
	"yewpass/internal/replication"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
	"yewpass/internal/writebatch"
)

// pollInterval is how often WhenSchedulesRestored checks.
const pollInterval = 100 * time.Millisecond

// Leader is the leader that a Restorer works for.
type Leader interface {
	// IsUnfinished reports whether the job is known and its final record is not being written.
	IsUnfinished(job string) bool
	// ScheduleProgressWrite queues a write of the progress of one chunk of a job if it is
	// known.
	ScheduleProgressWrite(job string, chunk int)
	// SetConfigHeadRevision records the revision of the written head record of the
	// configuration.
	SetConfigHeadRevision(rev uint64)
}

// Schedules holds the leader's schedules.
type Schedules interface {
	// Has reports whether the schedule is known.
	Has(name string) bool
	// LoadRecord loads a schedule from its record.
	LoadRecord(kv.Entry)
	// NumberRevision returns the revision of the schedule number record.
	NumberRevision() uint64
	// SetNumberRevision sets the revision of the schedule number record.
	SetNumberRevision(uint64)
}

// DataLoss describes a data loss and the progress of its repair.
type DataLoss struct {
	Reason   string    // evidence of the loss
	Source   string    // controller whose replica was merged, or ""
	Since    time.Time // when it was detected
	Restored int       // number of records that were lost or outdated
	Pending  int       // number of them not yet written back
}

// Config holds the dependencies and limits of a Restorer.
type Config struct {
	Writes    *writebatch.Batcher
	Publisher *replication.Publisher
	Replicas  *replication.Replicas
	Leader    Leader
	Schedules Schedules
	Term      uint64
	MaxQueued int // maximum number of queued changes of bulk priority
}

// Restorer restores lost records during one leadership.
type Restorer struct {
	engine *engine.Engine
	scope  *engine.Scope
	cfg    Config

	loss             *DataLoss
	queue            []replica.Record
	pendingSchedules int // schedule records not yet written back
	pendingConfig    int // configuration records not yet written back
}

// New returns a Restorer with nothing to restore. Call Begin after a data loss.
func New(e *engine.Engine, scope *engine.Scope, cfg Config) *Restorer {
	return &Restorer{engine: e, scope: scope, cfg: cfg}
}

// Begin sets the records to write back. Rev of each record is its revision in the store, 0 if
// absent. reason is the evidence of a data loss; if it is "", the records are machine records that
// may have been deleted rather than lost. source is the controller whose replica was merged, or "".
func (r *Restorer) Begin(records []replica.Record, reason, source string) {
	r.queue = records
	if reason == "" {
		return
	}
	r.loss = &DataLoss{Reason: reason, Source: source, Since: r.engine.Now, Restored: len(records), Pending: len(records)}
	for _, rec := range records {
		r.addPending(rec.Key, 1)
	}
}

func (r *Restorer) addPending(key string, n int) {
	if record.IsScheduleKey(key) {
		r.pendingSchedules += n
	}
	if record.IsConfigKey(key) {
		r.pendingConfig += n
	}
}

// Loss returns the data loss that this leader has detected, or nil.
func (r *Restorer) Loss() *DataLoss { return r.loss }

// IsDone reports whether no lost record is pending any more.
func (r *Restorer) IsDone() bool { return len(r.queue) == 0 && (r.loss == nil || r.loss.Pending == 0) }

// ConfigPending reports whether any configuration record is still to be written back.
func (r *Restorer) ConfigPending() bool { return r.pendingConfig > 0 }

// WhenSchedulesRestored calls f immediately or within pollInterval after the last pending schedule
// record.
func (r *Restorer) WhenSchedulesRestored(f func()) {
	if r.pendingSchedules == 0 {
		f()
		return
	}
	r.scope.After(pollInterval, func() { r.WhenSchedulesRestored(f) })
}

// Prepare sorts the records into the order in which they are written back. It removes the machine
// records and returns their keys. The caller must write those at once: no task starts on a machine
// without a record.
func (r *Restorer) Prepare() (machineRecords map[string]bool) {
	machineRecords = map[string]bool{}
	r.queue = slices.DeleteFunc(r.queue, func(rec replica.Record) bool {
		if !strings.HasPrefix(rec.Key, record.MachinePrefix) {
			return false
		}
		machineRecords[rec.Key] = true
		if r.loss != nil {
			r.loss.Pending--
		}
		return true
	})
	slices.SortStableFunc(r.queue, func(a, b replica.Record) int {
		rankA, timeA := restorePriority(a)
		rankB, timeB := restorePriority(b)
		if rankA != rankB {
			return rankA - rankB
		}
		return timeA.Compare(timeB)
	})
	return machineRecords
}

// restorePriority returns the sort key of a record. The order is: schedules, which occurrences wait
// for, and configuration; jobs, the most urgent and oldest first; progress records; and final
// records.
func restorePriority(rec replica.Record) (rank int, submitted time.Time) {
	switch v := rec.Value.(type) {
	case *schedule.Record, *record.ScheduleNumber, *liveconfig.HeadRecord, *liveconfig.TeamRecord:
		return 0, time.Time{}
	case *record.Job:
		return 1 + int(spec.Idle) - int(v.Spec.Urgency), v.Submitted
	case *record.Progress:
		return 100, time.Time{}
	}
	return 101, time.Time{}
}

// QueueNext queues lost records for writing until MaxQueued bulk changes are queued.
func (r *Restorer) QueueNext() {
	for len(r.queue) > 0 && len(r.cfg.Writes.Queued(writebatch.Bulk)) < r.cfg.MaxQueued {
		rec := r.queue[0]
		r.queue = r.queue[1:]
		r.restore(rec)
	}
}

func (r *Restorer) restore(rec replica.Record) {
	if part, ok := strings.CutPrefix(rec.Key, record.ProgressPrefix); ok {
		// Progress is written by the same path as new progress.
		if job, chunk := record.SplitProgressKey(part); chunk >= 0 {
			r.cfg.Leader.ScheduleProgressWrite(job, chunk)
		}
		r.markRestored(rec.Key)
		return
	}
	r.writeBack(rec, func(kv.Entry) { r.markRestored(rec.Key) })
}

// markRestored also counts records that no longer need to be written.
func (r *Restorer) markRestored(key string) {
	r.addPending(key, -1)
	if r.loss.Pending--; r.loss.Pending == 0 {
		r.engine.Log(slog.LevelInfo, "all records restored", "term", r.cfg.Term, "restored", r.loss.Restored, "after", r.engine.Now.Sub(r.loss.Since))
	}
}
