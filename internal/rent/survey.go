package rent

import (
	"log/slog"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/election"
	"lynxledge/internal/plan"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// listShare is the part of the leader's calls to the cloud that reading its list may
// take: a fleet's list has many pages, and rentals wait behind them.
const listShare = 0.25

// listPause is the least time between two readings of a list of so many machines.
func (r *Renter) listPause(machines int) time.Duration {
	pages := machines/wire.MaxInstancesPerPage + 1
	return config.Seconds(float64(pages) / (r.cfg.Params.Cloud.RequestRate * r.cfg.Operator.CloudRateShare * listShare))
}

// list reads the cloud's machines and deals with what is unexpected.
func (r *Renter) list() {
	if r.listing || time.Since(r.listed) < r.listPause(len(r.view.Machines)) {
		return
	}
	r.listing, r.listed = true, time.Now()
	go func() {
		hosts, err := r.cloud.List(r.ctx)
		r.Send(func() {
			r.listing = false
			if err != nil {
				slog.Info("machine list not read", "err", err)
				return
			}
			if lead, ok := r.lead(); ok {
				r.survey(lead, hosts)
			}
		})
	}()
}

// survey adopts unexpected machines and closes failed ones.
func (r *Renter) survey(lead election.Leadership, hosts []wire.Instance) {
	now := time.Now()
	lag := config.Seconds(r.cfg.Params.Cloud.ListLag)
	for m, t := range r.deleted {
		if now.Sub(t) > 6*lag {
			delete(r.deleted, m)
		}
	}
	renting := map[plan.Pool]bool{}
	for _, i := range r.view.ProvisioningIntents {
		renting[poolOf(i)] = true
	}
	c := statecache.Commit{Preconditions: []wire.Precondition{lead.Precondition()}}
	for _, h := range hosts {
		id := h.ID
		b := r.view.Machines[id]
		if b != nil {
			if h.State == wire.InstanceFailed {
				r.close(id, statecache.DrainFailed)
			}
			continue
		}
		// A machine that was returned is listed for a while. What this process
		// saw returned it remembers; for the rest it waits until no list shows it.
		_, late := r.deleted[id]
		if late || now.Sub(r.begun) < 3*lag || !wire.ValidMachineName(id) || renting[plan.Pool{Type: h.MachineType, Zone: h.Zone, Spot: h.Spot}] ||
			len(c.Puts) >= r.cfg.Params.Store.TxnOpsLimit() {
			continue
		}
		slog.Info("unexpected machine adopted", "machine", id, "type", h.MachineType, "zone", h.Zone, "spot", h.Spot)
		group := statecache.AdoptedGroupName(id)
		key := statecache.Key(statecache.KindMachineGroup, group)
		c.Preconditions = append(c.Preconditions, wire.Precondition{Key: key})
		rentedAt := now.UnixMilli() - int64(h.Age*1000)
		record := statecache.NewMachineGroup(group, h.MachineType, h.Zone, h.Spot, rentedAt, []string{id}, statecache.FirstToken(r.term))
		c.Puts = append(c.Puts, statecache.Put{Key: key, Record: record})
	}
	if len(c.Puts) > 0 {
		r.commit(c, func(statecache.Outcome) {})
	}
}
