package place

import (
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

// evenTerms returns the terms of the cost of one more flow by the estimate of the endpoint's load.
// The estimate is the average plus what this balancer has learned within the last requests: the
// average places long flows, the rest short ones.
func evenTerms(now time.Time, zone uint64, s *roster.Agent) Terms {
	load := (s.Load.Estimate(now) + 1) / float64(max(s.Slots, 1))
	return endpointTerms(now, zone, s, load, evenRemoteZoneCost)
}
