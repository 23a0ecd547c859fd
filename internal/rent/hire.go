package rent

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
	"lynxledge/internal/place"
	"lynxledge/internal/plan"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// rentAll rents what the plan wants, the pool with the largest need first. A
// pool has one rental under way, whose batches follow each other: one that runs
// short costs one call, not one for every batch.
func (r *Renter) rentAll(rents []plan.Rent) {
	busy := map[plan.Pool]bool{}
	for _, pool := range r.hiring {
		busy[pool] = true
	}
	for _, i := range r.view.ProvisioningIntents {
		busy[poolOf(i)] = true
	}
	slices.SortStableFunc(rents, func(a, b plan.Rent) int { return cmp.Compare(b.Load, a.Load) })
	for _, want := range rents {
		switch {
		case time.Now().Before(r.refused[want.Pool]):
		case busy[want.Pool]:
			r.missed = true
		default:
			r.intend(want)
		}
	}
}

func poolOf(i *statecache.ProvisioningIntent) plan.Pool {
	return plan.Pool{Type: i.MachineType, Zone: i.Zone, Spot: i.Spot}
}

// intend stores what is to be rented, then rents it.
func (r *Renter) intend(want plan.Rent) {
	lead, ok := r.lead()
	if !ok {
		return
	}
	r.hires++
	name := fmt.Sprintf("r-%d-%d", r.term, r.hires)
	intent := &statecache.ProvisioningIntent{
		MachineType: want.Type, Zone: want.Zone, Spot: want.Spot,
		Count: want.Count, TasksPerMachine: want.Tasks, RequestedAt: time.Now().UnixMilli(),
	}
	key := statecache.Key(statecache.KindProvisioningIntent, name)
	r.hiring[name] = want.Pool
	r.commit(statecache.Commit{
		Preconditions: []wire.Precondition{lead.Precondition(), {Key: key}},
		Puts:          []statecache.Put{{Key: key, Record: intent}},
	}, func(out statecache.Outcome) {
		delete(r.hiring, name)
		if out == statecache.Committed {
			slog.Info("renting",
				"hire", name,
				"type", want.Type,
				"zone", want.Zone,
				"spot", want.Spot,
				"count", want.Count,
				"load", math.Round(want.Load*100)/100)
			r.hire(name, intent)
		}
	})
}

// hire makes the next call of a stored intent. Each batch has a name of its
// own; the same name gets the same answer.
func (r *Renter) hire(name string, intent *statecache.ProvisioningIntent) {
	if _, busy := r.hiring[name]; busy {
		return
	}
	r.hiring[name] = poolOf(intent)
	go func() {
		machines, err := r.cloud.Hire(r.ctx, wire.ProvisionRequest{
			RequestID: fmt.Sprintf("%s-%d", name, intent.Batch), MachineType: intent.MachineType, Zone: intent.Zone, Spot: intent.Spot,
			Count: min(intent.Count, wire.MaxMachinesPerProvision),
		})
		r.Send(func() { r.hired(name, intent, machines, err) })
	}()
}

