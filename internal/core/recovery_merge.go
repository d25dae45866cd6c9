package core

import (
	"log/slog"
	"slices"
	"strings"

	"yewpass/internal/bitset"
	"yewpass/internal/kv"
	"yewpass/internal/liveconfig"
	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/recovery"
	"yewpass/internal/replica"
	"yewpass/internal/schedule"
	"yewpass/internal/writebatch"
)

// How a new leader makes one set of records of what the state service and a copy have.

// recordKinds tells package rebuild what our keys are of.
var recordKinds = recovery.Schema{
	Job:      func(key string) (string, bool) { return strings.CutPrefix(key, record.JobPrefix) },
	Final:    func(key string) (string, bool) { return strings.CutPrefix(key, record.FinalPrefix) },
	Machines: func(key string) bool { return strings.HasPrefix(key, record.MachinePrefix) },
	Progress: func(key string) (string, bool) {
		name, ok := strings.CutPrefix(key, record.ProgressPrefix)
		id, _ := record.SplitProgressKey(name)
		return id, ok
	},
	Join: joinRecords,
}

// joinRecords makes one record of two: progress counts by whichever it is known, and so does a
// cancellation.
func joinRecords(stored, copied any, older bool) (any, bool) {
	switch y := copied.(type) {
	case *record.Progress:
		x, _ := stored.(*record.Progress)
		p, q := bitset.New(bitset.ChunkSize), bitset.New(bitset.ChunkSize)
		if x == nil || !p.DecodeChunk(0, bitset.ChunkSize, x.Ranges) {
			return y, true
		}
		if !q.DecodeChunk(0, bitset.ChunkSize, y.Ranges) {
			return x, false
		}
		more := false // by members: the same ones may be written in more than one way
		for i := range p {
			more = more || q[i]&^p[i] != 0
			p[i] |= q[i]
		}
		if !more {
			return x, false
		}
		return &record.Progress{Ranges: p.EncodeChunk(0)}, true
	case *record.Job:
		x, _ := stored.(*record.Job)
		if x == nil {
			return y, true
		}
		return y, y.Cancelled && !x.Cancelled
	case *schedule.Record:
		x, _ := stored.(*schedule.Record)
		return y, older && (x == nil || x.Seq < y.Seq)
	case *record.ScheduleNumber:
		x, _ := stored.(*record.ScheduleNumber)
		return y, older && (x == nil || x.Number < y.Number)
	case *liveconfig.HeadRecord:
		x, _ := stored.(*liveconfig.HeadRecord)
		return y, x == nil || older && x.Revision < y.Revision
	case *liveconfig.TeamRecord:
		x, _ := stored.(*liveconfig.TeamRecord)
		return y, x == nil || older && x.Revision < y.Revision
	}
	return copied, older
}

// mergeRecords makes the records to go by and loads them.
func (c *Core) mergeRecords() {
	l := c.leadership
	g := l.recovery
	g.merged = true
	records := g.stored
	own := c.replicas.NewReplica(c.observed.Era, l.term)
	best := c.newestReplica()
	if g.replica != nil {
		g.replica.InheritBounded(best)
		res := recovery.Merge(g.stored, g.replica, g.lossReason != "", recordKinds)
		other := func(r replica.Record) bool { return !strings.HasPrefix(r.Key, record.LivePrefix) }
		records = slices.DeleteFunc(res.Records, other)
		c.rememberFinals(g.replica)
		for _, key := range g.replica.Keys(record.FinalPrefix) {
			r, _ := g.replica.Get(key)
			if g.lossReason != "" {
				r.Rev = 0 // revisions have begun again
			}
			own.Put(key, r.Value, r.Rev)
		}
		for _, key := range g.replica.Keys(record.SchedulesPrefix) {
			// Until they have been read: a copy that is passed on without them would be
			// newer than one that has them.
			r, _ := g.replica.Get(key)
			own.Put(key, r.Value, 0)
		}
		for _, key := range res.Drops {
			l.writes.Add(&writebatch.Change{Priority: writebatch.Bulk, Writes: []kv.Write{{Key: key}}})
		}
		if g.lossReason == "" {
			// Ended jobs and schedules of a copy are older news than the service's.
			res.Writes = slices.DeleteFunc(res.Writes, other)
			if len(res.Writes) > 0 {
				g.lossReason = "records are missing that a copy has"
			}
		}
		l.restoring = res.Writes
		for _, r := range l.restoring {
			if record.IsScheduleKey(r.Key) {
				l.schedulesRestoring++
			}
			if record.IsConfigKey(r.Key) {
				l.config.restoring++
			}
		}
	}
	if g.lossReason != "" {
		from := g.replicaSource
		if from == "" && g.replica != nil {
			from = c.cfg.HostName
		}
		l.loss = &dataLoss{restored: len(l.restoring), pending: len(l.restoring), since: c.Now, reason: g.lossReason, source: from}
		c.Log(slog.LevelError, "recovering from data loss", "term", l.term, "era", c.observed.Era, "reason", g.lossReason, "copy of", from, "records", len(records), "restored", len(l.restoring))
		if g.replica == nil {
			c.Log(slog.LevelError, "no replica left, data lost by the state service cannot be restored", "term", l.term)
		}
	}
	c.dataLossReason = ""
	own.InheritBounded(best)
	c.replicas.SetOwn(own)
	l.noEarlierTerm = g.termRead.Missing
	c.loadRecords(records)
}

// loadRecords takes in records, a part in each step.
func (c *Core) loadRecords(records []replica.Record) {
	n := min(len(records), recordsPerLoadStep)
	for _, r := range records[:n] {
		e := kv.Entry{Key: r.Key, Value: r.Value, Rev: r.Rev}
		c.loadRecord(e)
		c.replicate(e)
	}
	if n < len(records) {
		c.afterWhileLeading(0, func() { c.loadRecords(records[n:]) })
		return
	}
	l := c.leadership
	l.recovery = nil
	c.prepareRestore()
	if source := l.finals.Source(); source != "" {
		c.Emit(peermsg.Outgoing{To: source, Msg: peermsg.Message{Kind: peermsg.WantReplica, Term: l.term}})
	}
	c.startWork()
}

// recordsPerLoadStep is how many records are taken in in one step of a take-over.
const recordsPerLoadStep = 400
