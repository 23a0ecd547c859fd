package config

import (
	"slices"
	"time"
)

// ObjectiveKind names the time that a service-level objective bounds.
type ObjectiveKind string

// Kinds of objectives that scheduling considers. Others are accepted and have no effect.
const (
	ObjectiveFinished  ObjectiveKind = "finished"  // time until a job of the class has finished
	ObjectiveDeadline  ObjectiveKind = "deadline"  // time until a job of the class has finished, as a multiple of its own deadline
	ObjectiveWait      ObjectiveKind = "wait"      // time until a task of the class starts
	ObjectiveGuarantee ObjectiveKind = "guarantee" // time until a task within its team's guarantee starts, whatever its class
)

// Objective is a service-level objective of a class of jobs.
type Objective struct {
	Kind             ObjectiveKind
	Class            string
	Within           time.Duration // 0 or less: no bound
	Share            float64       // share of the jobs or tasks that have to meet it
	DeadlineMultiple float64
}

// Deadlines returns the deadlines of a job of a class in ascending order, counted from when the
// job became runnable: its own deadline and the multiples of it that objectives name, the
// completion objectives of the class, and the class's AllowedWait plus the runtime of a task. If
// there are none, it returns the operators' default. ownDeadline, if not nil, counts from the
// job's submission; waited is the time from then until its dependencies were done.
func (c *Config) Deadlines(class string, ownDeadline *time.Duration, runtime, waited time.Duration) []time.Duration {
	var deadlines []time.Duration
	for _, o := range c.Params.Objectives {
		switch {
		case o.Class != class:
		case o.boundsCompletion():
			deadlines = append(deadlines, o.Within)
		case ownDeadline != nil && o.Kind == ObjectiveDeadline && o.DeadlineMultiple > 1:
			deadlines = append(deadlines, scaleDuration(*ownDeadline, o.DeadlineMultiple)-waited)
		}
	}
	if wait, ok := c.AllowedWait(class); ok {
		deadlines = append(deadlines, min(wait+runtime, MaxDuration))
	}
	switch {
	case ownDeadline != nil:
		deadlines = append(deadlines, *ownDeadline-waited)
	case len(deadlines) == 0:
		deadlines = append(deadlines, c.Operator.DefaultDeadline)
	}
	slices.Sort(deadlines)
	return slices.Compact(deadlines)
}

// boundsCompletion reports whether the objective bounds the time until a job has finished.
func (o *Objective) boundsCompletion() bool { return o.Kind == ObjectiveFinished && o.Within > 0 }

// HasCompletionObjective reports whether objectives bound the time until jobs of a class have
// finished. A start objective that a new machine can meet counts too.
func (c *Config) HasCompletionObjective(class string) bool {
	_, waits := c.AllowedWait(class)
	return waits || slices.ContainsFunc(c.Params.Objectives, func(o Objective) bool {
		return o.Class == class && o.boundsCompletion()
	})
}

// StartObjective returns the shortest time within which objectives require tasks of a class to
// start, or MaxDuration if there is none, and whether an objective of the class itself requires
// one.
func (c *Config) StartObjective(class string) (within time.Duration, ofClass bool) {
	within = MaxDuration
	for _, o := range c.Params.Objectives {
		if o.Within > 0 && (o.Kind == ObjectiveGuarantee || o.Kind == ObjectiveWait && o.Class == class) {
			within = min(within, o.Within)
			ofClass = ofClass || o.Kind == ObjectiveWait
		}
	}
	return within, ofClass
}

// AllowedWait returns the shortest start objective of a class that is longer than a new machine
// takes to boot, and whether there is one.
func (c *Config) AllowedWait(class string) (wait time.Duration, ok bool) {
	for _, o := range c.Params.Objectives {
		if o.Kind == ObjectiveWait && o.Class == class && o.Within > c.Operator.BootLag && (!ok || o.Within < wait) {
			wait, ok = o.Within, true
		}
	}
	return wait, ok
}
