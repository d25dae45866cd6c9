package writebatch

import (
	"time"

	"golang.org/x/time/rate"

	"yewpass/internal/config"
)

// ConfigShare is the fraction of the store's write rate that is reserved for configuration changes,
// so that bursts of submissions and of configuration changes do not delay each other.
const ConfigShare = 0.15

// Fractions of the store's rate limits that the leader's batches may use.
const (
	writeShare   = 0.9 // of the write rate
	writeBurst   = 0.8 // burst, relative to the writes of one second
	requestShare = 0.6 // of the request rate
	requestBurst = 0.5 // burst, relative to the requests of one second
)

// limits keeps the batches within the rate limits of the store.
type limits struct {
	writes, requests *rate.Limiter
	configWrites     *rate.Limiter // share of writes reserved for configuration changes
}

func newLimits(st config.State) limits {
	return limits{
		writes:       rate.NewLimiter(rate.Limit(st.WriteRPS*writeShare), max(st.TxnOps, int(st.WriteRPS*writeBurst))),
		configWrites: rate.NewLimiter(rate.Limit(st.WriteRPS*ConfigShare), max(2, st.TxnOps)),
		requests:     rate.NewLimiter(rate.Limit(st.RPS*requestShare), max(1, int(st.RPS*requestBurst))),
	}
}

// minWrites returns the minimum number of writes in a transaction. A configuration change writes an
// object and the head record.
func minWrites(p Priority) int {
	if p == Config {
		return 2
	}
	return 1
}

// AvailableWrites returns how many writes a transaction may contain now, at most ops.
func (l *limits) AvailableWrites(p Priority, now time.Time, ops int) int {
	limiter := l.writes
	if p == Config {
		limiter = l.configWrites
	}
	return min(ops, int(limiter.TokensAt(now)))
}

func (l *limits) allowsRequest(now time.Time) bool { return l.requests.TokensAt(now) >= 1 }

// hasHalfWriteBudget reports whether at least half of the write burst is available.
func (l *limits) hasHalfWriteBudget(now time.Time) bool {
	return l.writes.TokensAt(now) >= float64(l.writes.Burst())/2
}

// Consume counts one request and the given number of writes against the limits. Configuration
// writes count against the total as well, if necessary in advance.
func (l *limits) Consume(p Priority, now time.Time, writes int) {
	l.requests.AllowN(now, 1)
	if p == Config {
		l.configWrites.ReserveN(now, min(writes, l.configWrites.Burst()))
	}
	l.writes.ReserveN(now, min(writes, l.writes.Burst()))
}
