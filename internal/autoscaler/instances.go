package autoscaler

import (
	"log/slog"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/election"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// listRateShare is the part of the leader's calls to the cloud that reading its list may
// take: a fleet's list has many pages, and rentals wait behind them.
const listRateShare = 0.25

// listInterval is the least time between two readings of a list of so many machines.
func (r *Autoscaler) listInterval(machines int) time.Duration {
	pages := machines/wire.MaxInstancesPerPage + 1
	return config.Seconds(float64(pages) / (r.config.Params.Cloud.RequestRate * r.config.Operator.CloudRateShare * listRateShare))
}

// listInstances reads the cloud's machines and deals with what is unexpected.
func (r *Autoscaler) listInstances() {
	if r.listInFlight || time.Since(r.lastListed) < r.listInterval(len(r.view.Machines)) {
		return
	}
	r.listInFlight, r.lastListed = true, time.Now()
	go func() {
		hosts, err := r.cloud.List(r.ctx)
		r.Send(func() {
			r.listInFlight = false
			if err != nil {
				slog.Info("machine list not read", "err", err)
				return
			}
			if lead, ok := r.leadership(); ok {
				r.reconcileInstances(lead, hosts)
			}
		})
	}()
}

// reconcileInstances adopts unexpected machines and closes failed ones.
func (r *Autoscaler) reconcileInstances(lead election.Leadership, hosts []wire.Instance) {
	now := time.Now()
	lag := r.config.Params.Cloud.ListLag
	for m, t := range r.terminatedAt {
		if now.Sub(t) > 6*lag {
			delete(r.terminatedAt, m)
		}
	}
	renting := map[resources.Pool]bool{}
	for _, i := range r.view.ProvisioningIntents {
		renting[poolOf(i)] = true
	}
	c := statecache.Commit{Preconditions: []wire.Precondition{lead.Precondition()}}
	for _, h := range hosts {
		id := h.ID
		b := r.view.Machines[id]
		if b != nil {
			if h.State == wire.InstanceFailed {
				r.scaleIn(id, statecache.DrainFailed)
			}
			continue
		}
		// A machine that was returned is listed for a while. What this process
		// saw returned it remembers; for the rest it waits until no list shows it.
		_, late := r.terminatedAt[id]
		if late || now.Sub(r.startedAt) < 3*lag || !wire.ValidMachineName(string(id)) || renting[resources.Pool{MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot}] ||
			len(c.Puts) >= r.config.Params.Store.TxnOpsLimit() {
			continue
		}
		slog.Info("unexpected machine adopted", "machine", id, "type", h.MachineType, "zone", h.Zone, "spot", h.Spot)
		group := statecache.AdoptedGroupName(id)
		key := statecache.Key(statecache.KindMachineGroup, group)
		c.Preconditions = append(c.Preconditions, wire.Precondition{Key: key})
		provisionedAt := statecache.TimestampOf(now) - statecache.Timestamp(float64(h.Age)*1000)
		record := statecache.NewMachineGroup(statecache.GroupOptions{
			Name: group, MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot, ProvisionedAt: provisionedAt,
			Machines: []wire.MachineID{id}, FencingToken: statecache.FirstToken(r.term),
		})
		c.Puts = append(c.Puts, statecache.Put{Key: key, Record: record})
	}
	if len(c.Puts) > 0 {
		r.commit(c, func(statecache.Outcome) {})
	}
}
