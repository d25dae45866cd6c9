// Package restore writes records back to the key-value store that it has lost. It does so a
// few at a time, behind what users wait for, and on conditions that keep a late write from
// bringing back what is over.
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

// pollInterval is how often it is looked again whether schedules are restored.
const pollInterval = 100 * time.Millisecond

// Leader is what a Restorer needs of the leader.
type Leader interface {
	// IsUnfinished reports whether a job is known whose final record is not on its way.
	IsUnfinished(job string) bool
	// RecordProgress has the progress of one chunk of a job written, if the job is known.
	RecordProgress(job string, chunk int)
	// SetConfigHeadRevision is told the revision at which the head of the configuration was written.
	SetConfigHeadRevision(rev uint64)
}

// Schedules is what a Restorer needs of the leader's schedules.
type Schedules interface {
	// Has reports whether a schedule is known.
	Has(name string) bool
	// LoadRecord loads the record of a schedule.
	LoadRecord(kv.Entry)
	// NumberRevision returns the revision of the record of schedule numbers.
	NumberRevision() uint64
	// SetNumberRevision notes the revision of the record of schedule numbers.
	SetNumberRevision(uint64)
}

// DataLoss is what is known of a data loss under the leader that has found it.
type DataLoss struct {
	Reason   string    // what showed it
	Source   string    // whose replica was merged, or ""
	Since    time.Time // when it was found
	Restored int       // records that were lost or older
	Pending  int       // of them, those that are not in the store yet
}

// Config is what a Restorer works with.
type Config struct {
	Writes    *writebatch.Batcher
	Publisher *replication.Publisher
	Replicas  *replication.Replicas
	Leader    Leader
	Schedules Schedules
	Term      uint64
	MaxQueued int // changes of bulk priority that may wait at a time
}

// Restorer writes the lost records back for as long as a leadership lasts.
type Restorer struct {
	engine *engine.Engine
	scope  *engine.Scope
	cfg    Config

	loss             *DataLoss
	queue            []replica.Record
	pendingSchedules int // records of schedules that are not in the store yet
	pendingConfig    int // the same of the configuration
}

// New returns a restorer with nothing to restore.
func New(e *engine.Engine, scope *engine.Scope, cfg Config) *Restorer {
	return &Restorer{engine: e, scope: scope, cfg: cfg}
}

// Begin takes over the records that are to be written back after a data loss. Rev of each is
// what the store has, 0 for none.
func (r *Restorer) Begin(records []replica.Record, reason, source string) {
	r.queue = records
	r.loss = &DataLoss{Reason: reason, Source: source, Since: r.engine.Now, Restored: len(records), Pending: len(records)}
	for _, rec := range records {
		r.addPending(rec.Key, 1)
	}
}

// addPending adds to the records that are pending of the kind of a key.
func (r *Restorer) addPending(key string, n int) {
	if record.IsScheduleKey(key) {
		r.pendingSchedules += n
	}
	if record.IsConfigKey(key) {
		r.pendingConfig += n
	}
}

// Loss returns the data loss that this leader has found, or nil.
func (r *Restorer) Loss() *DataLoss { return r.loss }

// IsDone reports whether everything that was lost is in the store again.
func (r *Restorer) IsDone() bool { return len(r.queue) == 0 && (r.loss == nil || r.loss.Pending == 0) }

// ConfigIsPending reports whether records of the configuration are still to be written back.
func (r *Restorer) ConfigIsPending() bool { return r.pendingConfig > 0 }

// WhenSchedulesRestored calls f once no record of a schedule is pending.
func (r *Restorer) WhenSchedulesRestored(f func()) {
	if r.pendingSchedules == 0 {
		f()
		return
	}
	r.scope.After(pollInterval, func() { r.WhenSchedulesRestored(f) })
}

// Prepare puts the records in the order in which they are written back. It takes out the
// records of machines and returns their keys: nothing starts on a machine before it is on
// record, so those are to be written at once.
func (r *Restorer) Prepare() (machineRecords map[string]bool) {
	machineRecords = map[string]bool{}
	r.queue = slices.DeleteFunc(r.queue, func(rec replica.Record) bool {
		if !strings.HasPrefix(rec.Key, record.MachinePrefix) {
			return false
		}
		machineRecords[rec.Key] = true
		r.loss.Pending--
		return true
	})
	slices.SortStableFunc(r.queue, func(a, b replica.Record) int {
		rankA, sinceA := restoreOrder(a)
		rankB, sinceB := restoreOrder(b)
		if rankA != rankB {
			return rankA - rankB
		}
		return sinceA.Compare(sinceB)
	})
	return machineRecords
}

// restoreOrder says when a record is written back, by rank and then by time: schedules first, because
// no occurrence is made until they are there; then jobs, the most urgent and oldest first;
// then their progress; then how jobs have ended.
func restoreOrder(rec replica.Record) (rank int, since time.Time) {
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

// QueueNext queues lost records for writing, as many as there is room for.
func (r *Restorer) QueueNext() {
	for len(r.queue) > 0 && len(r.cfg.Writes.Queued(writebatch.Bulk)) < r.cfg.MaxQueued {
		rec := r.queue[0]
		r.queue = r.queue[1:]
		r.restore(rec)
	}
}

// restore writes a record back as it now is, if it still is, and counts it.
func (r *Restorer) restore(rec replica.Record) {
	if part, ok := strings.CutPrefix(rec.Key, record.ProgressPrefix); ok {
		// In the way that progress is always written.
		if job, chunk := record.SplitProgressKey(part); chunk >= 0 {
			r.cfg.Leader.RecordProgress(job, chunk)
		}
		r.markRestored(rec.Key)
		return
	}
	r.writeBack(rec, func(kv.Entry) { r.markRestored(rec.Key) })
}

// markRestored counts a record that need not be written back any more.
func (r *Restorer) markRestored(key string) {
	r.addPending(key, -1)
	if r.loss.Pending--; r.loss.Pending == 0 {
		r.engine.Log(slog.LevelInfo, "all records restored", "term", r.cfg.Term, "restored", r.loss.Restored, "after", r.engine.Now.Sub(r.loss.Since))
	}
}
