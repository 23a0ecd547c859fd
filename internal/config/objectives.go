package config

import (
	"slices"
	"time"
)

// ObjectiveKind is what a service-level objective bounds.
type ObjectiveKind string

// The kinds of objectives that scheduling looks at. Others are accepted and have no effect.
const (
	ObjectiveFinished  ObjectiveKind = "finished"  // the time until a job of the class has finished
	ObjectiveDeadline  ObjectiveKind = "deadline"  // the time until a job has finished, as a multiple of its own deadline
	ObjectiveWait      ObjectiveKind = "wait"      // the time until a task of the class starts
	ObjectiveGuarantee ObjectiveKind = "guarantee" // the time until a task within its team's guarantee starts, whatever its class
)

// Objective is a service-level objective of a class of jobs.
type Objective struct {
	Kind             ObjectiveKind
	Class            string
	Within           time.Duration // 0 or less: no bound
	Share            float64       // of the jobs or tasks that have to keep it
	DeadlineMultiple float64
}

// Deadlines lists the times from when it becomes runnable by which a job of a class has to
// have finished, in ascending order: its own deadline and the multiples of it that
// objectives name, the finishing objectives of its class and, for a job whose tasks run for
// runtime, the start objectives that a new machine can still meet; or the operators'
// default. own, if not nil, counts from the job's submission: waited is how long it waited
// for its dependencies since then.
func (c *Config) Deadlines(class string, own *time.Duration, runtime, waited time.Duration) []time.Duration {
	var deadlines []time.Duration
	for _, o := range c.Params.Objectives {
		switch {
		case o.Class != class:
		case o.boundsCompletion():
			deadlines = append(deadlines, o.Within)
		case own != nil && o.Kind == ObjectiveDeadline && o.DeadlineMultiple > 1:
			deadlines = append(deadlines, multiple(*own, o.DeadlineMultiple)-waited)
		}
	}
	if wait, ok := c.AllowedWait(class); ok {
		deadlines = append(deadlines, min(wait+runtime, MaxDuration))
	}
	switch {
	case own != nil:
		deadlines = append(deadlines, *own-waited)
	case len(deadlines) == 0:
		deadlines = append(deadlines, c.Operator.DefaultDeadline)
	}
	slices.Sort(deadlines)
	return slices.Compact(deadlines)
}

// boundsCompletion tells whether the objective bounds when a job has finished.
func (o *Objective) boundsCompletion() bool { return o.Kind == ObjectiveFinished && o.Within > 0 }

// HasCompletionObjective tells whether objectives bound when jobs of a class have finished.
func (c *Config) HasCompletionObjective(class string) bool {
	_, waits := c.AllowedWait(class)
	return waits || slices.ContainsFunc(c.Params.Objectives, func(o Objective) bool {
		return o.Class == class && o.boundsCompletion()
	})
}

// StartObjective returns within what time objectives have tasks of a class start,
// MaxDuration if no objective says so, and whether one of the class itself does.
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

// AllowedWait returns the shortest time until the start of tasks of a class among the
// objectives that leave a new machine the time to boot, and whether there is one.
func (c *Config) AllowedWait(class string) (wait time.Duration, ok bool) {
	for _, o := range c.Params.Objectives {
		if o.Kind == ObjectiveWait && o.Class == class && o.Within > c.Operator.BootLag && (!ok || o.Within < wait) {
			wait, ok = o.Within, true
		}
	}
	return wait, ok
}
