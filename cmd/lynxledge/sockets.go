package main

import (
	"math"

	"lynxledge/internal/config"
)

// Parts of a process's sockets. What they leave is for the state service, the cloud,
// the other controllers, and connections on their way out.
const (
	inboundShare      = 0.45 // users, workers and health checks
	idleCommandShare  = 0.30 // connections to workers kept for the next command
	busyCommandsShare = 0.15 // commands under way, each of which may take one more
)

// socketBudget divides a process's sockets among what it does, so that nothing that
// grows with the machines can take those that the rest needs.
type socketBudget struct {
	inbound      int
	idleCommands int
	busyCommands int
}

// socketsOf is the budget of a process. Without a limit nothing is bounded.
func socketsOf(resources config.Resources) socketBudget {
	if resources.FDLimit <= 0 {
		return socketBudget{inbound: math.MaxInt, idleCommands: math.MaxInt16, busyCommands: math.MaxInt16}
	}
	share := func(part float64) int {
		return max(1, int(part*float64(resources.FDLimit)))
	}
	return socketBudget{
		inbound:      share(inboundShare),
		idleCommands: share(idleCommandShare),
		busyCommands: share(busyCommandsShare),
	}
}
