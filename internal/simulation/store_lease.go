package simulation

import (
	"time"

	"lynxledge/internal/kvstore"
	"lynxledge/wire"
)

// lease is a granted lease; the keys that are attached to it are deleted when it expires.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// expireLeases removes expired leases and their keys; the caller holds the lock.
func (s *Store) expireLeases() {
	if s.outage {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.expiresAt) {
			continue
		}
		delete(s.leases, id)
		for k, e := range s.keys {
			if e.lease == id {
				s.revision++
				delete(s.keys, k)
				s.expiredKeys[k] = true
				s.events = append(s.events, wire.Event{DeletedKey: k, ModRevision: s.revision})
			}
		}
		s.notifyWatchers()
	}
}

// LeaseExpired reports whether a key was ever deleted because its lease expired.
func (s *Store) LeaseExpired(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.expiredKeys[key]
}

func (s *Store) grant(member string, ttl time.Duration) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable(member) {
		return 0, kvstore.ErrRejected
	}
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl, time.Now().Add(ttl)}
	return s.lastLeaseID, nil
}

func (s *Store) renew(member string, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.unavailable(member) {
		return kvstore.ErrRejected
	}
	l := s.leases[id]
	if l == nil {
		return kvstore.ErrNotFound
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return nil
}
