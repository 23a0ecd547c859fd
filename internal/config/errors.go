package config

import (
	"fmt"
	"strings"
)

// FieldError is a settings file's field that has an unacceptable value.
type FieldError struct {
	Field  string // its path in the file
	Reason string // what is wrong with it
	// separator stands between the two: a colon unless the field is the reason's subject.
	separator string
}

// Error names the field and what is wrong with it.
func (e *FieldError) Error() string { return e.Field + e.separator + e.Reason }

// fieldMust returns the error of a field whose reason continues its name: "x must be y".
func fieldMust(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...), separator: " "}
}

// fieldProblem returns the error of a field whose reason is a clause of its own.
func fieldProblem(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...), separator: ": "}
}

// pointer returns the JSON pointer of a field of the operators' settings.
func pointer(path ...string) string { return "/" + strings.Join(path, "/") }

// SchemaError tells where the operators' settings don't conform to their schema.
type SchemaError struct {
	Err error // the validator's
}

// Error says that the settings do not match their schema, and where.
func (e *SchemaError) Error() string { return describeSchemaViolation(e.Err) }

// Unwrap returns the validator's error.
func (e *SchemaError) Unwrap() error { return e.Err }
