package main

import (
	"math"

	"lynxledge/internal/config"
)

// Shares of a process's sockets. The rest is for connections to the store, the cloud and the other
// controllers, and for connections that are being closed.
const (
	inboundShare              = 0.45 // connections from users, workers and health checks
	idleWorkerConnectionShare = 0.30 // idle connections to workers, kept for the next command
	inFlightCommandShare      = 0.15 // commands in flight, each of which may take one more socket
)

// Shares of a process's memory that open connections may use, and the measured memory of one
// connection: its buffers and stacks.
const (
	inboundMemoryShare              = 0.20
	idleWorkerConnectionMemoryShare = 0.15
	inboundConnectionBytes          = 16 << 10
	idleWorkerConnectionBytes       = 20 << 10
)

// socketBudget divides a process's sockets among their uses, so that those that grow with the
// number of machines can't take the sockets or the memory that the others need.
type socketBudget struct {
	inbound               int
	idleWorkerConnections int
	inFlightCommands      int
}

// newSocketBudget returns the budget of a process. A limit of 0 bounds nothing.
func newSocketBudget(resources config.ControllerResources) socketBudget {
	sockets := socketBudget{inbound: math.MaxInt, idleWorkerConnections: math.MaxInt16, inFlightCommands: math.MaxInt16}
	if limit := float64(resources.FileDescriptorLimit); limit > 0 {
		sockets.inbound = int(inboundShare * limit)
		sockets.idleWorkerConnections = int(idleWorkerConnectionShare * limit)
		sockets.inFlightCommands = int(inFlightCommandShare * limit)
	}
	if memory := resources.MemoryMB * (1 << 20); memory > 0 {
		sockets.inbound = min(sockets.inbound, int(inboundMemoryShare*memory/inboundConnectionBytes))
		sockets.idleWorkerConnections = min(sockets.idleWorkerConnections, int(idleWorkerConnectionMemoryShare*memory/idleWorkerConnectionBytes))
	}
	return socketBudget{
		inbound:               max(1, sockets.inbound),
		idleWorkerConnections: max(1, sockets.idleWorkerConnections),
		inFlightCommands:      max(1, sockets.inFlightCommands),
	}
}
