package heartbeat

import "lynxledge/wire"

// Outcome is the result of handling a heartbeat.
type Outcome uint8

// Outcomes of a heartbeat.
const (
	Refused    Outcome = iota // the lease is not renewed and the worker is not redirected
	Accepted                  // the lease is renewed
	Redirected                // the worker should send its heartbeats to another controller
)

// Response is the response to a heartbeat.
type Response struct {
	Outcome    Outcome
	Body       wire.HeartbeatResponse // set if the heartbeat was accepted
	RedirectTo string                 // the member that the worker is redirected to
}

// refused returns the response that neither renews the lease nor redirects the worker.
func refused() Response { return Response{Outcome: Refused} }

// redirected returns the response that redirects a worker to a member; refused if member is empty.
func redirected(member string) Response {
	if member == "" {
		return refused()
	}
	return Response{Outcome: Redirected, RedirectTo: member}
}

// accepted returns the response that renews a worker's lease, with the machine's fencing token.
func accepted(fencingToken uint64, commands []wire.Command) Response {
	return Response{Outcome: Accepted, Body: wire.HeartbeatResponse{FencingToken: fencingToken, Commands: commands}}
}
