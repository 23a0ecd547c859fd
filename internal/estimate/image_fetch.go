package estimate

import (
	"time"

	"lynxledge/internal/config"
	"lynxledge/wire"
)

// ImageFetchTime returns how long a machine of a type nominally takes to fetch a job's image; 0 if
// its fetch rate is unknown.
func ImageFetchTime(job *wire.Job, machineType *wire.MachineType) time.Duration {
	if machineType.ImageFetchGBps <= 0 {
		return 0
	}
	return config.Seconds(job.ImageGB / machineType.ImageFetchGBps)
}
