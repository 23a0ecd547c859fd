package autoscaler

import (
	"fmt"
	"slices"
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// groupFillShare is the part of the value limit that a group's record is planned to fill when
// its machines are in use.
const groupFillShare = 0.8

// provisionedBatch is an answered call of an intent, until its machines are recorded.
type provisionedBatch struct {
	intentName string
	intent     *statecache.ProvisioningIntent
	remaining  int  // of the intent's count, to be asked for in further batches
	short      bool // the cloud had fewer machines than were asked for
}

// key is the intent's key in the store.
func (b *provisionedBatch) key() string {
	return statecache.Key(statecache.KindProvisioningIntent, b.intentName)
}

// done tells whether the intent is complete once these machines are recorded.
func (b *provisionedBatch) done(unrecorded []wire.MachineID) bool {
	return len(unrecorded) == 0 && b.remaining == 0
}

// next returns the intent's next record, given the machines that are left to be recorded.
func (b *provisionedBatch) next(unrecorded []wire.MachineID) *statecache.ProvisioningIntent {
	next := *b.intent
	if len(unrecorded) == 0 && b.remaining > 0 {
		next.Count, next.Batch, next.RequestedAt = b.remaining, b.intent.Batch+1, statecache.TimestampOf(time.Now())
	}
	return &next
}

// addGroups adds the records of groups of at most perGroup machines to a commit that may have
// so many of them. It returns the machines left.
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

// recordMachines stores the machines of a batch, in as many groups as their records need. With
// the last, the intent goes on to the next batch, or is deleted. Every such commit has the
// intent as a precondition and rewrites it: a group may have been merged into another since,
// and a late copy of the commit that made it would bring its machines back with nothing bound
// to them.
func (r *Autoscaler) recordMachines(batch *provisionedBatch, machines []wire.MachineID) {
	machines = slices.DeleteFunc(machines, r.isKnownOrInvalid)
	stored := r.view.ProvisioningIntents[batch.intentName]
	lead, leads := r.leadership()
	if stored == nil || !leads {
		r.provisioning.finish(batch.intentName) // who leads then repeats the call
		return
	}
	limits := r.config.Params.Store
	perGroup := statecache.MachinesPerGroup(int(float64(limits.ValueSizeLimit())*groupFillShare), batch.intent.TasksPerMachine)
	c := statecache.Commit{
		Preconditions: []wire.Precondition{lead.Precondition(), {Key: batch.key(), ModRevision: stored.ModRevision}},
		RetryFor:      r.config.Operator.PlanningInterval,
	}
	unrecorded := batch.addGroups(&c, machines, perGroup, limits.TxnOpsLimit()-1, statecache.FirstToken(r.term))
	next := batch.next(unrecorded)
	if batch.done(unrecorded) {
		c.Deletes = []string{batch.key()}
	} else {
		c.Puts = append(c.Puts, statecache.Put{Key: batch.key(), Record: next})
	}
	r.commit(c, func(outcome statecache.Outcome) { r.handleRecorded(batch, unrecorded, next, outcome) })
}

// isKnownOrInvalid tells whether a provisioned machine is not to be recorded.
func (r *Autoscaler) isKnownOrInvalid(name wire.MachineID) bool {
	return r.terminations.wasTerminated(name) || !wire.ValidMachineName(string(name)) || r.view.Machines[name] != nil
}

// handleRecorded goes on after a commit of a batch: with the machines left, the next batch, or
// another planning cycle.
func (r *Autoscaler) handleRecorded(batch *provisionedBatch, unrecorded []wire.MachineID, next *statecache.ProvisioningIntent, outcome statecache.Outcome) {
	if outcome == statecache.Committed && len(unrecorded) > 0 {
		r.recordMachines(batch, unrecorded)
		return
	}
	r.provisioning.finish(batch.intentName)
	if outcome == statecache.Committed && batch.remaining > 0 {
		r.provision(batch.intentName, next)
	}
	// A plan without the exhausted pool is made at once: waiting for the next planning cycle
	// at every shortfall would leave work without a machine for as many cycles as there are
	// pools. Not before its intent is gone, though: until then its machines count as
	// provisioned. So it is with what was wanted of a pool while this intent was under way.
	if batch.short || r.provisioning.replanWhenDone {
		r.provisioning.replanWhenDone = false
		r.planAndApply()
	}
}
