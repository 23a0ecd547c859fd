package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// After a slow commit, or a pause of the process since, the scheduler sends no commands: the job
// may have been cancelled meanwhile.
func TestNoLaunchLongAfterTheCycle(t *testing.T) {
	withScheduler(t, map[string]int{"a": 1}, func(_ *statecache.Cache, s *Scheduler) {
		launched := func(ago time.Duration) (n int) {
			sent := make(commandRecorder, 1)
			inActor(s, func() {
				s.workers = sent
				rec := &statecache.Machine{Name: "i-a000", Address: "x:1", Incarnation: 1, FencingToken: 10}
				s.launch(&cycle{now: time.Now().Add(-ago), commands: commandBatches{
					machines: map[wire.MachineID]*statecache.Machine{"i-a000": rec},
					launches: map[wire.MachineID][]wire.Command{"i-a000": {{Op: wire.OpLaunch, Task: "req-000001/7", Attempt: 10}}},
				}})
			})
			synctest.Wait()
			return len(sent)
		}
		if launched(time.Second) != 1 || launched(7*time.Second) != 0 {
			t.Error("want a launch one second after the cycle began, and none after seven")
		}
	})
}

// commandRecorder records the commands sent to workers.
type commandRecorder chan wire.CommandBatch

func (r commandRecorder) SendCommands(_ context.Context, _ string, batch wire.CommandBatch) (*wire.Heartbeat, error) {
	r <- batch
	return nil, context.Canceled
}
