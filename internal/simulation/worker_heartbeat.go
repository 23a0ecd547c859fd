package simulation

import (
	"context"
	"slices"
	"time"

	"lynxledge/wire"
)

// HeartbeatPoster hands a report to a controller; ok is false unless it answered 200.
type HeartbeatPoster func(ctx context.Context, rep *wire.Heartbeat) (reply wire.HeartbeatResponse, reportTo string, ok bool)

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

type heartbeatResult struct {
	reply      wire.HeartbeatResponse
	redirectTo string
	ok         bool
}

func (w *Worker) sendHeartbeats() {
	for {
		w.waitUntilResumed()
		w.mu.Lock()
		heartbeat := w.heartbeat()
		member := w.options.Members[w.member]
		w.mu.Unlock()
		sent := time.Now()
		result, err := send(w.ctx, w.options.Network, string(w.instance.ID), member, 4*time.Second, func() (heartbeatResult, error) {
			post := w.options.PostHeartbeat(member)
			if post == nil {
				return heartbeatResult{}, errNoAnswer
			}
			reply, to, ok := post(w.ctx, heartbeat)
			return heartbeatResult{reply, to, ok}, nil
		})
		wait := w.options.HeartbeatInterval
		w.waitUntilResumed()
		w.mu.Lock()
		switch {
		case err == nil && result.ok:
			if result.reply.FencingToken >= w.fencingToken && heartbeat.Incarnation == w.incarnation && time.Since(sent) < 4*time.Second {
				w.fencingToken = result.reply.FencingToken
				w.leaseRenewedAt = sent
				w.execute(result.reply.Commands)
			}
		case err == nil && slices.Contains(w.options.Members, result.redirectTo) && result.redirectTo != member:
			w.member = slices.Index(w.options.Members, result.redirectTo)
			wait = w.options.HeartbeatInterval / 6
		default:
			w.member = (w.member + 1) % len(w.options.Members)
			wait = time.Second
		}
		w.mu.Unlock()
		if !sleep(w.ctx, w.options.HeartbeatInterval/6) {
			return
		}
		select {
		case <-w.changed:
		case <-time.After(wait):
		case <-w.ctx.Done():
			return
		}
	}
}
