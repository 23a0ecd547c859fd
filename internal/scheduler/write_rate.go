package scheduler

import (
	"math"
	"time"
)

// usableShare is the part of the state service's rate of writes that all controllers
// together aim at. The rest is for transactions whose guards fail, which count as well.
const usableShare = 0.95

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

// writeRate is how many writes a second this placer may make: its share of the state
// service's rate, and what the others were seen to leave of theirs.
func (p *Scheduler) writeRate(now time.Time) float64 {
	limit := p.storeLimits.WriteRate(&p.config.Params.Store)
	left := limit*usableShare - p.otherWriters.rate(now)
	return max(limit*p.config.Operator.SchedulerWriteShare, left)
}

// observeOtherWrites takes note of the writes that the ledger tells of, but for this placer's
// own, which ownWrites counts until they are told.
func (p *Scheduler) observeOtherWrites(changes int, now time.Time) {
	own := min(changes, p.pendingOwnWrites)
	p.pendingOwnWrites -= own
	p.otherWriters.add(changes-own, now)
}
