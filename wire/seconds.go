package wire

import (
	"math"
	"time"
)

// Seconds is a duration as it stands on the wire: a decimal number of seconds. It is kept
// as it was read, so that writing it again gives the same number.
type Seconds float64

// maxDuration bounds what [Seconds.Duration] returns. It is so far below the range of
// time.Duration that sums of two or three durations do not overflow.
const maxDuration = math.MaxInt64 / 4

// Duration returns the duration, truncated to whole nanoseconds and to at most 73 years
// either way. NaN becomes 0.
func (s Seconds) Duration() time.Duration {
	nanoseconds := float64(s) * float64(time.Second)
	switch {
	case math.IsNaN(nanoseconds):
		return 0
	case nanoseconds >= maxDuration:
		return maxDuration
	case nanoseconds <= -maxDuration:
		return -maxDuration
	}
	return time.Duration(nanoseconds)
}
