// Package overload detects that a process gets less CPU time than its work needs.
//
// Work that can wait is then delayed: first planning and the search for preemption victims, then
// new submissions, which are rejected with Retry-After. Health checks, responses to workers,
// cancellations and the election are not delayed.
package overload

import (
	"context"
	"sync/atomic"
	"time"
)

// Level is the degree of overload.
type Level int32

// Levels of overload, in ascending order.
const (
	Normal Level = iota
	// Behind means that work that can wait for seconds should be delayed.
	Behind
	// Overloaded means that no new work should be accepted.
	Overloaded
)

// Shares of the workers' heartbeat interval: the lateness of timers above which a level begins,
// and the interval between checks.
const (
	behindLatenessShare     = 1.0 / 20
	overloadedLatenessShare = 1.0 / 8
	checkIntervalShare      = 1.0 / 20
)

// checksBeforeLowering is the number of consecutive checks below the current level after which the
// next one lowers it. Load comes in waves, so a few such checks do not mean that it is over.
const checksBeforeLowering = 10

// Gauge derives the level from how late timers fire. The level of a nil Gauge is Normal.
type Gauge struct {
	heartbeatInterval time.Duration
	level             atomic.Int32
	lowerChecks       int // consecutive checks below the current level; accessed only by the measuring goroutine
}

// Start starts a Gauge that measures until ctx ends. Lateness is measured relative to the workers'
// heartbeat interval.
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

// observe updates the level with how late a timer fired.
func (g *Gauge) observe(lateness time.Duration) {
	level := Normal
	switch share := float64(lateness) / float64(g.heartbeatInterval); {
	case share > overloadedLatenessShare:
		level = Overloaded
	case share > behindLatenessShare:
		level = Behind
	}
	g.lowerChecks++
	if level >= g.Level() || g.lowerChecks > checksBeforeLowering {
		g.level.Store(int32(level))
		g.lowerChecks = 0
	}
}

// Level returns the current level.
func (g *Gauge) Level() Level {
	if g == nil {
		return Normal
	}
	return Level(g.level.Load())
}
