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

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, nil
	}
	h := w.Header()
	h["Content-Type"] = []string{"application/json"}
	h["Content-Length"] = []string{strconv.Itoa(len(b))}
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func writeError(w http.ResponseWriter, status int, why string) {
	writeJSON(w, status, wire.ErrorResponse{Message: why})
}

// writeRetryAfter refuses what can't be taken now, and says after which time to come back.
func writeRetryAfter(w http.ResponseWriter, status int, wait time.Duration, why string) {
	seconds := int(math.Ceil(wait.Seconds()))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	writeError(w, status, why)
}

// writeUnavailable refuses what can't be taken now, but may be the next moment.
func writeUnavailable(w http.ResponseWriter, why string) {
	writeRetryAfter(w, http.StatusServiceUnavailable, minRetryAfter, why)
}

// readBody reads a request's body; false when it was answered already.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "body unreadable or over 64 KiB")
		return nil, false
	}
	return b, true
}
