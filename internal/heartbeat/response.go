package heartbeat

import "lynxledge/wire"

// Outcome is what becomes of a heartbeat.
type Outcome uint8

// The outcomes.
const (
	Refused    Outcome = iota // neither accepted, nor is another controller known that might
	Accepted                  // the lease is renewed
	Redirected                // the worker is to turn to another controller
)

// Response answers a heartbeat.
type Response struct {
	Outcome    Outcome
	Body       wire.HeartbeatResponse // of an accepted heartbeat
	RedirectTo string                 // the member that a worker is redirected to
}

// refused is the response that renews no lease and redirects to nobody.
func refused() Response { return Response{Outcome: Refused} }

// redirected sends a worker to another controller, or refuses its heartbeat if member is empty.
func redirected(member string) Response {
	if member == "" {
		return refused()
	}
	return Response{Outcome: Redirected, RedirectTo: member}
}

// accepted renews a worker's lease under the machine's fencing token.
func accepted(fencingToken uint64, commands []wire.Command) Response {
	return Response{Outcome: Accepted, Body: wire.HeartbeatResponse{FencingToken: fencingToken, Commands: commands}}
}
