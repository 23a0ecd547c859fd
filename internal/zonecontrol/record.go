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

// writeRecord records the zones' progress, if that differs from what is recorded.
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

// nextRecord returns the commit that records the zones' progress, if one is needed. It is
// conditional on leadership and on the record as it was seen: of two leaders, or two writes
// of one, only one can succeed.
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
		// A version that doesn't know the record is a member, or nothing is left to record.
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

// recordWritten takes the outcome of a write. What was not committed is evaluated again
// from what is recorded.
func (c *Controller) recordWritten(outcome statecache.Outcome, transitions []zonehealth.Transition) {
	c.writeInFlight = false
	if outcome != statecache.Committed {
		c.recordSerial++ // should the write succeed all the same, it isn't taken for our own
		c.restorePhases()
		return
	}
	for i := range transitions {
		logTransition(&transitions[i])
	}
}

// zoneRecords returns the zones that are not just healthy, as many as fit into a value.
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

// recordOverheadBytes is for the record's own fields, which are not known yet.
const recordOverheadBytes = 64

// fitToValueSize drops what matters least until the zones fit into a value: evidence first, then
// zones that aren't recovering.
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
