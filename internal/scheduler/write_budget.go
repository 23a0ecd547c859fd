package scheduler

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/config"
	"lynxledge/internal/storelimits"
)

const (
	// usableShare is the share of the store's write rate that all controllers together aim to use.
	// The rest is for transactions whose preconditions fail, which count towards the rate as well.
	usableShare = 0.95
	// writeMeterHeartbeats is the number of heartbeat intervals over which others' writes are averaged.
	writeMeterHeartbeats = 1
)

// writeBudget limits the scheduler's writes to its share of the store's write rate, or to what the
// other writers leave unused of the rate if that is more.
type writeBudget struct {
	config      *config.Config
	storeLimits *storelimits.Tracker
	limiter     *rate.Limiter
	others      writeRateMeter
	pendingOwn  int // writes of the commit in flight that have not been observed in the cache's updates
}

func newWriteBudget(cfg *config.Config, storeLimits *storelimits.Tracker) *writeBudget {
	store := &cfg.Params.Store
	return &writeBudget{
		config:      cfg,
		storeLimits: storeLimits,
		limiter:     rate.NewLimiter(rate.Limit(store.WriteRate*cfg.Operator.SchedulerWriteShare), store.TxnOpsLimit()),
		others:      writeRateMeter{window: cfg.Params.Workers.Heartbeats(writeMeterHeartbeats)},
	}
}

// observe counts the changes of a cache update as others' writes, except the scheduler's own.
func (b *writeBudget) observe(changes int, now time.Time) {
	own := min(changes, b.pendingOwn)
	b.pendingOwn -= own
	b.others.add(changes-own, now)
}

// rate returns how many writes per second the scheduler may make now.
func (b *writeBudget) rate(now time.Time) float64 {
	limit := b.storeLimits.WriteRate(&b.config.Params.Store)
	left := limit*usableShare - b.others.rate(now)
	return max(limit*b.config.Operator.SchedulerWriteShare, left)
}

// available returns how many writes a transaction may have now.
func (b *writeBudget) available(now time.Time) int {
	b.limiter.SetLimit(rate.Limit(b.rate(now)))
	return min(b.config.Params.Store.TxnOpsLimit(), int(b.limiter.TokensAt(now)))
}

// refillTime returns how long it takes until the given number of further writes is available.
func (b *writeBudget) refillTime(writes int) time.Duration {
	return time.Duration(float64(writes) / float64(b.limiter.Limit()) * float64(time.Second))
}

// commitStarted takes the writes of a commit from the budget.
func (b *writeBudget) commitStarted(writes int, now time.Time) {
	b.limiter.ReserveN(now, writes)
	b.pendingOwn = writes
}

// commitEnded must be called when the outcome of a commit is known: its writes have been observed
// by then, or were not made.
func (b *writeBudget) commitEnded() { b.pendingOwn = 0 }

// writeRateMeter estimates a write rate by an exponential moving average over a window.
type writeRateMeter struct {
	window    time.Duration
	perSecond float64
	updated   time.Time
}

// add counts writes observed now.
func (m *writeRateMeter) add(writes int, now time.Time) {
	m.perSecond = m.rate(now) + float64(writes)/m.window.Seconds()
	m.updated = now
}

// rate returns the estimated rate at a time, in writes per second.
func (m *writeRateMeter) rate(now time.Time) float64 {
	age := now.Sub(m.updated)
	return m.perSecond * math.Exp(-float64(age)/float64(m.window))
}

// minCycleWrites is the smallest number of available writes with which a scheduling cycle is run.
const minCycleWrites = 2

// writeLimit returns how many writes a scheduling cycle may have now, or how long to wait for more.
func (s *schedulingState) writeLimit(now time.Time) (limit int, wait time.Duration) {
	txnOps := s.limits.txnOps()
	limit = s.writes.available(now)
	switch {
	case limit < txnOps/2 && (s.evidence.groupCount() > 1 || s.completedJobs.count() > 1):
		// Large transactions cost less than many small ones. Waiting for one does not delay the
		// oldest changes, since the write rate is the bottleneck.
		return 0, s.writes.refillTime(txnOps/2 - limit)
	case limit < txnOps && len(s.layout.oversized) > 0 && s.ownsAllTeams():
		return 0, s.writes.refillTime(txnOps - limit) // a split takes a whole transaction
	case limit < minCycleWrites:
		return 0, s.writes.refillTime(minCycleWrites)
	}
	return limit, 0
}
