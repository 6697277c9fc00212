package lease

import (
	"cmp"
	"math"
	"slices"

	"github.com/clementinewing/clementinewing/internal/world/node"
)

const (
	// HomeCount is the number of balancers that hold a lease on one record.
	HomeCount = 2
	// SpareCount is the number of further balancers in a reply, to renew with if a
	// home does not answer.
	SpareCount = 2
	// homeShareSlack is the factor by which mayBeHome overestimates the share of the
	// records that a balancer is a home of. The chance that it misses a record of its
	// own is below 1e-5.
	homeShareSlack = 8
)

// Homes returns the balancers that hold the leases of an endpoint in ranked order,
// at most count of them and never the endpoint itself. It ranks the given balancers
// by rendezvous hashing (Thaler and Ravishankar 1998). These are the balancers of
// the endpoint's region, so that a partition between regions causes no suspicions.
// The second home is in another failure domain than the first if there is one.
func Homes(of node.Endpoint, balancers []node.Endpoint, count int) []node.Endpoint {
	best := rankBalancers(of, balancers, count, nil)
	if len(best) < HomeCount || best[0].Place != best[1].Place {
		return best
	}
	second := rankBalancers(of, balancers, 1, &best[0])
	if len(second) == 0 {
		return best
	}
	best = slices.DeleteFunc(best, func(b node.Endpoint) bool { return b.Incarnation == second[0].Incarnation })
	best = slices.Insert(best, min(1, len(best)), second[0])
	return best[:min(len(best), count)]
}

// rankBalancers returns the balancers with the highest scores, except those at the
// place of exceptPlaceOf if exceptPlaceOf is not nil.
func rankBalancers(of node.Endpoint, balancers []node.Endpoint, count int, exceptPlaceOf *node.Endpoint) []node.Endpoint {
	best := make([]node.Endpoint, 0, count+1)
	scores := make([]uint64, 0, count+1)
	for i := range balancers {
		b := &balancers[i]
		if b.Incarnation == of.Incarnation || exceptPlaceOf != nil && b.Place == exceptPlaceOf.Place {
			continue
		}
		s := hashScore(of.Incarnation, b.Incarnation)
		if len(best) == count && s <= scores[count-1] {
			continue
		}
		at, _ := slices.BinarySearchFunc(scores, s, func(x, y uint64) int { return cmp.Compare(y, x) })
		best = slices.Insert(best, at, *b)
		scores = slices.Insert(scores, at, s)
		best = best[:min(len(best), count)]
		scores = scores[:min(len(scores), count)]
	}
	return best
}

// mayBeHome reports whether balancer, one of count, may be a home of the incarnation
// of, without computing the scores of the others.
func mayBeHome(of, balancer node.Incarnation, count int) bool {
	if count <= HomeCount*homeShareSlack {
		return true
	}
	share := math.MaxUint64 / uint64(count) * HomeCount * homeShareSlack
	return hashScore(of, balancer) > math.MaxUint64-share
}

// hashScore mixes both incarnations with the finalizer of SplitMix64 (Steele, Lea
// and Flood 2014).
func hashScore(of, balancer node.Incarnation) uint64 {
	x := uint64(of) ^ (uint64(balancer)*0x9e3779b97f4a7c15 + 1)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
