package router

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/place"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// Explanation tells what a balancer would do now with the SYN of a flow that it does not know.
type Explanation struct {
	// Plan and Route are nil if there is none.
	Plan    *plan.Plan
	Route   *plan.Route
	Service spec.ServiceID
	// Refused is set if the SYN would be refused or dropped with Reason, and Dropped if it would
	// be dropped.
	Refused bool
	Dropped bool
	Reason  Reason
	// Owner is the endpoint that owns the flow, as far as the balancer knows, or 0. A
	// retransmitted SYN of the flow goes to it.
	Owner frame.Host
	// Zone is the balancer's failure domain, PreferredZone the one in which the flow is to be
	// placed. SpillShare is the share of new flows of the service that leave Zone.
	Zone          uint64
	PreferredZone uint64
	SpillShare    float64
	FewServing    bool
	place.Explanation
}

// Explain tells where a new flow goes now, and why. It decides as the next SYN does, on a copy of
// what SYNs change: nothing is sent, and no later decision is another one.
func (g *Router) Explain(now time.Time, key link.Key) (e Explanation) {
	e.Zone = g.zone
	if x := g.flows[key]; x != nil {
		e.Owner = x.owners[0].host
	}
	e.Plan = g.active.Current()
	if e.Plan == nil {
		return e.refuse(NoPlan)
	}
	route, ok := e.Plan.Routes[plan.TargetOf(key)]
	if !ok {
		return e.refuse(NoRoute)
	}
	hash := key.Hash()
	e.Route = route
	e.Service = route.ChooseService(hash)
	health := g.newHealth()
	if s, ok := g.health[e.Service]; ok {
		health = s.Clone()
	}
	health.Update(now, g.members.ServiceAgents(e.Service), func() int { return len(g.members.Balancers()) })
	q := g.request(now, hash, e.Service, health)
	q.Probe = health.Probe(now, hash)
	e.PreferredZone = q.Zone
	e.SpillShare = health.SpillShare()
	e.FewServing = health.FewServing()
	e.Explanation = place.Explain(&q)
	switch _, known := g.flows[key]; {
	case len(e.Candidates) == 0:
		return e.refuse(g.unplacedReason(now, e.Service))
	case !known && len(g.flows) >= maxFlows:
		return e.refuse(TableFull)
	}
	e.Reason = Placed
	return e
}

func (e Explanation) refuse(why Reason) Explanation {
	e.Refused = true
	e.Dropped = why == NoPlan || why == Starting
	e.Reason = why
	return e
}
