package cloud

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"lynxledge/internal/httpjson"
	"lynxledge/wire"
)

// newTestClient returns a client of a cloud that gives the same response to every request.
func newTestClient(t *testing.T, status int, body string) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	return New(strings.TrimPrefix(server.URL, "http://"), 100, 1, time.Second)
}

// Each status of the cloud is translated to exactly one of the errors, an unknown status to none: its
// outcome is unknown.
func TestErrorByStatus(t *testing.T) {
	sentinels := []error{ErrNoCapacity, ErrRejected, ErrInvalidRequest}
	for _, test := range []struct {
		status int
		body   string
		want   error
	}{
		{http.StatusTooManyRequests, "", ErrRejected},
		{http.StatusServiceUnavailable, "", ErrRejected},
		{http.StatusServiceUnavailable, `{"error":"closed"}`, ErrRejected},
		{http.StatusServiceUnavailable, `{"error":"no capacity"}`, ErrNoCapacity},
		{http.StatusBadRequest, `{"error":"no capacity"}`, ErrInvalidRequest},
		{http.StatusNotFound, "", nil},
		{http.StatusInternalServerError, "", nil},
		{http.StatusAccepted, "", nil},
	} {
		_, err := newTestClient(t, test.status, test.body).Provision(t.Context(), wire.ProvisionRequest{})
		if err == nil {
			t.Errorf("%d: no error", test.status)
		}
		for _, sentinel := range sentinels {
			if errors.Is(err, sentinel) != (sentinel == test.want) {
				t.Errorf("%d %s: %v, want %v", test.status, test.body, err, test.want)
			}
		}
		if status := new(httpjson.StatusError); !errors.As(err, &status) || status.StatusCode != test.status {
			t.Errorf("%d: the status is not in %v", test.status, err)
		}
	}
}

// A request whose context ends before the rate limit admits it is not sent, so it was certainly not
// executed.
func TestUnsentRequestIsRejected(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := newTestClient(t, http.StatusOK, `{}`).Delete(ctx, []wire.MachineID{"i-1"}); !errors.Is(err, ErrRejected) || !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
}

// The response to a provision request is decoded.
func TestProvision(t *testing.T) {
	got, err := newTestClient(t, http.StatusOK, `{"nests":["i-1","i-2"]}`).Provision(t.Context(), wire.ProvisionRequest{})
	if err != nil || !slices.Equal(got, []wire.MachineID{"i-1", "i-2"}) {
		t.Errorf("%v %v", got, err)
	}
}
