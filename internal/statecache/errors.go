package statecache

import (
	"errors"
	"fmt"
)

// Errors of reads. ErrNotLoaded and ErrOverloaded are temporary and may be retried.
// ErrUnknownLayout and ErrMalformedRecord persist until the record is rewritten.
var (
	ErrNotLoaded       = errors.New("state not loaded yet")
	ErrOverloaded      = errors.New("state cache overloaded")
	ErrUnknownLayout   = errors.New("a machine's record is in the layout of another version of lynxledge")
	ErrMalformedRecord = errors.New("malformed record")
	ErrUnknownKind     = errors.New("unknown kind of record")
)

// RecordTooLargeError reports that a value exceeds the store's size limit. The commit was not
// sent, and retrying it does not help.
type RecordTooLargeError struct {
	Key   string
	Bytes int
	Limit int
}

// Error implements the error interface.
func (e *RecordTooLargeError) Error() string {
	return fmt.Sprintf("record %s too large: %d bytes, limit %d", e.Key, e.Bytes, e.Limit)
}

// TransactionTooLargeError reports that a transaction exceeds the store's size limit of a request
// body. It was not sent, and retrying it does not help.
type TransactionTooLargeError struct {
	Bytes         int
	Limit         int
	Writes        int
	Preconditions int
}

// Error implements the error interface.
func (e *TransactionTooLargeError) Error() string {
	return fmt.Sprintf("transaction too large: %d bytes, limit %d, with %d writes and %d preconditions", e.Bytes, e.Limit, e.Writes, e.Preconditions)
}

// malformed returns an [ErrMalformedRecord] that names the part of a record that could not be
// parsed, and wraps the cause unless it is nil.
func malformed(part, text string, cause error) error {
	if cause == nil {
		return fmt.Errorf("%w: %s %.80q", ErrMalformedRecord, part, text)
	}
	return fmt.Errorf("%w: %s %.80q: %w", ErrMalformedRecord, part, text, cause)
}
