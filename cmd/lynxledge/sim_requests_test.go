package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"

	"lynxledge/wire"
)

// handlerTable holds the client handlers of the running controllers. It is locked since workers
// look handlers up in their own goroutines while the test changes the table.
type handlerTable struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
}

// handler returns the handler of a controller, or nil if it is down.
func (t *handlerTable) handler(member string) http.Handler {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.handlers[member]
}

// set registers the handler of a controller; nil removes it.
func (t *handlerTable) set(member string, handler http.Handler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.handlers == nil {
		t.handlers = map[string]http.Handler{}
	}
	t.handlers[member] = handler
}

// sendHeartbeat sends a worker's heartbeat to a controller; ok reports whether it responded with
// 200.
func sendHeartbeat(handler http.Handler, heartbeat *wire.Heartbeat) (response wire.HeartbeatResponse, redirectTo string, ok bool) {
	status, body := serveRequest(handler, http.MethodPost, "/hello", heartbeat)
	if status == http.StatusOK {
		return response, "", json.Unmarshal(body, &response) == nil
	}
	var redirect wire.RedirectResponse
	_ = json.Unmarshal(body, &redirect) // a body without a redirect names no controller
	return response, redirect.RedirectTo, false
}

// serveRequest sends a request to a controller's handler, and returns status and body.
func serveRequest(handler http.Handler, method, path string, in any) (int, []byte) {
	body, _ := json.Marshal(in)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, path, bytes.NewReader(body)))
	return recorder.Code, recorder.Body.Bytes()
}

// request sends a user's request to a random running controller, and checks the response. It
// returns 0 if it finds none.
func (c *cluster) request(method, path string, id wire.JobID, in any) int {
	for range c.members {
		if member := c.members[c.rng.IntN(len(c.members))]; c.handlers.handler(member) != nil {
			status, _ := c.requestAt(member, method, path, id, in)
			return status
		}
	}
	return 0
}

// requestAt sends a user's request to a running controller, and checks the response.
func (c *cluster) requestAt(member, method, path string, id wire.JobID, in any) (status int, state wire.JobState) {
	status, body := serveRequest(c.handlers.handler(member), method, path, in)
	var job wire.JobStatus
	_ = json.Unmarshal(body, &job) // a response without a job has no state
	c.invariants.JobAnswered(id, status, job.State)
	return status, job.State
}
