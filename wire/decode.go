package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = 64 << 10

// Decode decodes b, which must be exactly one JSON object, into v. Its errors wrap [ErrMalformed].
func Decode(b []byte, v any) error {
	if trimmed := bytes.TrimLeft(b, " \t\r\n"); len(trimmed) == 0 || trimmed[0] != '{' {
		return fmt.Errorf("%w: not a JSON object", ErrMalformed)
	}
	decoder := json.NewDecoder(bytes.NewReader(b))
	if err := decoder.Decode(v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: data after the object", ErrMalformed)
	}
	return nil
}