func (r *Renter) hired(name string, intent *statecache.ProvisioningIntent, machines []string, err error) {
	pool := poolOf(intent)
	none := errors.Is(err, cloud.ErrNoCapacity) || errors.Is(err, cloud.ErrMalformed)
	if err != nil && !none {
		slog.Info("rental unanswered", "hire", name, "err", err)
		delete(r.hiring, name) // the next pass repeats it
		return
	}
	if !r.leads() {
		delete(r.hiring, name)
		return
	}
	slices.Sort(machines)
	asked := min(intent.Count, wire.MaxMachinesPerProvision)
	left, short := intent.Count-asked, none || len(machines) < asked
	if short {
		r.refused[pool] = time.Now().Add(config.Seconds(r.cfg.Operator.PlanningInterval * refusalPasses))
		if r.onRefused != nil {
			r.onRefused(pool, r.refused[pool])
		}
		r.giveUpBoots(pool)
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
	r.record(name, intent, left, machines, short)
}

// giveUpBoots returns the machines of a pool whose boots drag on: while they
// are held, the cloud may have no other to give in their place.
func (r *Renter) giveUpBoots(pool plan.Pool) {
	for m, b := range r.view.Machines {
		if b.MachineType == pool.Type && b.Zone == pool.Zone && b.Spot == pool.Spot && r.bootOverdue(b, time.Now()) {
			r.close(m, "boot drags on and no other is to be had")
		}
	}
}

// bootOverdue tells whether a machine has been starting for longer than is usual.
func (r *Renter) bootOverdue(b *statecache.Machine, now time.Time) bool {
	return b.Incarnation == 0 && now.Sub(time.UnixMilli(b.ProvisionedAt)) > config.Seconds(place.BootUsual*r.bootS(b.MachineType))
}

// refusalPasses is for how many passes a pool that ran short is left alone.
const refusalPasses = 4

// record writes the machines of a batch, in as many groups as their records
// need. With the last, the intent goes on to the next batch, or goes. Every such
// commit is guarded on the intent and rewrites it: a group may have been merged
// into another since, and a late copy of the commit that made it would bring its
// machines back with nothing bound to them. short tells that the cloud had fewer
// than were asked for.
func (r *Renter) record(name string, intent *statecache.ProvisioningIntent, left int, machines []string, short bool) {
	rest := slices.DeleteFunc(machines, func(m string) bool {
		_, returned := r.deleted[m]
		return returned || !wire.ValidMachineName(m) || r.view.Machines[m] != nil
	})
	stored := r.view.ProvisioningIntents[name]
	lead, leads := r.lead()
	if stored == nil || !leads {
		delete(r.hiring, name) // who leads then repeats the call
		return
	}
	s := r.cfg.Params.Store
	per := statecache.MachinesPerGroup(int(float64(s.ValueSizeLimit())*groupFill), intent.TasksPerMachine)
	key := statecache.Key(statecache.KindProvisioningIntent, name)
	c := statecache.Commit{Preconditions: []wire.Precondition{lead.Precondition(), {Key: key, ModRevision: stored.ModRevision}}, RetryFor: config.Seconds(r.cfg.Operator.PlanningInterval)}
	for len(rest) > 0 && len(c.Puts) < s.TxnOpsLimit()-1 {
		n := min(per, len(rest))
		group := fmt.Sprintf("%s.%s", name, rest[0])
		bind := statecache.Key(statecache.KindMachineGroup, group)
		c.Preconditions = append(c.Preconditions, wire.Precondition{Key: bind})
		c.Puts = append(c.Puts, statecache.Put{Key: bind, Record: statecache.NewMachineGroup(group, intent.MachineType, intent.Zone, intent.Spot, intent.RequestedAt, rest[:n], statecache.FirstToken(r.term))})
		rest = rest[n:]
	}
	next := *intent
	if len(rest) == 0 && left > 0 {
		next.Count, next.Batch, next.RequestedAt = left, intent.Batch+1, time.Now().UnixMilli()
	}
	if len(rest) > 0 || left > 0 {
		c.Puts = append(c.Puts, statecache.Put{Key: key, Record: &next})
	} else {
		c.Deletes = []string{key}
	}
	r.commit(c, func(out statecache.Outcome) {
		if out == statecache.Committed && len(rest) > 0 {
			r.record(name, intent, left, rest, short)
			return
		}
		delete(r.hiring, name)
		if out == statecache.Committed && left > 0 {
			r.hire(name, &next)
		}
		// A pool that ran short is planned without at once: waiting for the next
		// pass at every refusal would leave work without a machine for as many
		// passes as there are pools. Not before its intent is gone, though: until
		// then its machines count as rented. So it is with what was wanted of a
		// pool while this rental was under way.
		if short || r.missed {
			r.missed = false
			r.decide()
		}
	})
}

// groupFill is the part of the value limit that a group's record is planned to
// fill when its machines are in use.
const groupFill = 0.8

func (r *Renter) bootS(typ string) float64 {
	for i := range r.types {
		if r.types[i].Name == typ {
			return r.types[i].BootTime
		}
	}
	return r.cfg.Operator.BootLag
}
