package election

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/simulation"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

const testLeaseTTL = 8 * time.Second

// storeTimeout is the time after which a call without an answer fails.
const storeTimeout = 1500 * time.Millisecond

// renewalRecorder is a LeaseClient that records the start time of each renewal.
type renewalRecorder struct {
	LeaseClient
	mu         sync.Mutex
	started    []time.Time
	unanswered bool // renewals fail after storeTimeout
}

func (c *renewalRecorder) RenewLease(ctx context.Context, lease uint64) error {
	c.mu.Lock()
	c.started = append(c.started, time.Now())
	unanswered := c.unanswered
	c.mu.Unlock()
	if unanswered {
		time.Sleep(storeTimeout)
		return errors.New("no answer")
	}
	return c.LeaseClient.RenewLease(ctx, lease)
}

// startTimes returns the start times of the renewals so far.
func (c *renewalRecorder) startTimes() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.started)
}

// withElection runs a test with an Election that is the only member, and the renewals of its lease.
func withElection(t *testing.T, test func(renewals *renewalRecorder)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		conn := &simulation.StoreConn{Store: simulation.NewStore(), Network: simulation.NewNetwork(1, time.Millisecond), Member: "n0", Timeout: storeTimeout}
		cache := statecache.Start(ctx, conn, statecache.Options{ChunkTasks: statecache.ChunkTasks(8), WatchHold: time.Second, MaxViewAge: time.Second, Backoff: 100 * time.Millisecond})
		renewals := &renewalRecorder{LeaseClient: conn}
		Start(ctx, renewals, cache, Options{MemberName: "n0", Incarnation: 7, LeaseTTL: testLeaseTTL, Teams: []wire.TeamName{"red"}, MaxTxnOps: 8, ChunkTasks: 8})
		cache.Run()
		test(renewals)
		cancel()
		time.Sleep(time.Minute)
	})
}

// The membership lease is renewed as often as the validation of the settings assumes. Guards
// against a check that runs just before a renewal is due and leaves it to the next check.
func TestLeaseIsRenewedThreeTimesPerTTL(t *testing.T) {
	withElection(t, func(renewals *renewalRecorder) {
		time.Sleep(testLeaseTTL) // the lease is granted and renewed at least once
		before := len(renewals.startTimes())
		const periods = 10
		time.Sleep(periods * testLeaseTTL)
		if got := len(renewals.startTimes()) - before; got < periods*config.RenewalsPerLeaseTTL-1 {
			t.Errorf("%d renewals within %d lease TTLs", got, periods)
		}
	})
}

// A renewal that gets no answer is retried soon enough for three attempts before the lease expires.
// Guards against losing leadership because two messages were lost.
func TestLostRenewalsAreRepeatedInTime(t *testing.T) {
	withElection(t, func(renewals *renewalRecorder) {
		time.Sleep(10 * testLeaseTTL)
		renewals.mu.Lock()
		renewals.unanswered = true
		lastAnswered := renewals.started[len(renewals.started)-1]
		answered := len(renewals.started)
		renewals.mu.Unlock()
		time.Sleep(2 * testLeaseTTL)
		attempts := 0
		for _, startedAt := range renewals.startTimes()[answered:] {
			if startedAt.Before(lastAnswered.Add(testLeaseTTL)) {
				attempts++
			}
		}
		if attempts < config.RenewalsPerLeaseTTL {
			t.Errorf("%d attempts before the lease expires", attempts)
		}
	})
}
