// Package jobhealth judges a job by the failures of its tasks: a failed task mostly means a faulty
// machine, but the tasks of a job that was submitted with a mistake fail on every machine. What tells
// them apart is a task that succeeds. Since a replica of a service never completes, and a task of an
// array may take long, a task also succeeds by outliving the failed ones.
package jobhealth

import (
	"iter"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

const (
	// suspectedAfter is the number of failures since the last success from which on the job itself
	// may be at fault.
	suspectedAfter = 3
	// repeatedOnMachines is the number of machines on which a job has failed from which on the
	// machines are less likely at fault than the job.
	repeatedOnMachines = 2
	// everywhereOnMachines is the number of machines on which a job has failed from which on a further
	// failure says nothing about the machine. Two faulty machines in a row may well occur.
	everywhereOnMachines = 3
	// runMargin is how many times as long as any failed task another one must run to outlive it.
	runMargin = 2.0
	// fetchMargin is how many times the nominal fetch time an image may take.
	fetchMargin = 1.5
	// maxTrialLeases limits the trial, in lease durations, while a job has failed on one machine only.
	maxTrialLeases = 0.75
)

// TrialLimits bounds the time for which a task must be bound to outlive failed ones.
type TrialLimits struct {
	Min          time.Duration // a machine that can't be reached is suspected earlier
	OnOneMachine time.Duration // maximum while the job has failed on one machine only
}

// TrialLimitsOf returns the limits that follow from the settings.
func TrialLimitsOf(cfg *config.Config) TrialLimits {
	workers := &cfg.Params.Workers
	return TrialLimits{
		Min:          workers.Heartbeats(cfg.Operator.UnreachableHeartbeats),
		OnOneMachine: workers.Leases(maxTrialLeases),
	}
}

// Failures are the failures of a job's tasks since its last success. The zero value has none.
type Failures struct {
	count      int
	lastAt     time.Time               // of the last failure, or the last refusal of a task by a machine
	machines   map[wire.MachineID]bool // on which tasks failed
	longestRun time.Duration           // of a failed task, as far as known
}

// IsFailure reports whether a task that terminated for a reason failed.
func IsFailure(reason wire.ExitReason) bool {
	return reason == wire.ReasonError || reason == wire.ReasonUnknown
}

// Add adds the failure of a task.
func (f *Failures) Add(t *statecache.Termination, now time.Time) {
	if f.machines == nil {
		f.machines = map[wire.MachineID]bool{}
	}
	f.count++
	f.lastAt = now
	f.machines[t.Machine] = true
	f.longestRun = max(f.longestRun, t.Runtime.Duration())
}

// AddRefusal records that a machine refused a task, which says nothing about the job.
func (f *Failures) AddRefusal(now time.Time) { f.lastAt = now }

// Count returns the number of failures.
func (f *Failures) Count() int { return f.count }

// OnMachine reports whether a task failed on a machine.
func (f *Failures) OnMachine(machine wire.MachineID) bool { return f.machines[machine] }

// Machines returns the number of machines on which tasks failed.
func (f *Failures) Machines() int { return len(f.machines) }

// Suspected reports whether the job itself may be at fault, unless a task has outlived the failures.
func (f *Failures) Suspected() bool { return f.count >= suspectedAfter }

// Repeated reports whether tasks failed on several machines.
func (f *Failures) Repeated() bool { return len(f.machines) >= repeatedOnMachines }

// Everywhere reports whether tasks failed on so many machines that the job is at fault.
func (f *Failures) Everywhere() bool { return len(f.machines) >= everywhereOnMachines }

// BoundTask is a task that is bound to a machine which can be reached.
type BoundTask struct {
	Since     time.Time     // when it was bound, as far as known
	FetchTime time.Duration // that the machine nominally needs for the image
}

// Verdict is what the bound tasks of a job say about its failures.
type Verdict int

// The verdicts.
const (
	Unknown   Verdict = iota // no task has outlived the failed ones
	Sound                    // a task has: the job is not at fault
	Recovered                // a task has that was bound after the last failure: it counts as a success
)

// Judge judges the job by its bound tasks.
func (f *Failures) Judge(tasks iter.Seq[BoundTask], limits TrialLimits, now time.Time) Verdict {
	verdict := Unknown
	trial := f.trial(limits)
	for task := range tasks {
		fetch := time.Duration(fetchMargin * float64(task.FetchTime))
		if now.Sub(task.Since) < trial+fetch {
			continue
		}
		if !task.Since.Before(f.lastAt) {
			return Recovered
		}
		verdict = Sound
	}
	return verdict
}

// trial returns for how long a task must run to outlive the failed ones. While only one machine is
// known to fail the job's tasks, the trial is limited, so that the others don't wait for it.
func (f *Failures) trial(limits TrialLimits) time.Duration {
	trial := time.Duration(runMargin * float64(f.longestRun))
	if !f.Repeated() {
		trial = min(trial, limits.OnOneMachine)
	}
	return max(trial, limits.Min)
}
