package autoscaler

import (
	"log/slog"

	"lynxledge/internal/statecache"
)

// faultyJobThreshold is how many jobs must have failed on a machine, with no task completed on it
// in between, for the machine to count as faulty.
const faultyJobThreshold = 3

// detectFaultyMachines drains machines on which several jobs failed. Their number tells a faulty
// machine from a faulty job: a faulty job fails on any machine, a faulty machine fails any job.
func (a *Autoscaler) detectFaultyMachines(terminations []statecache.Termination) {
	for i := range terminations {
		t := &terminations[i]
		m := a.view.Machines[t.Machine]
		if m == nil {
			continue
		}
		l := a.liveness.of(t.Machine)
		l.observeTermination(t)
		if len(l.failedJobs) >= faultyJobThreshold && m.DrainReason == "" && a.isConfirmedLeader() {
			slog.Warn("faulty machine detected",
				"machine", t.Machine,
				"machine_type", m.MachineType,
				"zone", m.Zone,
				"failed_jobs", len(l.failedJobs))
			a.enqueueUpdate(t.Machine, machineUpdate{drainReason: drainReasonFaulty})
		}
	}
}
