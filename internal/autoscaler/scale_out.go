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

// exhaustionCycles is the number of planning cycles for which nothing is provisioned from an
// exhausted pool.
const exhaustionCycles = 4

// scaleOut provisions the machines that the plan requests, the pool with the largest load first. A
// pool has one intent at a time, whose batches run one after the other, so that a shortfall costs
// one call and not one for every batch.
func (a *Autoscaler) scaleOut(requests []planner.ScaleOutRequest) {
	busy := a.provisioning.busyPools(a.view.ProvisioningIntents)
	slices.SortStableFunc(requests, func(a, b planner.ScaleOutRequest) int { return cmp.Compare(b.Load, a.Load) })
	for _, request := range requests {
		switch {
		case a.provisioning.isExhausted(request.Pool, time.Now()):
		case busy[request.Pool]:
			a.provisioning.replanWhenDone = true
		default:
			a.recordIntent(request)
		}
	}
}

// recordIntent stores an intent for a request, then makes its first call.
func (a *Autoscaler) recordIntent(request planner.ScaleOutRequest) {
	lead, ok := a.leadership()
	if !ok {
		return
	}
	name := a.provisioning.nextIntentName()
	intent := &statecache.ProvisioningIntent{
		MachineType:     request.MachineType,
		Zone:            request.Zone,
		Spot:            request.Spot,
		Count:           request.Count,
		TasksPerMachine: request.TasksPerMachine,
		RequestedAt:     statecache.TimestampOf(time.Now()),
	}
	key := statecache.Key(statecache.KindProvisioningIntent, name)
	a.provisioning.begin(name, request.Pool)
	a.commit(statecache.Commit{
		Preconditions:     []wire.Precondition{lead.Precondition(), {Key: key}},
		Puts:              []statecache.Put{{Key: key, Record: intent}},
		RetryUntilCertain: true, // until then the pool is busy: a plan would request its machines again
	}, func(outcome statecache.Outcome) {
		a.provisioning.finish(name)
		if outcome == statecache.Committed {
			slog.Info("provisioning intent recorded",
				"intent", name,
				"machine_type", request.MachineType,
				"zone", request.Zone,
				"spot", request.Spot,
				"count", request.Count,
				"load", math.Round(request.Load*100)/100)
			a.provision(name, intent)
		}
	})
}

// provision calls the cloud for the current batch of a stored intent, unless the intent is in flight.
// Each batch has its own request ID, so that a repeated call gets the same response.
func (a *Autoscaler) provision(name string, intent *statecache.ProvisioningIntent) {
	if !a.provisioning.begin(name, intentPool(intent)) {
		return
	}
	request := wire.ProvisionRequest{
		RequestID:   fmt.Sprintf("%s-%d", name, intent.Batch),
		MachineType: intent.MachineType,
		Zone:        intent.Zone,
		Spot:        intent.Spot,
		Count:       batchSize(intent),
	}
	callAsync(a,
		func(ctx context.Context) ([]wire.MachineID, error) { return a.cloud.Provision(ctx, request) },
		func(machines []wire.MachineID, err error) { a.handleProvisioned(name, intent, machines, err) })
}

// batchSize returns how many machines the next call of an intent requests.
func batchSize(intent *statecache.ProvisioningIntent) int {
	return min(intent.Count, wire.MaxMachinesPerProvision)
}

// handleProvisioned handles the cloud's response to the call for a batch.
func (a *Autoscaler) handleProvisioned(name string, intent *statecache.ProvisioningIntent, machines []wire.MachineID, err error) {
	rejected := errors.Is(err, cloud.ErrNoCapacity) || errors.Is(err, cloud.ErrInvalidRequest)
	if err != nil && !rejected {
		slog.Info("provision outcome unknown", "intent", name, "error", err)
		a.provisioning.finish(name) // the next planning cycle repeats the call
		return
	}
	if !a.isConfirmedLeader() {
		a.provisioning.finish(name)
		return
	}
	slices.Sort(machines)
	batch := &provisionedBatch{
		intentName: name,
		intent:     intent,
		remaining:  intent.Count - batchSize(intent),
		shortfall:  rejected || len(machines) < batchSize(intent),
	}
	if batch.shortfall {
		batch.remaining = 0
		a.handleShortfall(batch, len(machines))
	}
	a.recordMachines(batch, machines)
}

// handleShortfall marks the pool of a batch as exhausted for a while, since the cloud provisioned
// fewer machines than were requested, and scales in the pool's machines whose boots are overdue.
func (a *Autoscaler) handleShortfall(batch *provisionedBatch, provisioned int) {
	intent, pool := batch.intent, intentPool(batch.intent)
	until := time.Now().Add(a.config.Operator.PlanningIntervals(exhaustionCycles))
	a.provisioning.markExhausted(pool, until)
	if a.onPoolExhausted != nil {
		a.onPoolExhausted(pool, until)
	}
	a.abandonSlowBoots(pool)
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
// the cloud may have no others to replace them.
func (a *Autoscaler) abandonSlowBoots(pool resources.Pool) {
	for name, m := range a.view.Machines {
		if machinePool(m) == pool && a.machineTypes.isBootOverdue(m, time.Now()) {
			a.scaleIn(name, drainReasonSlowBoot)
		}
	}
}
