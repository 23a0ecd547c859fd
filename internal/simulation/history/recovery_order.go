// Package history checks the decisions of a cluster by replaying the records that it wrote to the
// store, in the order in which they were written.
package history

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/internal/zonehealth"
	"lynxledge/wire"
)

// RecoveryOrderChecker finds arrays that were placed, while a zone recovered, on a machine where a
// service fitted that had already been waiting for longer than maxViewAge.
type RecoveryOrderChecker struct {
	mu         sync.Mutex
	view       *statecache.View
	types      map[string]*wire.MachineType
	params     config.Params
	maxViewAge time.Duration // a service that has waited for less may be missing from the scheduler's view
	sentAt     func(revision uint64) time.Time
	always     bool // check also while no zone recovers

	waitingSince      map[wire.JobID]map[int]time.Time // by service and replica: since when it has been bound to no machine
	checkedArrayTasks int
	violations        []string
}

// NewRecoveryOrderChecker returns a checker for a deployment's parameters. sentAt returns when the
// transaction that created a revision was first sent. With always it checks also while no zone
// recovers, for clusters without zone recovery.
func NewRecoveryOrderChecker(params config.Params, types []wire.MachineType, sentAt func(uint64) time.Time, always bool) *RecoveryOrderChecker {
	c := &RecoveryOrderChecker{
		view:         statecache.NewUnfinishedView(statecache.ChunkTasks(params.Store.MaxValueKB)),
		types:        map[string]*wire.MachineType{},
		params:       params,
		maxViewAge:   params.Workers.Heartbeats(statecache.MaxViewAgeHeartbeats),
		sentAt:       sentAt,
		always:       always,
		waitingSince: map[wire.JobID]map[int]time.Time{},
	}
	for i := range types {
		c.types[types[i].Name] = &types[i]
	}
	return c
}

// Apply applies the changes of an update revision by revision, and checks the placements in each.
func (c *RecoveryOrderChecker) Apply(update statecache.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for changes := update.Changes; len(changes) > 0; {
		n := 1
		for n < len(changes) && changes[n].ModRevision == changes[0].ModRevision {
			n++
		}
		c.applyRevision(changes[:n])
		changes = changes[n:]
	}
}

// Violations returns the violations found so far.
func (c *RecoveryOrderChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// CheckedArrayTasks returns how many placements of array tasks were checked.
func (c *RecoveryOrderChecker) CheckedArrayTasks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checkedArrayTasks
}

// Phase returns the recorded phase of a zone, healthy if none is recorded.
func (c *RecoveryOrderChecker) Phase(zone wire.Zone) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase(zone)
}

func (c *RecoveryOrderChecker) phase(zone wire.Zone) string {
	if z := c.view.ZoneRecoveries.Find(zone); z != nil {
		return z.Phase
	}
	return zonehealth.Healthy.String()
}

func (c *RecoveryOrderChecker) applyRevision(changes []statecache.Change) {
	placed := map[wire.MachineID][]*wire.Job{} // by machine: the array of each new task there
	for _, change := range changes {
		for _, m := range c.view.Apply(change) {
			if m.New == nil {
				continue
			}
			for i := range m.New.Bindings {
				binding := &m.New.Bindings[i]
				j := c.view.Jobs[binding.Job]
				if m.Old != nil && m.Old.FindBinding(binding.Job, binding.TaskIndex) != nil || j == nil || j.Spec == nil || j.Spec.IsService() {
					continue
				}
				placed[m.Machine] = append(placed[m.Machine], j.Spec)
			}
		}
	}
	c.recordWaiting(time.Now())
	if !c.always && !c.recovering() {
		return
	}
	decidedAt := c.sentAt(changes[0].ModRevision)
	for machine, arrays := range placed {
		c.checkedArrayTasks += len(arrays)
		c.checkMachine(c.view.Machines[machine], arrays, decidedAt)
	}
}

