package config

import (
	"math"
	"time"
)

// MaxDuration is the longest duration that settings have: longer ones, infinite ones
// included, count as this. It is so far below the range of time.Duration that sums of two
// or three durations don't overflow.
const MaxDuration = time.Duration(math.MaxInt64 / 4)

// Seconds converts seconds to a duration, truncated to whole nanoseconds and to at most
// MaxDuration either way. NaN becomes 0.
func Seconds(s float64) time.Duration { return truncate(s * float64(time.Second)) }

// Milliseconds converts milliseconds to a duration of at most MaxDuration either way.
func Milliseconds(ms int64) time.Duration {
	const limit = int64(MaxDuration / time.Millisecond)
	return time.Duration(max(-limit, min(ms, limit))) * time.Millisecond
}

// multiple returns n times d, truncated like Seconds.
func multiple(d time.Duration, n float64) time.Duration { return truncate(float64(d) * n) }

func truncate(nanoseconds float64) time.Duration {
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

// fromSettings converts a number of a settings file to a duration. It rounds, so that the
// multiples of a duration differ from those of the number in the file by no more than their
// own truncation, and it keeps what is above 0 above 0.
func fromSettings(n float64, unit time.Duration) time.Duration {
	d := truncate(math.Round(n * float64(unit)))
	if n > 0 {
		return max(d, 1)
	}
	return d
}
