package simulation

import (
	"time"

	"lynxledge/wire"
)

// sentTimes holds when each transaction was first sent, which is close to when it was decided: one
// that is retried, or held by a partition, is committed much later.
type sentTimes struct {
	byTxn      map[*wire.Txn]time.Time
	byRevision map[uint64]time.Time
}

// recordSent records when a transaction is sent, unless it is a retry.
func (s *Store) recordSent(txn *wire.Txn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sentTimes.byTxn == nil {
		s.sentTimes = sentTimes{byTxn: map[*wire.Txn]time.Time{}, byRevision: map[uint64]time.Time{}}
	}
	if _, known := s.sentTimes.byTxn[txn]; !known {
		s.sentTimes.byTxn[txn] = time.Now()
	}
}

// recordCommitted records the sent time of a transaction by its revision, the current one; the
// caller holds the lock.
func (s *Store) recordCommitted(txn *wire.Txn) {
	if sent, known := s.sentTimes.byTxn[txn]; known {
		s.sentTimes.byRevision[s.revision] = sent
	}
}

// FirstSentAt returns when the transaction that created a revision was first sent; zero if the
// revision was not created by a transaction that was sent.
func (s *Store) FirstSentAt(revision uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sentTimes.byRevision[revision]
}
