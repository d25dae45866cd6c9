package failover

import (
	"slices"
	"strings"
	"time"

	"yewpass/internal/record"
	"yewpass/internal/recovery"
	"yewpass/internal/replica"
)

// timerMargin has a timer run after the deadline that it is for.
const timerMargin = time.Millisecond

// Outcome is which records there are.
type Outcome struct {
	Records  []replica.Record // live records, sorted by key
	Restore  []replica.Record // lost records to be written back; Rev is what the store has, 0 for none
	Drops    []string         // keys of live records of jobs that are over
	Replica  *replica.Replica // the first state of our own term's replica
	Restored *replica.Replica // the replica that was merged with the store's records, or nil

	LossReason       string        // what showed that data was lost, or ""
	Source           string        // whose replica was merged, or "" for none
	FinalsSource     string        // the controller to learn from how jobs have ended, or ""
	NoEarlierTerm    bool          // no term was on record before ours
	EarlierLeaderLag time.Duration // for so long into our term an earlier leader may have led
}

// merge makes the records to go by and hands them to the leader.
func (r *Recovery) merge() {
	r.phase = merged
	o := &Outcome{
		Records:          r.stored,
		Replica:          r.replicas.NewReplica(r.leader.Observed().Era, r.term.Number),
		Restored:         r.replica,
		LossReason:       r.term.LossReason,
		FinalsSource:     r.finalsSource,
		NoEarlierTerm:    r.term.Read.Missing,
		EarlierLeaderLag: r.earlierLeaderLag,
	}
	newest := r.replicas.Newest()
	if r.replica != nil {
		r.replica.InheritBounded(newest)
		r.mergeReplica(o)
	}
	o.Source = r.fetch.source
	if o.Source == "" && r.replica != nil {
		o.Source = r.cfg.HostName
	}
	o.Replica.InheritBounded(newest)
	r.leader.Recovered(o)
}

// mergeReplica merges the replica with the store's records.
func (r *Recovery) mergeReplica(o *Outcome) {
	storeLostData := o.LossReason != ""
	res := recovery.Merge(r.stored, r.replica, storeLostData, schema)
	notLive := func(rec replica.Record) bool { return !strings.HasPrefix(rec.Key, record.LivePrefix) }
	o.Records, o.Drops = slices.DeleteFunc(res.Records, notLive), res.Drops
	for _, key := range r.replica.Keys(record.FinalPrefix) {
		rec, _ := r.replica.Get(key)
		if storeLostData {
			rec.Rev = 0 // revisions have begun again
		}
		o.Replica.Put(key, rec.Value, rec.Rev)
	}
	for _, key := range r.replica.Keys(record.SchedulesPrefix) {
		// Until they have been read: a replica that is sent on without them would be newer
		// than one that has them.
		rec, _ := r.replica.Get(key)
		o.Replica.Put(key, rec.Value, 0)
	}
	if !storeLostData {
		// Ended jobs and schedules of a replica are older news than the store's.
		res.Writes = slices.DeleteFunc(res.Writes, notLive)
		if len(res.Writes) > 0 {
			o.LossReason = "records are missing that a copy has"
		}
	}
	o.Restore = res.Writes
}
