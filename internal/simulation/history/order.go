// Package history checks what a cluster decided, from the records that it wrote to the
// state service, in the order in which they were written.
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

// OrderChecker finds arrays that were given a place ahead of a service which had waited
// for it, and could have had it, while a zone recovered.
type OrderChecker struct {
	mu       sync.Mutex
	view     *statecache.View
	types    map[string]*wire.MachineType
	params   config.Params
	patience time.Duration // a service that waited for less may not be in the view that was placed by
	decided  func(revision uint64) time.Time
	always   bool // whatever the record says

	waitsSince map[wire.JobID]map[int]time.Time // service, replica: since when it is bound to no machine
	arrays     int
	violations []string
}

// viewReports is how old the view may be by which tasks are placed, in report intervals.
const viewReports = 2

// NewOrderChecker checks the records of a deployment. decided tells when what stands at a
// revision was decided. always has it check at all times, for clusters without zone
// recovery.
func NewOrderChecker(params config.Params, types []wire.MachineType, decided func(uint64) time.Time, always bool) *OrderChecker {
	c := &OrderChecker{
		view:       statecache.NewUnfinishedView(statecache.ChunkTasks(params.Store.MaxValueKB)),
		types:      map[string]*wire.MachineType{},
		params:     params,
		patience:   params.Workers.Heartbeats(viewReports),
		decided:    decided,
		always:     always,
		waitsSince: map[wire.JobID]map[int]time.Time{},
	}
	for i := range types {
		c.types[types[i].Name] = &types[i]
	}
	return c
}

// Apply takes changes over, one revision after the other.
func (c *OrderChecker) Apply(d statecache.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for changes := d.Changes; len(changes) > 0; {
		n := 1
		for n < len(changes) && changes[n].ModRevision == changes[0].ModRevision {
			n++
		}
		c.revision(changes[:n])
		changes = changes[n:]
	}
}

// Violations lists what was found.
func (c *OrderChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// Arrays is how many array tasks were given a place while it checked.
func (c *OrderChecker) Arrays() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrays
}

// Phase is the recorded phase of a zone.
func (c *OrderChecker) Phase(zone wire.Zone) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase(zone)
}

func (c *OrderChecker) phase(zone wire.Zone) string {
	if z := c.view.ZoneRecoveries.Find(zone); z != nil {
		return z.Phase
	}
	return zonehealth.Healthy.String()
}

func (c *OrderChecker) revision(changes []statecache.Change) {
	placed := map[wire.MachineID][]*wire.Job{} // machine: arrays with a new task there
	for _, change := range changes {
		for _, m := range c.view.Apply(change) {
			if m.New == nil {
				continue
			}
			for i := range m.New.Bindings {
				t := &m.New.Bindings[i]
				j := c.view.Jobs[t.Job]
				if m.Old != nil && m.Old.FindBinding(t.Job, t.TaskIndex) != nil || j == nil || j.Spec == nil || j.Spec.IsService() {
					continue
				}
				placed[m.Machine] = append(placed[m.Machine], j.Spec)
			}
		}
	}
	c.noteWaiting(time.Now())
	if !c.always && !c.recovering() {
		return
	}
	decided := c.decided(changes[0].ModRevision)
	for machine, arrays := range placed {
		c.arrays += len(arrays)
		c.check(c.view.Machines[machine], arrays, decided)
	}
}

func (c *OrderChecker) recovering() bool {
	if c.view.ZoneRecoveries == nil || c.view.ZoneRecoveries.Unreadable {
		return false
	}
	return slices.ContainsFunc(c.view.ZoneRecoveries.Zones, func(z statecache.ZoneRecovery) bool {
		phase, err := zonehealth.ParsePhase(z.Phase)
		return err == nil && phase.Recovering()
	})
}

// noteWaiting keeps since when each replica waits.
func (c *OrderChecker) noteWaiting(now time.Time) {
	for id, j := range c.view.Jobs {
		if !j.Active() || j.Spec == nil || !j.Spec.IsService() || c.view.PendingTasks(id, j) <= 0 {
			delete(c.waitsSince, id)
			continue
		}
		before, since := c.waitsSince[id], map[int]time.Time{}
		for n := range j.TaskCount {
			if _, bound := c.view.Bindings[id][n]; bound || c.view.IsCompleted(id, n) {
				continue
			}
			if since[n] = before[n]; since[n].IsZero() {
				since[n] = now
			}
		}
		c.waitsSince[id] = since
	}
	for id := range c.waitsSince {
		if c.view.Jobs[id] == nil {
			delete(c.waitsSince, id)
		}
	}
}

// longestWait is since when the replica of a service waits that waits the longest.
func (c *OrderChecker) longestWait(service wire.JobID) time.Time {
	var first time.Time
	for _, since := range c.waitsSince[service] {
		if first.IsZero() || since.Before(first) {
			first = since
		}
	}
	return first
}

// check looks for a service that waits although it fits where arrays were put.
func (c *OrderChecker) check(m *statecache.Machine, arrays []*wire.Job, decided time.Time) {
	if m == nil || c.types[m.MachineType] == nil {
		return
	}
	node := &placement.Node{Name: m.Name, MachineType: c.types[m.MachineType], Zone: m.Zone, Spot: m.Spot, Schedulable: m.Schedulable()}
	for i := range m.Bindings {
		if j := c.view.Jobs[m.Bindings[i].Job]; j != nil && j.Spec != nil {
			node.Used = node.Used.Plus(resources.OfTask(j.Spec), 1)
		}
	}
	for _, j := range arrays {
		node.Used = node.Used.Plus(resources.OfTask(j), -1)
	}
	for id := range c.waitsSince {
		j, since := c.view.Jobs[id], c.longestWait(id)
		if decided.Sub(since) <= c.patience || !node.Schedulable || !c.withinLimit(j.Spec) ||
			!node.CanTake(j.Spec, resources.OfTask(j.Spec), placement.ZoneCountsOf(c.view, id)) {
			continue
		}
		c.violations = append(c.violations, fmt.Sprintf("%s: %s (%s) was put on %s (%s, recorded %s) while %s had waited for %v",
			decided.Format(time.TimeOnly), arrays[0].ID, arrays[0].Priority, m.Name, m.Zone, c.phase(m.Zone), id, decided.Sub(since).Round(time.Second)))
	}
}

func (c *OrderChecker) withinLimit(j *wire.Job) bool {
	used := resources.Usage{}
	for id, tasks := range c.view.Bindings {
		if other := c.view.Jobs[id]; other != nil && other.Spec != nil {
			used[other.Spec.Team] = used[other.Spec.Team].Plus(resources.OfTask(other.Spec), float64(len(tasks)))
		}
	}
	team, _ := c.params.TeamQuota(j.Team)
	return used.WithinLimit(team, resources.OfTask(j))
}
