package cloud

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"lynxledge/internal/httpjson"
	"lynxledge/wire"
)

// Errors that callers distinguish. Each of them means that the call was certainly not executed;
// after any other error, callers must assume that it may have been, or may still be. Retrying can
// succeed after ErrRejected, and later after ErrNoCapacity, but not after ErrInvalidRequest.
var (
	ErrNoCapacity     = errors.New("no capacity")
	ErrRejected       = errors.New("cloud rejected the call")
	ErrInvalidRequest = errors.New("cloud rejected the call as invalid")
)

// errorByStatus maps status codes of the cloud to errors. translateStatus handles the case in which
// the body decides.
var errorByStatus = map[int]error{
	http.StatusBadRequest:         ErrInvalidRequest,
	http.StatusTooManyRequests:    ErrRejected,
	http.StatusServiceUnavailable: ErrRejected,
}

// noCapacityMessage is the cloud's error message when it has no machines left for a request.
const noCapacityMessage = "no capacity"

// translateError adds to the error of a call the one of ErrNoCapacity, ErrRejected and
// ErrInvalidRequest that it stands for, if any.
func translateError(err error) error {
	var status *httpjson.StatusError
	switch {
	case errors.Is(err, httpjson.ErrRateLimited):
		return fmt.Errorf("%w: %w", ErrRejected, err)
	case errors.As(err, &status):
		return translateStatus(status)
	}
	return err
}

func translateStatus(status *httpjson.StatusError) error {
	sentinel := errorByStatus[status.StatusCode]
	if status.StatusCode == http.StatusServiceUnavailable {
		var r wire.ErrorResponse
		if json.Unmarshal(status.Body, &r) == nil && r.Message == noCapacityMessage {
			sentinel = ErrNoCapacity
		}
	}
	if sentinel != nil {
		return fmt.Errorf("%w: %w", sentinel, status)
	}
	return status
}
