package config

import (
	"encoding/json"
	"strconv"
	"time"
)

// ZoneRecovery is the section of the operators' settings that enables zone recovery.
// docs/zone-recovery.md describes each field.
type ZoneRecovery struct {
	DegradedShare                float64   `json:"degraded_share"`
	LostShare                    float64   `json:"lost_share"`
	ReturnShare                  float64   `json:"return_share"`
	MinMachines                  int       `json:"min_machines"`
	UnreachableHeartbeats        float64   `json:"silence_reports"`
	LossConfirmationHeartbeats   float64   `json:"confirm_reports"`
	ReturnConfirmationHeartbeats float64   `json:"proof_reports"`
	AdmissionSteps               []float64 `json:"steps"`
	StepLeases                   float64   `json:"step_leases"`
	HoldDownLeases               float64   `json:"hold_down_leases"`
	MaxHoldDownLeases            float64   `json:"hold_down_max_leases"`
	FlapWindowLeases             float64   `json:"flap_memory_leases"`
	EvacuateLeases               float64   `json:"evacuate_leases"`
}

// DefaultZoneRecovery returns the defaults of the section's fields.
func DefaultZoneRecovery() ZoneRecovery {
	return ZoneRecovery{
		DegradedShare:                0.3,
		LostShare:                    0.6,
		ReturnShare:                  0.5,
		MinMachines:                  4,
		UnreachableHeartbeats:        2.5,
		LossConfirmationHeartbeats:   0.5,
		ReturnConfirmationHeartbeats: 2,
		AdmissionSteps:               []float64{0.25, 0.5, 1},
		StepLeases:                   0.15,
		HoldDownLeases:               0.2,
		MaxHoldDownLeases:            0.7,
		FlapWindowLeases:             4,
		EvacuateLeases:               1.2,
	}
}

// UnmarshalJSON decodes the section. Missing fields get their defaults.
func (z *ZoneRecovery) UnmarshalJSON(b []byte) error {
	type plain ZoneRecovery // without this method, to avoid recursion
	p := plain(DefaultZoneRecovery())
	p.AdmissionSteps = nil // a given list replaces the default as a whole, also if it is shorter
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	if p.AdmissionSteps == nil {
		p.AdmissionSteps = DefaultZoneRecovery().AdmissionSteps
	}
	*z = ZoneRecovery(p)
	return z.validate()
}

// validate rejects invalid combinations that the schema can't express.
func (z *ZoneRecovery) validate() error {
	switch {
	case z.LostShare <= z.DegradedShare:
		return fieldSubjectErrorf(jsonPointer("zone_recovery", "lost_share"), "must be above degraded_share")
	case z.ReturnShare >= z.LostShare:
		return fieldSubjectErrorf(jsonPointer("zone_recovery", "return_share"), "must be below lost_share")
	case z.MaxHoldDownLeases < z.HoldDownLeases:
		return fieldSubjectErrorf(jsonPointer("zone_recovery", "hold_down_max_leases"), "must not be below hold_down_leases")
	}
	last := 0.0
	for i, share := range z.AdmissionSteps {
		if share <= last {
			return fieldSubjectErrorf(jsonPointer("zone_recovery", "steps", strconv.Itoa(i)), "must be above the step before it")
		}
		last = share
	}
	return nil
}

// maxZoneReturnLeases bounds the time for which settings may withhold a recovered zone from batch
// work, in worker leases.
const maxZoneReturnLeases = 2

// validateAgainst rejects settings that are invalid with this deployment's timings: those that
// withhold a recovered zone for too long or evacuate machines whose leases may still be valid.
func (z *ZoneRecovery) validateAgainst(w WorkerTimings) error {
	if w.Leases(z.EvacuateLeases) < w.LeaseDuration+w.HeartbeatInterval {
		return fieldSubjectErrorf(jsonPointer("zone_recovery", "evacuate_leases"), "must be a report interval above one lease: replicas could still run")
	}
	if longest := z.maxReturnTime(w); longest > w.Leases(maxZoneReturnLeases) {
		return fieldErrorf(jsonPointer("zone_recovery"), "proof, hold-down and steps withhold a zone for up to %v, over %d leases",
			longest.Round(time.Second), maxZoneReturnLeases)
	}
	return nil
}

// maxReturnTime returns the longest time for which a zone whose machines all send heartbeats is
// withheld, wholly or in part, from batch work.
func (z *ZoneRecovery) maxReturnTime(w WorkerTimings) time.Duration {
	steps := time.Duration(len(z.AdmissionSteps)) * z.StepDuration(w)
	return w.Heartbeats(z.ReturnConfirmationHeartbeats) + w.Leases(z.MaxHoldDownLeases) + steps
}

// StepDuration returns the duration of a step of a zone's return: at least a heartbeat interval,
// since there is no new evidence before that.
func (z *ZoneRecovery) StepDuration(w WorkerTimings) time.Duration {
	return max(w.Leases(z.StepLeases), w.HeartbeatInterval)
}
