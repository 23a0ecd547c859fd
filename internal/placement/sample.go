package placement

import (
	"math/rand/v2"
	"slices"
)

// MaxSample bounds a choice: of more nodes a random sample of this size is considered.
const MaxSample = 64

// Sample returns at most MaxSample of the nodes. Later samples find those left out, since
// each scheduling cycle draws anew.
func Sample(nodes []*Node, rng *rand.Rand) []*Node {
	if len(nodes) <= MaxSample {
		return slices.Clone(nodes)
	}
	out := make([]*Node, 0, MaxSample)
	if len(nodes) > 4*MaxSample { // drawn one by one: the cost must not grow with the fleet
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
