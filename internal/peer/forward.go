package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"lynxledge/wire"
)

// ForwardedHeader marks requests that were forwarded by another controller and must not be
// forwarded again. Its value is that controller's name.
const ForwardedHeader = "Lynxledge-Forwarded"

// ErrNoFreshPeer is returned when no other controller is known to have a fresh view.
var ErrNoFreshPeer = errors.New("no controller with a fresh view known")

// Forward forwards a user's request to the controller with the freshest view, and returns its
// response. The error is ErrNoFreshPeer if no other controller has a fresh view.
func (t *Transport) Forward(ctx context.Context, method, path string, body []byte) (status int, response []byte, err error) {
	p := t.peers.freshest.Load()
	if p == nil {
		return 0, nil, ErrNoFreshPeer
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.Address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("forward to %s: %w", p.Name, err)
	}
	request.Header.Set(ForwardedHeader, t.member)
	httpResponse, err := t.client.Do(request)
	if err != nil {
		return 0, nil, fmt.Errorf("forward to %s: %w", p.Name, err)
	}
	defer httpResponse.Body.Close()
	response, err = io.ReadAll(io.LimitReader(httpResponse.Body, wire.MaxBodyBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("response of %s: %w", p.Name, err)
	}
	return httpResponse.StatusCode, response, nil
}
