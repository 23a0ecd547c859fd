package resources

import (
	"lynxledge/internal/config"
	"lynxledge/wire"
)

// Usage is what each team's tasks use. A task counts until it is certain that it has terminated.
type Usage map[wire.TeamName]Vector

// WithinLimit reports whether a team that uses more stays within the maximum of its quota.
func (u Usage) WithinLimit(quota config.TeamQuota, more Vector) bool {
	total := u[quota.Name].AddScaled(more, 1)
	return (quota.MaxCPUs == 0 || total.CPUs <= quota.MaxCPUs+RoundingTolerance) &&
		(quota.MaxGPUs == 0 || total.GPUs <= quota.MaxGPUs+RoundingTolerance)
}

// WithinGuarantee reports whether a team that uses more stays within its guarantee.
func (u Usage) WithinGuarantee(quota config.TeamQuota, more Vector) bool {
	total := u[quota.Name].AddScaled(more, 1)
	return total.CPUs <= quota.GuaranteedCPUs+RoundingTolerance && total.GPUs <= quota.GuaranteedGPUs+RoundingTolerance
}
