package reconcile

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "lynxledge/internal/rapidseed"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// A bound task counts as terminated only if its attempt exited, the incarnation is later, or the
// attempt is absent and the fencing token reaches its stop token. A terminated task is never
// launched by the same response, and a task of a cancelled job is never launched.
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

// isCertain reports whether a heartbeat proves that a bound task has terminated. exited and absent
// tell whether the heartbeat reports its attempt as exited, or lacks it.
func isCertain(rec *statecache.Machine, heartbeat *wire.Heartbeat, binding statecache.TaskBinding, exited, absent bool) bool {
	if heartbeat.Incarnation != rec.Incarnation {
		return heartbeat.Incarnation > rec.Incarnation
	}
	return exited || absent && binding.StopToken > 0 && heartbeat.FencingToken >= binding.StopToken
}

// genStatus draws a status of a task, for the bound attempt or for the previous one.
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
