package statecache

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/kvstore"
	"lynxledge/internal/simulation"
	"lynxledge/wire"
)

// rejectingStore fails transactions with the given errors, one after another, and then accepts
// them.
type rejectingStore struct {
	Store
	rejections []error
}

func (s *rejectingStore) Commit(context.Context, *wire.Txn) (uint64, error) {
	if len(s.rejections) == 0 {
		return 1, nil
	}
	err := s.rejections[0]
	s.rejections = s.rejections[1:]
	return 0, err
}

// commitAndWait commits, and returns the outcome and how long it took.
func commitAndWait(cache *Cache, c Commit) (Outcome, time.Duration) {
	startedAt := time.Now()
	replied := make(chan Outcome, 1)
	cache.Commit(c, func(outcome Outcome) { replied <- outcome })
	return <-replied, time.Since(startedAt)
}

// Rejections that are evidence of the limits in force are reported to the callbacks: one for an
// invalid size proves the upcoming limits, throttling may be due to them. Other rejections are
// not reported.
func TestRejectionsReportedToLimitCallbacks(t *testing.T) {
	tooLarge := fmt.Errorf("%w: value too large", kvstore.ErrInvalidRequest)
	for _, test := range []struct {
		name                    string
		rejections              []error
		sizeRejected, throttled int
		want                    Outcome
		atLeast, atMost         time.Duration
		retryFor                time.Duration
		writeInterval           time.Duration
	}{
		{name: "none", want: Committed},
		{name: "size", rejections: []error{tooLarge}, sizeRejected: 1, want: Rejected},
		{name: "rate, then executed", rejections: []error{kvstore.ErrThrottled, kvstore.ErrThrottled}, throttled: 2, want: Committed,
			retryFor: time.Minute, writeInterval: time.Second, atLeast: 2 * time.Second, atMost: 4 * time.Second},
		{name: "lease", rejections: []error{kvstore.ErrLeaseNotFound}, want: Rejected},
		{name: "outage", rejections: []error{kvstore.ErrRejected, kvstore.ErrRejected}, want: Committed, retryFor: time.Minute, atMost: time.Minute},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			sizeRejected, throttled := 0, 0
			cache := Start(ctx, &rejectingStore{rejections: test.rejections}, Options{
				ChunkTasks:     ChunkTasks(4),
				Backoff:        100 * time.Millisecond,
				WriteInterval:  test.writeInterval,
				OnThrottled:    func(time.Time) { throttled++ },
				OnSizeRejected: func() { sizeRejected++ },
			})
			outcome, took := commitAndWait(cache, Commit{
				Puts:     []Put{{Key: Key(KindJob, "req-000001"), Record: &Job{TaskCount: 1}}},
				RetryFor: test.retryFor,
			})
			if outcome != test.want {
				t.Errorf("%s: outcome %v, want %v", test.name, outcome, test.want)
			}
			if took < test.atLeast || took > test.atMost {
				t.Errorf("%s: took %v", test.name, took)
			}
			if sizeRejected != test.sizeRejected || throttled != test.throttled {
				t.Errorf("%s: %d size rejections and %d throttlings reported, want %d and %d", test.name, sizeRejected, throttled, test.sizeRejected, test.throttled)
			}
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

// After an attempt without a response the outcome is unknown, even if later attempts are rejected,
// until one is executed or conflicts. With RetryUntilCertain, the commit is retried until then.
func TestUnansweredCommit(t *testing.T) {
	unanswered := errors.New("connection reset")
	for _, test := range []struct {
		name         string
		errs         []error
		untilCertain bool
		want         Outcome
	}{
		{"given up", []error{unanswered, kvstore.ErrRejected}, false, OutcomeUnknown},
		{"given up after rejections", []error{kvstore.ErrRejected, kvstore.ErrRejected}, false, Rejected},
		{"settled", []error{unanswered, kvstore.ErrRejected}, true, Committed},
		{"settled by a conflict", []error{unanswered, &kvstore.ConflictError{Revision: 1}}, true, Conflicted},
		{"then rejected as invalid", []error{unanswered, kvstore.ErrInvalidRequest}, true, OutcomeUnknown},
		{"then without a lease", []error{unanswered, kvstore.ErrLeaseNotFound}, true, OutcomeUnknown},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			conn := newTestConn(simulation.NewStore())
			if revision, err := conn.Commit(ctx, &wire.Txn{Writes: []wire.Write{{PutKey: Key(KindJob, "req-000002"), Value: mustMarshal(&Job{TaskCount: 1})}}}); err != nil || revision != 1 {
				t.Fatalf("revision %d, %v", revision, err)
			}
			cache := newTestCache(ctx, &rejectingStore{Store: conn, rejections: test.errs}, 0)
			cache.Run()
			time.Sleep(time.Second)
			outcome, _ := commitAndWait(cache, Commit{
				Puts:              []Put{{Key: Key(KindJob, "req-000001"), Record: &Job{TaskCount: 1}}},
				RetryUntilCertain: test.untilCertain, RetryFor: 50 * time.Millisecond,
			})
			if outcome != test.want {
				t.Errorf("%s: %v, want %v", test.name, outcome, test.want)
			}
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

// A transaction that exceeds the size limit of a request body is rejected without being sent. The
// store would reject it as invalid, whatever its contents.
func TestLargeTransactionIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := simulation.NewStore()
		cache := newTestCache(ctx, newTestConn(store), 8<<10)
		cache.Run()
		time.Sleep(time.Second)
		commit := func(writes int) Outcome {
			var c Commit
			for i := range writes {
				c.Puts = append(c.Puts, Put{Key: Key(KindCompletionChunk, fmt.Sprintf("req-000001/%04d", i)), Record: &CompletionChunk{Bits: make([]byte, 6000)}})
			}
			outcome, _ := commitAndWait(cache, c)
			return outcome
		}
		if outcome := commit(7); outcome != Committed {
			t.Errorf("56 KB: %v", outcome)
		}
		if outcome := commit(9); outcome != Rejected || strings.Contains(store.Dump(), "/0008") {
			t.Errorf("72 KB: %v", outcome)
		}
	})
}

// The errors for records and transactions that are too large hold their size and the limit.
func TestTooLargeErrors(t *testing.T) {
	options := Options{MaxValueBytes: 100, MaxCompletionChunkBytes: 1000}
	chunk := func(bytes int) *CompletionChunk { return &CompletionChunk{Bits: make([]byte, bytes)} }
	key := CompletionChunkKey("req-000001", CompletionChunkID{0, WholeChunk})
	if _, err := options.encodeTxn(&Commit{Puts: []Put{{Key: key, Record: chunk(300)}}}); err != nil {
		t.Errorf("within the limit of chunks: %v", err)
	}
	var record *RecordTooLargeError
	_, err := options.encodeTxn(&Commit{Puts: []Put{{Key: key, Record: chunk(3000)}}})
	if !errors.As(err, &record) || *record != (RecordTooLargeError{Key: key, Bytes: 4002, Limit: 1000}) {
		t.Errorf("beyond it: %v", err)
	}
	_, err = options.encodeTxn(&Commit{Puts: []Put{{Key: Key(KindJob, "req-000001"), Record: chunk(300)}}})
	if !errors.As(err, &record) || record.Limit != 100 {
		t.Errorf("beyond the limit of others: %v", err)
	}
	var txn *TransactionTooLargeError
	_, err = options.encodeTxn(&Commit{Deletes: make([]string, 2000)})
	if !errors.As(err, &txn) || txn.Writes != 2000 || txn.Limit != wire.MaxBodyBytes || txn.Bytes <= txn.Limit {
		t.Errorf("a transaction: %v", err)
	}
}
