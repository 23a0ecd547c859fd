package httpjson

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// ErrRateLimited marks a request that was not sent, since the service's rate leaves no room for
// it before its context ends.
var ErrRateLimited = errors.New("request not sent within the rate")

// StatusError is a response with another status than 200.
type StatusError struct {
	StatusCode int
	Body       []byte
}

// Error implements the error interface.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %.200s", e.StatusCode, e.Body) }

// Service is the client of a JSON service that never calls it more often than a rate.
type Service struct {
	baseURL    string
	httpClient *http.Client
	limiter    *rate.Limiter
}

// NewService returns a client of the service at an address.
func NewService(addr string, requestRate float64, dialTimeout time.Duration, idleConns int) *Service {
	return &Service{
		baseURL: "http://" + addr, httpClient: NewHTTPClient(dialTimeout, idleConns, 0),
		limiter: rate.NewLimiter(rate.Limit(requestRate), max(1, int(requestRate))),
	}
}

// Call sends in as JSON, unless it is nil, and decodes the response into out, unless that is nil.
// The errors are ErrRateLimited and ErrNotSent, after which the request was certainly not
// executed, *StatusError, and those of the transport.
func (s *Service) Call(ctx context.Context, timeout time.Duration, method, path string, in, out any) error {
	if err := Wait(ctx, s.limiter, 1); err != nil {
		return err
	}
	status, body, err := Call(ctx, s.httpClient, timeout, method, s.baseURL+path, in)
	switch {
	case err != nil:
		return err
	case status != http.StatusOK:
		return &StatusError{StatusCode: status, Body: body}
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("decoding the response: %w", err)
	}
	return nil
}

// Wait waits until a limiter permits n events. It fails with ErrRateLimited if that is not before
// the context ends.
func Wait(ctx context.Context, limiter *rate.Limiter, n int) error {
	if err := limiter.WaitN(ctx, n); err != nil {
		return fmt.Errorf("%w: %w", ErrRateLimited, err)
	}
	return nil
}
