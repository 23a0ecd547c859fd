package kvstore

import (
	"context"
	"encoding/json"
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

// newTestClient returns a client of a server that gives every request the same response.
func newTestClient(t *testing.T, status int, body string) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	return New(strings.TrimPrefix(server.URL, "http://"), 100, 100, 8, time.Second)
}

// Each status of the store is translated to its error and to no other, an unknown status to none:
// its outcome is unknown.
func TestErrorByStatus(t *testing.T) {
	sentinels := []error{ErrRejected, ErrThrottled, ErrNotFound, ErrRevisionCompacted, ErrLeaseNotFound, ErrInvalidRequest}
	for _, test := range []struct {
		status int
		body   string
		want   []error
	}{
		{http.StatusNotFound, "", []error{ErrNotFound}},
		{http.StatusGone, "", []error{ErrRevisionCompacted}},
		{http.StatusTooManyRequests, "", []error{ErrRejected, ErrThrottled}},
		{http.StatusServiceUnavailable, "", []error{ErrRejected}},
		{http.StatusBadRequest, `{"error":"no such lease"}`, []error{ErrLeaseNotFound}},
		{http.StatusBadRequest, `{"error":"value too large"}`, []error{ErrInvalidRequest}},
		{http.StatusInternalServerError, "", nil},
		{http.StatusAccepted, "", nil},
		{http.StatusConflict, "not JSON", nil},
	} {
		_, err := newTestClient(t, test.status, test.body).Commit(t.Context(), &wire.Txn{})
		if err == nil {
			t.Errorf("%d: no error", test.status)
		}
		for _, sentinel := range sentinels {
			if want := slices.Contains(test.want, sentinel); errors.Is(err, sentinel) != want {
				t.Errorf("%d %s: %v is %v: %v", test.status, test.body, err, sentinel, !want)
			}
		}
		if status := new(httpjson.StatusError); test.status != http.StatusConflict && (!errors.As(err, &status) || status.StatusCode != test.status) {
			t.Errorf("%d: the status is not in %v", test.status, err)
		}
	}
}

// A conflict has the keys whose preconditions failed, and the revision at which they did.
func TestConflict(t *testing.T) {
	_, err := newTestClient(t, http.StatusConflict, string(mustMarshal(t, wire.TxnResponse{FailedKeys: []string{"a", "b"}, Revision: 7}))).Commit(t.Context(), &wire.Txn{})
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Revision != 7 || !slices.Equal(conflict.FailedKeys, []string{"a", "b"}) {
		t.Errorf("%v", err)
	}
}

// The error of a request that was not sent means that it was not executed: ErrRejected if it may
// be retried, ErrInvalidRequest if it can't be made at all.
func TestUnsentRequestIsRejected(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	client := newTestClient(t, http.StatusOK, `{}`)
	if _, err := client.Commit(ctx, &wire.Txn{Writes: make([]wire.Write, 1)}); !errors.Is(err, ErrRejected) || !errors.Is(err, context.Canceled) {
		t.Errorf("a write that its rate limiter did not admit: %v", err)
	}
	if _, err := client.Watch(ctx, "", 0, 0); !errors.Is(err, ErrRejected) {
		t.Errorf("a read that its rate limiter did not admit: %v", err)
	}
	client = New("bad address", 100, 100, 8, time.Second)
	if err := client.RenewLease(t.Context(), 1); !errors.Is(err, ErrInvalidRequest) || !errors.Is(err, httpjson.ErrNotSent) {
		t.Errorf("a request that can't be made: %v", err)
	}
}

func mustMarshal(t *testing.T, v any) []byte {
	t.Helper()
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}
