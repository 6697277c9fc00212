package router

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/evac"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/health"
	"github.com/clementinewing/clementinewing/internal/relay/place"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

const (
	// maxFurtherLists is how many further candidate lists a SYN is offered to after the first
	// one has refused it. Three lists are several times the endpoints of a service that are
	// lost at once without their agents.
	maxFurtherLists = 2
	// offerTimeout is how long after the caller's first copy of a SYN it is offered to further
	// endpoints. The caller waits for 1.4 s, and part of it is left for a queue and the answer.
	// Endpoints cannot see how old the SYN is.
	offerTimeout = 900 * time.Millisecond
)

// CapacityChanged reports that an endpoint gets fewer new flows than its slots allow, or as many
// again.
type CapacityChanged struct {
	Service spec.ServiceID
	health.Change
}

func (CapacityChanged) action() {}

// Capacity returns how much an endpoint can do for its slots, as far as new flows have asked for
// it.
func (g *Router) Capacity(service spec.ServiceID, h frame.Host) float64 {
	return g.health[service].Capacity(h)
}

// LowCapacity returns the number of endpoints that get fewer new flows than their slots allow.
func (g *Router) LowCapacity() (n int) {
	for _, s := range g.health {
		n += s.LowCapacity()
	}
	return n
}

// SpillShare returns the largest share of new flows of a service that leave the failure domain
// because it has too few free slots.
func (g *Router) SpillShare() (share float64) {
	for _, s := range g.health {
		share = max(share, s.SpillShare())
	}
	return share
}

// flowCandidates returns the candidates of a new flow among the endpoints of a service that have
// not refused it, and the flags of the Forward to them.
func (g *Router) flowCandidates(now time.Time, hash uint64, service spec.ServiceID, refused []frame.Host) (list []frame.Host, flags uint8) {
	agents := g.members.ServiceAgents(service)
	s, ok := g.health[service]
	if !ok {
		s = g.newHealth()
		g.health[service] = s
	}
	for _, c := range s.Update(now, agents, func() int { return len(g.members.Balancers()) }) {
		g.addAction(CapacityChanged{
			Service: service,
			Change:  c,
		})
	}
	q := g.request(now, hash, service, s)
	q.Exclude = refused
	if len(refused) == 0 {
		q.Probe = s.Probe(now, hash)
	}
	if s.FewServing() {
		flags = frame.FewServing
	}
	return place.FlowCandidates(&q), flags
}

func (g *Router) newHealth() *health.Service {
	return &health.Service{
		Outliers: g.features.Outliers,
		Zone:     g.zone,
		Excludes: func(zone uint64) bool { return g.evacuations.Evacuated(evac.Zone(zone)) },
	}
}

// request returns the request for the candidates of a new flow.
func (g *Router) request(now time.Time, hash uint64, service spec.ServiceID, s *health.Service) place.Request {
	return place.Request{
		Now:      now,
		Hash:     hash,
		Zone:     s.PreferredZone(hash),
		Agents:   g.members.ServiceAgents(service),
		Health:   s,
		Features: g.features,

		Evacuations: g.evacuations,
		ColdRate:    g.coldRate(service),
	}
}

// offerAgain offers a SYN that all its candidates have refused to others. It reports whether
// there are any. If the candidates could not serve it in time, only endpoints that have told of a
// free slot count: with the whole service overloaded, a refusal must not take eight more hops.
func (g *Router) offerAgain(now time.Time, x *flow, o *pendingFlow, onlyFree bool) bool {
	if o.lists >= maxFurtherLists || now.After(o.startedAt.Add(offerTimeout-copyAge(o.packet))) {
		return false
	}
	next := *o
	next.refused = append(slices.Clone(o.refused), o.candidates...)
	exclude := next.refused
	if onlyFree {
		exclude = g.withFullEndpoints(x.service, exclude)
	}
	next.candidates, next.flags = g.flowCandidates(now, o.key.Hash(), x.service, exclude)
	if len(next.candidates) == 0 {
		return false
	}
	next.lists++
	next.sentAt = now
	next.resendAt = now.Add(resendDelay << next.tries)
	x.owners = [2]owner{}
	x.pending = &next
	x.offer = &next
	x.expiresAt = now.Add(openingTTL)
	g.pending = append(g.pending, x.pending)
	g.sendOpening(x, x.pending, OfferedAgain)
	return true
}

// copyAge returns how long before a copy of a SYN the caller sent the first one. The
// acknowledgment field of a SYN holds the number of its retransmission.
func copyAge(p link.Packet) time.Duration {
	switch p.Acknowledgment {
	case 0:
		return 0
	case 1:
		return 200 * time.Millisecond
	default:
		return 600 * time.Millisecond
	}
}

// withFullEndpoints adds the endpoints of a service that had no free slot at their last report, or
// whose free slots this balancer has filled since.
func (g *Router) withFullEndpoints(service spec.ServiceID, list []frame.Host) []frame.Host {
	list = slices.Clone(list)
	for _, s := range g.members.ServiceAgents(service) {
		if int(s.InUse)+s.SentSinceReport >= int(s.Slots) {
			list = append(list, s.Host)
		}
	}
	return list
}

// outdates reports whether a returned SYN comes from an earlier candidate list than that of the
// offer.
func (o *pendingFlow) outdates(e Returned) bool {
	return o != nil && int(e.LookupStage) < o.lists
}
