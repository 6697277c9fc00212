package place

import (
	"math"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/roster"
)

// Costs of a new flow under Features.Even, in units of load.
const (
	// evenRemoteZoneCost replaces remoteZoneCost. An endpoint without a free slot passes the
	// SYN on, which costs a fraction of a millisecond within the failure domain and several
	// times as much between two. Another failure domain is therefore asked first only if its
	// load is lower by more than half of the slots.
	evenRemoteZoneCost = 0.6
	// evenMaxRandomCost replaces maxRandomCost. Endpoints whose loads differ by less than
	// their slots are nearly equal, because most of the difference is gone before the SYN
	// arrives.
	evenMaxRandomCost = 1.0
)

// EvenCost returns the cost of one more flow by the estimate of the endpoint's load. The
// estimate is the average plus what this balancer has learned within the last requests: the
// average places long flows, the rest short ones.
func EvenCost(now time.Time, zone uint64, s *roster.Agent) (cost float64) {
	load := (s.Load.Estimate(now) + 1) / float64(max(s.Slots, 1))
	return totalCost(now, zone, s, load, evenRemoteZoneCost)
}

// cost returns the cost of the flow at an endpoint, including the random part. The load of a slow
// endpoint is higher already, as its requests are in use for longer. Its capacity therefore counts
// by the root only.
func (q *Request) cost(s *roster.Agent) float64 {
	random := hashFraction(q.Hash, s.Host)
	capacity := math.Sqrt(q.Health.Capacity(s.Host))
	if q.Even {
		return EvenCost(q.Now, q.Zone, s)/capacity + evenMaxRandomCost*random
	}
	return PlacementCost(q.Now, q.Zone, s)/capacity + maxRandomCost*random
}
