package autoscaler

import (
	"fmt"
	"slices"
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// groupFillShare is the share of the value size limit that the record of a new group is expected to
// take up once its machines are in use.
const groupFillShare = 0.8

// provisionedBatch is the result of one provisioning call of an intent. It exists until the machines
// are recorded.
type provisionedBatch struct {
	intentName string
	intent     *statecache.ProvisioningIntent
	remaining  int  // machines of the intent to be requested in further batches
	shortfall  bool // the cloud provisioned fewer machines than were requested
}

// intentKey returns the intent's key in the store.
func (b *provisionedBatch) intentKey() string {
	return statecache.Key(statecache.KindProvisioningIntent, b.intentName)
}

// completesIntent reports whether nothing of the intent is left to be recorded or requested.
func (b *provisionedBatch) completesIntent(unrecorded []wire.MachineID) bool {
	return len(unrecorded) == 0 && b.remaining == 0
}

// nextIntent returns the intent's next record: the same as long as machines are left to be recorded,
// then that of the next batch.
func (b *provisionedBatch) nextIntent(unrecorded []wire.MachineID) *statecache.ProvisioningIntent {
	next := *b.intent
	if len(unrecorded) == 0 && b.remaining > 0 {
		next.Count, next.Batch, next.RequestedAt = b.remaining, b.intent.Batch+1, statecache.TimestampOf(time.Now())
	}
	return &next
}

// addGroups adds records of groups with at most perGroup machines each to a commit, until it has
// maxGroups puts. It returns the machines that are left.
func (b *provisionedBatch) addGroups(c *statecache.Commit, machines []wire.MachineID, perGroup, maxGroups int, token uint64) (unrecorded []wire.MachineID) {
	intent := b.intent
	for len(machines) > 0 && len(c.Puts) < maxGroups {
		count := min(perGroup, len(machines))
		group := fmt.Sprintf("%s.%s", b.intentName, machines[0])
		key := statecache.Key(statecache.KindMachineGroup, group)
		record := statecache.NewMachineGroup(statecache.GroupOptions{
			Name:          group,
			MachineType:   intent.MachineType,
			Zone:          intent.Zone,
			Spot:          intent.Spot,
			ProvisionedAt: intent.RequestedAt,
			Machines:      machines[:count],
			FencingToken:  token,
		})
		c.Preconditions = append(c.Preconditions, wire.Precondition{Key: key})
		c.Puts = append(c.Puts, statecache.Put{Key: key, Record: record})
		machines = machines[count:]
	}
	return machines
}

// recordMachines stores the machines of a batch, in as many groups as the size of their records
// requires. The commit of the last ones moves the intent on to the next batch, or deletes it. Every
// such commit has the intent as a precondition and rewrites or deletes it, so that a delayed
// duplicate of the commit fails. The groups that it created may have been merged into others since;
// the duplicate would restore their machines with nothing bound to them.
func (a *Autoscaler) recordMachines(batch *provisionedBatch, machines []wire.MachineID) {
	machines = slices.DeleteFunc(machines, a.isKnownOrInvalid)
	stored := a.view.ProvisioningIntents[batch.intentName]
	lead, isLeader := a.leadership()
	if stored == nil || !isLeader {
		a.provisioning.finish(batch.intentName) // whoever is leader then repeats the call
		return
	}
	limits := a.config.Params.Store
	perGroup := statecache.MachinesPerGroup(int(float64(limits.ValueSizeLimit())*groupFillShare), batch.intent.TasksPerMachine)
	c := statecache.Commit{
		Preconditions: []wire.Precondition{lead.Precondition(), {Key: batch.intentKey(), ModRevision: stored.ModRevision}},
		RetryFor:      a.config.Operator.PlanningInterval,
	}
	unrecorded := batch.addGroups(&c, machines, perGroup, limits.TxnOpsLimit()-1, statecache.FirstToken(a.term))
	next := batch.nextIntent(unrecorded)
	if batch.completesIntent(unrecorded) {
		c.Deletes = []string{batch.intentKey()}
	} else {
		c.Puts = append(c.Puts, statecache.Put{Key: batch.intentKey(), Record: next})
	}
	a.commit(c, func(outcome statecache.Outcome) { a.handleRecorded(batch, unrecorded, next, outcome) })
}

// isKnownOrInvalid reports whether a provisioned machine must not be recorded: it has a record, was
// terminated, or has an invalid name.
func (a *Autoscaler) isKnownOrInvalid(name wire.MachineID) bool {
	return a.terminations.wasTerminated(name) || !wire.ValidMachineName(string(name)) || a.view.Machines[name] != nil
}

// handleRecorded continues after a commit of a batch, with the machines that are left, the next
// batch, or a new plan.
func (a *Autoscaler) handleRecorded(batch *provisionedBatch, unrecorded []wire.MachineID, next *statecache.ProvisioningIntent, outcome statecache.Outcome) {
	if outcome == statecache.Committed && len(unrecorded) > 0 {
		a.recordMachines(batch, unrecorded)
		return
	}
	a.provisioning.finish(batch.intentName)
	if outcome == statecache.Committed && batch.remaining > 0 {
		a.provision(batch.intentName, next)
	}
	// After a shortfall, plan again without the exhausted pool right away: if every shortfall
	// waited for the next planning cycle, work could be without a machine for as many cycles as
	// there are pools. This must not happen before the pool's intent is gone, since until then its
	// machines count as provisioned. The same applies to requests for a pool that was busy.
	if batch.shortfall || a.provisioning.replanWhenDone {
		a.provisioning.replanWhenDone = false
		a.planAndApply()
	}
}
