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

// refusal is the response to a request that is not served: an error whose text the client reads.
type refusal struct {
	status     int
	text       string
	retryAfter time.Duration // after which the client may come back; 0: it need not
}

func (r *refusal) Error() string { return r.text }

// unavailable refuses what can't be served now, but may be the next moment.
func unavailable(text string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, text: text, retryAfter: minRetryAfter}
}

// badRequest refuses what the client has to mend.
func badRequest(err error) *refusal {
	return &refusal{status: http.StatusBadRequest, text: err.Error()}
}

// unprocessable refuses what is well-formed, but can never be served.
func unprocessable(text string) *refusal {
	return &refusal{status: http.StatusUnprocessableEntity, text: text}
}

func writeRefusal(w http.ResponseWriter, r *refusal) {
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.retryAfter.Seconds()))))
	}
	writeJSON(w, r.status, wire.ErrorResponse{Message: r.text})
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

// readBody reads a request's body; false when it was answered already.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err != nil {
		writeRefusal(w, &refusal{status: http.StatusBadRequest, text: "body unreadable or over 64 KiB"})
		return nil, false
	}
	return body, true
}
