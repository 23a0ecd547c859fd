package autoscaler

import (
	"time"

	"lynxledge/wire"
)

// machineLiveness is what the leader knows of a machine from hearing it, or from not hearing it.
type machineLiveness struct {
	lastReachable       time.Time           // when it reported to some controller, or answered a probe; zero: never
	suspectedAt         time.Time           // when it was marked as suspected
	lastFailedProbe     time.Time           // when a probe failed last
	probing             bool                // a probe is under way
	outboundPartitioned bool                // it answers probes, but lets its leases run out
	failedJobs          map[wire.JobID]bool // jobs that failed on it since a success
}

// livenessOf is that of a machine, made when it is first asked for.
func (r *Autoscaler) livenessOf(machine wire.MachineID) *machineLiveness {
	c := r.liveness[machine]
	if c == nil {
		c = &machineLiveness{failedJobs: map[wire.JobID]bool{}}
		r.liveness[machine] = c
	}
	return c
}
