package apiserver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"lynxledge/wire"
)

func answer(w http.ResponseWriter, status int, v any) {
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

func refuse(w http.ResponseWriter, status int, why string) {
	answer(w, status, wire.Problem{Error: why})
}

// refuseForNow refuses what can't be taken now and says when to come back.
func refuseForNow(w http.ResponseWriter, why string) {
	w.Header().Set("Retry-After", "1")
	refuse(w, http.StatusServiceUnavailable, why)
}

// body reads a request's body; false when it was answered already.
func body(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
	if err != nil {
		refuse(w, http.StatusBadRequest, "body unreadable or over 64 KiB")
		return nil, false
	}
	return b, true
}
