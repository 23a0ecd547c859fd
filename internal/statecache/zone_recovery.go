package statecache

import (
	"encoding/json"

	"lynxledge/wire"
)

// ZoneRecoveryLayoutVersion is the layout of the recovery record that this version writes.
const ZoneRecoveryLayoutVersion = 1

// CapabilityZoneRecovery is what a member announces that reads recovery records. They are
// written only while all members announce it.
const CapabilityZoneRecovery = "recovery/1"

// ZoneRecoveries is how far the recovery of zones has come. The leader writes it, guarded on
// its leadership, and all controllers follow it: who places asks it which machines of
// a zone take tasks, and a new leader goes on from it.
type ZoneRecoveries struct {
	LayoutVersion int            `json:"v"`
	Term          uint64         `json:"term"` // of the leader that wrote it
	Serial        uint64         `json:"n"`    // rises with every write
	Zones         []ZoneRecovery `json:"zones"`
	ModRevision   uint64         `json:"-"`

	// Unreadable: another version wrote it in a layout that this one doesn't know. It
	// is left as it is, and nothing follows from it.
	Unreadable bool `json:"-"`
}

// ZoneRecovery is the state of one zone. Times are times of day, in milliseconds.
type ZoneRecovery struct {
	Zone      wire.Zone `json:"zone"`
	Phase     string    `json:"phase"`
	Since     int64     `json:"since"`
	Losses    int       `json:"losses,omitempty"`
	HoldUntil int64     `json:"hold,omitempty"`
	Step      int       `json:"step,omitempty"`
	// Evidence is the figures behind the last change, in the order of the fields of
	// zonehealth.Evidence.
	Evidence []int `json:"ev,omitempty"`
}

// Find is the state of a zone, or nil.
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

// decodeZoneRecoveries reads the record. One that can't be read is no error: others may have
// written it, and the rest of the view is sound.
func decodeZoneRecoveries(raw json.RawMessage, stamp uint64) *ZoneRecoveries {
	r := &ZoneRecoveries{}
	if err := json.Unmarshal(raw, r); err != nil || r.LayoutVersion != ZoneRecoveryLayoutVersion {
		return &ZoneRecoveries{ModRevision: stamp, Unreadable: true}
	}
	r.ModRevision = stamp
	return r
}

// AllMembersSupport tells whether every member announces a capability.
func (v *View) AllMembersSupport(capability string) bool {
	for _, m := range v.Members {
		if !m.HasCapability(capability) {
			return false
		}
	}
	return len(v.Members) > 0
}
