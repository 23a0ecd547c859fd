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

// ErrNotSent marks a request that could not be put together, and so was
// certainly not executed.
var ErrNotSent = errors.New("request not sent")

const maxAnswer = 64 << 20 // watches have no limit of their own

// Client makes an HTTP client that keeps perHost idle connections open, and
// total over all hosts; 0: no limit.
func Client(dial time.Duration, perHost, total int) *http.Client {
	d := &net.Dialer{Timeout: dial}
	return &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: perHost, MaxIdleConns: total, IdleConnTimeout: 2 * time.Minute,
		DisableCompression: true,
	}}
}

// Call sends in, if it is not nil, and returns the status and body.
func Call(ctx context.Context, c *http.Client, timeout time.Duration, method, url string, in any) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return 0, nil, fmt.Errorf("%w: %v", ErrNotSent, err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	// A request must never be sent twice behind our back: what is unanswered
	// is the caller's to judge.
	req.GetBody = nil
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	return resp.StatusCode, b, err
}
