package election

import (
	"errors"
	"log/slog"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/kvstore"
)

// lease is the lease that membership and leadership are attached to.
type lease struct {
	id        uint64    // 0: there is none
	renewedAt time.Time // when it was granted, or the start of the request that renewed it last
}

// maintainLease has the lease granted or renewed when that is due.
func (e *Election) maintainLease() {
	switch {
	case e.isBusy():
	case e.lease.id == 0:
		e.grantLease()
	case time.Since(e.lease.renewedAt) > e.options.LeaseTTL/config.RenewalsPerLeaseTTL:
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
	id, begun := e.lease.id, time.Now()
	e.requestInFlight = true
	go func() {
		err := e.leases.RenewLease(e.ctx, id)
		e.Send(func() {
			e.requestInFlight = false
			switch {
			case err == nil:
				e.lease.renewedAt = begun
			case errors.Is(err, kvstore.ErrNotFound):
				slog.Info("membership lease expired", "lease", id)
				e.lease.id = 0
				e.maintainLease()
			}
			e.reconcile()
		})
	}()
}
