// Package connlimit bounds the number of open connections of an HTTP server, so that a
// process with a low file descriptor limit can serve any number of clients and still has
// sockets for its own outgoing connections.
//
// There are two bounds. Above the lower one every response asks its client to close the
// connection, which frees sockets without losing requests. Above the upper one the
// connection that has been idle longest is closed for each new one, so that idle clients
// do not lock out others.
package connlimit

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// keepAliveShare is the share of the maximum number of open connections above which
// connections are not kept alive after a response. The rest is for connections that open
// while others close.
const keepAliveShare = 0.75

// Limiter tracks the connections of one server. The server must use its ConnState method as
// the hook of that name, and a handler that Handler returns.
type Limiter struct {
	maxOpen      int
	maxKeepAlive int // with more open connections, responses ask to close theirs

	mu   sync.Mutex
	open map[net.Conn]*list.Element // the connection's element of idle; nil while it serves a request
	idle *list.List                 // of net.Conn, the longest idle first
}

// New returns a limiter for at most maxOpen open connections.
func New(maxOpen int) *Limiter {
	return &Limiter{
		maxOpen:      maxOpen,
		maxKeepAlive: int(float64(maxOpen) * keepAliveShare),
		open:         map[net.Conn]*list.Element{},
		idle:         list.New(),
	}
}

// ConnState records the state of a connection and closes one if too many are open. It is for
// http.Server.ConnState.
func (l *Limiter) ConnState(conn net.Conn, state http.ConnState) {
	if surplus := l.track(conn, state); surplus != nil {
		surplus.Close()
	}
}

// track records a state change and returns the connection to close because of it, or nil.
// A connection to close counts as open until the server reports it as closed.
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
	// The new connection is idle too, and is closed if all others are serving requests.
	surplus = l.idle.Front().Value.(net.Conn)
	l.removeIdle(surplus)
	return surplus
}

// removeIdle removes a connection from the list of idle ones, if it is in it.
func (l *Limiter) removeIdle(conn net.Conn) {
	if element := l.open[conn]; element != nil {
		l.idle.Remove(element)
		l.open[conn] = nil
	}
}

// Open returns the number of open connections.
func (l *Limiter) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Handler returns a handler that serves requests with next, and asks clients to close their
// connections while too many are open.
func (l *Limiter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.Open() > l.maxKeepAlive {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
