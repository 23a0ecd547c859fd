package statecache

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/kvstore"
	"lynxledge/wire"
)

// refusingStore answers transactions with the errors given, one after another, and then
// carries them out.
type refusingStore struct {
	Store
	refusals []error
}

func (s *refusingStore) Commit(context.Context, *wire.Txn) (uint64, error) {
	if len(s.refusals) == 0 {
		return 1, nil
	}
	err := s.refusals[0]
	s.refusals = s.refusals[1:]
	return 0, err
}

// The ledger passes on what refusals say of the limits in force: a size says that the
// limits to come are there, a rate may say so. Others say nothing.
func TestRefusalsTellOfLimits(t *testing.T) {
	tooLarge := fmt.Errorf("%w: value too large", kvstore.ErrInvalidRequest)
	for _, test := range []struct {
		name             string
		refusals         []error
		tooLarge, busy   int
		want             Outcome
		atLeast, atMost  time.Duration
		patience         time.Duration
		pauseForOneWrite time.Duration
	}{
		{name: "none", want: Committed},
		{name: "size", refusals: []error{tooLarge}, tooLarge: 1, want: Rejected},
		{name: "rate, then carried out", refusals: []error{kvstore.ErrThrottled, kvstore.ErrThrottled}, busy: 2, want: Committed,
			patience: time.Minute, pauseForOneWrite: time.Second, atLeast: 2 * time.Second, atMost: 4 * time.Second},
		{name: "lease", refusals: []error{kvstore.ErrLeaseNotFound}, want: Rejected},
		{name: "outage", refusals: []error{kvstore.ErrRejected, kvstore.ErrRejected}, want: Committed, patience: time.Minute, atMost: time.Minute},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			large, busy := 0, 0
			l := Start(ctx, &refusingStore{refusals: test.refusals}, Options{
				ChunkTasks:     ChunkTasks(4),
				Backoff:        100 * time.Millisecond,
				WriteInterval:  test.pauseForOneWrite,
				OnThrottled:    func(time.Time) { busy++ },
				OnSizeRejected: func() { large++ },
			})
			begun := time.Now()
			replied := make(chan Outcome, 1)
			l.Commit(Commit{
				Puts:     []Put{{Key: Key(KindJob, "req-000001"), Record: &Job{TaskCount: 1}}},
				RetryFor: test.patience,
			}, func(out Outcome) { replied <- out })
			if out := <-replied; out != test.want {
				t.Errorf("%s: outcome %v, want %v", test.name, out, test.want)
			}
			if took := time.Since(begun); took < test.atLeast || took > test.atMost {
				t.Errorf("%s: took %v", test.name, took)
			}
			if large != test.tooLarge || busy != test.busy {
				t.Errorf("%s: told of %d sizes and %d rates, want %d and %d", test.name, large, busy, test.tooLarge, test.busy)
			}
			cancel()
			time.Sleep(time.Minute)
		})
	}
}
