package scheduler

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/config"
	"lynxledge/internal/storelimits"
)

const (
	// usableShare is the part of the store's write rate that all controllers together aim at.
	// The rest is for transactions whose preconditions fail, which count as well.
	usableShare = 0.95
	// writeMeterHeartbeats is over how many heartbeat intervals others' writes are averaged.
	writeMeterHeartbeats = 1
)

// writeBudget is how many writes the scheduler may make: its share of the store's rate, and
// what the other writers were seen to leave of theirs.
type writeBudget struct {
	config      *config.Config
	storeLimits *storelimits.Tracker
	limiter     *rate.Limiter
	others      writeRateMeter
	pendingOwn  int // writes committed here that the cache has not told of yet
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

// observe counts the writes that the cache tells of, but for the scheduler's own.
func (b *writeBudget) observe(changes int, now time.Time) {
	own := min(changes, b.pendingOwn)
	b.pendingOwn -= own
	b.others.add(changes-own, now)
}

// rate is how many writes a second the scheduler may make now.
func (b *writeBudget) rate(now time.Time) float64 {
	limit := b.storeLimits.WriteRate(&b.config.Params.Store)
	left := limit*usableShare - b.others.rate(now)
	return max(limit*b.config.Operator.SchedulerWriteShare, left)
}

// available is how many writes a transaction may have now.
func (b *writeBudget) available(now time.Time) int {
	b.limiter.SetLimit(rate.Limit(b.rate(now)))
	return min(b.config.Params.Store.TxnOpsLimit(), int(b.limiter.TokensAt(now)))
}

// timeFor is how long it takes until so many more writes are available.
func (b *writeBudget) timeFor(writes int) time.Duration {
	return time.Duration(float64(writes) / float64(b.limiter.Limit()) * float64(time.Second))
}

// commitStarted takes the writes of a commit.
func (b *writeBudget) commitStarted(writes int, now time.Time) {
	b.limiter.ReserveN(now, writes)
	b.pendingOwn = writes
}

// commitEnded is called with the outcome of a commit: its writes have been observed by now, or
// were not made.
func (b *writeBudget) commitEnded() { b.pendingOwn = 0 }

// writeRateMeter estimates a rate of writes, smoothed over a window.
type writeRateMeter struct {
	window    time.Duration
	perSecond float64
	updated   time.Time
}

// add counts writes that have become known now.
func (m *writeRateMeter) add(writes int, now time.Time) {
	m.perSecond = m.rate(now) + float64(writes)/m.window.Seconds()
	m.updated = now
}

// rate is the estimate for now.
func (m *writeRateMeter) rate(now time.Time) float64 {
	age := now.Sub(m.updated)
	return m.perSecond * math.Exp(-float64(age)/float64(m.window))
}

// minCycleWrites is the least number of writes that a scheduling cycle is worth.
const minCycleWrites = 2

// writeLimit is how many writes a scheduling cycle may have now, or how long to wait for more.
func (s *schedulingState) writeLimit(now time.Time) (limit int, wait time.Duration) {
	most := s.limits.txnOps()
	limit = s.writes.available(now)
	switch {
	case limit < most/2 && (s.evidence.groups() > 1 || s.completedJobs.count() > 1):
		// Full transactions cost less than many small ones; what waits longest waits no
		// longer for it, since writes are what is short.
		return 0, s.writes.timeFor(most/2 - limit)
	case limit < most && len(s.layout.oversized) > 0 && s.ownsAllTeams():
		return 0, s.writes.timeFor(most - limit) // a split takes a whole transaction
	case limit < minCycleWrites:
		return 0, s.writes.timeFor(minCycleWrites)
	}
	return limit, 0
}
