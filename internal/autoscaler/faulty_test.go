package autoscaler

import (
	"fmt"
	"testing"
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// failureFixture is a leader with machines that each are the only one of their group, and three
// arrays whose tasks fail on them.
type failureFixture struct {
	*leaderFixture
	machines []wire.MachineID
	jobs     []wire.JobID
}

func withFailures(t *testing.T, machines int, test func(f *failureFixture)) {
	t.Helper()
	withLeader(t, 0, func(leader *leaderFixture) {
		f := &failureFixture{leaderFixture: leader}
		var puts []statecache.Put
		for i := range 3 {
			id := wire.JobID(fmt.Sprintf("req-00001%d", i))
			f.jobs = append(f.jobs, id)
			puts = append(puts, statecache.Put{Key: statecache.Key(statecache.KindJob, string(id)), Record: &statecache.Job{
				TaskCount: 50, SubmittedAt: statecache.TimestampOf(time.Now()), Spec: &wire.Job{ID: id, Team: "red", Kind: wire.KindArray, TaskCount: 50, CPUs: 1, MemoryGB: 1, EstimatedRuntime: 50},
			}})
		}
		f.cache.Commit(statecache.Commit{Puts: puts}, func(statecache.Outcome) {})
		for i := range machines {
			f.machines = append(f.machines, wire.MachineID(fmt.Sprintf("i-%06d", i)))
			f.write(f.machines[i], nil, nil)
		}
		test(f)
	})
}

// write writes a machine's group with the given bindings and terminations, and lets a second pass.
func (f *failureFixture) write(machine wire.MachineID, bindings []statecache.TaskBinding, terminations []statecache.Termination) {
	m := &statecache.Machine{Name: machine, Address: "x:1", Incarnation: 1, FencingToken: 9, Bindings: bindings}
	f.cache.Commit(statecache.Commit{Puts: []statecache.Put{{Key: statecache.Key(statecache.KindMachineGroup, string(machine)), Record: &statecache.MachineGroup{
		MachineType: "s", Zone: "a", Machines: []*statecache.Machine{m}, Terminations: terminations,
	}}}}, func(statecache.Outcome) {})
	f.advance(time.Second)
}

// fail records that a task of a job failed on a machine.
func (f *failureFixture) fail(machine wire.MachineID, job wire.JobID, bindings ...statecache.TaskBinding) {
	f.write(machine, bindings, []statecache.Termination{{Machine: machine, Job: job, Reason: wire.ReasonError}})
}

// advance lets time pass in which heartbeats of all machines arrive.
func (f *failureFixture) advance(duration time.Duration) {
	for range duration / time.Second {
		time.Sleep(time.Second)
		f.autoscaler.MachinesReachable(f.machines)
	}
}

// drained reports whether a machine is drained or about to be.
func (f *failureFixture) drained(machine wire.MachineID) bool {
	drained := make(chan bool)
	f.autoscaler.Send(func() {
		m := f.autoscaler.view.Machines[machine]
		drained <- m != nil && m.DrainReason == drainReasonFaulty || f.autoscaler.updates.pending[machine].drainReason == drainReasonFaulty
	})
	return <-drained
}

// Jobs that fail on every machine say nothing about one. Guards against jobs with a mistake that
// have machine after machine taken for faulty and returned, on which no task ever completes.
func TestJobsThatFailEverywhereBlameNoMachine(t *testing.T) {
	withFailures(t, 8, func(f *failureFixture) {
		drained := 0
		for _, machine := range f.machines {
			for _, job := range f.jobs {
				f.fail(machine, job)
			}
			if f.drained(machine) {
				drained++
			}
		}
		if drained != 2 { // of two in a row both may be faulty
			t.Errorf("%d of %d machines are drained", drained, len(f.machines))
		}
		f.cache.Commit(statecache.Commit{Puts: []statecache.Put{
			{Key: statecache.Key(statecache.KindJob, string(f.jobs[0])), Record: &statecache.Job{TaskCount: 50, State: wire.JobCancelled}},
		}}, func(statecache.Outcome) {})
		f.advance(time.Second)
		last := f.machines[len(f.machines)-1]
		if f.fail(last, f.jobs[1]); f.drained(last) {
			t.Error("a machine is drained once one of the jobs is cancelled")
		}
	})
}

// A replica that was placed on a machine after failures and runs on ends them. Guards against
// failures far apart that add up on a machine on which no task ever completes.
func TestReplicaEndsTheFailuresOfItsMachine(t *testing.T) {
	for _, runs := range []time.Duration{2 * time.Second, time.Minute} {
		withFailures(t, 1, func(f *failureFixture) {
			machine := f.machines[0]
			replica := statecache.TaskBinding{Job: "req-000001", Attempt: 9}
			f.fail(machine, f.jobs[0])
			f.fail(machine, f.jobs[1])
			f.write(machine, []statecache.TaskBinding{replica}, nil)
			f.advance(runs)
			f.fail(machine, f.jobs[2], replica)
			if want := runs < time.Minute; f.drained(machine) != want {
				t.Errorf("after %v: drained %v, want %v", runs, !want, want)
			}
		})
	}
}
