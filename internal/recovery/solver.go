package recovery

import "log/slog"

// allocation is how many replicas of each group the solver assigns to each pool. The solver
// works on pool totals, so these are fractions; the bin packer rounds them, and checks capacity
// node by node.
type allocation struct {
	remaining map[replicaGroupKey][]float64 // replicas not placed yet, by pool index
}

// roundUpThreshold is the smallest fraction of a replica that counts as a whole one.
const roundUpThreshold = 0.5

// hasRemaining reports whether the group has replicas left to place in the pool.
func (a *allocation) hasRemaining(key replicaGroupKey, pool int) bool {
	remaining := a.remaining[key]
	return remaining != nil && remaining[pool] >= roundUpThreshold
}

func (a *allocation) consume(key replicaGroupKey, pool int) { a.remaining[key][pool]-- }

// solve distributes the replicas over pools. It returns nil if there is nothing to distribute or
// the solver fails.
func solve(in *Input) *allocation {
	capacity := newFreeCapacity(in.Nodes)
	program := buildProgram(in, capacity)
	if len(program.variables) == 0 {
		return nil
	}
	values, err := program.maximize()
	if err != nil { // Compute keeps the first-fit plan
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
