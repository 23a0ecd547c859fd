package statecache

import (
	"time"

	"lynxledge/wire"
)

// Timestamp is a time of day as records hold it: milliseconds since the Unix epoch. Zero means
// that there is none. It stays a number in memory too: finished jobs are kept for good, and
// a [time.Time] is three times as large.
type Timestamp int64

// TimestampOf returns the timestamp of a time.
func TimestampOf(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// Time returns the timestamp as a time.
func (t Timestamp) Time() time.Time { return time.UnixMilli(int64(t)) }

// add returns the timestamp plus seconds, truncated to whole milliseconds.
func (t Timestamp) add(s wire.Seconds) Timestamp { return t + Timestamp(1000*s) }
