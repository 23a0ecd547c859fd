package statecache

import (
	"encoding/json"

	"lynxledge/wire"
)

// ZoneRecoveryLayoutVersion is the layout version of the recovery record that this version of
// lynxledge reads and writes.
const ZoneRecoveryLayoutVersion = 1

// CapabilityZoneRecovery is announced by members that can read recovery records. The records are
// written only while all members announce it.
const CapabilityZoneRecovery = "recovery/1"

// ZoneRecoveries is the record of the recovery of zones. The leader writes it, conditional on its
// leadership, and all controllers act on it: it tells schedulers which machines of a zone may
// take tasks, and a new leader continues from it.
type ZoneRecoveries struct {
	LayoutVersion int            `json:"v"`
	Term          uint64         `json:"term"` // of the leader that wrote it
	Serial        uint64         `json:"n"`    // increases with every write in a term
	Zones         []ZoneRecovery `json:"zones"`
	ModRevision   uint64         `json:"-"`

	// Unreadable reports whether the record could not be decoded, since another version wrote it in
	// a layout that this one does not know. It is not overwritten, and no decision is based on it.
	Unreadable bool `json:"-"`
}

// ZoneRecovery is the state of one zone.
type ZoneRecovery struct {
	Zone      wire.Zone `json:"zone"`
	Phase     string    `json:"phase"`
	Since     Timestamp `json:"since"`
	Losses    int       `json:"losses,omitempty"`
	HoldUntil Timestamp `json:"hold,omitempty"`
	Step      int       `json:"step,omitempty"`
	// Evidence holds the counts that led to the last change of phase, in the order of the
	// fields of zonehealth.Evidence.
	Evidence []int `json:"ev,omitempty"`
}

// Find returns the state of a zone, or nil.
func (r *ZoneRecoveries) Find(zone wire.Zone) *ZoneRecovery {
	if r == nil || r.Unreadable {
		return nil
	}
	for i := range r.Zones {
		if r.Zones[i].Zone == zone {
			return &r.Zones[i]
		}
	}
	return nil
}

// decodeZoneRecoveries decodes the record. One that can't be decoded is not an error: another
// version may have written it, and the rest of the view remains usable.
func decodeZoneRecoveries(raw json.RawMessage, modRevision uint64) *ZoneRecoveries {
	r := &ZoneRecoveries{}
	if err := json.Unmarshal(raw, r); err != nil || r.LayoutVersion != ZoneRecoveryLayoutVersion {
		return &ZoneRecoveries{ModRevision: modRevision, Unreadable: true}
	}
	r.ModRevision = modRevision
	return r
}
