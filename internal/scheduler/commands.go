package scheduler

import (
	"log/slog"
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// commandBatches holds the commands that result from a scheduling cycle, by machine. Machines
// without a launch get their commands in the responses to their heartbeats.
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

// addLaunch adds a command to launch a bound task.
func (b *commandBatches) addLaunch(rec *statecache.Machine, binding *statecache.TaskBinding) {
	b.machines[rec.Name] = rec
	b.launches[rec.Name] = append(b.launches[rec.Name], wire.Command{Op: wire.OpLaunch, Task: binding.TaskID(), Attempt: binding.Attempt})
}

// addStop adds a command to stop a task without a grace period to save a checkpoint.
func (b *commandBatches) addStop(machine wire.MachineID, binding *statecache.TaskBinding) {
	grace := wire.Seconds(0)
	b.stops[machine] = append(b.stops[machine], wire.Command{Op: wire.OpStop, Task: binding.TaskID(), Attempt: binding.Attempt, GracePeriod: &grace})
}

// batch returns the commands for a machine, with the fencing token of its next record. Stops come
// first because they free the capacity for the launches.
func (b *commandBatches) batch(machine wire.MachineID) wire.CommandBatch {
	rec := b.machines[machine]
	return wire.CommandBatch{
		FencingToken: rec.FencingToken, Incarnation: rec.Incarnation,
		Commands: append(b.stops[machine], b.launches[machine]...),
	}
}

// launch sends the commands of a committed cycle, with the fencing tokens of the records that the
// cycle wrote, since a later record may already have stopped a task again. Lost or refused commands
// are repeated in the response to the worker's next heartbeat. If the commit took too long or this
// process was paused since, no commands are sent and all are left to these responses: a job may have
// been cancelled after its precondition was checked.
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
