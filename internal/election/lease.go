package election

import (
	"errors"
	"log/slog"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/kvstore"
)

// lease is the lease that this controller's membership and leader records are attached to.
type lease struct {
	id                 uint64    // 0: none is held
	renewedAt          time.Time // when the grant arrived, or when the last successful renewal was started
	renewalAttemptedAt time.Time // start of the last renewal request, successful or not
}

// checksPerLeaseTTL is how many times per TTL the lease is checked. A renewal that gets no response
// is retried at the next check.
const checksPerLeaseTTL = 2 * config.RenewalsPerLeaseTTL

// renewalDue reports whether the lease should be renewed now: the renewal interval has passed since
// the last successful renewal, and the check interval since the last attempt. Half a check
// interval is subtracted from both, so that a check that runs slightly early does not leave the
// renewal to the next check.
func (l *lease) renewalDue(now time.Time, ttl time.Duration) bool {
	tolerance := ttl / checksPerLeaseTTL / 2
	return now.Sub(l.renewedAt) >= ttl/config.RenewalsPerLeaseTTL-tolerance &&
		now.Sub(l.renewalAttemptedAt) >= ttl/checksPerLeaseTTL-tolerance
}

// maintainLease requests or renews the lease when that is due. A renewal waits neither for other
// requests nor for earlier renewals, since a request that gets no response takes long to fail. If
// nothing is due, it reconciles, so that requests that failed are retried.
func (e *Election) maintainLease() {
	switch {
	case e.resigned:
	case e.lease.id == 0:
		if !e.requestInFlight {
			e.grantLease()
		}
	case e.lease.renewalDue(time.Now(), e.options.LeaseTTL):
		e.renewLease()
	default:
		e.reconcile()
	}
}

func (e *Election) grantLease() {
	e.requestInFlight = true
	go func() {
		id, err := e.leases.GrantLease(e.ctx, e.options.LeaseTTL)
		e.Send(func() {
			e.requestInFlight = false
			if err != nil {
				slog.Debug("lease not granted", "error", err)
				return
			}
			e.lease = lease{id: id, renewedAt: time.Now()}
			e.reconcile()
		})
	}()
}

func (e *Election) renewLease() {
	id, startedAt := e.lease.id, time.Now()
	e.lease.renewalAttemptedAt = startedAt
	go func() {
		err := e.leases.RenewLease(e.ctx, id)
		e.Send(func() { e.handleRenewalResult(id, startedAt, err) })
	}()
}

// handleRenewalResult handles the result of a renewal. It ignores the result if the lease has been
// replaced by another one since.
func (e *Election) handleRenewalResult(id uint64, startedAt time.Time, err error) {
	if id != e.lease.id {
		return
	}
	switch {
	case err == nil:
		if startedAt.After(e.lease.renewedAt) {
			e.lease.renewedAt = startedAt
		}
	case errors.Is(err, kvstore.ErrNotFound):
		slog.Info("membership lease expired", "lease", id)
		e.lease.id = 0
		e.maintainLease()
	}
	e.reconcile()
}
