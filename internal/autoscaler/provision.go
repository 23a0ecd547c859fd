package autoscaler

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"time"

	"lynxledge/internal/cloud"
	"lynxledge/internal/config"
	"lynxledge/internal/planner"
	"lynxledge/internal/resources"
	"lynxledge/internal/scheduler"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// scaleOutAll rents what the plan wants, the pool with the largest need first. A
// pool has one rental under way, whose batches follow each other: one that runs
// short costs one call, not one for every batch.
func (r *Autoscaler) scaleOutAll(rents []planner.ScaleOutRequest) {
	busy := map[resources.Pool]bool{}
	for _, pool := range r.provisioning {
		busy[pool] = true
	}
	for _, i := range r.view.ProvisioningIntents {
		busy[poolOf(i)] = true
	}
	slices.SortStableFunc(rents, func(a, b planner.ScaleOutRequest) int { return cmp.Compare(b.Load, a.Load) })
	for _, want := range rents {
		switch {
		case time.Now().Before(r.exhaustedPools[want.Pool]):
		case busy[want.Pool]:
			r.replanAfterProvisioning = true
		default:
			r.recordIntent(want)
		}
	}
}

func poolOf(i *statecache.ProvisioningIntent) resources.Pool {
	return resources.Pool{MachineType: i.MachineType, Zone: i.Zone, Spot: i.Spot}
}

// recordIntent stores what is to be rented, then rents it.
func (r *Autoscaler) recordIntent(want planner.ScaleOutRequest) {
	lead, ok := r.leadership()
	if !ok {
		return
	}
	r.provisionCount++
	name := fmt.Sprintf("r-%d-%d", r.term, r.provisionCount)
	intent := &statecache.ProvisioningIntent{
		MachineType: want.MachineType, Zone: want.Zone, Spot: want.Spot,
		Count: want.Count, TasksPerMachine: want.Tasks, RequestedAt: statecache.TimestampOf(time.Now()),
	}
	key := statecache.Key(statecache.KindProvisioningIntent, name)
	r.provisioning[name] = want.Pool
	r.commit(statecache.Commit{
		Preconditions: []wire.Precondition{lead.Precondition(), {Key: key}},
		Puts:          []statecache.Put{{Key: key, Record: intent}},
	}, func(out statecache.Outcome) {
		delete(r.provisioning, name)
		if out == statecache.Committed {
			slog.Info("renting",
				"hire", name,
				"type", want.MachineType,
				"zone", want.Zone,
				"spot", want.Spot,
				"count", want.Count,
				"load", math.Round(want.Load*100)/100)
			r.provision(name, intent)
		}
	})
}

// provision makes the next call of a stored intent. Each batch has a name of its
// own; the same name gets the same answer.
func (r *Autoscaler) provision(name string, intent *statecache.ProvisioningIntent) {
	if _, busy := r.provisioning[name]; busy {
		return
	}
	r.provisioning[name] = poolOf(intent)
	go func() {
		machines, err := r.cloud.Provision(r.ctx, wire.ProvisionRequest{
			RequestID: fmt.Sprintf("%s-%d", name, intent.Batch), MachineType: intent.MachineType, Zone: intent.Zone, Spot: intent.Spot,
			Count: min(intent.Count, wire.MaxMachinesPerProvision),
		})
		r.Send(func() { r.handleProvisioned(name, intent, machines, err) })
	}()
}

func (r *Autoscaler) handleProvisioned(name string, intent *statecache.ProvisioningIntent, machines []wire.MachineID, err error) {
	pool := poolOf(intent)
	none := errors.Is(err, cloud.ErrNoCapacity) || errors.Is(err, cloud.ErrInvalidRequest)
	if err != nil && !none {
		slog.Info("rental unanswered", "hire", name, "err", err)
		delete(r.provisioning, name) // the next pass repeats it
		return
	}
	if !r.isLeader() {
		delete(r.provisioning, name)
		return
	}
	slices.Sort(machines)
	asked := min(intent.Count, wire.MaxMachinesPerProvision)
	left, short := intent.Count-asked, none || len(machines) < asked
	if short {
		r.exhaustedPools[pool] = time.Now().Add(r.config.Operator.PlanningIntervals(exhaustionCycles))
		if r.onPoolExhausted != nil {
			r.onPoolExhausted(pool, r.exhaustedPools[pool])
		}
		r.abandonSlowBoots(pool)
		slog.Info("cloud gave less",
			"hire", name,
			"batch", intent.Batch,
			"type", intent.MachineType,
			"zone", intent.Zone,
			"spot", intent.Spot,
			"asked", intent.Count,
			"got", len(machines))
		left = 0
	}
	r.recordMachines(name, intent, left, machines, short)
}

