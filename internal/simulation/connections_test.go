package simulation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A dial that is never accepted leaks no goroutine. One that did would make synctest panic over
// blocked goroutines when a controller crashes while another dials it.
func TestUnacceptedDialLeaksNoGoroutine(t *testing.T) {
	for name, end := range map[string]func(connections *Connections, cancel context.CancelFunc){
		"the listener is closed": func(connections *Connections, _ context.CancelFunc) { connections.Crash("b") },
		"the dialer gives up":    func(_ *Connections, cancel context.CancelFunc) { cancel() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { // fails if a goroutine is left blocked
				connections := NewConnections(NewNetwork(1, time.Millisecond))
				connections.Listen("b", "b:1")
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				time.AfterFunc(time.Second, func() { end(connections, cancel) })
				if conn, err := connections.Dial("a")(ctx, "tcp", "b:1"); err == nil {
					t.Errorf("connected: %v", conn)
				}
			})
		})
	}
}
