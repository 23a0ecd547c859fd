package simulation

import (
	"time"

	"lynxledge/wire"
)

// decisions remember when each transaction was sent for the first time. One that is
// repeated, or held back by a cut, is carried out long after it was decided.
type decisions struct {
	sent map[*wire.Txn]time.Time
	made map[uint64]time.Time // by revision
}

// sending notes that a transaction is about to be sent, perhaps again.
func (s *Store) sending(txn *wire.Txn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.decisions.sent == nil {
		s.decisions = decisions{sent: map[*wire.Txn]time.Time{}, made: map[uint64]time.Time{}}
	}
	if _, known := s.decisions.sent[txn]; !known {
		s.decisions.sent[txn] = time.Now()
	}
}

// carriedOut notes the revision of a transaction; the caller holds the lock.
func (s *Store) carriedOut(txn *wire.Txn) {
	if sent, known := s.decisions.sent[txn]; known {
		s.decisions.made[s.rev] = sent
	}
}

// Decided is when the transaction that made a revision was sent for the first time.
func (s *Store) Decided(revision uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decisions.made[revision]
}
