package zonecontrol

import (
	"encoding/json"
	"maps"
	"slices"

	"lynxledge/internal/election"
	"lynxledge/internal/statecache"
	"lynxledge/internal/zonehealth"
	"lynxledge/wire"
)

// writeRecord writes the state of the zones, if it differs from the record.
func (c *Controller) writeRecord(leadership election.Leadership, transitions []zonehealth.Transition) {
	commit, needed := c.nextRecord(leadership)
	if !needed {
		return
	}
	c.writeInFlight = true
	c.cache.Commit(commit, func(outcome statecache.Outcome) {
		c.Send(func() { c.recordWritten(outcome, transitions) })
	})
}

// nextRecord returns the commit that updates the record, if one is needed. Its preconditions are
// leadership and the record's last seen revision, so that of concurrent writes, by two leaders
// or by one, only one can succeed.
func (c *Controller) nextRecord(leadership election.Leadership) (commit statecache.Commit, needed bool) {
	zones := c.zoneRecords()
	recorded := c.view.ZoneRecoveries
	commit = statecache.Commit{
		Preconditions: []wire.Precondition{
			leadership.Precondition(),
			{Key: statecache.ZoneRecoveryKey, ModRevision: modRevisionOf(recorded)},
		},
		RetryUntilCertain: true,
		RetryFor:          2 * c.checkInterval,
	}
	switch {
	case !c.view.AllMembersSupport(statecache.CapabilityZoneRecovery) || len(zones) == 0:
		// A member's version can't read the record, or there is nothing to record.
		if recorded == nil {
			return commit, false
		}
		commit.Deletes = []string{statecache.ZoneRecoveryKey}
	case recorded != nil && slices.EqualFunc(zones, recorded.Zones, equalExceptEvidence):
		return commit, false
	default:
		c.recordSerial++
		commit.Puts = []statecache.Put{{Key: statecache.ZoneRecoveryKey, Record: &statecache.ZoneRecoveries{
			LayoutVersion: statecache.ZoneRecoveryLayoutVersion, Term: leadership.Term(), Serial: c.recordSerial, Zones: zones,
		}}}
	}
	return commit, true
}

// recordWritten handles the outcome of a write. If it was not committed, evaluation starts over
// from the record.
func (c *Controller) recordWritten(outcome statecache.Outcome, transitions []zonehealth.Transition) {
	c.writeInFlight = false
	if outcome != statecache.Committed {
		c.recordSerial++ // if it is committed after all, applyRecord must adopt it
		c.restorePhases()
		return
	}
	for i := range transitions {
		logTransition(&transitions[i])
	}
}

// zoneRecords returns the states of the zones that aren't healthy, or have losses that are not
// forgotten yet, as far as they fit into a value.
func (c *Controller) zoneRecords() []statecache.ZoneRecovery {
	statuses := c.phases.Statuses()
	var zones []statecache.ZoneRecovery
	for _, name := range slices.Sorted(maps.Keys(statuses)) {
		status := statuses[name]
		if status.Phase == zonehealth.Healthy && status.Losses == 0 {
			continue
		}
		zones = append(zones, zoneRecordOf(name, status))
	}
	return fitToValueSize(zones, c.config.Params.Store.ValueSizeLimit())
}

// recordOverheadBytes is reserved for the record's other fields, whose values are not known yet.
const recordOverheadBytes = 64

// fitToValueSize drops the least important data until the zones fit into a value: first all
// evidence, then the zones that aren't recovering.
func fitToValueSize(zones []statecache.ZoneRecovery, maxBytes int) []statecache.ZoneRecovery {
	fits := func() bool {
		encoded, err := json.Marshal(statecache.ZoneRecoveries{Zones: zones})
		return err == nil && len(encoded)+recordOverheadBytes <= maxBytes
	}
	if fits() {
		return zones
	}
	for i := range zones {
		zones[i].Evidence = nil
	}
	if fits() {
		return zones
	}
	return slices.DeleteFunc(zones, func(zone statecache.ZoneRecovery) bool {
		phase, err := zonehealth.ParsePhase(zone.Phase)
		return err != nil || !phase.Recovering()
	})
}
