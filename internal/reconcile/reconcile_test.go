package reconcile

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "lynxledge/internal/rapidseed"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Only an exited task, a later incarnation, or absence under a fencing token shows that a bound
// task has terminated; what has terminated is never launched by the same answer, and cancelled
// work is never launched at all.
func TestOnlyCertainTerminations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rec := &statecache.Machine{Incarnation: 2, FencingToken: 50}
		heartbeat := &wire.Heartbeat{Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")), FencingToken: uint64(rapid.IntRange(30, 60).Draw(t, "fencingToken"))}
		cancelled := map[wire.JobID]bool{}
		statuses := map[wire.TaskID]wire.TaskStatus{}
		for i := range rapid.IntRange(1, 6).Draw(t, "tasks") {
			binding := statecache.TaskBinding{Job: wire.JobID(fmt.Sprintf("req-%06d", i)), Attempt: 7}
			if rapid.Bool().Draw(t, "stopped") {
				binding.StopToken = uint64(rapid.IntRange(31, 50).Draw(t, "stopToken"))
			}
			cancelled[binding.Job] = rapid.Bool().Draw(t, "cancelled")
			rec.Bindings = append(rec.Bindings, binding)
			if rapid.Bool().Draw(t, "reported") {
				status := genStatus(t, binding.TaskID())
				statuses[status.Task] = status
				heartbeat.Tasks = append(heartbeat.Tasks, status)
			}
		}
		result := Heartbeat(rec, heartbeat, func(job wire.JobID) bool { return !cancelled[job] })
		terminated := map[wire.TaskID]bool{}
		for _, termination := range result.Terminated {
			terminated[termination.TaskID()] = true
		}
		launched := map[wire.TaskID]bool{}
		for _, command := range result.Commands {
			if command.Op == wire.OpLaunch {
				launched[command.Task] = true
			}
		}
		for _, binding := range rec.Bindings {
			status, seen := statuses[binding.TaskID()]
			same := seen && status.Attempt == binding.Attempt
			certain := isCertain(rec, heartbeat, binding, same && status.State == wire.TaskExited, !same)
			if terminated[binding.TaskID()] != certain {
				t.Fatalf("%+v with %+v: terminated is %v", binding, status, terminated[binding.TaskID()])
			}
			if launched[binding.TaskID()] && (certain || cancelled[binding.Job] || binding.StopToken > 0 || same || heartbeat.Incarnation != rec.Incarnation) {
				t.Fatalf("%+v with %+v launched", binding, status)
			}
		}
	})
}

// isCertain tells whether a heartbeat shows that a bound task has terminated: its attempt has
// exited, or is absent.
func isCertain(rec *statecache.Machine, heartbeat *wire.Heartbeat, binding statecache.TaskBinding, exited, absent bool) bool {
	if heartbeat.Incarnation != rec.Incarnation {
		return heartbeat.Incarnation > rec.Incarnation
	}
	return exited || absent && binding.StopToken > 0 && heartbeat.FencingToken >= binding.StopToken
}

// genStatus draws the status of the bound attempt of a task, or of the one before.
func genStatus(t *rapid.T, task wire.TaskID) wire.TaskStatus {
	status := wire.TaskStatus{
		Task:    task,
		Attempt: uint64(rapid.IntRange(6, 7).Draw(t, "attempt")),
		State:   rapid.SampledFrom([]wire.TaskState{wire.TaskFetchingImage, wire.TaskRunning, wire.TaskExited}).Draw(t, "state"),
	}
	if status.State == wire.TaskExited {
		status.ExitReason = wire.ReasonCompleted
	}
	return status
}
