package core

import (
	"log/slog"
	"maps"
	"slices"
)

const (
	// minNewerTokenReports is how many workers must report a fencing token above the leader's
	// term as evidence that the terms have restarted. A single one may be faulty.
	minNewerTokenReports = 2
	// maxPlausibleFencingToken is the largest fencing token that is accepted as genuine.
	// Continuing above a faulty larger token could exhaust the range of terms.
	maxPlausibleFencingToken = 1 << 32
	// termGapAfterTotalLoss is added to the highest reported fencing token to get the next
	// term. Workers that have not reported yet may have seen later terms.
	termGapAfterTotalLoss = 1 << 10
)

// handleNewerToken checks a worker's claim to have seen a fencing token above the leader's term. If
// the store has no newer term, it calls release for the machine, because the worker rejects all
// replies of this leader.
func (c *Core) handleNewerToken(host string, token uint64, release func()) {
	c.verifyTerm("a worker has seen a newer fencing token", func() {
		if c.handlePossibleTermReset(host, token) {
			return
		}
		c.Log(slog.LevelWarn, "worker reports an unknown fencing token", "machine", host, "claimed", token, "term", c.leadership.term)
		if c.leadership.loaded && !c.leadership.inventory.Released(host) {
			release()
		}
	})
}

// handlePossibleTermReset reports whether a worker's newer fencing token may mean that the terms
// have restarted from 1, because the key-value store and the memory of every controller were lost
// together. All workers then reject replies and must not be released. Once enough of them have
// reported such tokens, this node resigns and campaigns for a term above them.
func (c *Core) handlePossibleTermReset(host string, token uint64) bool {
	l := c.leadership
	if !l.noEarlierTerm || token > maxPlausibleFencingToken || c.Now.Sub(l.electedAt) > 2*c.workerLease {
		return false
	}
	l.newerTokens[host] = token
	if len(l.newerTokens) >= minNewerTokenReports {
		c.observed.Term = slices.Max(slices.Collect(maps.Values(l.newerTokens))) + termGapAfterTotalLoss
		// Campaign at once: another node would continue from the stored term.
		c.reportDataLossThen("workers have seen terms newer than the stored one", func() { c.election.Campaign(0) })
	}
	return true
}