// abandonSlowBoots returns the machines of a pool whose boots drag on: while they
// are held, the cloud may have no other to give in their place.
func (r *Autoscaler) abandonSlowBoots(pool resources.Pool) {
	for m, b := range r.view.Machines {
		if b.MachineType == pool.MachineType && b.Zone == pool.Zone && b.Spot == pool.Spot && r.isBootOverdue(b, time.Now()) {
			r.scaleIn(m, "boot drags on and no other is to be had")
		}
	}
}

// isBootOverdue tells whether a machine has been starting for longer than is usual.
func (r *Autoscaler) isBootOverdue(b *statecache.Machine, now time.Time) bool {
	return b.Incarnation == 0 && now.Sub(b.ProvisionedAt.Time()) > config.Seconds(scheduler.UsualBootFactor*r.bootSeconds(b.MachineType))
}

// exhaustionCycles is for how many passes a pool that ran short is left alone.
const exhaustionCycles = 4

// recordMachines writes the machines of a batch, in as many groups as their records
// need. With the last, the intent goes on to the next batch, or goes. Every such
// commit is guarded on the intent and rewrites it: a group may have been merged
// into another since, and a late copy of the commit that made it would bring its
// machines back with nothing bound to them. short tells that the cloud had fewer
// than were asked for.
func (r *Autoscaler) recordMachines(name string, intent *statecache.ProvisioningIntent, left int, machines []wire.MachineID, short bool) {
	rest := slices.DeleteFunc(machines, func(m wire.MachineID) bool {
		_, returned := r.terminatedAt[m]
		return returned || !wire.ValidMachineName(string(m)) || r.view.Machines[m] != nil
	})
	stored := r.view.ProvisioningIntents[name]
	lead, leads := r.leadership()
	if stored == nil || !leads {
		delete(r.provisioning, name) // who leads then repeats the call
		return
	}
	s := r.config.Params.Store
	per := statecache.MachinesPerGroup(int(float64(s.ValueSizeLimit())*groupFillShare), intent.TasksPerMachine)
	key := statecache.Key(statecache.KindProvisioningIntent, name)
	c := statecache.Commit{Preconditions: []wire.Precondition{lead.Precondition(), {Key: key, ModRevision: stored.ModRevision}}, RetryFor: r.config.Operator.PlanningInterval}
	for len(rest) > 0 && len(c.Puts) < s.TxnOpsLimit()-1 {
		n := min(per, len(rest))
		group := fmt.Sprintf("%s.%s", name, rest[0])
		bind := statecache.Key(statecache.KindMachineGroup, group)
		c.Preconditions = append(c.Preconditions, wire.Precondition{Key: bind})
		c.Puts = append(c.Puts, statecache.Put{Key: bind, Record: statecache.NewMachineGroup(statecache.GroupOptions{
			Name: group, MachineType: intent.MachineType, Zone: intent.Zone, Spot: intent.Spot, ProvisionedAt: intent.RequestedAt,
			Machines: rest[:n], FencingToken: statecache.FirstToken(r.term),
		})})
		rest = rest[n:]
	}
	next := *intent
	if len(rest) == 0 && left > 0 {
		next.Count, next.Batch, next.RequestedAt = left, intent.Batch+1, statecache.TimestampOf(time.Now())
	}
	if len(rest) > 0 || left > 0 {
		c.Puts = append(c.Puts, statecache.Put{Key: key, Record: &next})
	} else {
		c.Deletes = []string{key}
	}
	r.commit(c, func(out statecache.Outcome) {
		if out == statecache.Committed && len(rest) > 0 {
			r.recordMachines(name, intent, left, rest, short)
			return
		}
		delete(r.provisioning, name)
		if out == statecache.Committed && left > 0 {
			r.provision(name, &next)
		}
		// A pool that ran short is planned without at once: waiting for the next
		// pass at every refusal would leave work without a machine for as many
		// passes as there are pools. Not before its intent is gone, though: until
		// then its machines count as rented. So it is with what was wanted of a
		// pool while this rental was under way.
		if short || r.replanAfterProvisioning {
			r.replanAfterProvisioning = false
			r.planAndApply()
		}
	})
}

// groupFillShare is the part of the value limit that a group's record is planned to
// fill when its machines are in use.
const groupFillShare = 0.8

func (r *Autoscaler) bootSeconds(typ string) float64 {
	for i := range r.machineTypes {
		if r.machineTypes[i].Name == typ {
			return float64(r.machineTypes[i].BootTime)
		}
	}
	return r.config.Operator.BootLag.Seconds()
}
