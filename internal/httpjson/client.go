package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// ErrNotSent means that a request could not be built, so it was certainly not executed. A retry
// does not help.
var ErrNotSent = errors.New("request not sent")

const maxResponseBytes = 64 << 20 // for responses to watches, whose size nothing else limits

// idleConnTimeout is how long an idle connection is kept open.
const idleConnTimeout = 2 * time.Minute

// NewHTTPClient returns an HTTP client that keeps up to idlePerHost idle connections per host, and
// up to idleTotal in total; idleTotal 0: no limit on the total.
func NewHTTPClient(dialTimeout time.Duration, idlePerHost, idleTotal int) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idlePerHost, MaxIdleConns: idleTotal, IdleConnTimeout: idleConnTimeout,
		DisableCompression: true,
	}}
}

// Call sends in as JSON, unless it is nil, and returns the response's status and body. The body is
// truncated to maxResponseBytes. The error wraps ErrNotSent or comes from the transport.
func Call(ctx context.Context, client *http.Client, timeout time.Duration, method, url string, in any) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := newRequest(ctx, method, url, in)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, body, err
}

func newRequest(ctx context.Context, method, url string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport does not retry a request with a body by itself. Whether to
	// retry a request that got no response is for the caller to decide.
	req.GetBody = nil
	return req, nil
}
