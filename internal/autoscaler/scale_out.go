package autoscaler

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"time"

	"lynxledge/internal/cloud"
	"lynxledge/internal/planner"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// exhaustionCycles is for how many planning cycles an exhausted pool is left alone.
const exhaustionCycles = 4

// scaleOut provisions what the plan wants, the pool with the largest load first. A pool has
// one intent at a time, whose batches follow each other: one that falls short costs one call,
// not one for every batch.
func (r *Autoscaler) scaleOut(requests []planner.ScaleOutRequest) {
	busy := r.provisioning.busyPools(r.view.ProvisioningIntents)
	slices.SortStableFunc(requests, func(a, b planner.ScaleOutRequest) int { return cmp.Compare(b.Load, a.Load) })
	for _, request := range requests {
		switch {
		case r.provisioning.isExhausted(request.Pool, time.Now()):
		case busy[request.Pool]:
			r.provisioning.replanWhenDone = true
		default:
			r.recordIntent(request)
		}
	}
}

// recordIntent stores what is to be provisioned, then provisions it.
func (r *Autoscaler) recordIntent(request planner.ScaleOutRequest) {
	lead, ok := r.leadership()
	if !ok {
		return
	}
	name := r.provisioning.nextIntentName()
	intent := &statecache.ProvisioningIntent{
		MachineType:     request.MachineType,
		Zone:            request.Zone,
		Spot:            request.Spot,
		Count:           request.Count,
		TasksPerMachine: request.TasksPerMachine,
		RequestedAt:     statecache.TimestampOf(time.Now()),
	}
	key := statecache.Key(statecache.KindProvisioningIntent, name)
	r.provisioning.begin(name, request.Pool)
	r.commit(statecache.Commit{
		Preconditions: []wire.Precondition{lead.Precondition(), {Key: key}},
		Puts:          []statecache.Put{{Key: key, Record: intent}},
	}, func(outcome statecache.Outcome) {
		r.provisioning.finish(name)
		if outcome == statecache.Committed {
			slog.Info("provisioning intent recorded",
				"intent", name,
				"machine_type", request.MachineType,
				"zone", request.Zone,
				"spot", request.Spot,
				"count", request.Count,
				"load", math.Round(request.Load*100)/100)
			r.provision(name, intent)
		}
	})
}

// provision makes the next call of a stored intent. Each batch has a request ID of its own; the
// same request ID gets the same answer.
func (r *Autoscaler) provision(name string, intent *statecache.ProvisioningIntent) {
	if !r.provisioning.begin(name, intentPool(intent)) {
		return
	}
	request := wire.ProvisionRequest{
		RequestID:   fmt.Sprintf("%s-%d", name, intent.Batch),
		MachineType: intent.MachineType,
		Zone:        intent.Zone,
		Spot:        intent.Spot,
		Count:       batchSize(intent),
	}
	callOutside(r,
		func(ctx context.Context) ([]wire.MachineID, error) { return r.cloud.Provision(ctx, request) },
		func(machines []wire.MachineID, err error) { r.handleProvisioned(name, intent, machines, err) })
}

// batchSize is how many machines the next call of an intent asks for.
func batchSize(intent *statecache.ProvisioningIntent) int {
	return min(intent.Count, wire.MaxMachinesPerProvision)
}

// handleProvisioned takes the cloud's answer to a batch.
func (r *Autoscaler) handleProvisioned(name string, intent *statecache.ProvisioningIntent, machines []wire.MachineID, err error) {
	rejected := errors.Is(err, cloud.ErrNoCapacity) || errors.Is(err, cloud.ErrInvalidRequest)
	if err != nil && !rejected {
		slog.Info("provision outcome unknown", "intent", name, "error", err)
		r.provisioning.finish(name) // the next planning cycle repeats the call
		return
	}
	if !r.isLeader() {
		r.provisioning.finish(name)
		return
	}
	slices.Sort(machines)
	batch := &provisionedBatch{
		intentName: name,
		intent:     intent,
		remaining:  intent.Count - batchSize(intent),
		short:      rejected || len(machines) < batchSize(intent),
	}
	if batch.short {
		batch.remaining = 0
		r.handleShortfall(batch, len(machines))
	}
	r.recordMachines(batch, machines)
}

// handleShortfall has the pool of a batch left alone for a while: the cloud had fewer machines
// than were asked for.
func (r *Autoscaler) handleShortfall(batch *provisionedBatch, provisioned int) {
	intent, pool := batch.intent, intentPool(batch.intent)
	until := time.Now().Add(r.config.Operator.PlanningIntervals(exhaustionCycles))
	r.provisioning.markExhausted(pool, until)
	if r.onPoolExhausted != nil {
		r.onPoolExhausted(pool, until)
	}
	r.abandonSlowBoots(pool)
	slog.Info("capacity shortfall",
		"intent", batch.intentName,
		"batch", intent.Batch,
		"machine_type", intent.MachineType,
		"zone", intent.Zone,
		"spot", intent.Spot,
		"requested", intent.Count,
		"provisioned", provisioned)
}

// abandonSlowBoots scales in the machines of a pool whose boots are overdue: while they exist,
// the cloud may have no others to give in their place.
func (r *Autoscaler) abandonSlowBoots(pool resources.Pool) {
	for name, m := range r.view.Machines {
		if machinePool(m) == pool && r.machineTypes.isBootOverdue(m, time.Now()) {
			r.scaleIn(name, drainReasonSlowBoot)
		}
	}
}
