package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Modes of a link.
const (
	linkOpen  = iota
	linkHold  // packets are held back and delivered once the link is open again
	linkReset // connections are reset
)

// link is the network between one client and one server. A cut holds back what is sent on open
// connections; connection attempts during a cut never complete.
type link struct {
	mu       sync.Mutex
	cond     *sync.Cond
	mode     int // of requests
	backMode int // of responses
	cutAt    time.Time
}

func newLink() *link {
	l := &link{}
	l.cond = sync.NewCond(&l.mu)
	return l
}

func (l *link) set(mode, backMode int) {
	l.mu.Lock()
	if mode != linkOpen && l.mode == linkOpen {
		l.cutAt = time.Now()
	}
	l.mode, l.backMode = mode, backMode
	l.cond.Broadcast()
	l.mu.Unlock()
}

type connStart struct{}

// request waits until a request may pass; false: it never arrives.
func (l *link) request(r *http.Request) bool {
	since, _ := r.Context().Value(connStart{}).(time.Time)
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.mode == linkHold {
		if since.After(l.cutAt) {
			// The connection was opened during the cut: it hangs until it is given up.
			l.mu.Unlock()
			<-r.Context().Done()
			l.mu.Lock()
			return false
		}
		l.cond.Wait()
	}
	return l.mode == linkOpen
}

// response waits until a response may pass.
func (l *link) response(*http.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.backMode == linkHold {
		l.cond.Wait()
	}
	return l.backMode == linkOpen
}

// serve serves a handler on a free loopback port.
func serve(h http.Handler) (addr string) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	s := &http.Server{Handler: h, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connStart{}, time.Now())
	}, ErrorLog: quietLog}
	go s.Serve(ln)
	return ln.Addr().String()
}

// tcpProxy forwards bytes from a free loopback port to a target.
type tcpProxy struct {
	addr   string
	target string
	mu     sync.Mutex
	cond   *sync.Cond
	mode   int
	conns  map[net.Conn]bool
}

func newProxy(target string) *tcpProxy {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	p := &tcpProxy{addr: ln.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	p.cond = sync.NewCond(&p.mu)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.handle(c)
		}
	}()
	return p
}

func (p *tcpProxy) set(mode int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == linkReset {
		for c := range p.conns {
			if t, ok := c.(*net.TCPConn); ok {
				t.SetLinger(0)
			}
			c.Close()
		}
		clear(p.conns)
	}
	p.cond.Broadcast()
}

func (p *tcpProxy) handle(c net.Conn) {
	p.mu.Lock()
	mode := p.mode
	p.mu.Unlock()
	if mode == linkHold { // an attempt during a cut never completes
		io.Copy(io.Discard, c)
		c.Close()
		return
	}
	if mode == linkReset {
		c.Close()
		return
	}
	d, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[d] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.copy(d, c) }()
	go func() { defer wg.Done(); p.copy(c, d) }()
	wg.Wait()
	c.Close()
	d.Close()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, d)
	p.mu.Unlock()
}

func (p *tcpProxy) copy(dst, src net.Conn) {
	buf := make([]byte, 32*1024)
	for {
		n, err := src.Read(buf)
		p.mu.Lock()
		for p.mode == linkHold {
			p.cond.Wait()
		}
		p.mu.Unlock()
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				src.Close()
				return
			}
		}
		if err != nil {
			if t, ok := dst.(*net.TCPConn); ok {
				t.CloseWrite()
			}
			return
		}
	}
}
