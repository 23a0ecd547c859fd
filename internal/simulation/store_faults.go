package simulation

import "time"

// SetOutage starts or ends an outage; after it every lease has its full time.
func (s *Store) SetOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = down
	for _, l := range s.leases {
		l.expiresAt = time.Now().Add(l.ttl)
	}
	s.notifyWatchers()
}

// SetUnavailableFor makes the service refuse one controller, while it serves the others.
func (s *Store) SetUnavailableFor(node string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailableFor[node] = refused
	s.notifyWatchers()
}

// unavailable tells whether a controller is refused; the caller holds the lock.
func (s *Store) unavailable(node string) bool { return s.outage || s.unavailableFor[node] }

// SetDelayedCommits leaves a part of the transactions unanswered; they are carried out 2
// to 12 s later, after newer ones.
func (s *Store) SetDelayedCommits(part float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayedFraction = part
}

func (s *Store) commitDelay() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delayedFraction == 0 || s.rng.Float64() >= s.delayedFraction {
		return 0, false
	}
	return 2*time.Second + time.Duration(s.rng.Int64N(int64(10*time.Second))), true
}
