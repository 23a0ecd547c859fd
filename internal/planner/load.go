package planner

import (
	"math"
	"slices"
	"strings"

	"lynxledge/internal/resources"
)

// Load returns a task's load on a machine type, in machines: its runtime over the window in
// which it has to run, times the share of a machine that it takes. It is at most that share,
// and the full share for services and for windows that are empty or past.
func Load(share, runtimeSeconds, windowSeconds float64, service bool) float64 {
	if service || windowSeconds <= 0 || runtimeSeconds >= windowSeconds {
		return share
	}
	return share * runtimeSeconds / windowSeconds
}

// poolLoads sums up the load on the pools to provision from.
type poolLoads map[resources.Pool]poolLoad

type poolLoad struct {
	load   float64
	tasks  int     // that put load on the pool
	shares float64 // sum of their shares of a machine
}

// add puts one more task on a pool.
func (p poolLoads) add(pool resources.Pool, share, load float64) {
	sum := p[pool]
	sum.load += load
	sum.tasks++
	sum.shares += share
	p[pool] = sum
}

// scaleOut returns how many machines of each pool the loads ask for.
func (p poolLoads) scaleOut() []ScaleOutRequest {
	var requests []ScaleOutRequest
	for pool, sum := range p {
		if count := int(math.Ceil(sum.load - resources.RoundingTolerance)); count > 0 {
			requests = append(requests, ScaleOutRequest{
				Pool:            pool,
				Count:           count,
				Load:            sum.load,
				TasksPerMachine: float64(sum.tasks) / sum.shares,
			})
		}
	}
	slices.SortFunc(requests, func(a, b ScaleOutRequest) int {
		return strings.Compare(sortKey(a.Pool), sortKey(b.Pool))
	})
	return requests
}

// sortKey orders pools by zone and machine type, spot last.
func sortKey(pool resources.Pool) string {
	key := string(pool.Zone) + pool.MachineType
	if pool.Spot {
		return key + "/spot"
	}
	return key + "/ordinary"
}
