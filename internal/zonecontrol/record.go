package zonecontrol

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"lynxledge/internal/election"
	"lynxledge/internal/statecache"
	"lynxledge/internal/zonehealth"
	"lynxledge/wire"
)

// record writes how far the zones are, if that differs from what stands. The write is
// guarded on leadership and on the record as it was seen: of two leaders, or two writes
// of one, only one can stand.
func (c *Controller) record(lead election.Leadership, changes []zonehealth.Change) {
	zones := c.zoneRecords()
	standing := c.view.ZoneRecoveries
	commit := statecache.Commit{
		Preconditions: []wire.Precondition{
			lead.Precondition(),
			{Key: statecache.ZoneRecoveryKey, ModRevision: revisionOf(standing)},
		},
		RetryUntilCertain: true,
		RetryFor:          2 * c.period,
	}
	switch {
	case !c.view.AllMembersSupport(statecache.CapabilityZoneRecovery) || len(zones) == 0:
		// A version that doesn't know the record serves, or nothing is left to say.
		if standing == nil {
			return
		}
		commit.Deletes = []string{statecache.ZoneRecoveryKey}
	case standing != nil && slices.EqualFunc(zones, standing.Zones, sameZone):
		return
	default:
		c.serial++
		commit.Puts = []statecache.Put{{Key: statecache.ZoneRecoveryKey, Record: &statecache.ZoneRecoveries{
			LayoutVersion: statecache.ZoneRecoveryLayoutVersion, Term: lead.Term(), Serial: c.serial, Zones: zones,
		}}}
	}
	c.writing = true
	c.cache.Commit(commit, func(out statecache.Outcome) { c.Send(func() { c.recorded(out, changes) }) })
}

// recorded takes the outcome of a write. What did not come to stand is judged again
// from what does.
func (c *Controller) recorded(out statecache.Outcome, changes []zonehealth.Change) {
	c.writing = false
	if out != statecache.Committed {
		c.serial++ // should the write come to stand all the same, it isn't known here
		c.restore()
		return
	}
	for i := range changes {
		logChange(&changes[i])
	}
}

func logChange(change *zonehealth.Change) {
	from, to := &change.From, &change.To
	attributes := []any{"zone", change.Zone, "evidence", to.Evidence.String()}
	switch {
	case to.Phase == zonehealth.Lost:
		slog.Warn("zone lost", append(attributes, "losses", to.Losses, "hold_until", to.HoldUntil.UTC().Format(time.TimeOnly))...)
	case to.Phase == zonehealth.Returning && from.Phase != to.Phase:
		slog.Info("zone returns", attributes...)
	case to.Phase == zonehealth.Returning:
		slog.Info("zone goes on to the next step", append(attributes, "step", to.Step+1)...)
	case to.Phase != from.Phase:
		slog.Info("zone "+to.Phase.String(), append(attributes, "was", from.Phase.String())...)
	}
}

// zoneRecords are the zones of which there is anything to say, as many as fit a value.
func (c *Controller) zoneRecords() []statecache.ZoneRecovery {
	statuses := c.tracker.Statuses()
	var zones []statecache.ZoneRecovery
	for _, name := range slices.Sorted(maps.Keys(statuses)) {
		status := statuses[name]
		if status.Phase == zonehealth.Healthy && status.Losses == 0 {
			continue
		}
		zones = append(zones, zoneRecordOf(name, status))
	}
	return fitting(zones, c.config.Params.Store.ValueSizeLimit())
}

// fitting drops what matters least until the zones fit a value: evidence first, then
// zones that aren't recovering.
func fitting(zones []statecache.ZoneRecovery, valueBytes int) []statecache.ZoneRecovery {
	fits := func() bool {
		b, err := json.Marshal(statecache.ZoneRecoveries{Zones: zones})
		return err == nil && len(b)+recordMargin <= valueBytes
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
	return slices.DeleteFunc(zones, func(z statecache.ZoneRecovery) bool {
		phase, err := zonehealth.ParsePhase(z.Phase)
		return err != nil || !phase.Recovering()
	})
}

// recordMargin is for the record's own figures, which are not known yet.
const recordMargin = 64

func revisionOf(r *statecache.ZoneRecoveries) uint64 {
	if r == nil {
		return 0
	}
	return r.ModRevision
}

func zoneRecordOf(name wire.Zone, status zonehealth.Status) statecache.ZoneRecovery {
	return statecache.ZoneRecovery{
		Zone:      name,
		Phase:     status.Phase.String(),
		Since:     statecache.TimestampOf(status.Since),
		Losses:    status.Losses,
		HoldUntil: milliseconds(status.HoldUntil),
		Step:      status.Step,
		Evidence:  status.Evidence.Figures(),
	}
}

// statusesOf reads a record; zones in a phase that is not known are left out.
func statusesOf(record *statecache.ZoneRecoveries) map[wire.Zone]zonehealth.Status {
	statuses := map[wire.Zone]zonehealth.Status{}
	if record == nil {
		return statuses
	}
	for i := range record.Zones {
		z := &record.Zones[i]
		phase, err := zonehealth.ParsePhase(z.Phase)
		if err != nil {
			continue
		}
		statuses[z.Zone] = zonehealth.Status{
			Phase:     phase,
			Since:     z.Since.Time(),
			Losses:    z.Losses,
			HoldUntil: timeOf(z.HoldUntil),
			Step:      z.Step,
			Evidence:  zonehealth.EvidenceOf(z.Evidence),
		}
	}
	return statuses
}

// sameZone compares all but the evidence, which changes all the time.
func sameZone(a, b statecache.ZoneRecovery) bool {
	a.Evidence, b.Evidence = nil, nil
	return a.Zone == b.Zone && a.Phase == b.Phase && a.Since == b.Since && a.Losses == b.Losses &&
		a.HoldUntil == b.HoldUntil && a.Step == b.Step
}

func milliseconds(t time.Time) statecache.Timestamp {
	if t.IsZero() {
		return 0
	}
	return statecache.TimestampOf(t)
}

func timeOf(ms statecache.Timestamp) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return ms.Time()
}
