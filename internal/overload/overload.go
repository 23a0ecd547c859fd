// Package overload tells when a process gets less processor time than its work needs.
//
// What can wait then does: planning first, then the search for places that other work
// holds, then new submissions, whose users are told when to come back. Health checks,
// answers to workers, cancellations and the election go on.
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

// Parts of the workers' report interval by which timers fire late, and which share of
// it passes between two looks.
const (
	behindLatenessShare     = 1.0 / 20
	overloadedLatenessShare = 1.0 / 8
	checkIntervalShare      = 1.0 / 20
)

// calmChecksToRecover is for how many looks in a row timers have to fire in time before a level
// is left: load comes in waves.
const calmChecksToRecover = 10

// Gauge watches how late timers fire. The nil Gauge is always at Normal.
type Gauge struct {
	report     time.Duration
	level      atomic.Int32
	calmChecks int // looks since the level was reached last
}

// Start watches until ctx ends. report is the workers' report interval.
func Start(ctx context.Context, report time.Duration) *Gauge {
	g := &Gauge{report: report}
	go g.watch(ctx)
	return g
}

func (g *Gauge) watch(ctx context.Context) {
	pause := time.Duration(checkIntervalShare * float64(g.report))
	for ctx.Err() == nil {
		due := time.Now().Add(pause)
		time.Sleep(pause)
		g.observe(time.Since(due))
	}
}

// observe takes note of how late a timer fired.
func (g *Gauge) observe(late time.Duration) {
	level := Normal
	switch share := float64(late) / float64(g.report); {
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
