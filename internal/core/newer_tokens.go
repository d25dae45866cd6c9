package core

import (
	"log/slog"
	"maps"
	"slices"
)

const (
	// minNewerTokenWitnesses is how many workers must have seen a fencing token above ours
	// for it to be our terms that have begun again: one alone is rather faulty itself.
	minNewerTokenWitnesses = 2
	// maxFencingToken is the largest fencing token that is believed. Terms are counted one
	// by one, and far above this there would soon be none left.
	maxFencingToken = 1 << 32
	// termGapAfterTotalLoss is how far above the newest fencing token that was heard of the
	// terms continue: those who say so first need not have seen the last ones, and others
	// may.
	termGapAfterTotalLoss = 1 << 10
)

// handleNewerToken follows up a worker's claim that it has seen a fencing token newer than
// ours. If there was no such term, the worker drops all that we send to it, for ever: it
// is of no use, and its word must not end the term for all others.
func (c *Core) handleNewerToken(host string, token uint64, useless func()) {
	c.verifyTerm("a worker has seen a newer fencing token", func() {
		if c.termsBeganAgain(host, token) {
			return
		}
		c.Log(slog.LevelWarn, "worker reports an unknown fencing token", "machine", host, "claimed", token, "term", c.leadership.term)
		if c.leadership.loaded && !c.leadership.inventory.Released(host) {
			useless()
		}
	})
}

// termsBeganAgain reports whether a worker's newer fencing token may show that terms have
// begun again from 1. When the key-value store and every controller's memory are lost
// together, nobody else is left to tell: the workers would drop all that we send, and the
// whole fleet be released for it. As soon as several workers say so, the terms continue
// above theirs.
func (c *Core) termsBeganAgain(host string, token uint64) bool {
	l := c.leadership
	if !l.noEarlierTerm || token > maxFencingToken || c.Now.Sub(l.electedAt) > 2*c.workerLease {
		return false
	}
	l.newerTokens[host] = token
	if len(l.newerTokens) >= minNewerTokenWitnesses {
		c.observed.Term = slices.Max(slices.Collect(maps.Values(l.newerTokens))) + termGapAfterTotalLoss
		// We, who know of it, campaign at once: the others would go by what is on record.
		c.reportDataLossThen("workers have seen newer terms than were on record", func() { c.election.Campaign(0) })
	}
	return true
}
