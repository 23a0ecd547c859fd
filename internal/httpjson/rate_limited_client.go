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

// ErrRateLimited means that a request was not sent because the rate limit does not permit it
// before its context ends.
var ErrRateLimited = errors.New("request not sent: rate limited")

// StatusError is the error for a response with a status other than 200.
type StatusError struct {
	StatusCode int
	Body       []byte
}

// Error implements the error interface.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %.200s", e.StatusCode, e.Body) }

// Client is a client of a JSON service that limits its own request rate.
type Client struct {
	baseURL    string
	httpClient *http.Client
	limiter    *rate.Limiter
}

// NewClient returns a client of the service at addr that never exceeds the given request rate, per
// second, and keeps up to idleConns idle connections.
func NewClient(addr string, requestRate float64, dialTimeout time.Duration, idleConns int) *Client {
	return &Client{
		baseURL: "http://" + addr, httpClient: NewHTTPClient(dialTimeout, idleConns, 0),
		limiter: rate.NewLimiter(rate.Limit(requestRate), max(1, int(requestRate))),
	}
}

// Call sends in as JSON, unless it is nil, and decodes the response into out, unless that is nil.
// The request was certainly not executed if the error wraps ErrRateLimited or ErrNotSent. Other
// errors are *StatusError and those of the transport and of decoding the response.
func (c *Client) Call(ctx context.Context, timeout time.Duration, method, path string, in, out any) error {
	if err := Wait(ctx, c.limiter, 1); err != nil {
		return err
	}
	status, body, err := Call(ctx, c.httpClient, timeout, method, c.baseURL+path, in)
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

// Wait waits until a limiter permits n events. If that would be after the context ends, or if the
// context ends meanwhile, the error wraps ErrRateLimited.
func Wait(ctx context.Context, limiter *rate.Limiter, n int) error {
	if err := limiter.WaitN(ctx, n); err != nil {
		return fmt.Errorf("%w: %w", ErrRateLimited, err)
	}
	return nil
}
