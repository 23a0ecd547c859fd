package statecache

import (
	"time"

	"lynxledge/wire"
)

// Timestamp is a point in time as stored in records: milliseconds since the Unix epoch. Zero
// means none. It is kept as a number in memory too, since finished jobs are never deleted and a
// [time.Time] is three times as large.
type Timestamp int64

// TimestampOf returns the timestamp of a time.
func TimestampOf(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// Time returns the timestamp as a time.
func (t Timestamp) Time() time.Time { return time.UnixMilli(int64(t)) }

// add returns the timestamp plus seconds, truncated to whole milliseconds.
func (t Timestamp) add(s wire.Seconds) Timestamp { return t + Timestamp(1000*s) }
