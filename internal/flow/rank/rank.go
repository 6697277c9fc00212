// Package rank orders the endpoints of a service for a flow by weighted
// rendezvous hashing (Thaler and Ravishankar 1998, with the logarithmic weights
// of Schindelhauer and Schomaker 2005): every node that knows the same endpoints
// finds the same order, and a change of one endpoint moves only its own flows.
package rank

import (
	"math"
	"slices"

	"github.com/clementinewing/clementinewing/internal/world/node"
)

// MaxCandidates bounds a ranked list.
const MaxCandidates = 16

// scored pairs an endpoint's place in the input with its score.
type scored struct {
	index int
	score float64
}

// List appends to out the indexes of the endpoints in falling order of their
// score for the flow hash, at most MaxCandidates of them.
func List(hash uint64, endpoints []node.Endpoint, out []int) []int {
	var best [MaxCandidates + 1]scored
	count := 0
	for i := range endpoints {
		s := scored{
			index: i,
			score: Score(hash, endpoints[i]),
		}
		at, _ := slices.BinarySearchFunc(best[:count], s, higherFirst)
		copy(best[at+1:], best[at:count])
		best[at] = s
		count = min(count+1, MaxCandidates)
	}
	for _, s := range best[:count] {
		out = append(out, s.index)
	}
	return out
}

// Score is the endpoint's claim to the flow: -weight / ln(u) for a u drawn from
// the flow and the incarnation.
func Score(hash uint64, e node.Endpoint) float64 {
	u := (float64(mix(hash^uint64(e.Incarnation))>>11) + 0.5) / (1 << 53)
	return -float64(e.Weight) / math.Log(u)
}

func higherFirst(a, b scored) int {
	switch {
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	default:
		return a.index - b.index
	}
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood 2014).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