func (c *RecoveryOrderChecker) recovering() bool {
	if c.view.ZoneRecoveries == nil || c.view.ZoneRecoveries.Unreadable {
		return false
	}
	return slices.ContainsFunc(c.view.ZoneRecoveries.Zones, func(z statecache.ZoneRecovery) bool {
		phase, err := zonehealth.ParsePhase(z.Phase)
		return err == nil && phase.Recovering()
	})
}

// recordWaiting records since when each service replica that is bound to no machine has waited.
func (c *RecoveryOrderChecker) recordWaiting(now time.Time) {
	for id, j := range c.view.Jobs {
		if !j.Active() || j.Spec == nil || !j.Spec.IsService() || c.view.PendingTasks(id, j) <= 0 {
			delete(c.waitingSince, id)
			continue
		}
		previous, since := c.waitingSince[id], map[int]time.Time{}
		for n := range j.TaskCount {
			if _, bound := c.view.Bindings[id][n]; bound || c.view.IsCompleted(id, n) {
				continue
			}
			if since[n] = previous[n]; since[n].IsZero() {
				since[n] = now
			}
		}
		c.waitingSince[id] = since
	}
	for id := range c.waitingSince {
		if c.view.Jobs[id] == nil {
			delete(c.waitingSince, id)
		}
	}
}

// waitingLongestSince returns when the replica of a service that has waited the longest began to
// wait.
func (c *RecoveryOrderChecker) waitingLongestSince(service wire.JobID) time.Time {
	var earliest time.Time
	for _, since := range c.waitingSince[service] {
		if earliest.IsZero() || since.Before(earliest) {
			earliest = since
		}
	}
	return earliest
}

// checkMachine records a violation for each service that had been waiting for longer than
// maxViewAge when arrays were placed on a machine, although a replica would have fitted there
// without them.
func (c *RecoveryOrderChecker) checkMachine(m *statecache.Machine, arrays []*wire.Job, decidedAt time.Time) {
	if m == nil || c.types[m.MachineType] == nil {
		return
	}
	node := &placement.Node{Name: m.Name, MachineType: c.types[m.MachineType], Zone: m.Zone, Spot: m.Spot, Schedulable: m.Schedulable()}
	for i := range m.Bindings {
		if j := c.view.Jobs[m.Bindings[i].Job]; j != nil && j.Spec != nil {
			node.Used = node.Used.AddScaled(resources.OfTask(j.Spec), 1)
		}
	}
	for _, j := range arrays {
		node.Used = node.Used.AddScaled(resources.OfTask(j), -1)
	}
	for id := range c.waitingSince {
		j, since := c.view.Jobs[id], c.waitingLongestSince(id)
		if decidedAt.Sub(since) <= c.maxViewAge || !node.Schedulable || !c.withinLimit(j.Spec) ||
			!node.CanTake(j.Spec, resources.OfTask(j.Spec), placement.ZoneCountsOf(c.view, id)) {
			continue
		}
		c.violations = append(c.violations, fmt.Sprintf("%s: %s (%s) was put on %s (%s, recorded %s) while %s had waited for %v",
			decidedAt.Format(time.TimeOnly), arrays[0].ID, arrays[0].Priority, m.Name, m.Zone, c.phase(m.Zone), id, decidedAt.Sub(since).Round(time.Second)))
	}
}

// withinLimit reports whether one more task of a job keeps its team within the team's limit.
func (c *RecoveryOrderChecker) withinLimit(j *wire.Job) bool {
	used := resources.Usage{}
	for id, tasks := range c.view.Bindings {
		if other := c.view.Jobs[id]; other != nil && other.Spec != nil {
			used[other.Spec.Team] = used[other.Spec.Team].AddScaled(resources.OfTask(other.Spec), float64(len(tasks)))
		}
	}
	team, _ := c.params.TeamQuota(j.Team)
	return used.WithinLimit(team, resources.OfTask(j))
}
