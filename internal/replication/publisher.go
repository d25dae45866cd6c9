package replication

import (
	"strings"

	"yewpass/internal/engine"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/replica"
	"yewpass/internal/writebatch"
)

// Publisher keeps the leader's replica up to date and streams it to the other controllers, its
// followers, for one term.
type Publisher struct {
	replicas  *Replicas
	scope     *engine.Scope
	term      uint64
	followers map[string]*replica.Sender // by host name

	snapshotScheduled bool // a call of sendSnapshotParts is pending
}

// NewPublisher returns the publisher for a leadership term. Its timers stop when scope is closed.
func NewPublisher(replicas *Replicas, scope *engine.Scope, term uint64) *Publisher {
	return &Publisher{replicas: replicas, scope: scope, term: term, followers: map[string]*replica.Sender{}}
}

// Replica returns the replica of the publisher's term, or nil before the records are loaded.
func (p *Publisher) Replica() *replica.Replica {
	if own := p.replicas.own; own != nil && own.Term == p.term {
		return own
	}
	return nil
}

// isReplicated reports whether replicas contain the record under key. Markers of leaderless jobs and
// tombstones serve to interpret other records of the store only.
func isReplicated(key string) bool {
	return !strings.HasPrefix(key, record.LeaderlessPrefix) && !strings.HasPrefix(key, record.RemovedSchedulePrefix)
}

// PublishRead publishes a record that was read from the store, unless the replica already has
// that revision or a later one.
func (p *Publisher) PublishRead(e kv.Entry) {
	own := p.Replica()
	if own == nil || e.Value == nil || !isReplicated(e.Key) {
		return
	}
	if rec, ok := own.Get(e.Key); !ok || rec.Rev < e.Rev {
		p.publish([]replica.Record{{Key: e.Key, Value: e.Value, Rev: e.Rev}}, nil)
	}
}

// PublishDelete publishes the deletion of a record. It must be called only for records that this
// leader, or provably an earlier one, has deleted: of a record that the store has lost, the replica
// may hold the last copy.
func (p *Publisher) PublishDelete(key string) {
	if own := p.Replica(); own != nil {
		if _, ok := own.Get(key); ok {
			p.publish(nil, []string{key})
		}
	}
}

// PublishCommitted publishes a committed transaction. It must be called before the commit is
// acknowledged to any caller.
func (p *Publisher) PublishCommitted(batch []*writebatch.Change, rev uint64) {
	if p.Replica() == nil {
		return
	}
	var puts []replica.Record
	var deletes []string
	for _, change := range batch {
		for _, w := range change.Writes {
			switch {
			case !isReplicated(w.Key):
			case w.Value == nil:
				deletes = append(deletes, w.Key)
			default:
				puts = append(puts, replica.Record{Key: w.Key, Value: w.Value, Rev: rev})
			}
		}
	}
	if len(puts)+len(deletes) > 0 {
		p.publish(puts, deletes)
	}
}

func (p *Publisher) publish(puts []replica.Record, deletes []string) {
	own := p.replicas.own
	for _, rec := range puts {
		own.Put(rec.Key, rec.Value, rec.Rev)
	}
	for _, key := range deletes {
		own.Delete(key)
	}
	own.Seq++
	for _, seed := range p.replicas.cfg.Seeds {
		if follower := p.followers[seed.HostName]; follower != nil {
			p.replicas.send(seed.HostName, follower.ChangeLine(own, puts, deletes))
		}
	}
}

// StartStreams starts a stream to every linked controller that has none. Each of them may become
// leader and restore the store; without a replica it accepts no leaderless jobs.
func (p *Publisher) StartStreams() {
	if p.Replica() == nil {
		return
	}
	for _, seed := range p.replicas.cfg.Seeds {
		if p.followers[seed.HostName] != nil || !p.replicas.controller.IsLinked(seed.HostName) {
			continue // the stream is dropped together with the link
		}
		p.followers[seed.HostName] = replica.NewSender(p.replicas.newSession(), p.replicas.own)
		if !p.snapshotScheduled {
			p.snapshotScheduled = true
			p.scope.After(0, p.sendSnapshotParts)
		}
	}
}

// CompleteFollowers returns the controllers that have been sent the whole snapshot, in the order of
// the seeds.
func (p *Publisher) CompleteFollowers() (names []string) {
	for _, seed := range p.replicas.cfg.Seeds {
		if follower := p.followers[seed.HostName]; follower != nil && follower.Complete() {
			names = append(names, seed.HostName)
		}
	}
	return names
}

// DropFollower ends the stream to a controller. The next StartStreams starts a new one if it is
// linked.
func (p *Publisher) DropFollower(name string) { delete(p.followers, name) }

// RestartFollower ends the given session's stream after a gap. The next StartStreams starts a new
// one.
func (p *Publisher) RestartFollower(name string, session uint64) {
	if follower := p.followers[name]; follower != nil && follower.Session() == session {
		p.DropFollower(name)
	}
}

// sendSnapshotParts sends the next part of the snapshot to each incomplete follower, until all are
// complete.
func (p *Publisher) sendSnapshotParts() {
	p.snapshotScheduled = false
	incomplete := 0
	for _, follower := range p.followers {
		if !follower.Complete() {
			incomplete++
		}
	}
	maxRecords := max(1, recordsPerLine/max(1, incomplete))
	for _, seed := range p.replicas.cfg.Seeds {
		follower := p.followers[seed.HostName]
		if follower == nil {
			continue
		}
		if line, more := follower.NextSnapshotLine(p.replicas.own, maxRecords, maxLineBytes, estimateRecordSize); more {
			p.replicas.send(seed.HostName, line)
			p.snapshotScheduled = true
		}
	}
	if p.snapshotScheduled {
		p.scope.After(snapshotInterval, p.sendSnapshotParts)
	}
}
