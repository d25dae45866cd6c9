package failover

import (
	"slices"
	"strings"
	"time"

	"yewpass/internal/record"
	"yewpass/internal/recovery"
	"yewpass/internal/replica"
)

// timerMargin is added to a timer so that it fires after its deadline.
const timerMargin = time.Millisecond

// Outcome is the result of a recovery.
type Outcome struct {
	Records  []replica.Record // live records, sorted by key
	Restore  []replica.Record // to write back, without LossReason only machine records; Rev is that in the store, 0 if absent
	Deletes  []string         // keys of live records of finished jobs, to be deleted
	Replica  *replica.Replica // initial replica of the new term
	Restored *replica.Replica // replica that was merged with the stored records, or nil

	LossReason           string        // evidence of a data loss, or ""
	Source               string        // controller that supplied Restored, or ""
	FinalRecordsSource   string        // controller to fetch final records from, or ""
	NoEarlierTerm        bool          // the store had no term record before the new term
	EarlierLeaderOverlap time.Duration // how long into the new term an earlier leader may have had authority
}

// merge computes the outcome and passes it to the leader. If it reveals a data loss, the recovery
// first continues to collect the peers' states, because one of them may have a newer replica.
func (r *Recovery) merge() {
	o := &Outcome{
		Records:              r.stored,
		Replica:              r.replicas.NewReplica(r.leader.Observed().Era, r.term.Number),
		Restored:             r.replica,
		LossReason:           r.term.LossReason,
		FinalRecordsSource:   r.finalRecordsSource,
		NoEarlierTerm:        r.term.Read.Missing,
		EarlierLeaderOverlap: r.earlierLeaderOverlap,
	}
	newest := r.replicas.Newest()
	if r.replica != nil {
		r.replica.InheritBounded(newest)
		r.mergeReplica(o)
	}
	if o.LossReason != "" && r.term.LossReason == "" && !r.recordsMissing {
		r.recordsMissing, r.replica, r.phase = true, nil, collecting
		r.advance()
		return
	}
	r.phase = merged
	o.Source = r.fetch.source
	if o.Source == "" && r.replica != nil {
		o.Source = r.cfg.HostName
	}
	o.Replica.InheritBounded(newest)
	r.leader.Recovered(o)
}

// mergeReplica merges the replica with the stored records into o.
func (r *Recovery) mergeReplica(o *Outcome) {
	storeLostData := o.LossReason != ""
	res := recovery.Merge(r.stored, r.replica, storeLostData, schema)
	notLive := func(rec replica.Record) bool { return !strings.HasPrefix(rec.Key, record.LivePrefix) }
	o.Records, o.Deletes = slices.DeleteFunc(res.Records, notLive), res.Deletes
	for _, key := range r.replica.Keys(record.FinalPrefix) {
		rec, _ := r.replica.Get(key)
		if storeLostData {
			rec.Rev = 0 // store revisions have restarted
		}
		o.Replica.Put(key, rec.Value, rec.Rev)
	}
	for _, key := range r.replica.Keys(record.SchedulesPrefix) {
		// Keep the schedules until they are read from the store: the new replica takes
		// precedence over older ones that have them.
		rec, _ := r.replica.Get(key)
		o.Replica.Put(key, rec.Value, 0)
	}
	if !storeLostData {
		// The store's final records and schedules are newer than the replica's.
		res.Writes = slices.DeleteFunc(res.Writes, notLive)
		if slices.ContainsFunc(res.Writes, provesLoss) {
			o.LossReason = "records are missing that a replica has"
		}
	}
	o.Restore = res.Writes
}

// provesLoss reports whether the store must have lost data if it lacks a live record that a replica
// has, however old the replica is. A job that the store lacks has a final record if it has ended, its
// progress is deleted together with it, and configuration records are never deleted. A list of
// machines is deleted when it is empty; it is written back in case it was lost.
func provesLoss(rec replica.Record) bool { return !schema.Machines(rec.Key) }
