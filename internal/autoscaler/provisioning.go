package autoscaler

import (
	"fmt"
	"time"

	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
)

// provisioningTracker tracks the intents in flight and the exhausted pools.
type provisioningTracker struct {
	term            uint64
	intentsRecorded int                          // in this term
	inFlight        map[string]resources.Pool    // pools of the intents that are being stored, called or recorded, by intent name
	exhaustedUntil  map[resources.Pool]time.Time // pools that the cloud had too few machines of
	// replanWhenDone is set when a plan requests machines of a busy pool: planning runs again once
	// the next batch of any pool has been recorded, or its commit has failed.
	replanWhenDone bool
}

func newProvisioningTracker() *provisioningTracker {
	return &provisioningTracker{
		inFlight:       map[string]resources.Pool{},
		exhaustedUntil: map[resources.Pool]time.Time{},
	}
}

// beginTerm restarts the numbering of intents. Their names contain the term, so that no name is
// used twice.
func (t *provisioningTracker) beginTerm(term uint64) { t.term, t.intentsRecorded = term, 0 }

// nextIntentName returns a name that no earlier intent had.
func (t *provisioningTracker) nextIntentName() string {
	t.intentsRecorded++
	return fmt.Sprintf("r-%d-%d", t.term, t.intentsRecorded)
}

// begin marks an intent as in flight. It returns false if the intent already is.
func (t *provisioningTracker) begin(intentName string, pool resources.Pool) bool {
	if _, busy := t.inFlight[intentName]; busy {
		return false
	}
	t.inFlight[intentName] = pool
	return true
}

// finish marks an intent as no longer in flight.
func (t *provisioningTracker) finish(intentName string) { delete(t.inFlight, intentName) }

// busyPools returns the pools that have an intent in flight or a stored one.
func (t *provisioningTracker) busyPools(intents map[string]*statecache.ProvisioningIntent) map[resources.Pool]bool {
	busy := map[resources.Pool]bool{}
	for _, pool := range t.inFlight {
		busy[pool] = true
	}
	for _, intent := range intents {
		busy[intentPool(intent)] = true
	}
	return busy
}

// markExhausted stops provisioning from a pool until the given time.
func (t *provisioningTracker) markExhausted(pool resources.Pool, until time.Time) {
	t.exhaustedUntil[pool] = until
}

// clearExhausted lets provisioning from a pool resume, since one of its machines was terminated and
// may be available again.
func (t *provisioningTracker) clearExhausted(pool resources.Pool) { delete(t.exhaustedUntil, pool) }

// isExhausted reports whether nothing is to be provisioned from a pool at present.
func (t *provisioningTracker) isExhausted(pool resources.Pool, now time.Time) bool {
	return now.Before(t.exhaustedUntil[pool])
}
