package wire

import "time"

// Seconds is a duration as it stands on the wire: a decimal number of seconds. It is kept
// as it was read, so that writing it again gives the same number.
type Seconds float64

// Duration returns the duration, rounded towards zero to nanoseconds.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }
