package resources

import (
	"lynxledge/internal/config"
	"lynxledge/wire"
)

// Usage is what each team's tasks use until they have certainly terminated.
type Usage map[wire.TeamName]Vector

// WithinLimit tells whether a team may use more.
func (u Usage) WithinLimit(quota config.TeamQuota, more Vector) bool {
	total := u[quota.Name].Plus(more, 1)
	return (quota.MaxCPUs == 0 || total.CPUs <= quota.MaxCPUs+RoundingTolerance) &&
		(quota.MaxGPUs == 0 || total.GPUs <= quota.MaxGPUs+RoundingTolerance)
}

// WithinGuarantee tells whether a team that uses more still has no more than it is guaranteed.
func (u Usage) WithinGuarantee(quota config.TeamQuota, more Vector) bool {
	total := u[quota.Name].Plus(more, 1)
	return total.CPUs <= quota.GuaranteedCPUs+RoundingTolerance && total.GPUs <= quota.GuaranteedGPUs+RoundingTolerance
}
