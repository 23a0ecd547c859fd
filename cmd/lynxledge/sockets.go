package main

import (
	"math"

	"lynxledge/internal/config"
)

// Parts of a process's sockets. What they leave is for the store, the cloud,
// the other controllers, and connections on their way out.
const (
	inboundShare      = 0.45 // users, workers and health checks
	idleCommandShare  = 0.30 // connections to workers kept for the next command
	busyCommandsShare = 0.15 // commands under way, each of which may take one more
)

// Parts of a process's memory that open connections may take, and what one takes, as
// measured: buffers and stacks.
const (
	inboundMemoryShare     = 0.20
	idleCommandMemoryShare = 0.15
	inboundBytes           = 16 << 10
	idleCommandBytes       = 20 << 10
)

// socketBudget divides a process's sockets among what it does, so that nothing that
// grows with the machines can take the sockets or the memory that the rest needs.
type socketBudget struct {
	inbound      int
	idleCommands int
	busyCommands int
}

// newSocketBudget is the budget of a process. Without a limit nothing is bounded.
func newSocketBudget(resources config.ControllerResources) socketBudget {
	sockets := socketBudget{inbound: math.MaxInt, idleCommands: math.MaxInt16, busyCommands: math.MaxInt16}
	if limit := float64(resources.FileDescriptorLimit); limit > 0 {
		sockets.inbound = int(inboundShare * limit)
		sockets.idleCommands = int(idleCommandShare * limit)
		sockets.busyCommands = int(busyCommandsShare * limit)
	}
	if memory := resources.MemoryMB * (1 << 20); memory > 0 {
		sockets.inbound = min(sockets.inbound, int(inboundMemoryShare*memory/inboundBytes))
		sockets.idleCommands = min(sockets.idleCommands, int(idleCommandMemoryShare*memory/idleCommandBytes))
	}
	return socketBudget{
		inbound:      max(1, sockets.inbound),
		idleCommands: max(1, sockets.idleCommands),
		busyCommands: max(1, sockets.busyCommands),
	}
}
