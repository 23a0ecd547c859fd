package simulation

import (
	"time"

	"lynxledge/wire"
)

// sentTimes remember when each transaction was sent for the first time. One that is
// repeated, or held back by a cut, is carried out long after it was decided.
type sentTimes struct {
	byTxn      map[*wire.Txn]time.Time
	byRevision map[uint64]time.Time // by revision
}

// noteSent records that a transaction is about to be sent, perhaps again.
func (s *Store) noteSent(txn *wire.Txn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sentTimes.byTxn == nil {
		s.sentTimes = sentTimes{byTxn: map[*wire.Txn]time.Time{}, byRevision: map[uint64]time.Time{}}
	}
	if _, known := s.sentTimes.byTxn[txn]; !known {
		s.sentTimes.byTxn[txn] = time.Now()
	}
}

// noteCommitted records the revision of a transaction; the caller holds the lock.
func (s *Store) noteCommitted(txn *wire.Txn) {
	if sent, known := s.sentTimes.byTxn[txn]; known {
		s.sentTimes.byRevision[s.revision] = sent
	}
}

// FirstSentAt is when the transaction that made a revision was sent for the first time.
func (s *Store) FirstSentAt(revision uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sentTimes.byRevision[revision]
}
