package wire

import (
	"math"
	"time"
)

// Seconds is a duration as encoded on the wire: a decimal number of seconds. It is stored
// unconverted, so that encoding it again gives the same number.
type Seconds float64

// MaxDuration is the longest duration that conversions return: longer ones, infinite ones included,
// are truncated to it. It is a quarter of the largest time.Duration, so that sums of two or three
// durations do not overflow.
const MaxDuration = time.Duration(math.MaxInt64 / 4)

// Duration converts s, truncated to whole nanoseconds and limited to the range from -[MaxDuration]
// to [MaxDuration], which is 73 years. NaN becomes 0.
func (s Seconds) Duration() time.Duration {
	return DurationOfNanoseconds(float64(s) * float64(time.Second))
}

// DurationOfNanoseconds converts a number of nanoseconds, truncated and limited like
// [Seconds.Duration].
func DurationOfNanoseconds(nanoseconds float64) time.Duration {
	switch {
	case math.IsNaN(nanoseconds):
		return 0
	case nanoseconds >= float64(MaxDuration):
		return MaxDuration
	case nanoseconds <= -float64(MaxDuration):
		return -MaxDuration
	}
	return time.Duration(nanoseconds)
}
