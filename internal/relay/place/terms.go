package place

import (
	"math"

	"github.com/clementinewing/clementinewing/internal/relay/roster"
)

// Terms are the terms of the cost of a new flow at an endpoint, in units of load: 1 is an endpoint
// with every slot in use.
type Terms struct {
	// Load is the expected load with one more flow, Cold the factor by which it counts.
	Load float64 `json:"load"`
	Cold float64 `json:"cold_factor"`
	// Zone is added outside of the failure domain in which the flow is to be placed, Preferred
	// in addition to it if that domain was chosen by its free slots.
	Zone       float64 `json:"zone"`
	Preferred  float64 `json:"preferred_zone"`
	Unproven   float64 `json:"unproven"`
	Unanswered float64 `json:"unanswered"`
	// Capacity divides the terms so far, other than Preferred.
	Capacity float64 `json:"capacity_divisor"`
	Random   float64 `json:"random"`
}

// Total returns the cost.
func (t *Terms) Total() float64 {
	return t.Preferred + (t.endpoint()/t.Capacity + t.Random)
}

// endpoint returns the part of the cost that does not depend on the flow.
func (t *Terms) endpoint() float64 {
	return t.Load*t.Cold + t.Zone + t.Unproven + t.Unanswered
}

// terms returns the terms of the flow's cost at an endpoint. The load of a slow endpoint is higher
// already, as its requests are in use for longer. Its capacity therefore counts by the root only.
func (q *Request) terms(s *roster.Agent) (t Terms) {
	random := maxRandomCost
	if q.Even {
		random = evenMaxRandomCost
		t = evenTerms(q.Now, q.Zone, s)
	} else {
		t = placementTerms(q.Now, q.Zone, s)
	}
	t.Preferred = q.zoneCost(s.Zone)
	t.Capacity = math.Sqrt(q.Health.Capacity(s.Host))
	t.Random = random * hashFraction(q.Hash, s.Host)
	return t
}
