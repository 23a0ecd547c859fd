package planner

import (
	"cmp"
	"slices"

	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/wire"
)

// Plan is the result of Compute.
type Plan struct {
	ScaleOut   []ScaleOutRequest
	ScaleIn    []wire.MachineID
	UnmetTasks int // tasks for which no pool is available
}

// Compute computes which machines to provision and which to scale in.
func Compute(in Input) Plan {
	c := newCycle(in)
	demands := append(slices.Clone(in.Demands), c.headroom()...)
	slices.SortStableFunc(demands, compareDemands)
	var plan Plan
	for i := range demands {
		plan.UnmetTasks += c.cover(&demands[i])
	}
	plan.ScaleOut = c.loads.scaleOut()
	plan.ScaleIn = c.scaleInCandidates()
	return plan
}

// compareDemands orders demands by priority, the highest first, then those that can still meet a
// deadline before late ones, then by deadline, then by job ID.
func compareDemands(a, b Demand) int {
	if order := cmp.Compare(b.Job.Priority, a.Job.Priority); order != 0 {
		return order
	}
	if a.Late != b.Late {
		if a.Late {
			return 1
		}
		return -1
	}
	if order := cmp.Compare(a.DeadlineSeconds, b.DeadlineSeconds); order != 0 {
		return order
	}
	return cmp.Compare(a.Job.ID, b.Job.ID)
}

// cycle is the state of one planning cycle.
type cycle struct {
	Input
	pools  poolCatalog
	loads  poolLoads
	bins   []*machineBin
	queues binQueues

	existingPools poolIndex // the pools of the existing machines

	// Buffers that are reused between demands.
	zones      placement.ZoneCounts
	passedOver []candidate
}

func newCycle(in Input) *cycle {
	c := &cycle{
		Input:         in,
		pools:         newPoolCatalog(in.MachineTypes),
		loads:         poolLoads{},
		queues:        binQueues{byShape: map[demandShape]*binQueue{}},
		existingPools: poolIndex{index: map[resources.Pool]int{}},
		zones:         placement.ZoneCounts{},
	}
	c.addBins()
	return c
}
