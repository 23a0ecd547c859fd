package autoscaler

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lynxledge/internal/resources"
	"lynxledge/internal/simulation"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// No intent has the name of an earlier one, whether of the same term or of another.
func TestIntentNamesAreUnique(t *testing.T) {
	tracker := newProvisioningTracker()
	names := map[string]bool{}
	for term := range uint64(3) {
		tracker.beginTerm(term + 1)
		for range 3 {
			names[tracker.nextIntentName()] = true
		}
	}
	if len(names) != 9 {
		t.Errorf("%d names for 9 intents: %v", len(names), names)
	}
}

// A pool is busy while it has an intent that is stored or in flight.
func TestBusyPools(t *testing.T) {
	tracker := newProvisioningTracker()
	inFlight, stored := resources.Pool{MachineType: "s", Zone: "a"}, resources.Pool{MachineType: "s", Zone: "b", Spot: true}
	if !tracker.begin("r-1-1", inFlight) || tracker.begin("r-1-1", inFlight) {
		t.Error("an intent is in flight twice")
	}
	busy := tracker.busyPools(map[string]*statecache.ProvisioningIntent{"r-1-2": {MachineType: "s", Zone: "b", Spot: true}})
	if len(busy) != 2 || !busy[inFlight] || !busy[stored] {
		t.Errorf("busy: %v", busy)
	}
	tracker.finish("r-1-1")
	if busy := tracker.busyPools(nil); len(busy) != 0 {
		t.Errorf("busy with nothing in flight: %v", busy)
	}
}

// A pool is exhausted until the given time, or until one of its machines is terminated.
func TestExhaustedPools(t *testing.T) {
	tracker := newProvisioningTracker()
	pool, now := resources.Pool{MachineType: "s", Zone: "a"}, time.Now()
	tracker.markExhausted(pool, now.Add(time.Minute))
	if !tracker.isExhausted(pool, now) || tracker.isExhausted(pool, now.Add(time.Minute)) {
		t.Error("not exhausted for a minute")
	}
	tracker.clearExhausted(pool)
	if tracker.isExhausted(pool, now) {
		t.Error("exhausted after a machine was terminated")
	}
}

// When the machines of a batch take several commits, the intent stays the same until the last of
// them, which moves it on to the next batch.
func TestBatchIsRecordedInGroups(t *testing.T) {
	machines := []wire.MachineID{"i-1", "i-2", "i-3", "i-4", "i-5"}
	intent := &statecache.ProvisioningIntent{MachineType: "s", Zone: "a", Count: 8, Batch: 2}
	batch := &provisionedBatch{intentName: "r-1-1", intent: intent, remaining: 3}
	var c statecache.Commit
	unrecorded := batch.addGroups(&c, machines, 2, 2, statecache.FirstToken(1))
	if len(c.Puts) != 2 || len(c.Preconditions) != 2 || len(unrecorded) != 1 || unrecorded[0] != "i-5" {
		t.Fatalf("%d groups, %v left", len(c.Puts), unrecorded)
	}
	if next := batch.nextIntent(unrecorded); batch.completesIntent(unrecorded) || next.Count != 8 || next.Batch != 2 {
		t.Errorf("with machines left: %+v", next)
	}
	if next := batch.nextIntent(nil); batch.completesIntent(nil) || next.Count != 3 || next.Batch != 3 {
		t.Errorf("for the next batch: %+v", next)
	}
	batch.remaining = 0
	if !batch.completesIntent(nil) {
		t.Error("not done with nothing left")
	}
}

// One machine is provisioned for one pending replica, however many planning cycles its boot takes.
func TestProvisionsOnce(t *testing.T) {
	withLeader(t, 5, func(f *leaderFixture) {
		c := f.cloud
		time.Sleep(24 * time.Second)
		if n := len(c.RunningMachines()); n != 1 {
			t.Errorf("%d machines up for one replica", n)
		}
	})
}

// A machine is provisioned once even if the response to the intent's transaction is lost, whether the
// store has executed it, and can't be read for the next cycle, or executes it after that cycle: the
// cycle must not plan from a view that lacks the intent.
func TestProvisionsOnceAfterALostResponse(t *testing.T) {
	for _, test := range []struct {
		name       string
		lateBy     time.Duration // the store executes the transaction that much later
		unreadable bool
	}{
		{"executed, then unreadable", 0, true},
		{"executed late", 8 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			withLeader(t, 5, func(f *leaderFixture) {
				store, c := f.store, f.cloud
				var lost atomic.Bool
				var intents sync.Map // keys of the intents that were sent
				store.InterceptCommits(func(_ string, txn *wire.Txn, execute func() (uint64, error)) (uint64, error) {
					key := txn.Writes[0].PutKey
					if !strings.HasPrefix(key, statecache.Key(statecache.KindProvisioningIntent, "")) {
						return execute()
					}
					intents.Store(key, true)
					if lost.Swap(true) {
						return execute()
					}
					store.SetUnreadableFor("n0", test.unreadable)
					time.AfterFunc(test.lateBy, func() { _, _ = execute() })
					return 0, simulation.ErrNoResponse
				})
				most := 0
				for second := range 45 {
					time.Sleep(time.Second)
					store.SetUnreadableFor("n0", lost.Load() && test.unreadable && second < 12)
					most = max(most, len(c.RunningMachines()))
				}
				if !lost.Load() || most != 1 {
					t.Errorf("%d machines up at once for one replica; response lost: %v", most, lost.Load())
				}
				sent := 0
				intents.Range(func(any, any) bool { sent++; return true })
				if sent != 1 {
					t.Errorf("%d intents for one replica", sent)
				}
			})
		})
	}
}
