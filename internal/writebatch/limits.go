package writebatch

import (
	"time"

	"golang.org/x/time/rate"

	"yewpass/internal/config"
)

// ConfigShare of the writes that the store allows is kept for configuration: neither a
// storm of submissions nor one of configuration changes holds up the other.
const ConfigShare = 0.15

// Parts of the store's allowance that the leader's batches take.
const (
	writeShare   = 0.9 // of the writes a second
	writeBurst   = 0.8 // of a second's writes at once
	requestShare = 0.6 // of the requests a second
	requestBurst = 0.5 // of a second's requests at once
)

// limits keep the batches within what the store allows.
type limits struct {
	writes, requests *rate.Limiter
	configWrites     *rate.Limiter // the part of writes that configuration has
}

func newLimits(st config.State) limits {
	return limits{
		writes:       rate.NewLimiter(rate.Limit(st.WriteRPS*writeShare), max(st.TxnOps, int(st.WriteRPS*writeBurst))),
		configWrites: rate.NewLimiter(rate.Limit(st.WriteRPS*ConfigShare), max(2, st.TxnOps)),
		requests:     rate.NewLimiter(rate.Limit(st.RPS*requestShare), max(1, int(st.RPS*requestBurst))),
	}
}

// minWrites is how many writes a transaction of a priority has at the least: one of
// configuration has an object and the head.
func minWrites(p Priority) int {
	if p == Config {
		return 2
	}
	return 1
}

// AvailableWrites returns how many writes may go in a transaction of a priority now.
func (l *limits) AvailableWrites(p Priority, now time.Time, ops int) int {
	limiter := l.writes
	if p == Config {
		limiter = l.configWrites
	}
	return min(ops, int(limiter.TokensAt(now)))
}

// allowsRequest reports whether a request is allowed now.
func (l *limits) allowsRequest(now time.Time) bool { return l.requests.TokensAt(now) >= 1 }

// hasHalfWriteBudget reports whether half of the allowance of writes is left.
func (l *limits) hasHalfWriteBudget(now time.Time) bool {
	return l.writes.TokensAt(now) >= float64(l.writes.Burst())/2
}

// Consume takes writes out of the allowance. What configuration takes goes out of the whole
// too, also ahead of time: together they stay below what the store takes.
func (l *limits) Consume(p Priority, now time.Time, writes int) {
	l.requests.AllowN(now, 1)
	if p == Config {
		l.configWrites.ReserveN(now, min(writes, l.configWrites.Burst()))
	}
	l.writes.ReserveN(now, min(writes, l.writes.Burst()))
}
