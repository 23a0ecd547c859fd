package simulation

import (
	"time"

	"lynxledge/wire"
)

// SetOutage starts or ends an outage. No lease expires during it, and after it each has its full
// TTL again.
func (s *Store) SetOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = down
	for _, l := range s.leases {
		l.expiresAt = time.Now().Add(l.ttl)
	}
	s.notifyWatchers()
}

// SetUnavailableFor makes the store reject the requests of one member, or serve them again.
func (s *Store) SetUnavailableFor(member string, unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailableFor[member] = unavailable
	s.notifyWatchers()
}

// SetUnreadableFor makes the store reject the reads of one member, while it executes the member's
// transactions, or serve them again.
func (s *Store) SetUnreadableFor(member string, unreadable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreadableFor[member] = unreadable
	s.notifyWatchers()
}

// unreadable reports whether reads of a member are rejected; the caller holds the lock.
func (s *Store) unreadable(member string) bool {
	return s.unavailable(member) || s.unreadableFor[member]
}

// CommitInterceptor handles a transaction of a member in place of the store. execute has the store
// handle it; ErrNoResponse stands for a response that is lost, whether it was executed or not.
type CommitInterceptor func(member string, txn *wire.Txn, execute func() (uint64, error)) (uint64, error)

// InterceptCommits makes an interceptor handle all transactions from now on, for tests that
// control the order of events; nil: the store handles them.
func (s *Store) InterceptCommits(interceptor CommitInterceptor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interceptCommit = interceptor
}

// handleCommit has the interceptor, if there is one, handle a transaction.
func (s *Store) handleCommit(member string, txn *wire.Txn) (uint64, error) {
	s.mu.Lock()
	intercept := s.interceptCommit
	s.mu.Unlock()
	if intercept == nil {
		return s.commit(member, txn)
	}
	return intercept(member, txn, func() (uint64, error) { return s.commit(member, txn) })
}

// unavailable reports whether requests of a member are rejected; the caller holds the lock.
func (s *Store) unavailable(member string) bool { return s.outage || s.unavailableFor[member] }

// SetDelayedCommits leaves a fraction of the transactions unanswered; they are committed 2 to
// 12 s later, perhaps after newer ones.
func (s *Store) SetDelayedCommits(fraction float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayedFraction = fraction
}

// commitDelay decides at random whether the next commit is delayed, and for how long.
func (s *Store) commitDelay() (delay time.Duration, delayed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delayedFraction == 0 || s.rng.Float64() >= s.delayedFraction {
		return 0, false
	}
	return 2*time.Second + time.Duration(s.rng.Int64N(int64(10*time.Second))), true
}
