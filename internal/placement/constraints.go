package placement

import (
	"slices"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Allowed tells whether a job's tasks may run on a type, in a zone and on a
// kind of machine at all.
func Allowed(j *wire.Job, typ string, zone wire.Zone, spot bool) bool {
	return (len(j.MachineTypes) == 0 || slices.Contains(j.MachineTypes, typ)) &&
		(j.Zone == "" || j.Zone == zone) && (j.AllowSpot || !spot)
}

// ZoneCounts counts a job's tasks by zone, those that are stopping included.
type ZoneCounts map[wire.Zone]int

// ZoneCountsOf counts a job's bound tasks by zone.
func ZoneCountsOf(v *statecache.View, job wire.JobID) ZoneCounts {
	z := ZoneCounts{}
	for _, m := range v.Bindings[job] {
		z[v.Machines[m].Zone]++
	}
	return z
}

// Allows tells whether one more task of the job may be in a zone now.
func (z ZoneCounts) Allows(j *wire.Job, zone wire.Zone) bool {
	if j.SingleZone {
		for other, n := range z {
			if n > 0 && other != zone {
				return false
			}
		}
	}
	return !j.SpreadZones || z[zone] < (j.TaskCount+1)/2
}
