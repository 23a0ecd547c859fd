package recovery

import (
	"lynxledge/internal/statecache"
	"lynxledge/internal/zonehealth"
	"lynxledge/wire"
)

// Recovering reports whether any zone is lost or returning.
func Recovering(record *statecache.ZoneRecoveries) bool {
	if record == nil || record.Unreadable {
		return false
	}
	for i := range record.Zones {
		if phaseOf(record, record.Zones[i].Zone).Recovering() {
			return true
		}
	}
	return false
}

// phaseOf returns the recorded phase of a zone; Healthy if there is none, or it is unknown.
func phaseOf(record *statecache.ZoneRecoveries, zone wire.Zone) zonehealth.Phase {
	zoneRecord := record.Find(zone)
	if zoneRecord == nil {
		return zonehealth.Healthy
	}
	phase, err := zonehealth.ParsePhase(zoneRecord.Phase)
	if err != nil {
		return zonehealth.Healthy
	}
	return phase
}
