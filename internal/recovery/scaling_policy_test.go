package recovery

import (
	"fmt"
	"testing"
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/internal/zonehealth"
	"lynxledge/wire"
)

var scalingTestPolicy = zonehealth.Policy{AdmissionSteps: []float64{0.25, 0.5, 1}, StepDuration: 5 * time.Second, MaxHoldDown: time.Minute}

// notAdmitted returns how many of a zone's twelve machines are not admitted yet, by the seconds
// until they are.
func notAdmitted(now time.Time, zone statecache.ZoneRecovery) map[float64]int {
	view := statecache.NewUnfinishedView(8)
	zone.Zone = "a"
	view.ZoneRecoveries = &statecache.ZoneRecoveries{Zones: []statecache.ZoneRecovery{zone}}
	for i := range 12 {
		name := wire.MachineID(fmt.Sprintf("i-%02d", i))
		view.Machines[name] = &statecache.Machine{Name: name, Zone: "a", Incarnation: 1}
		view.Machines["b-"+name] = &statecache.Machine{Name: "b-" + name, Zone: "b", Incarnation: 1}
	}
	counts := map[float64]int{}
	for _, seconds := range (&ScalingPolicy{policy: scalingTestPolicy}).SecondsUntilAdmitted(now, view) {
		counts[seconds]++
	}
	return counts
}

// Machines of a returning zone are admitted by one of its steps, those of a lost zone once
// MaxHoldDown has passed, and those of other zones are admitted now.
func TestSecondsUntilAdmitted(t *testing.T) {
	now := time.Unix(1000, 0)
	lost := statecache.TimestampOf(now.Add(-20 * time.Second))
	for _, c := range []struct {
		zone statecache.ZoneRecovery
		want map[float64]int
	}{
		{statecache.ZoneRecovery{Phase: "returning"}, map[float64]int{5: 3, 10: 6}},
		{statecache.ZoneRecovery{Phase: "returning", Step: 1}, map[float64]int{5: 6}},
		{statecache.ZoneRecovery{Phase: "returning", Step: 2}, map[float64]int{}},
		{statecache.ZoneRecovery{Phase: "returning", Step: 9}, map[float64]int{}},
		{statecache.ZoneRecovery{Phase: "lost", Since: lost}, map[float64]int{40: 12}},
		{statecache.ZoneRecovery{Phase: "degraded"}, map[float64]int{}},
	} {
		if got := notAdmitted(now, c.zone); fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("%s at step %d: machines not admitted by seconds %v, not %v", c.zone.Phase, c.zone.Step, got, c.want)
		}
	}
}
