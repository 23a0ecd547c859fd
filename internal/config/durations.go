package config

import (
	"math"
	"time"

	"lynxledge/wire"
)

// MaxDuration is the longest duration in the settings. Longer ones, infinite ones included, are
// truncated to it.
const MaxDuration = wire.MaxDuration

// Seconds converts seconds to a duration, truncated to whole nanoseconds and limited to the range
// from -MaxDuration to MaxDuration. NaN becomes 0.
func Seconds(s float64) time.Duration { return wire.Seconds(s).Duration() }

// Milliseconds converts milliseconds to a duration, limited to the range from -MaxDuration to
// MaxDuration.
func Milliseconds(ms int64) time.Duration {
	const limit = int64(MaxDuration / time.Millisecond)
	return time.Duration(max(-limit, min(ms, limit))) * time.Millisecond
}

// scaleDuration returns n times d, truncated and limited like Seconds.
func scaleDuration(d time.Duration, n float64) time.Duration {
	return wire.DurationOfNanoseconds(float64(d) * n)
}

// durationFromSettings converts a number from a settings file to a duration. It rounds, so that
// multiples of the duration differ from multiples of the number in the file only by their own
// truncation. A number above 0 gives a duration above 0.
func durationFromSettings(n float64, unit time.Duration) time.Duration {
	d := wire.DurationOfNanoseconds(math.Round(n * float64(unit)))
	if n > 0 {
		return max(d, 1)
	}
	return d
}
