package config

import (
	"encoding/json"
	"time"
)

// Standby is the section of the operators' settings that switches early failover on.
// docs/standby.md describes each field.
type Standby struct {
	HeartbeatIntervalMultiple float64 `json:"heartbeat_reports"` // of the workers'
	SuspectAfterHeartbeats    float64 `json:"suspect_beats"`
	FailedAfterHeartbeats     float64 `json:"failed_beats"`
	HoldDownHeartbeats        float64 `json:"hold_down_reports"`
	HoldDownMaxHeartbeats     float64 `json:"hold_down_max_reports"`
}

// DefaultStandby returns the section with every field left out.
func DefaultStandby() Standby {
	return Standby{HeartbeatIntervalMultiple: 0.2, SuspectAfterHeartbeats: 2, FailedAfterHeartbeats: 2, HoldDownHeartbeats: 5, HoldDownMaxHeartbeats: 80}
}

// UnmarshalJSON lays the section's fields over the defaults.
func (s *Standby) UnmarshalJSON(b []byte) error {
	type plain Standby // without this method
	p := plain(DefaultStandby())
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	if p.HoldDownMaxHeartbeats < p.HoldDownHeartbeats {
		return fieldMust(pointer("standby", "hold_down_max_reports"), "must not be below hold_down_reports")
	}
	*s = Standby(p)
	return nil
}

// FailoverTimeTarget is how long a failover should take at most.
const FailoverTimeTarget = 5 * time.Second

// HeartbeatInterval returns the time between two heartbeats of a controller to its peers.
func (s *Standby) HeartbeatInterval(w WorkerTimings) time.Duration {
	return w.Heartbeats(s.HeartbeatIntervalMultiple)
}

// DetectionTime returns how long it takes to detect that a controller's process has ended.
func (s *Standby) DetectionTime(w WorkerTimings) time.Duration {
	return w.Heartbeats((s.FailedAfterHeartbeats + 1) * s.HeartbeatIntervalMultiple)
}

// warning names the settings under which failover misses its target; "" if it does not.
func (s *Standby) warning(w WorkerTimings) string {
	if s.DetectionTime(w) >= FailoverTimeTarget {
		return "standby.heartbeat_reports*failed_beats*params.workers.report_s>5s"
	}
	return ""
}
