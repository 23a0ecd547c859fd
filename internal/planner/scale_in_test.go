package planner

import (
	"slices"
	"testing"

	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// Idle machines are scaled in within two planning cycles of the end of a billing period, unless
// a demand needs them.
func TestIdleMachinesAreScaledInNearEndOfBillingPeriod(t *testing.T) {
	pool := resources.Pool{MachineType: "s", Zone: "a"}
	in := testInput()
	in.Machines = []Machine{
		{Name: "early", Pool: pool, AgeSeconds: 49, Schedulable: true},
		{Name: "idle", Pool: pool, AgeSeconds: 50, Schedulable: true},
		{Name: "busy", Pool: pool, AgeSeconds: 50, Schedulable: true, Tasks: []RunningTask{{testJob(1, false), 10}}},
		{Name: "drained", Pool: pool, AgeSeconds: 50},
	}
	if got := Compute(in).ScaleIn; !slices.Equal(got, []wire.MachineID{"idle"}) {
		t.Errorf("scaled in: %v", got)
	}
	in.Demands = []Demand{{Job: testJob(4, false), Count: 2, DeadlineSeconds: 10, RuntimeSeconds: 25}}
	if got := Compute(in).ScaleIn; len(got) != 0 {
		t.Errorf("scaled in with %d tasks waiting: %v", 2, got)
	}
}
