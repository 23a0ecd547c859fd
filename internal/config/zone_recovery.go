package config

import (
	"encoding/json"
	"strconv"
	"time"
)

// ZoneRecovery is the section of the operators' settings that switches zone recovery
// on. docs/zone-recovery.md describes each field.
type ZoneRecovery struct {
	DegradedShare         float64   `json:"degraded_share"`
	LostShare             float64   `json:"lost_share"`
	ReturnShare           float64   `json:"return_share"`
	MinMachines           int       `json:"min_machines"`
	UnreachableHeartbeats float64   `json:"silence_reports"`
	ConfirmHeartbeats     float64   `json:"confirm_reports"`
	ReturnHeartbeats      float64   `json:"proof_reports"`
	Steps                 []float64 `json:"steps"`
	StepLeases            float64   `json:"step_leases"`
	HoldDownLeases        float64   `json:"hold_down_leases"`
	HoldDownMaxLeases     float64   `json:"hold_down_max_leases"`
	FlapMemoryLeases      float64   `json:"flap_memory_leases"`
	EvacuateLeases        float64   `json:"evacuate_leases"`
}

// DefaultZoneRecovery returns the section with every field left out.
func DefaultZoneRecovery() ZoneRecovery {
	return ZoneRecovery{
		DegradedShare:         0.3,
		LostShare:             0.6,
		ReturnShare:           0.5,
		MinMachines:           4,
		UnreachableHeartbeats: 2.5,
		ConfirmHeartbeats:     0.5,
		ReturnHeartbeats:      2,
		Steps:                 []float64{0.25, 0.5, 1},
		StepLeases:            0.15,
		HoldDownLeases:        0.2,
		HoldDownMaxLeases:     0.7,
		FlapMemoryLeases:      4,
		EvacuateLeases:        1.2,
	}
}

// UnmarshalJSON lays the section's fields over the defaults.
func (z *ZoneRecovery) UnmarshalJSON(b []byte) error {
	type plain ZoneRecovery // without this method
	p := plain(DefaultZoneRecovery())
	p.Steps = nil // a shorter list must not keep defaults behind it
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	if p.Steps == nil {
		p.Steps = DefaultZoneRecovery().Steps
	}
	*z = ZoneRecovery(p)
	return z.validate()
}

// validate refuses combinations that the schema cannot express.
func (z *ZoneRecovery) validate() error {
	switch {
	case z.LostShare <= z.DegradedShare:
		return fieldMust(pointer("zone_recovery", "lost_share"), "must be above degraded_share")
	case z.ReturnShare >= z.LostShare:
		return fieldMust(pointer("zone_recovery", "return_share"), "must be below lost_share")
	case z.HoldDownMaxLeases < z.HoldDownLeases:
		return fieldMust(pointer("zone_recovery", "hold_down_max_leases"), "must not be below hold_down_leases")
	}
	last := 0.0
	for i, share := range z.Steps {
		if share <= last {
			return fieldMust(pointer("zone_recovery", "steps", strconv.Itoa(i)), "must be above the step before it")
		}
		last = share
	}
	return nil
}

// maxZoneReturnLeases bounds for how long batch work may be kept off a zone that has
// recovered, in worker leases.
const maxZoneReturnLeases = 2

// validateAgainst refuses settings that don't fit this deployment: those that keep work off a
// recovered zone for too long or evacuate machines whose leases may still be valid.
func (z *ZoneRecovery) validateAgainst(w WorkerTimings) error {
	if w.Leases(z.EvacuateLeases) < w.LeaseDuration+w.HeartbeatInterval {
		return fieldMust(pointer("zone_recovery", "evacuate_leases"), "must be a report interval above one lease: replicas could still run")
	}
	if most := z.maxReturnTime(w); most > w.Leases(maxZoneReturnLeases) {
		return fieldProblem(pointer("zone_recovery"), "proof, hold-down and steps withhold a zone for up to %v, over %d leases",
			most.Round(time.Second), maxZoneReturnLeases)
	}
	return nil
}

// maxReturnTime returns the longest time for which batch work is kept off a zone whose
// machines all send heartbeats.
func (z *ZoneRecovery) maxReturnTime(w WorkerTimings) time.Duration {
	steps := time.Duration(len(z.Steps)) * z.StepTime(w)
	return w.Heartbeats(z.ReturnHeartbeats) + w.Leases(z.HoldDownMaxLeases) + steps
}

// StepTime returns how long a step of a zone's return lasts: at least a heartbeat interval,
// since there is no new evidence before that.
func (z *ZoneRecovery) StepTime(w WorkerTimings) time.Duration {
	return max(w.Leases(z.StepLeases), w.HeartbeatInterval)
}
