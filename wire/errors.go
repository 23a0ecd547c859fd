package wire

import (
	"errors"
	"fmt"
)

// ErrMalformed is wrapped by all errors that [Decode], [ParseJob] and [Heartbeat.Validate] return.
var ErrMalformed = errors.New("malformed")

// ValidationError is the error for a field of a message that is missing or has a value that the
// protocol does not allow. It wraps [ErrMalformed].
type ValidationError struct {
	Field  string // JSON name of the field; empty if Reason concerns several fields
	Reason string // includes the field's name unless Field is empty
}

// Error returns the text that is sent in the response to the message.
func (e *ValidationError) Error() string { return ErrMalformed.Error() + ": " + e.Reason }

// Unwrap returns ErrMalformed.
func (e *ValidationError) Unwrap() error { return ErrMalformed }

// invalid returns a ValidationError for a field, or for several if field is empty.
func invalid(field, format string, args ...any) error {
	return &ValidationError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// ErrorResponse is the body of all error responses.
type ErrorResponse struct {
	Message string `json:"error"`
}
