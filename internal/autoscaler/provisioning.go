package autoscaler

import (
	"fmt"
	"time"

	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
)

// provisioningTracker knows the provisioning under way and the pools that are exhausted.
type provisioningTracker struct {
	term            uint64
	intentsRecorded int                          // in this term
	inFlight        map[string]resources.Pool    // by name of the intent that is recorded, called for or completed
	exhaustedUntil  map[resources.Pool]time.Time // pools that the cloud had too few machines of
	// replanWhenDone tells that more is wanted of a pool than the provisioning under way asks
	// for.
	replanWhenDone bool
}

func newProvisioningTracker() *provisioningTracker {
	return &provisioningTracker{
		inFlight:       map[string]resources.Pool{},
		exhaustedUntil: map[resources.Pool]time.Time{},
	}
}

// beginTerm starts the names of intents anew: they contain the term, so that no name is used
// twice.
func (t *provisioningTracker) beginTerm(term uint64) { t.term, t.intentsRecorded = term, 0 }

// nextIntentName returns a name that no intent had yet.
func (t *provisioningTracker) nextIntentName() string {
	t.intentsRecorded++
	return fmt.Sprintf("r-%d-%d", t.term, t.intentsRecorded)
}

// begin takes note that an intent is being worked on; false if it is already.
func (t *provisioningTracker) begin(intentName string, pool resources.Pool) bool {
	if _, busy := t.inFlight[intentName]; busy {
		return false
	}
	t.inFlight[intentName] = pool
	return true
}

// finish takes note that nothing is under way for an intent any more.
func (t *provisioningTracker) finish(intentName string) { delete(t.inFlight, intentName) }

// busyPools returns the pools with provisioning under way, or with a stored intent.
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

// markExhausted has a pool left alone until a time.
func (t *provisioningTracker) markExhausted(pool resources.Pool, until time.Time) {
	t.exhaustedUntil[pool] = until
}

// clearExhausted has a pool tried again: a machine of it went back to the cloud.
func (t *provisioningTracker) clearExhausted(pool resources.Pool) { delete(t.exhaustedUntil, pool) }

// isExhausted tells whether a pool is left alone.
func (t *provisioningTracker) isExhausted(pool resources.Pool, now time.Time) bool {
	return now.Before(t.exhaustedUntil[pool])
}
