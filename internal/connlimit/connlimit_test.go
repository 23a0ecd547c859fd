package connlimit

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"pgregory.net/rapid"

	_ "lynxledge/internal/rapidseed"
)

// fakeConn records whether it was closed.
type fakeConn struct {
	net.Conn
	closed bool
}

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

// In any sequence of connection states, no more than maxOpen connections stay open, none is
// closed while it serves a request, and the connection that is closed is the longest idle.
func TestLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxOpen := rapid.IntRange(1, 6).Draw(t, "maxOpen")
		limiter := New(maxOpen)
		busy := map[*fakeConn]bool{}
		var idle []*fakeConn // the longest idle first
		takeIdle := func(i int) *fakeConn {
			conn := idle[i]
			idle = append(idle[:i:i], idle[i+1:]...)
			return conn
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			step := rapid.SampledFrom([]string{"new", "new", "active", "idle", "close"}).Draw(t, "step")
			switch {
			case step == "new":
				conn := &fakeConn{}
				idle = append(idle, conn)
				full := len(busy)+len(idle) > maxOpen
				oldest := idle[0]
				limiter.ConnState(conn, http.StateNew)
				if oldest.closed != full {
					t.Fatalf("%d busy, %d idle of %d: closed %v", len(busy), len(idle), maxOpen, oldest.closed)
				}
				if full {
					limiter.ConnState(takeIdle(0), http.StateClosed)
				}
			case step == "active" && len(idle) > 0:
				conn := takeIdle(rapid.IntRange(0, len(idle)-1).Draw(t, "which"))
				limiter.ConnState(conn, http.StateActive)
				busy[conn] = true
			case step == "idle" && len(busy) > 0:
				for conn := range busy {
					delete(busy, conn)
					idle = append(idle, conn)
					limiter.ConnState(conn, http.StateIdle)
					break
				}
			case step == "close" && len(idle) > 0:
				limiter.ConnState(takeIdle(rapid.IntRange(0, len(idle)-1).Draw(t, "which")), http.StateClosed)
			}
			if limiter.Open() != len(busy)+len(idle) || limiter.Open() > maxOpen {
				t.Fatalf("%d open, %d busy and %d idle, at most %d", limiter.Open(), len(busy), len(idle), maxOpen)
			}
			for conn := range busy {
				if conn.closed {
					t.Fatal("a busy connection was closed")
				}
			}
			for _, conn := range idle {
				if conn.closed {
					t.Fatal("closed, but not the longest idle connection")
				}
			}
		}
	})
}

// Responses ask to close their connections if more than 6 of at most 8 are open, and only then.
func TestResponsesCloseAboveKeepAliveLimit(t *testing.T) {
	limiter := New(8)
	handler := limiter.Handler(http.NotFoundHandler())
	for open := 1; open <= 8; open++ {
		limiter.ConnState(&fakeConn{}, http.StateNew)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
		if closes := recorder.Header().Get("Connection") == "close"; closes != (open > 6) {
			t.Errorf("%d open of 8: asks to close %v", open, closes)
		}
	}
}
