package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/connlimit"
	"lynxledge/internal/simulation"
)

// countingListener counts its open connections.
type countingListener struct {
	net.Listener
	open, peak atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if open := l.open.Add(1); open > l.peak.Load() {
		l.peak.Store(open)
	}
	return &countedConn{Conn: conn, listener: l}, nil
}

type countedConn struct {
	net.Conn
	listener *countingListener
	closed   atomic.Bool
}

func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}

// sendHeartbeatRound sends a heartbeat from each client, with health checks on new connections in
// between, and counts the requests that fail.
func sendHeartbeatRound(clients []*http.Client, dial func(ctx context.Context, network, address string) (net.Conn, error), failed *atomic.Int64) {
	post := func(client *http.Client) {
		response, err := client.Post("http://n0:8080/hello", "application/json", bytes.NewReader([]byte("{}")))
		if err != nil {
			failed.Add(1)
			return
		}
		response.Body.Close()
	}
	for i, client := range clients {
		go post(client)
		if i%100 == 0 {
			go post(&http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}})
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
}

// More machines than a controller has sockets keep their connections open as long as the server
// lets them. Every heartbeat and health check is still answered, and inbound connections stay
// within their share of the sockets.
func TestMoreMachinesThanSockets(t *testing.T) {
	const machines, rounds, idleConnections = 1400, 3, 100 // machines: more than a third of 4,000, the share of one of three controllers
	resources := config.ControllerResources{FileDescriptorLimit: 800}
	synctest.Test(t, func(t *testing.T) {
		connections := simulation.NewConnections(simulation.NewNetwork(1, 0))
		listener := &countingListener{Listener: connections.Listen("n0", "n0:8080")}
		limiter := connlimit.New(newSocketBudget(resources).inbound)
		server := &http.Server{
			Handler:   limiter.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}") })),
			ConnState: limiter.ConnState,
		}
		go server.Serve(listener)
		dial := connections.Dial("user")
		for range idleConnections { // clients that connect and send nothing
			if _, err := dial(t.Context(), "tcp", "n0:8080"); err != nil {
				t.Fatal(err)
			}
		}
		var failed atomic.Int64
		clients := make([]*http.Client, machines)
		for i := range clients {
			clients[i] = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DialContext: dial}}
		}
		for round := range rounds {
			sendHeartbeatRound(clients, dial, &failed)
			if n := failed.Load(); n > 0 {
				t.Errorf("round %d: %d requests failed", round, n)
			}
		}
		// For a moment a new connection is open together with the one that is closed for it.
		if peak := listener.peak.Load(); peak > int64(newSocketBudget(resources).inbound)+1 {
			t.Errorf("%d connections were open", peak)
		}
		server.Shutdown(context.Background())
		for _, client := range clients {
			client.CloseIdleConnections()
		}
		connections.Crash("n0")
		time.Sleep(time.Minute)
	})
}

// The budget leaves a reserve of sockets for the store, the cloud and the other controllers, also
// when the limit is low.
func TestSocketBudgetLeavesAReserve(t *testing.T) {
	for _, limit := range []int{20, 100, 800, 5000} {
		sockets := newSocketBudget(config.ControllerResources{FileDescriptorLimit: limit})
		if reserve := limit - sockets.inbound - sockets.idleWorkerConnections - sockets.inFlightCommands; reserve < limit/10 {
			t.Errorf("%d of %d sockets left", reserve, limit)
		}
	}
}

// Connections use a bounded share of a small memory. The memory does not reduce the budget where
// the limit of sockets is already lower.
func TestSocketBudgetKeepsToTheMemory(t *testing.T) {
	ample := newSocketBudget(config.ControllerResources{FileDescriptorLimit: 4000, MemoryMB: 1000})
	small := newSocketBudget(config.ControllerResources{FileDescriptorLimit: 4000, MemoryMB: 70})
	used := float64(small.inbound*inboundConnectionBytes+small.idleWorkerConnections*idleWorkerConnectionBytes) / (70 << 20)
	if used > inboundMemoryShare+idleWorkerConnectionMemoryShare {
		t.Errorf("connections take %.2f of 70 MB", used)
	}
	if small.inbound >= ample.inbound || small.idleWorkerConnections >= ample.idleWorkerConnections {
		t.Errorf("%+v with 70 MB, %+v with 1000", small, ample)
	}
	few := config.ControllerResources{FileDescriptorLimit: 800, MemoryMB: 49}
	if got, want := newSocketBudget(few), newSocketBudget(config.ControllerResources{FileDescriptorLimit: 800}); got != want {
		t.Errorf("%+v with 49 MB and 800 sockets, %+v without a limit of memory", got, want)
	}
}
