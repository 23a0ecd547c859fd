package cloud

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"lynxledge/internal/httpjson"
	"lynxledge/wire"
)

// Errors that callers tell apart: after each of them the call was certainly not executed, after
// any other it may have been, or may be yet. Trying again helps with ErrRejected, and later with
// ErrNoCapacity, but not with ErrInvalidRequest.
var (
	ErrNoCapacity     = errors.New("no capacity")
	ErrRejected       = errors.New("cloud rejected the call")
	ErrInvalidRequest = errors.New("cloud rejected the call as invalid")
)

// errorOfStatus has what the statuses of the cloud mean, apart from those whose body tells.
var errorOfStatus = map[int]error{
	http.StatusBadRequest:         ErrInvalidRequest,
	http.StatusTooManyRequests:    ErrRejected,
	http.StatusServiceUnavailable: ErrRejected,
}

// noCapacityMessage is the cloud's message when it has no machines of a type left.
const noCapacityMessage = "no capacity"

// translate returns what the error of a call means for its caller.
func translate(err error) error {
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
	meaning := errorOfStatus[status.StatusCode]
	if status.StatusCode == http.StatusServiceUnavailable {
		var r wire.ErrorResponse
		if json.Unmarshal(status.Body, &r) == nil && r.Message == noCapacityMessage {
			meaning = ErrNoCapacity
		}
	}
	if meaning != nil {
		return fmt.Errorf("%w: %w", meaning, status)
	}
	return status
}
