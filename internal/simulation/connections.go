package simulation

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Connections provides stream connections between the hosts of a Network. A partition holds written
// data until it heals; a dial across a partition blocks until its context ends.
type Connections struct {
	network   *Network
	mu        sync.Mutex
	listeners map[string]*pipeListener // by address
	conns     map[*pipeConn]bool
}

// NewConnections returns Connections that follow the partitions of a network.
func NewConnections(n *Network) *Connections {
	return &Connections{network: n, listeners: map[string]*pipeListener{}, conns: map[*pipeConn]bool{}}
}

type pipeListener struct {
	connections *Connections
	host        string
	addr        pipeAddr
	queue       chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

type pipeAddr string

func (pipeAddr) Network() string  { return "pipe" }
func (a pipeAddr) String() string { return string(a) }

// Listen returns a listener on an address of a host.
func (cs *Connections) Listen(host, addr string) net.Listener {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	l := &pipeListener{connections: cs, host: host, addr: pipeAddr(addr), queue: make(chan net.Conn), closed: make(chan struct{})}
	cs.listeners[addr] = l
	return l
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return l.addr }

// Dial returns a function that connects from a host, in place of net.Dialer.DialContext.
func (cs *Connections) Dial(host string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		cs.mu.Lock()
		l := cs.listeners[addr]
		cs.mu.Unlock()
		if l == nil {
			return nil, ErrNoResponse
		}
		if cs.network.partitionBetween(host, l.host) != nil {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		dialerEnd, listenerEnd := net.Pipe()
		dialerConn := cs.track(dialerEnd, host, l.host)
		listenerConn := cs.track(listenerEnd, l.host, host)
		select {
		case l.queue <- listenerConn:
			return dialerConn, nil
		case <-l.closed:
			dialerConn.abort()
			listenerConn.abort()
			return nil, ErrNoResponse
		case <-ctx.Done():
			dialerConn.abort()
			listenerConn.abort()
			return nil, ctx.Err()
		}
	}
}

// track registers an end of a connection and begins to deliver what is written to it.
func (cs *Connections) track(end net.Conn, host, other string) *pipeConn {
	c := &pipeConn{Conn: end, connections: cs, host: host, other: other, queue: make(chan []byte, 1024), closed: make(chan struct{})}
	go c.deliver()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.conns[c] = true
	return c
}

// Reset aborts every connection of a host; new ones can be opened at once.
func (cs *Connections) Reset(host string) {
	for _, c := range cs.connectionsOf(host) {
		c.abort()
	}
}

// connectionsOf returns both ends of each connection of a host.
func (cs *Connections) connectionsOf(host string) []*pipeConn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	var ends []*pipeConn
	for c := range cs.conns {
		if c.host == host || c.other == host {
			ends = append(ends, c)
		}
	}
	return ends
}

// Crash aborts every connection of a host and closes its listeners.
func (cs *Connections) Crash(host string) {
	cs.mu.Lock()
	for addr, l := range cs.listeners {
		if l.host == host {
			l.Close()
			delete(cs.listeners, addr)
		}
	}
	cs.mu.Unlock()
	cs.Reset(host)
}

// pipeConn is one end of a connection. Writes are queued, and delivered in the background.
type pipeConn struct {
	net.Conn
	connections *Connections
	host, other string
	queue       chan []byte // written and not yet delivered
	closed      chan struct{}
	once        sync.Once
}

// Write never blocks: the library that writes (net/http) may hold mutexes, and the clock of a
// synctest bubble stands still while a goroutine waits for a mutex.
func (c *pipeConn) Write(b []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case c.queue <- bytes.Clone(b):
		return len(b), nil
	default:
		c.abort() // the queue is full: the other end has not read for long, or a partition holds the data
		return 0, ErrNoResponse
	}
}

// deliver passes written data to the other end, waiting while a partition separates the hosts.
func (c *pipeConn) deliver() {
	for {
		select {
		case <-c.closed:
			c.drain()
			return
		case b := <-c.queue:
			for p := c.connections.network.partitionBetween(c.host, c.other); p != nil; p = c.connections.network.partitionBetween(c.host, c.other) {
				select {
				case <-p.healed:
				case <-c.closed:
					return
				}
			}
			if _, err := c.Conn.Write(b); err != nil {
				c.abort()
				return
			}
		}
	}
}

// drainTimeout limits how long a closed connection goes on delivering what was written to it.
const drainTimeout = time.Second

// drain delivers what was written before the connection was closed, unless a partition separates
// the hosts, and closes the pipe.
func (c *pipeConn) drain() {
	defer c.Conn.Close()
	if c.connections.network.partitionBetween(c.host, c.other) != nil {
		return
	}
	for {
		select {
		case b := <-c.queue:
			if _, err := c.Conn.Write(b); err != nil {
				return
			}
		default:
			return
		}
	}
}

// Close makes reads fail at once. What was written before is still delivered, for up to
// drainTimeout, unless a partition holds it.
func (c *pipeConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.connections.mu.Lock()
	delete(c.connections.conns, c)
	c.connections.mu.Unlock()
	now := time.Now()
	return errors.Join(c.Conn.SetReadDeadline(now), c.Conn.SetWriteDeadline(now.Add(drainTimeout)))
}

// abort closes the connection at once; written data that is not yet delivered is lost.
func (c *pipeConn) abort() {
	c.Close()
	c.Conn.Close()
}
