package apiserver

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"lynxledge/wire"
)

// httpError is an error response. Its text is sent to the client.
type httpError struct {
	status     int
	text       string
	retryAfter time.Duration // value of the Retry-After header; 0: none, retrying does not help
}

func (e *httpError) Error() string { return e.text }

// unavailable returns the error for a request that can't be served now, but may be on a retry.
func unavailable(text string) *httpError {
	return &httpError{status: http.StatusServiceUnavailable, text: text, retryAfter: minRetryAfter}
}

// badRequest returns the error for a malformed request.
func badRequest(err error) *httpError {
	return &httpError{status: http.StatusBadRequest, text: err.Error()}
}

// unprocessable returns the error for a well-formed request that can never be served.
func unprocessable(text string) *httpError {
	return &httpError{status: http.StatusUnprocessableEntity, text: text}
}

func writeError(w http.ResponseWriter, e *httpError) {
	if e.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.retryAfter.Seconds()))))
	}
	writeJSON(w, e.status, wire.ErrorResponse{Message: e.text})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = http.StatusInternalServerError, nil
	}
	header := w.Header()
	header["Content-Type"] = []string{"application/json"}
	header["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// readBody reads a request's body. If that fails, readBody writes the error response and returns
// false.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err != nil {
		writeError(w, &httpError{status: http.StatusBadRequest, text: "body unreadable or over 64 KiB"})
		return nil, false
	}
	return body, true
}
