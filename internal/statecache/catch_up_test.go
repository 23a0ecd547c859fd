package statecache

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/simulation"
	"lynxledge/wire"
)

// loseResponses returns an interceptor that loses the responses to the next n transactions, and
// makes the store unreadable for their member with the first of them.
func loseResponses(store *simulation.Store, n int32) simulation.CommitInterceptor {
	var attempts atomic.Int32
	return func(member string, _ *wire.Txn, execute func() (uint64, error)) (uint64, error) {
		revision, err := execute()
		if attempts.Add(1) > n {
			return revision, err
		}
		store.SetUnreadableFor(member, true)
		return 0, simulation.ErrNoResponse
	}
}

// conflictFixture is a cache over a simulated store.
type conflictFixture struct {
	ctx   context.Context
	store *simulation.Store
	cache *Cache
}

// commitOf returns a commit that creates a job's record.
func commitOf(id wire.JobID) Commit {
	key := Key(KindJob, string(id))
	return Commit{
		Preconditions:     []wire.Precondition{{Key: key}},
		Puts:              []Put{{Key: key, Record: &Job{TaskCount: 1}}},
		RetryUntilCertain: true,
	}
}

// hasJob reports whether the view has a job's record.
func (f *conflictFixture) hasJob(id wire.JobID) bool {
	known, ok := actor.Ask(f.cache.Actor, func(reply func(bool)) { reply(f.cache.view.Jobs[id] != nil) })
	return ok && known
}

// createElsewhere creates a job's record through another controller.
func (f *conflictFixture) createElsewhere(t *testing.T, id wire.JobID) {
	t.Helper()
	conn := newTestConn(f.store)
	conn.Member = "n1"
	txn := &wire.Txn{Writes: []wire.Write{{PutKey: Key(KindJob, string(id)), Value: mustMarshal(&Job{TaskCount: 1})}}}
	if _, err := conn.Commit(f.ctx, txn); err != nil {
		t.Fatal(err)
	}
}

// A conflict ends a commit only once the view includes the conflicting revision, for as long as the
// store can't be read: a caller that decides from the view would miss what an earlier attempt of the
// commit has changed. A scheduler bound tasks a second time that way.
func TestConflictEndsOnceTheViewIncludesIt(t *testing.T) {
	const job = wire.JobID("req-000001")
	for _, test := range []struct {
		name    string
		prepare func(t *testing.T, f *conflictFixture)
	}{
		{"with its own first attempt", func(t *testing.T, f *conflictFixture) {
			f.cache.Run()
			time.Sleep(time.Second)
			f.store.InterceptCommits(loseResponses(f.store, 1))
		}},
		{"with its own first attempt, after more attempts without a response", func(t *testing.T, f *conflictFixture) {
			f.cache.Run()
			time.Sleep(time.Second)
			f.store.InterceptCommits(loseResponses(f.store, 3))
		}},
		{"with another controller", func(t *testing.T, f *conflictFixture) {
			f.cache.Run()
			time.Sleep(time.Second)
			f.store.SetUnreadableFor("n0", true)
			f.createElsewhere(t, job)
		}},
		{"while the view is not loaded", func(t *testing.T, f *conflictFixture) {
			f.store.SetUnreadableFor("n0", true)
			f.createElsewhere(t, job)
			f.cache.Run()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				store := simulation.NewStore()
				f := &conflictFixture{ctx: ctx, store: store, cache: newTestCache(ctx, newTestConn(store), 0)}
				test.prepare(t, f)
				outcomes := make(chan Outcome, 1)
				f.cache.Commit(commitOf(job), func(outcome Outcome) { outcomes <- outcome })
				time.Sleep(time.Minute)
				select {
				case outcome := <-outcomes:
					t.Errorf("%v while the store can't be read; in the view: %v", outcome, f.hasJob(job))
				default:
				}
				store.SetUnreadableFor("n0", false)
				time.Sleep(10 * time.Second)
				select {
				case outcome := <-outcomes:
					if outcome != Conflicted || !f.hasJob(job) {
						t.Errorf("%v; in the view: %v", outcome, f.hasJob(job))
					}
				default:
					t.Error("no outcome though the store can be read")
				}
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}

// A commit that accepts a stale view ends with the first failed read. So users' requests are
// forwarded or refused promptly while the store can't be read.
func TestConflictOnAStaleViewEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		store := simulation.NewStore()
		f := &conflictFixture{ctx: ctx, store: store, cache: newTestCache(ctx, newTestConn(store), 0)}
		f.cache.Run()
		time.Sleep(time.Second)
		store.SetUnreadableFor("n0", true)
		f.createElsewhere(t, "req-000001")
		commit := commitOf("req-000001")
		commit.AcceptStaleView = true
		if outcome, took := commitAndWait(f.cache, commit); outcome != Conflicted || took > time.Second {
			t.Errorf("%v after %v", outcome, took)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}
