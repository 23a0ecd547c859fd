package wire

import (
	"errors"
	"fmt"
)

// ErrMalformed is wrapped by every error that [Decode], [ParseJob] and [Heartbeat.Validate]
// return.
var ErrMalformed = errors.New("malformed")

// ValidationError says which field of a message is missing or has a value that the protocol
// does not allow. It wraps [ErrMalformed].
type ValidationError struct {
	Field  string // the field's name on the wire; empty if the reason concerns several
	Reason string // the reason, in words that name the field
}

// Error returns the text that the sender of the message is answered with.
func (e *ValidationError) Error() string { return ErrMalformed.Error() + ": " + e.Reason }

// Unwrap returns ErrMalformed.
func (e *ValidationError) Unwrap() error { return ErrMalformed }

// invalid returns the error for a field, or for several if field is empty.
func invalid(field, format string, args ...any) error {
	return &ValidationError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// ErrorResponse is the body of every response that refuses a request.
type ErrorResponse struct {
	Message string `json:"error"`
}
