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
		m := a.view.Machines[t.Machine]
		if m == nil {
			continue
		}
		l := a.liveness.of(t.Machine)
		if t.Reason == wire.ReasonError && a.hasRecovered(m, l, now) {
			l.forgetFailures()
		}
		l.observeTermination(t, now)
		failed := a.jobsFailedOn(l)
		if failed >= faultyJobThreshold && m.DrainReason == "" && a.isConfirmedLeader() {
			slog.Warn("faulty machine detected",
				"machine", t.Machine,
				"machine_type", m.MachineType,
				"zone", m.Zone,
				"failed_jobs", failed)
			a.enqueueUpdate(t.Machine, machineUpdate{drainReason: drainReasonFaulty})
		}
	}
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
