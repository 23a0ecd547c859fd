package simulation

import (
	"context"
	"slices"
	"time"

	"lynxledge/wire"
)

// requestTimeout is how long a worker waits for the response to a heartbeat.
const requestTimeout = 4 * time.Second

// HeartbeatPoster sends a heartbeat to a controller; ok reports whether the status was 200. If not,
// redirectTo names the member to send to instead, if there is one.
type HeartbeatPoster func(ctx context.Context, heartbeat *wire.Heartbeat) (response wire.HeartbeatResponse, redirectTo string, ok bool)

// heartbeat returns the next heartbeat; the caller holds the lock.
func (w *Worker) heartbeat() *wire.Heartbeat {
	w.sequence++
	heartbeat := &wire.Heartbeat{
		Machine: w.instance.ID, Address: w.instance.Address, MachineType: w.instance.MachineType, Zone: w.instance.Zone, Spot: w.instance.Spot,
		Incarnation: w.incarnation, Sequence: w.sequence, FencingToken: w.fencingToken, PreemptionNotice: w.preemptionNotice,
	}
	for _, t := range w.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, t.TaskStatus)
	}
	return heartbeat
}

// heartbeatResult is what a HeartbeatPoster returned.
type heartbeatResult struct {
	response   wire.HeartbeatResponse
	redirectTo string
	ok         bool
}

// sendHeartbeats sends a heartbeat each interval and after changes, until the machine stops.
func (w *Worker) sendHeartbeats() {
	for {
		w.waitUntilResumed()
		w.mu.Lock()
		heartbeat := w.heartbeat()
		member := w.options.Members[w.memberIndex]
		w.mu.Unlock()
		sentAt := time.Now()
		result, err := w.sendHeartbeat(member, heartbeat)
		w.waitUntilResumed()
		w.mu.Lock()
		wait := w.options.HeartbeatInterval
		switch {
		case err == nil && result.ok:
			w.accept(result.response, heartbeat.Incarnation, sentAt)
		case err == nil && slices.Contains(w.options.Members, result.redirectTo) && result.redirectTo != member:
			w.memberIndex = slices.Index(w.options.Members, result.redirectTo)
			wait = w.options.HeartbeatInterval / 6
		default:
			w.memberIndex = (w.memberIndex + 1) % len(w.options.Members)
			wait = time.Second
		}
		w.mu.Unlock()
		if !w.waitForNextHeartbeat(wait) {
			return
		}
	}
}

func (w *Worker) sendHeartbeat(member string, heartbeat *wire.Heartbeat) (heartbeatResult, error) {
	return send(w.ctx, w.options.Network, string(w.instance.ID), member, requestTimeout, func() (heartbeatResult, error) {
		post := w.options.PostHeartbeat(member)
		if post == nil {
			return heartbeatResult{}, ErrNoResponse
		}
		response, redirectTo, ok := post(w.ctx, heartbeat)
		return heartbeatResult{response, redirectTo, ok}, nil
	})
}

// accept renews the lease and executes the commands of a response, unless the response is from a
// former leader, is for an earlier incarnation or came too late; the caller holds the lock.
func (w *Worker) accept(response wire.HeartbeatResponse, incarnation uint64, sentAt time.Time) {
	if response.FencingToken >= w.fencingToken && incarnation == w.incarnation && time.Since(sentAt) < requestTimeout {
		w.fencingToken = response.FencingToken
		w.leaseRenewedAt = sentAt
		w.execute(response.Commands)
	}
}

// waitForNextHeartbeat waits a sixth of the interval, and then until a change, for at most wait. It
// returns false once the machine has stopped.
func (w *Worker) waitForNextHeartbeat(wait time.Duration) bool {
	if !sleep(w.ctx, w.options.HeartbeatInterval/6) {
		return false
	}
	select {
	case <-w.changed:
		return true
	case <-time.After(wait):
		return true
	case <-w.ctx.Done():
		return false
	}
}
