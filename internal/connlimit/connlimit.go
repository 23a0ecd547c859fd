// Package connlimit bounds the connections that an HTTP server holds open, so that a
// process with few sockets serves any number of clients and keeps the sockets that it
// needs for itself.
//
// Two bounds work together. Above the lower one every response asks its client to close
// the connection, so sockets come free without a request being lost. Above the upper one
// the connection that has been idle longest is closed for each new one, so a client is
// never shut out by others that say nothing.
package connlimit

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// reuseShare is the part of the connections beyond which they are no longer kept open
// for the next request. The rest is for those that open while the first ones close.
const reuseShare = 0.75

// Limiter counts the connections of one server. Its methods ConnState and Handler are
// to be installed in that server.
type Limiter struct {
	maxOpen  int
	maxReuse int

	mu   sync.Mutex
	open map[net.Conn]*list.Element // its element of idle; nil while a request is served
	idle *list.List                 // of net.Conn; the one idle longest is in front
}

// New makes a limiter that lets at most maxOpen connections stay open.
func New(maxOpen int) *Limiter {
	return &Limiter{
		maxOpen:  maxOpen,
		maxReuse: int(float64(maxOpen) * reuseShare),
		open:     map[net.Conn]*list.Element{},
		idle:     list.New(),
	}
}

// ConnState follows the connections; it is the server's hook of that name.
func (l *Limiter) ConnState(conn net.Conn, state http.ConnState) {
	if surplus := l.track(conn, state); surplus != nil {
		surplus.Close()
	}
}

// track follows a change, and returns the connection to close for it, or nil. The
// server reports that connection as closed afterwards, like any other.
func (l *Limiter) track(conn net.Conn, state http.ConnState) (surplus net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIdle(conn)
	switch state {
	case http.StateNew, http.StateIdle:
		l.open[conn] = l.idle.PushBack(conn)
	case http.StateActive:
		l.open[conn] = nil
	case http.StateClosed, http.StateHijacked:
		delete(l.open, conn)
	}
	if state != http.StateNew || len(l.open) <= l.maxOpen {
		return nil
	}
	// The new one is idle too: it goes if all others are busy.
	surplus = l.idle.Front().Value.(net.Conn)
	l.removeIdle(surplus)
	return surplus
}

// removeIdle takes a connection off the list of idle ones, if it is there.
func (l *Limiter) removeIdle(conn net.Conn) {
	if element := l.open[conn]; element != nil {
		l.idle.Remove(element)
		l.open[conn] = nil
	}
}

// Open is the number of open connections.
func (l *Limiter) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Handler has responses close their connections while too many are open.
func (l *Limiter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.Open() > l.maxReuse {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
