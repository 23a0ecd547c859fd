package placement

import (
	"slices"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Allowed reports whether a job's constraints allow its tasks to run on a machine type, in a zone
// and, if spot is set, on spot machines.
func Allowed(job *wire.Job, machineType string, zone wire.Zone, spot bool) bool {
	return (len(job.MachineTypes) == 0 || slices.Contains(job.MachineTypes, machineType)) &&
		(job.Zone == "" || job.Zone == zone) && (job.AllowSpot || !spot)
}

// ZoneCounts is the number of a job's tasks by zone, including those that are stopping.
type ZoneCounts map[wire.Zone]int

// ZoneCountsOf counts a job's bound tasks by zone.
func ZoneCountsOf(view *statecache.View, job wire.JobID) ZoneCounts {
	counts := ZoneCounts{}
	for _, machine := range view.Bindings[job] {
		counts[view.Machines[machine].Zone]++
	}
	return counts
}

// Allows reports whether one more task of the job may be placed in a zone.
func (z ZoneCounts) Allows(job *wire.Job, zone wire.Zone) bool {
	if job.SingleZone {
		for other, n := range z {
			if n > 0 && other != zone {
				return false
			}
		}
	}
	return !job.SpreadZones || z[zone] < (job.TaskCount+1)/2
}
