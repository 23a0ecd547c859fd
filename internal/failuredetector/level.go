package failuredetector

import "time"

// Level classifies a controller by how likely it is to have failed.
type Level int

// Levels of a controller. One that misses heartbeats or has lost all connections is suspect. It is
// failed only if both hold for long enough, and only if a heartbeat of it was ever received.
const (
	Alive Level = iota
	Suspect
	Failed
)

var levelNames = [...]string{"alive", "suspect", "failed"}

// String returns the level's name.
func (l Level) String() string { return levelNames[l] }

// Policy holds the timeouts that decide the level of a controller.
type Policy struct {
	// HeartbeatInterval is the time between two heartbeats of a controller.
	HeartbeatInterval time.Duration
	// SuspectAfter is the time without a heartbeat after which a controller is suspect.
	SuspectAfter time.Duration
	// FailedAfter is the time without a heartbeat, and with all connections closed, after which
	// a controller is failed.
	FailedAfter time.Duration
}
