package kvstore

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"lynxledge/internal/httpjson"
	"lynxledge/wire"
)

// Errors that callers tell apart. After ErrRejected and ErrThrottled, which is one of them, the
// request was certainly not executed, and trying again helps. ErrInvalidRequest, ErrNotFound and
// ErrLeaseNotFound are final, and ErrRevisionCompacted is until all keys were listed anew. After
// any other error of a change, it may have been executed, or may be yet.
var (
	ErrRejected          = errors.New("store rejected the request")
	ErrThrottled         = fmt.Errorf("%w: rate exceeded", ErrRejected)
	ErrNotFound          = errors.New("not found")
	ErrRevisionCompacted = errors.New("revision compacted")
	ErrLeaseNotFound     = errors.New("lease not found")
	ErrInvalidRequest    = errors.New("store rejected the request as invalid")
)

// ConflictError says that preconditions of a transaction failed, and as of which revision. It
// was not executed. Trying again helps with the preconditions of a newer view.
type ConflictError struct {
	FailedKeys []string
	Revision   uint64
}

// Error implements the error interface.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("preconditions failed at revision %d: %v", c.Revision, c.FailedKeys)
}

// errorOfStatus has what the statuses of the store mean, apart from those whose body tells.
var errorOfStatus = map[int]error{
	http.StatusBadRequest:         ErrInvalidRequest,
	http.StatusNotFound:           ErrNotFound,
	http.StatusGone:               ErrRevisionCompacted,
	http.StatusTooManyRequests:    ErrThrottled,
	http.StatusServiceUnavailable: ErrRejected,
}

// leaseNotFoundMessage is in the response to a transaction whose lease does not exist.
var leaseNotFoundMessage = []byte("no such lease")

// translate returns what the error of a call means for its caller.
func translate(err error) error {
	var status *httpjson.StatusError
	switch {
	case errors.Is(err, httpjson.ErrRateLimited):
		return fmt.Errorf("%w: %w", ErrRejected, err)
	case errors.Is(err, httpjson.ErrNotSent):
		return fmt.Errorf("%w: %w", ErrInvalidRequest, err)
	case errors.As(err, &status):
		return translateStatus(status)
	}
	return err
}

func translateStatus(status *httpjson.StatusError) error {
	switch {
	case status.StatusCode == http.StatusConflict:
		var r wire.TxnResponse
		if err := json.Unmarshal(status.Body, &r); err != nil {
			return fmt.Errorf("decoding a conflict: %w", err)
		}
		return &ConflictError{FailedKeys: r.FailedKeys, Revision: r.Revision}
	case status.StatusCode == http.StatusBadRequest && bytes.Contains(status.Body, leaseNotFoundMessage):
		return fmt.Errorf("%w: %w", ErrLeaseNotFound, status)
	}
	if meaning := errorOfStatus[status.StatusCode]; meaning != nil {
		return fmt.Errorf("%w: %w", meaning, status)
	}
	return status
}
