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

// Errors that callers distinguish. ErrRejected, which ErrThrottled wraps, means that the request
// was certainly not executed and may be retried. ErrInvalidRequest, ErrNotFound and
// ErrLeaseNotFound are permanent; ErrRevisionCompacted persists until the caller has listed all
// keys again. After any other error, a write may have been executed, or may still be.
var (
	ErrRejected          = errors.New("store rejected the request")
	ErrThrottled         = fmt.Errorf("%w: rate exceeded", ErrRejected)
	ErrNotFound          = errors.New("not found")
	ErrRevisionCompacted = errors.New("revision compacted")
	ErrLeaseNotFound     = errors.New("lease not found")
	ErrInvalidRequest    = errors.New("store rejected the request as invalid")
)

// ConflictError reports that a transaction was not executed because preconditions did not hold
// at a revision. A retry needs preconditions from a newer view.
type ConflictError struct {
	FailedKeys []string
	Revision   uint64
}

// Error implements the error interface.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("preconditions failed at revision %d: %v", c.Revision, c.FailedKeys)
}

// errorByStatus maps status codes of the store to errors. translateStatus handles the cases in
// which the body decides.
var errorByStatus = map[int]error{
	http.StatusBadRequest:         ErrInvalidRequest,
	http.StatusNotFound:           ErrNotFound,
	http.StatusGone:               ErrRevisionCompacted,
	http.StatusTooManyRequests:    ErrThrottled,
	http.StatusServiceUnavailable: ErrRejected,
}

// leaseNotFoundMessage is part of the response to a transaction whose lease does not exist.
var leaseNotFoundMessage = []byte("no such lease")

// translateError wraps the error of a call together with the matching one of ErrRejected,
// ErrThrottled, ErrNotFound, ErrRevisionCompacted, ErrLeaseNotFound and ErrInvalidRequest, if any.
// It converts the response to a failed precondition to a [ConflictError].
func translateError(err error) error {
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
	if sentinel := errorByStatus[status.StatusCode]; sentinel != nil {
		return fmt.Errorf("%w: %w", sentinel, status)
	}
	return status
}
