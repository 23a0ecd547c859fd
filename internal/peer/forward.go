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

// ForwardedHeader marks requests that another controller forwarded; they are not forwarded
// again. Its value is the name of the controller that did so.
const ForwardedHeader = "Lynxledge-Forwarded"

// ErrNoFreshPeer says that no other controller is known to have a fresh view.
var ErrNoFreshPeer = errors.New("no controller with a fresh view known")

// Forward passes a user's request on to the controller with the freshest view, and returns its
// response. The error is ErrNoFreshPeer if there is none.
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
	answer, err := t.client.Do(request)
	if err != nil {
		return 0, nil, fmt.Errorf("forward to %s: %w", p.Name, err)
	}
	defer answer.Body.Close()
	response, err = io.ReadAll(io.LimitReader(answer.Body, wire.MaxBodyBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("response of %s: %w", p.Name, err)
	}
	return answer.StatusCode, response, nil
}
