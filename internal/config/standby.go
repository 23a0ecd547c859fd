package config

import (
	"encoding/json"
	"time"
)

// Standby is the section of the operators' settings that enables early failover.
// docs/standby.md describes each field.
type Standby struct {
	HeartbeatIntervalMultiple float64 `json:"heartbeat_reports"` // of the workers' heartbeat interval
	SuspectAfterHeartbeats    float64 `json:"suspect_beats"`
	FailedAfterHeartbeats     float64 `json:"failed_beats"`
	HoldDownHeartbeats        float64 `json:"hold_down_reports"`
	MaxHoldDownHeartbeats     float64 `json:"hold_down_max_reports"`
}

// DefaultStandby returns the defaults of the section's fields.
func DefaultStandby() Standby {
	return Standby{HeartbeatIntervalMultiple: 0.2, SuspectAfterHeartbeats: 2, FailedAfterHeartbeats: 2, HoldDownHeartbeats: 5, MaxHoldDownHeartbeats: 80}
}

// UnmarshalJSON decodes the section. Missing fields get their defaults.
func (s *Standby) UnmarshalJSON(b []byte) error {
	type plain Standby // without this method, to avoid recursion
	p := plain(DefaultStandby())
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	if p.MaxHoldDownHeartbeats < p.HoldDownHeartbeats {
		return fieldSubjectErrorf(jsonPointer("standby", "hold_down_max_reports"), "must not be below hold_down_reports")
	}
	*s = Standby(p)
	return nil
}

// FailoverTimeTarget is the time that a failover should take at most.
const FailoverTimeTarget = 5 * time.Second

// HeartbeatInterval returns the interval of a controller's heartbeats for failure detection.
func (s *Standby) HeartbeatInterval(w WorkerTimings) time.Duration {
	return w.Heartbeats(s.HeartbeatIntervalMultiple)
}

// DetectionTime returns the time that it takes to detect that a controller's process has ended.
func (s *Standby) DetectionTime(w WorkerTimings) time.Duration {
	return w.Heartbeats((s.FailedAfterHeartbeats + 1) * s.HeartbeatIntervalMultiple)
}

// warning names the settings if detection alone takes FailoverTimeTarget or longer; otherwise it
// is empty.
func (s *Standby) warning(w WorkerTimings) string {
	if s.DetectionTime(w) >= FailoverTimeTarget {
		return "standby.heartbeat_reports*failed_beats*params.workers.report_s>5s"
	}
	return ""
}
