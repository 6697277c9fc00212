package lease

import (
	"cmp"
	"math"
	"slices"

	"github.com/clementinewing/clementinewing/internal/world/node"
)

const (
	// HomeCount is how many balancers hold a lease on one record.
	HomeCount = 2
	// SpareCount is how many further balancers a reply names, to go to when a
	// home does not answer.
	SpareCount = 2
	// likelySlack widens the share of records that a balancer keeps in sight as
	// a possible home: the chance that a true home is outside is below 1e-5.
	likelySlack = 8
)

// Homes lists the balancers that hold the leases of an endpoint, best first, at
// most count of them and never the endpoint itself. They are found by rendezvous
// hashing (Thaler and Ravishankar 1998) over the balancers given, which are those
// of the endpoint's region: regions that lose each other then doubt nothing. The
// second stands in another failure domain than the first where there is one.
func Homes(of node.Endpoint, balancers []node.Endpoint, count int) []node.Endpoint {
	best := top(of, balancers, count, nil)
	if len(best) < HomeCount || best[0].Place != best[1].Place {
		return best
	}
	other := top(of, balancers, 1, &best[0])
	if len(other) == 0 {
		return best
	}
	best = slices.DeleteFunc(best, func(b node.Endpoint) bool { return b.Incarnation == other[0].Incarnation })
	best = slices.Insert(best, min(1, len(best)), other[0])
	return best[:min(len(best), count)]
}

// top lists the balancers with the highest claims, without those at the place of
// apart if that is given.
func top(of node.Endpoint, balancers []node.Endpoint, count int, apart *node.Endpoint) []node.Endpoint {
	best := make([]node.Endpoint, 0, count+1)
	claims := make([]uint64, 0, count+1)
	for i := range balancers {
		b := &balancers[i]
		if b.Incarnation == of.Incarnation || apart != nil && b.Place == apart.Place {
			continue
		}
		c := claim(of.Incarnation, b.Incarnation)
		if len(best) == count && c <= claims[count-1] {
			continue
		}
		at, _ := slices.BinarySearchFunc(claims, c, func(x, y uint64) int { return cmp.Compare(y, x) })
		best = slices.Insert(best, at, *b)
		claims = slices.Insert(claims, at, c)
		best = best[:min(len(best), count)]
		claims = claims[:min(len(claims), count)]
	}
	return best
}

// likely tells, without looking at other balancers, whether one of count may be
// a home of an incarnation.
func likely(of, balancer node.Incarnation, count int) bool {
	if count <= HomeCount*likelySlack {
		return true
	}
	share := math.MaxUint64 / uint64(count) * HomeCount * likelySlack
	return claim(of, balancer) > math.MaxUint64-share
}

// claim mixes both incarnations with the finalizer of SplitMix64 (Steele, Lea
// and Flood 2014).
func claim(of, balancer node.Incarnation) uint64 {
	x := uint64(of) ^ (uint64(balancer)*0x9e3779b97f4a7c15 + 1)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
