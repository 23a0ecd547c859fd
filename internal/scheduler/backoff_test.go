package scheduler

import (
	"testing"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// The delay of a job is at most a lease, however often its tasks have failed, so that it doesn't
// wait for long while machines have capacity.
func TestBackoffIsBounded(t *testing.T) {
	withScheduler(t, map[string]int{"a": 1}, func(_ *statecache.Cache, s *Scheduler) {
		inActor(s, func() {
			now := time.Now()
			delay := func() time.Duration { return s.backoff.failures["req-000001"].until.Sub(now) }
			for range 20 {
				now = now.Add(time.Minute) // after the delay
				s.backoff.recordFailure(&statecache.Termination{Job: "req-000001", Machine: "i-a000", Reason: wire.ReasonError}, now)
				if delay() > 44*time.Second {
					t.Errorf("delay of %v, longer than the lease duration", delay())
				}
			}
			if delay() != 44*time.Second {
				t.Errorf("delay of %v after 20 failures, want the lease duration", delay())
			}
		})
	})
}

// Tasks that fail together delay their job once, however many they are. Guards against a wait of a
// lease after the failure of one machine.
func TestTasksThatFailTogetherDelayTheirJobOnce(t *testing.T) {
	workers := config.WorkerTimings{HeartbeatInterval: 8 * time.Second, LeaseDuration: 44 * time.Second}
	b := newBackoff(workers)
	now := time.Now()
	failAt := func(now time.Time) {
		for range 20 {
			b.recordFailure(&statecache.Termination{Job: "req-000001", Machine: "i-1", Reason: wire.ReasonError}, now)
		}
	}
	for _, delay := range []time.Duration{4 * time.Second, 8 * time.Second, 16 * time.Second} {
		failAt(now)
		failAt(now.Add(delay - time.Second))
		if b.delays("req-000001", now.Add(delay)) || !b.delays("req-000001", now.Add(delay-time.Millisecond)) {
			t.Errorf("the delay is not %v", delay)
		}
		now = now.Add(delay)
	}
}

// After a refusal for insufficient capacity the machine is avoided; failures delay the job, whose
// tasks are tried one at a time after some of them. A success ends the delay.
func TestBackoffFollowsTheReason(t *testing.T) {
	workers := config.WorkerTimings{HeartbeatInterval: 8 * time.Second, LeaseDuration: 44 * time.Second}
	b := newBackoff(workers)
	now := time.Now()
	end := func(machine wire.MachineID, reason wire.ExitReason) {
		b.observe([]statecache.Termination{{Machine: machine, Job: "req-000001", Reason: reason}}, now)
	}
	end("i-1", wire.ReasonInsufficientCapacity)
	if !b.avoids("i-1", now) || b.avoids("i-1", now.Add(8*time.Second)) || b.delays("req-000001", now) {
		t.Error("after a refusal the machine is not avoided for just one heartbeat interval, or the job is delayed")
	}
	for i := range 3 {
		if b.holdsBack("req-000001") {
			t.Errorf("held back after %d failures", i)
		}
		end("i-2", wire.ReasonError)
	}
	if !b.holdsBack("req-000001") || !b.delays("req-000001", now) || b.avoids("i-2", now) {
		t.Error("failures don't delay the job")
	}
	nodes := []*placement.Node{{Name: "i-1"}, {Name: "i-2"}, {Name: "i-3"}}
	if got := b.withoutFailed("req-000001", nodes); len(got) != 1 || got[0] != nodes[2] {
		t.Errorf("%d nodes without failures", len(got))
	}
	if got := b.withoutFailed("req-000001", nodes[:2]); len(got) != 2 {
		t.Errorf("%d nodes left where the job has failed on all", len(got))
	}
	end("i-3", wire.ReasonCompleted)
	if b.delays("req-000001", now) || b.holdsBack("req-000001") {
		t.Error("delayed after a success")
	}
}

// A replica is placed on the node that refused it if the zones of the other replicas allow no other
// node. Guards against replicas that wait forever despite free capacity after one refusal.
func TestFailedNodeIsUsedWhenZonesLeaveNoOther(t *testing.T) {
	f := newMoveFixture()
	f.bindTo("i-b2", "b", "")
	f.backoff.recordFailure(&statecache.Termination{Job: blockedService, Machine: "i-b2", Reason: wire.ReasonInsufficientCapacity}, f.now)
	f.now = f.now.Add(f.config.Params.Workers.Heartbeats(1) + time.Second) // no machine is avoided any more
	c := f.plan()
	if c.placed[blockedService] != 1 || len(c.commands.stops) > 0 {
		t.Errorf("placed %v, stopped %v", c.placed, c.commands.stops)
	}
}
