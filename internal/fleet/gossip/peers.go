package gossip

import (
	"cmp"
	"slices"

	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/zone"
)

const (
	// MaxPeers is the maximum number of peers of a balancer.
	MaxPeers = 8
	// samePlacePeers and sameRegionPeers are the numbers of peers chosen at the same
	// place and elsewhere in the region. If there are too few of them, peers that are
	// farther away take their place.
	samePlacePeers  = 3
	sameRegionPeers = 2
)

// Distance returns 0 for the same place, 1 for two places in the same region and 2
// for different regions.
func Distance(a, b zone.Place) int {
	switch {
	case a == b:
		return 0
	case a.Region == b.Region:
		return 1
	default:
		return 2
	}
}

// ChoosePeers picks the peers of a balancer, near ones first. Each balancer ranks
// those at the same distance in an order of its own, so that the peers of all
// balancers form a random graph.
func ChoosePeers(self node.Endpoint, balancers []node.Endpoint) []node.Endpoint {
	if len(balancers) <= MaxPeers+1 {
		return slices.DeleteFunc(slices.Clone(balancers), func(b node.Endpoint) bool {
			return b.Incarnation == self.Incarnation
		})
	}
	var tiers [3][]node.Endpoint
	for _, b := range balancers {
		if b.Incarnation != self.Incarnation {
			d := Distance(self.Place, b.Place)
			tiers[d] = insertPeer(tiers[d], self, b)
		}
	}
	out := slices.Clone(tiers[0][:min(len(tiers[0]), samePlacePeers)])
	regional := sameRegionPeers + samePlacePeers - len(out)
	out = append(out, tiers[1][:min(len(tiers[1]), regional)]...)
	out = append(out, tiers[2][:min(len(tiers[2]), MaxPeers-len(out))]...)
	return fillPeers(out, tiers)
}

// fillPeers adds near balancers if there are too few far ones.
func fillPeers(out []node.Endpoint, tiers [3][]node.Endpoint) []node.Endpoint {
	for _, tier := range tiers {
		for _, b := range tier {
			if len(out) == MaxPeers {
				return out
			}
			if !slices.Contains(out, b) {
				out = append(out, b)
			}
		}
	}
	return out
}

// insertPeer inserts a balancer into a tier, which holds the MaxPeers balancers with
// the highest affinity at one distance in descending order.
func insertPeer(tier []node.Endpoint, self, b node.Endpoint) []node.Endpoint {
	at, _ := slices.BinarySearchFunc(tier, b, func(x, y node.Endpoint) int {
		return cmp.Compare(affinity(self, y), affinity(self, x))
	})
	if at == MaxPeers {
		return tier
	}
	tier = slices.Insert(tier, at, b)
	return tier[:min(len(tier), MaxPeers)]
}

// affinity hashes two incarnations with the finalizer of SplitMix64.
func affinity(self, b node.Endpoint) uint64 {
	x := uint64(self.Incarnation)*0x9e3779b97f4a7c15 ^ uint64(b.Incarnation)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
