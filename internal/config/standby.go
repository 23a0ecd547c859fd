package config

import (
	"encoding/json"
	"errors"
	"time"
)

// Standby is the section of the operators' settings that switches early takeovers on.
// docs/standby.md describes each field.
type Standby struct {
	HeartbeatIntervalReports float64 `json:"heartbeat_reports"`
	SuspectAfterHeartbeats   float64 `json:"suspect_beats"`
	FailedAfterHeartbeats    float64 `json:"failed_beats"`
	HoldDownReports          float64 `json:"hold_down_reports"`
	HoldDownMaxReports       float64 `json:"hold_down_max_reports"`
}

// DefaultStandby is the section with every field left out.
func DefaultStandby() Standby {
	return Standby{HeartbeatIntervalReports: 0.2, SuspectAfterHeartbeats: 2, FailedAfterHeartbeats: 2, HoldDownReports: 5, HoldDownMaxReports: 80}
}

// UnmarshalJSON lays the section's fields over the defaults.
func (s *Standby) UnmarshalJSON(b []byte) error {
	type plain Standby // without this method
	p := plain(DefaultStandby())
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	if p.HoldDownMaxReports < p.HoldDownReports {
		return errors.New("/standby/hold_down_max_reports must not be below hold_down_reports")
	}
	*s = Standby(p)
	return nil
}

// FailoverTimeTarget is what a takeover should take at the most.
const FailoverTimeTarget = 5 * time.Second

// DetectionTime is how long it takes to tell that a controller's process has ended.
func (s *Standby) DetectionTime(w WorkerTimings) time.Duration {
	return Seconds((s.FailedAfterHeartbeats + 1) * s.HeartbeatIntervalReports * w.HeartbeatInterval)
}

// warning names the setting under which takeovers can't be as fast as they should.
func (s *Standby) warning(w WorkerTimings) string {
	if s.DetectionTime(w) >= FailoverTimeTarget {
		return "standby.heartbeat_reports*failed_beats*params.workers.report_s>5s"
	}
	return ""
}
