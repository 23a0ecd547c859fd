package failuredetector

import "time"

// Level is how far a controller is suspected of having failed.
type Level int

// The levels. Missed heartbeats alone make a controller suspect; only a process that has neither
// a connection nor a heartbeat left has failed.
const (
	Alive Level = iota
	Suspect
	Failed
)

var levelNames = [...]string{"alive", "suspect", "failed"}

// String returns the level's name.
func (l Level) String() string { return levelNames[l] }

// Policy sets when a controller goes from one level to another.
type Policy struct {
	// HeartbeatInterval is the time between two heartbeats of a controller.
	HeartbeatInterval time.Duration
	// SuspectAfter is the time without a heartbeat from which a controller is suspect.
	SuspectAfter time.Duration
	// FailedAfter is the time without a heartbeat, and with all connections closed, from which
	// a controller has failed.
	FailedAfter time.Duration
}
