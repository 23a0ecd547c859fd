package jobhealth

import (
	"slices"
	"testing"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

var testLimits = TrialLimits{Min: 24 * time.Second, OnOneMachine: 33 * time.Second}

// failuresOn returns failures of tasks that ran for the given time, one on each machine, up to now.
func failuresOn(now time.Time, run time.Duration, machines ...wire.MachineID) *Failures {
	f := &Failures{}
	for _, machine := range machines {
		f.Add(&statecache.Termination{Machine: machine, Reason: wire.ReasonError, Runtime: wire.Seconds(run.Seconds())}, now)
	}
	return f
}

// A task outlives failed ones by running for twice as long as they did, for the minimum at least, and
// besides for as long as its image may take. On a single machine the trial is limited.
func TestTrial(t *testing.T) {
	now := time.Now()
	one, several := []wire.MachineID{"i-1", "i-1", "i-1"}, []wire.MachineID{"i-1", "i-2", "i-3"}
	for _, c := range []struct {
		machines   []wire.MachineID
		run, fetch time.Duration
		trial      time.Duration
	}{
		{one, time.Second, 0, 24 * time.Second},
		{one, time.Second, 10 * time.Second, 39 * time.Second},
		{one, 15 * time.Second, 0, 30 * time.Second},
		{one, 5 * time.Minute, 0, 33 * time.Second},
		{several, time.Second, 0, 24 * time.Second},
		{several, 5 * time.Minute, 0, 10 * time.Minute},
		{several, 5 * time.Minute, 10 * time.Second, 10*time.Minute + 15*time.Second},
	} {
		f := failuresOn(now, c.run, c.machines...)
		for _, age := range []time.Duration{c.trial - time.Millisecond, c.trial} {
			tasks := slices.Values([]BoundTask{{Since: now, FetchTime: c.fetch}})
			want := Unknown
			if age == c.trial {
				want = Recovered
			}
			if got := f.Judge(tasks, testLimits, now.Add(age)); got != want {
				t.Errorf("%+v after %v: verdict %d, want %d", c, age, got, want)
			}
		}
	}
}

// A task that was bound before the last failure shows that the job is sound, but its failures go on;
// a later one that outlived them ends them. So does one that was bound after a refusal.
func TestVerdictDependsOnTheLastFailure(t *testing.T) {
	now := time.Now()
	f := failuresOn(now, 0, "i-1")
	before, after := BoundTask{Since: now.Add(-time.Second)}, BoundTask{Since: now.Add(time.Second)}
	later := now.Add(time.Minute)
	for _, c := range []struct {
		tasks []BoundTask
		want  Verdict
	}{{nil, Unknown}, {[]BoundTask{before}, Sound}, {[]BoundTask{after}, Recovered}, {[]BoundTask{before, after}, Recovered}} {
		if got := f.Judge(slices.Values(c.tasks), testLimits, later); got != c.want {
			t.Errorf("%v: verdict %d, want %d", c.tasks, got, c.want)
		}
	}
	f.AddRefusal(now.Add(2 * time.Second))
	if got := f.Judge(slices.Values([]BoundTask{after}), testLimits, later); got != Sound {
		t.Errorf("verdict %d after a refusal", got)
	}
}

// The number of failures makes a job suspect, that of the machines tells how likely it is at fault.
func TestFailuresOnMachines(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		machines                        []wire.MachineID
		suspected, repeated, everywhere bool
	}{
		{[]wire.MachineID{"i-1", "i-1"}, false, false, false},
		{[]wire.MachineID{"i-1", "i-1", "i-1"}, true, false, false},
		{[]wire.MachineID{"i-1", "i-1", "i-2"}, true, true, false},
		{[]wire.MachineID{"i-1", "i-2", "i-3"}, true, true, true},
	} {
		f := failuresOn(now, 0, c.machines...)
		if f.Suspected() != c.suspected || f.Repeated() != c.repeated || f.Everywhere() != c.everywhere {
			t.Errorf("%v: suspected %v, repeated %v, everywhere %v", c.machines, f.Suspected(), f.Repeated(), f.Everywhere())
		}
	}
}

// The limits of the trial follow from the settings.
func TestTrialLimits(t *testing.T) {
	cfg := &config.Config{Operator: config.DefaultOperatorSettings()}
	cfg.Params.Workers = config.WorkerTimings{HeartbeatInterval: 8 * time.Second, LeaseDuration: 44 * time.Second}
	if got := TrialLimitsOf(cfg); got != testLimits {
		t.Errorf("%+v", got)
	}
}
