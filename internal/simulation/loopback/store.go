// Package loopback serves the simulation on loopback sockets, so that controllers can run against
// it in processes of their own: the store, the cloud and the workers speak the protocol over HTTP.
// Each controller gets its own address of the store and of the cloud, so that the simulated network
// can partition one controller.
package loopback

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"lynxledge/internal/kvstore"
	"lynxledge/internal/simulation"
	"lynxledge/wire"
)

// StoreHandler serves the HTTP API of the key-value store to one controller.
func StoreHandler(conn *simulation.StoreConn) http.Handler {
	r := chi.NewRouter()
	r.Get("/kv", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		limit, _ := strconv.Atoi(q.Get("most"))
		items, err := conn.List(r.Context(), q.Get("prefix"), q.Get("after"), limit)
		respond(w, items, err)
	})
	r.Post("/commit", func(w http.ResponseWriter, r *http.Request) {
		txn := &wire.Txn{}
		if !decodeBody(w, r, txn) {
			return
		}
		revision, err := conn.Commit(r.Context(), txn)
		respond(w, wire.TxnResponse{Revision: revision}, err)
	})
	r.Get("/follow", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		holdMillis, _ := strconv.Atoi(q.Get("holdMs"))
		events, err := conn.Watch(r.Context(), q.Get("prefix"), after, time.Duration(holdMillis)*time.Millisecond)
		respond(w, events, err)
	})
	r.Post("/leases", func(w http.ResponseWriter, r *http.Request) {
		var request wire.LeaseGrantRequest
		if !decodeBody(w, r, &request) {
			return
		}
		leaseID, err := conn.GrantLease(r.Context(), time.Duration(request.TTLMillis)*time.Millisecond)
		respond(w, wire.LeaseGrantResponse{LeaseID: leaseID}, err)
	})
	r.Post("/leases/{id}/touch", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(chi.URLParam(r, "id"), 10, 64)
		respond(w, struct{}{}, conn.RenewLease(r.Context(), id))
	})
	return r
}

// decodeBody decodes the body of a request. If it fails, it responds with 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		respondError(w, http.StatusBadRequest, "malformed")
		return false
	}
	return true
}

// respond writes a value, or the response that the protocol has for an error. For any other error,
// such as no response in the simulated network, it drops the connection without a response.
func respond(w http.ResponseWriter, v any, err error) {
	var conflict *kvstore.ConflictError
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v) // the controller may have disconnected
	case errors.As(err, &conflict):
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(wire.TxnResponse{Revision: conflict.Revision, FailedKeys: conflict.FailedKeys})
	case errors.Is(err, kvstore.ErrNotFound):
		respondError(w, http.StatusNotFound, "not found")
	case errors.Is(err, kvstore.ErrRevisionCompacted):
		respondError(w, http.StatusGone, "too old")
	case errors.Is(err, kvstore.ErrThrottled):
		respondError(w, http.StatusTooManyRequests, "rate is used up")
	case errors.Is(err, kvstore.ErrLeaseNotFound):
		respondError(w, http.StatusBadRequest, "no such lease")
	case errors.Is(err, kvstore.ErrInvalidRequest):
		respondError(w, http.StatusBadRequest, "too large")
	case errors.Is(err, kvstore.ErrRejected):
		respondError(w, http.StatusServiceUnavailable, "outage")
	default:
		panic(http.ErrAbortHandler)
	}
}

func respondError(w http.ResponseWriter, status int, message string) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(wire.ErrorResponse{Message: message})
}

// serve starts to serve a handler on a listener, until the context ends.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }() // returns once the server is closed
}
