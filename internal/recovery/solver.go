package recovery

import "log/slog"

// allocation is how many replicas of each group the solver gives to each pool. The solver works
// on sums, so these are fractions, which the bin packer rounds, and checks node by node.
type allocation struct {
	remaining map[replicaGroupKey][]float64 // by pool
}

// minRemainingReplicas is the part of a replica from which on an allocation is rounded up.
const minRemainingReplicas = 0.5

// has tells whether any of a group's allocation to a pool remains.
func (a *allocation) has(key replicaGroupKey, pool int) bool {
	remaining := a.remaining[key]
	return remaining != nil && remaining[pool] >= minRemainingReplicas
}

func (a *allocation) take(key replicaGroupKey, pool int) { a.remaining[key][pool]-- }

// solve distributes the replicas; nil if there is nothing to distribute, or the solver
// finds no solution.
func solve(in *Input) *allocation {
	capacity := newFreeCapacity(in.Nodes)
	program := buildProgram(in, capacity)
	if len(program.variables) == 0 {
		return nil
	}
	values, err := program.maximize()
	if err != nil { // the services are placed in recovery order
		slog.Debug("recovery plan unsolved", "error", err, "constraints", len(program.constraints), "variables", len(program.variables))
		return nil
	}
	result := &allocation{remaining: map[replicaGroupKey][]float64{}}
	for i, v := range program.variables {
		if result.remaining[v.group.key] == nil {
			result.remaining[v.group.key] = make([]float64, len(capacity.pools))
		}
		result.remaining[v.group.key][v.pool] = values[i]
	}
	return result
}
