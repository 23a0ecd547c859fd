package scheduler

import (
	"log/slog"
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// commandBatches is the commands that follow from a scheduling cycle, by machines. Those of
// machines without a launch are left to the answers to their heartbeats.
type commandBatches struct {
	launches map[wire.MachineID][]wire.Command
	stops    map[wire.MachineID][]wire.Command
	machines map[wire.MachineID]*statecache.Machine // the next records of the machines with launches
}

func newCommandBatches() commandBatches {
	return commandBatches{
		launches: map[wire.MachineID][]wire.Command{},
		stops:    map[wire.MachineID][]wire.Command{},
		machines: map[wire.MachineID]*statecache.Machine{},
	}
}

// addLaunch adds the launch of a task that is bound to a machine.
func (b *commandBatches) addLaunch(rec *statecache.Machine, binding *statecache.TaskBinding) {
	b.machines[rec.Name] = rec
	b.launches[rec.Name] = append(b.launches[rec.Name], wire.Command{Op: wire.OpLaunch, Task: binding.TaskID(), Attempt: binding.Attempt})
}

// addStop adds the stop of a task without a checkpoint.
func (b *commandBatches) addStop(machine wire.MachineID, binding *statecache.TaskBinding) {
	grace := wire.Seconds(0)
	b.stops[machine] = append(b.stops[machine], wire.Command{Op: wire.OpStop, Task: binding.TaskID(), Attempt: binding.Attempt, GracePeriod: &grace})
}

// batch is the commands for a machine, under the fencing token of its next record. Stops go
// first: they make room for the launches.
func (b *commandBatches) batch(machine wire.MachineID) wire.CommandBatch {
	rec := b.machines[machine]
	return wire.CommandBatch{
		FencingToken: rec.FencingToken, Incarnation: rec.Incarnation,
		Commands: append(b.stops[machine], b.launches[machine]...),
	}
}

// launch sends the commands of a committed cycle, under the fencing tokens of its own records:
// a later record may have stopped a task again. What is lost or refused is repeated when the
// worker sends a heartbeat. That is left to a heartbeat, too, if the commit took long, or this
// process stood still since: a job may have been cancelled after its precondition held.
func (s *Scheduler) launch(c *cycle) {
	if time.Since(c.now) > s.config.Params.Workers.MaxLaunchViewAge() {
		return
	}
	for machine, rec := range c.commands.machines {
		batch := c.commands.batch(machine)
		stops := len(c.commands.stops[machine])
		slog.Debug("commands dispatched", "machine", machine, "launches", len(batch.Commands)-stops, "stops", stops, "task", batch.Commands[stops].Task)
		go func() {
			response, err := s.workers.SendCommands(s.ctx, rec.Address, batch)
			if err != nil {
				slog.Debug("command response missing", "machine", machine, "error", err)
				s.Send(func() { s.backoff.avoidMachine(machine, time.Now()) })
				return
			}
			s.onCommandResponse(response)
		}()
	}
}
