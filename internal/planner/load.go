package planner

import (
	"math"
	"slices"
	"strings"

	"lynxledge/internal/resources"
)

// Load returns the load of a task on a machine type, in machines: the share of a machine that it
// takes, times its runtime over the window in which it has to run. The load is at most the share,
// and the full share if the task is unbounded or the window is empty or past.
func Load(share, runtimeSeconds, windowSeconds float64, unbounded bool) float64 {
	if unbounded || windowSeconds <= 0 || runtimeSeconds >= windowSeconds {
		return share
	}
	return share * runtimeSeconds / windowSeconds
}

// poolLoads is the load on each pool to provision machines from.
type poolLoads map[resources.Pool]poolLoad

type poolLoad struct {
	load   float64
	tasks  int     // that add to the load
	shares float64 // sum of their shares of a machine
}

// add adds one task to the load of a pool.
func (p poolLoads) add(pool resources.Pool, share, load float64) {
	sum := p[pool]
	sum.load += load
	sum.tasks++
	sum.shares += share
	p[pool] = sum
}

// scaleOut returns how many machines to provision from each pool: its load, rounded up.
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
