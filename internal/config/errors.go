package config

import (
	"fmt"
	"strings"
)

// FieldError is the error for a missing or invalid field of a settings file.
type FieldError struct {
	Field  string // path of the field in the file
	Reason string // what is wrong with the field
	// separator joins Field and Reason: ": ", or " " if Field is the grammatical subject of Reason.
	separator string
}

// Error returns the field's path and the reason.
func (e *FieldError) Error() string { return e.Field + e.separator + e.Reason }

// fieldSubjectErrorf returns a FieldError whose reason has the field as its subject, as in
// "x must be y".
func fieldSubjectErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...), separator: " "}
}

// fieldErrorf returns a FieldError whose reason follows the field after a colon.
func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...), separator: ": "}
}

// jsonPointer returns the JSON pointer of a field of the operators' settings.
func jsonPointer(path ...string) string { return "/" + strings.Join(path, "/") }

// SchemaError is the error for operators' settings that do not conform to their schema.
type SchemaError struct {
	Err error // from the schema validator
}

// Error returns the validator's message, which names the place in the settings.
func (e *SchemaError) Error() string { return describeSchemaViolation(e.Err) }

// Unwrap returns the error of the schema validator.
func (e *SchemaError) Unwrap() error { return e.Err }
