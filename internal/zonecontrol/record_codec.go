package zonecontrol

import (
	"time"

	"lynxledge/internal/statecache"
	"lynxledge/internal/zonehealth"
	"lynxledge/wire"
)

// modRevisionOf returns the record's mod revision; 0 if there is none.
func modRevisionOf(record *statecache.ZoneRecoveries) uint64 {
	if record == nil {
		return 0
	}
	return record.ModRevision
}

// zoneRecordOf converts a zone's status to its entry in the record.
func zoneRecordOf(name wire.Zone, status zonehealth.Status) statecache.ZoneRecovery {
	return statecache.ZoneRecovery{
		Zone:      name,
		Phase:     status.Phase.String(),
		Since:     statecache.TimestampOf(status.Since),
		Losses:    status.Losses,
		HoldUntil: timestampOf(status.HoldUntil),
		Step:      status.Step,
		Evidence:  status.Evidence.Counts(),
	}
}

// statusesOf converts a record to statuses. Zones in an unknown phase are left out.
func statusesOf(record *statecache.ZoneRecoveries) map[wire.Zone]zonehealth.Status {
	statuses := map[wire.Zone]zonehealth.Status{}
	if record == nil {
		return statuses
	}
	for i := range record.Zones {
		zone := &record.Zones[i]
		phase, err := zonehealth.ParsePhase(zone.Phase)
		if err != nil {
			continue
		}
		statuses[zone.Zone] = zonehealth.Status{
			Phase:     phase,
			Since:     zone.Since.Time(),
			Losses:    zone.Losses,
			HoldUntil: timeOf(zone.HoldUntil),
			Step:      zone.Step,
			Evidence:  zonehealth.EvidenceFromCounts(zone.Evidence),
		}
	}
	return statuses
}

// equalExceptEvidence reports whether two entries are equal apart from their evidence: a change of
// evidence alone is not worth a write.
func equalExceptEvidence(a, b statecache.ZoneRecovery) bool {
	a.Evidence, b.Evidence = nil, nil
	return a.Zone == b.Zone && a.Phase == b.Phase && a.Since == b.Since && a.Losses == b.Losses &&
		a.HoldUntil == b.HoldUntil && a.Step == b.Step
}

// timestampOf converts a time to its stored form; the zero time is stored as 0.
func timestampOf(t time.Time) statecache.Timestamp {
	if t.IsZero() {
		return 0
	}
	return statecache.TimestampOf(t)
}

// timeOf is the inverse of timestampOf.
func timeOf(timestamp statecache.Timestamp) time.Time {
	if timestamp == 0 {
		return time.Time{}
	}
	return timestamp.Time()
}
