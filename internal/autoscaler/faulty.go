package autoscaler

import (
	"log/slog"
	"time"

	"lynxledge/internal/jobhealth"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// faultyJobThreshold is how many jobs must have failed on a machine, with no success on it in
// between, for the machine to count as faulty.
const faultyJobThreshold = 3

// detectFaultyMachines drains machines on which several jobs failed. Their number tells a faulty
// machine from a faulty job: a faulty job fails on any machine, a faulty machine fails any job.
func (a *Autoscaler) detectFaultyMachines(terminations []statecache.Termination, now time.Time) {
	for i := range terminations {
		t := &terminations[i]
		if a.view.Active(t.Job) {
			a.failures.observe(t, now)
		}
		if m := a.view.Machines[t.Machine]; m != nil {
			a.observeOnMachine(m, t, now)
			a.drainIfFaulty(m)
		}
	}
}

// observeOnMachine updates the failures on a machine after a task on it terminated.
func (a *Autoscaler) observeOnMachine(m *statecache.Machine, t *statecache.Termination, now time.Time) {
	l := a.liveness.of(m.Name)
	if t.Reason == wire.ReasonError && a.hasRecovered(m, l, now) {
		l.forgetFailures()
	}
	l.observeTermination(t, now)
}

// drainIfFaulty drains a machine if several jobs failed on it.
func (a *Autoscaler) drainIfFaulty(m *statecache.Machine) {
	failed := a.jobsFailedOn(a.liveness.of(m.Name))
	if failed < faultyJobThreshold || m.DrainReason != "" || !a.isConfirmedLeader() {
		return
	}
	slog.Warn("faulty machine detected",
		"machine", m.Name,
		"machine_type", m.MachineType,
		"zone", m.Zone,
		"failed_jobs", failed)
	a.enqueueUpdate(m.Name, machineUpdate{drainReason: drainReasonFaulty})
}

// hasRecovered reports whether a task on a machine has outlived the failed ones.
func (a *Autoscaler) hasRecovered(m *statecache.Machine, l *machineLiveness, now time.Time) bool {
	return l.failures.Count() > 0 && l.failures.Judge(a.tasksOnMachine(m), jobhealth.TrialLimitsOf(a.config), now) == jobhealth.Recovered
}

// jobsFailedOn counts the jobs that failed on a machine, without those that fail everywhere.
func (a *Autoscaler) jobsFailedOn(l *machineLiveness) int {
	n := 0
	for job := range l.failedJobs {
		if !a.failures.failsEverywhere(job) {
			n++
		}
	}
	return n
}

// forgetFailures drops the failures of a job that has ended. If it failed everywhere, they don't
// count against the machines afterwards either.
func (a *Autoscaler) forgetFailures(job wire.JobID) {
	if a.failures.failsEverywhere(job) {
		for _, l := range a.liveness.machines {
			delete(l.failedJobs, job)
		}
	}
	a.failures.forget(job)
}
