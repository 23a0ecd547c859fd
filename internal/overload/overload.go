// Package overload tells when a process gets less processor time than its work needs.
//
// What can wait then does: planning first, then the search for preemption victims, then new
// submissions, whose users are told when to come back. Health checks, responses to workers,
// cancellations and the election go on.
package overload

import (
	"context"
	"sync/atomic"
	"time"
)

// Level is how far the process is behind.
type Level int32

// Levels, in order.
const (
	Normal Level = iota
	// Behind: what can wait for seconds should.
	Behind
	// Overloaded: no new work should be taken.
	Overloaded
)

// Shares of the workers' heartbeat interval: the lateness of timers at which a level begins, and
// the time between two checks.
const (
	behindLatenessShare     = 1.0 / 20
	overloadedLatenessShare = 1.0 / 8
	checkIntervalShare      = 1.0 / 20
)

// calmChecksToRecover is for how many checks in a row timers have to fire in time before a level
// is left: load comes in waves.
const calmChecksToRecover = 10

// Gauge measures how late timers fire. The nil Gauge is always at Normal.
type Gauge struct {
	heartbeatInterval time.Duration
	level             atomic.Int32
	calmChecks        int // since the level was reached last; of the measuring goroutine alone
}

// Start measures until ctx ends. The workers' heartbeat interval is the scale for lateness.
func Start(ctx context.Context, heartbeatInterval time.Duration) *Gauge {
	g := &Gauge{heartbeatInterval: heartbeatInterval}
	go g.measure(ctx)
	return g
}

func (g *Gauge) measure(ctx context.Context) {
	interval := time.Duration(checkIntervalShare * float64(g.heartbeatInterval))
	for ctx.Err() == nil {
		due := time.Now().Add(interval)
		time.Sleep(interval)
		g.observe(time.Since(due))
	}
}

// observe takes note of how late a timer fired.
func (g *Gauge) observe(lateness time.Duration) {
	level := Normal
	switch share := float64(lateness) / float64(g.heartbeatInterval); {
	case share > overloadedLatenessShare:
		level = Overloaded
	case share > behindLatenessShare:
		level = Behind
	}
	g.calmChecks++
	if level >= g.Level() || g.calmChecks > calmChecksToRecover {
		g.level.Store(int32(level))
		g.calmChecks = 0
	}
}

// Level is how far the process is behind now.
func (g *Gauge) Level() Level {
	if g == nil {
		return Normal
	}
	return Level(g.level.Load())
}
