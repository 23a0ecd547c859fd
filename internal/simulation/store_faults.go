package simulation

import "time"

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
