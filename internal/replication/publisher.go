package replication

import (
	"strings"

	"yewpass/internal/engine"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/replica"
	"yewpass/internal/writebatch"
)

// Publisher keeps the leader's replica up to date and streams it to the other controllers,
// its followers. It lives as long as one leadership.
type Publisher struct {
	replicas  *Replicas
	scope     *engine.Scope
	term      uint64
	followers map[string]*replica.Sender

	snapshotScheduled bool // a part of the snapshot goes out soon
}

// NewPublisher returns the publisher of the leadership of a term.
func NewPublisher(replicas *Replicas, scope *engine.Scope, term uint64) *Publisher {
	return &Publisher{replicas: replicas, scope: scope, term: term, followers: map[string]*replica.Sender{}}
}

// Replica returns the replica of the term, or nil before the records are known.
func (p *Publisher) Replica() *replica.Replica {
	if own := p.replicas.own; own != nil && own.Term == p.term {
		return own
	}
	return nil
}

// PutRead publishes a record that was read from the store, if it is news.
func (p *Publisher) PutRead(e kv.Entry) {
	own := p.Replica()
	if own == nil || e.Value == nil {
		return
	}
	if rec, ok := own.Get(e.Key); !ok || rec.Rev != e.Rev {
		p.publish([]replica.Record{{Key: e.Key, Value: e.Value, Rev: e.Rev}}, nil)
	}
}

// Drop publishes that the leader has deleted a record, however it has learned so. That the
// store lacks the record is not enough: it may have been lost, and the replica is then all
// that is left of it.
func (p *Publisher) Drop(key string) {
	if own := p.Replica(); own != nil {
		if _, ok := own.Get(key); ok {
			p.publish(nil, []string{key})
		}
	}
}

// PutCommitted publishes a committed transaction. It is to be called before anybody who waits
// for the commit is answered.
func (p *Publisher) PutCommitted(batch []*writebatch.Change, rev uint64) {
	if p.Replica() == nil {
		return
	}
	var puts []replica.Record
	var drops []string
	for _, change := range batch {
		for _, w := range change.Writes {
			switch {
			case strings.HasPrefix(w.Key, record.LeaderlessPrefix):
			case w.Value == nil:
				drops = append(drops, w.Key)
			default:
				puts = append(puts, replica.Record{Key: w.Key, Value: w.Value, Rev: rev})
			}
		}
	}
	if len(puts)+len(drops) > 0 {
		p.publish(puts, drops)
	}
}

// publish applies a change to the replica and sends it to the followers.
func (p *Publisher) publish(puts []replica.Record, drops []string) {
	own := p.replicas.own
	for _, rec := range puts {
		own.Put(rec.Key, rec.Value, rec.Rev)
	}
	for _, key := range drops {
		own.Drop(key)
	}
	own.Seq++
	for _, seed := range p.replicas.cfg.Seeds {
		if follower := p.followers[seed.HostName]; follower != nil {
			p.replicas.send(seed.HostName, follower.ChangeLine(own, puts, drops))
		}
	}
}

// SupplyFollowers begins a stream to every controller in reach that has none: any of them may
// have to restore the store from its replica, and one without a replica accepts no job while
// there is no leader.
func (p *Publisher) SupplyFollowers() {
	if p.Replica() == nil {
		return
	}
	for _, seed := range p.replicas.cfg.Seeds {
		if p.followers[seed.HostName] != nil || !p.replicas.controller.IsLinked(seed.HostName) {
			continue // a lost link ends the stream as well
		}
		p.followers[seed.HostName] = replica.NewSender(p.replicas.newSession(), p.replicas.own)
		if !p.snapshotScheduled {
			p.snapshotScheduled = true
			p.scope.After(0, p.sendSnapshotParts)
		}
	}
}

// CompleteFollowers returns the names of the controllers that were sent a whole replica, in
// the order of the seeds.
func (p *Publisher) CompleteFollowers() (names []string) {
	for _, seed := range p.replicas.cfg.Seeds {
		if follower := p.followers[seed.HostName]; follower != nil && follower.Complete() {
			names = append(names, seed.HostName)
		}
	}
	return names
}

// DropFollower ends the stream to a controller. The next SupplyFollowers begins another once
// the controller is in reach.
func (p *Publisher) DropFollower(name string) { delete(p.followers, name) }

// RestartFollower ends a stream of which the controller has missed lines.
func (p *Publisher) RestartFollower(name string, session uint64) {
	if follower := p.followers[name]; follower != nil && follower.Session() == session {
		p.DropFollower(name)
	}
}

// sendSnapshotParts sends the next part of the snapshot to each follower that has not got all
// of it, until there is none.
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
		if line, more := follower.NextSnapshotLine(p.replicas.own, maxRecords, maxLineBytes, recordSize); more {
			p.replicas.send(seed.HostName, line)
			p.snapshotScheduled = true
		}
	}
	if p.snapshotScheduled {
		p.scope.After(snapshotInterval, p.sendSnapshotParts)
	}
}
