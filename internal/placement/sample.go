package placement

import (
	"math/rand/v2"
	"slices"
)

// MaxSample is the number of nodes considered in a choice: if there are more, a random sample.
const MaxSample = 64

// Sample returns the nodes, or a random sample of MaxSample if there are more. Nodes that are left
// out can be drawn in later scheduling cycles.
func Sample(nodes []*Node, rng *rand.Rand) []*Node {
	if len(nodes) <= MaxSample {
		return slices.Clone(nodes)
	}
	out := make([]*Node, 0, MaxSample)
	if len(nodes) > 4*MaxSample { // rejection sampling: its cost does not grow with len(nodes)
		drawn := make(map[int]bool, MaxSample)
		for len(out) < MaxSample {
			if i := rng.IntN(len(nodes)); !drawn[i] {
				drawn[i] = true
				out = append(out, nodes[i])
			}
		}
		return out
	}
	for _, i := range rng.Perm(len(nodes))[:MaxSample] {
		out = append(out, nodes[i])
	}
	return out
}
