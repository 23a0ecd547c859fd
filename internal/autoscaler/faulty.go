package autoscaler

import (
	"log/slog"

	"lynxledge/internal/statecache"
)

// faultyJobThreshold is how many jobs must fail on a machine, with no task completed between.
const faultyJobThreshold = 3

// detectFaultyMachines tells a faulty machine from a faulty job: a job fails on every machine,
// a faulty machine fails whatever job it is given.
func (r *Autoscaler) detectFaultyMachines(terminations []statecache.Termination) {
	for i := range terminations {
		t := &terminations[i]
		m := r.view.Machines[t.Machine]
		if m == nil {
			continue
		}
		l := r.liveness.of(t.Machine)
		l.observeTermination(t)
		if len(l.failedJobs) >= faultyJobThreshold && m.DrainReason == "" && r.isLeader() {
			slog.Warn("faulty machine detected",
				"machine", t.Machine,
				"machine_type", m.MachineType,
				"zone", m.Zone,
				"failed_jobs", len(l.failedJobs))
			r.enqueueUpdate(t.Machine, machineUpdate{drainReason: drainReasonFaulty})
		}
	}
}
