package router

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/evac"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/place"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// WithEvacuations sets the evacuated failure domains, whose endpoints get no new flow. The caller
// changes them between two steps.
func WithEvacuations(s *evac.Source) Option {
	return func(g *Router) {
		g.evacuations = s
		g.members.ExcludeZones(func(zone uint64) bool { return s.Evacuated(evac.Zone(zone)) })
	}
}

// coldRate returns how many requests per second a cold endpoint of a service can serve; 0 means no
// limit.
func (g *Router) coldRate(service spec.ServiceID) float64 {
	return g.active.Current().Services[service].ColdRate
}

// onlyEvacuated reports whether the endpoints of a service that accept new flows are all in
// evacuated failure domains, and there is one.
func (g *Router) onlyEvacuated(now time.Time, service spec.ServiceID) bool {
	found := false
	for _, s := range g.members.ServiceAgents(service) {
		switch {
		case !s.AcceptsFlows(now):
		case g.evacuations.Evacuated(evac.Zone(s.Zone)):
			found = true
		default:
			return false
		}
	}
	return found
}

// awaitsAgent reports whether an agent is about to accept new flows: it waits to be registered,
// or to be told which failure domains are evacuated.
func (g *Router) awaitsAgent(now time.Time, agents []*roster.Agent) bool {
	return slices.ContainsFunc(agents, func(s *roster.Agent) bool {
		waits := s.WantsRegistration || evac.Unconfirmed(s.Evacuations)
		return s.State == node.Joining && waits && !s.Silent(now) && !g.evacuations.Evacuated(evac.Zone(s.Zone))
	})
}

// withoutEvacuated returns the candidates that are not in evacuated failure domains.
func (g *Router) withoutEvacuated(list []frame.Host) []frame.Host {
	if g.evacuations == nil {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(h frame.Host) bool {
		s := g.members.Agent(h)
		return s != nil && g.evacuations.Evacuated(evac.Zone(s.Zone))
	})
}

// placeElsewhere places a SYN again that agents have refused because their failure domain is
// evacuated, which this balancer may not have known when it placed the SYN. The endpoints of the
// failure domain whose agent has returned it are left out, so that it is not returned there
// again. It reports false if there is no other endpoint.
func (g *Router) placeElsewhere(now time.Time, x *flow, host frame.Host, p link.Packet, raw []byte) (placed bool) {
	s := g.members.Agent(host)
	route, ok := g.route(p.Key)
	if s == nil || !ok || slices.Contains(x.refusedIn, s.Zone) {
		return false
	}
	zones := append(x.refusedIn, s.Zone)
	agents := slices.DeleteFunc(slices.Clone(g.members.ServiceAgents(x.service)), func(o *roster.Agent) bool {
		return slices.Contains(zones, o.Zone)
	})
	hash := p.Key.Hash()
	list := place.FlowCandidates(&place.Request{
		Now:         now,
		Hash:        hash,
		Zone:        g.zone,
		Agents:      agents,
		Evacuations: g.evacuations,
		ColdRate:    g.coldRate(x.service),
		Features:    g.features,
	})
	if len(list) == 0 {
		return false
	}
	x.refusedIn = zones
	x.owners = [2]owner{}
	x.pending = &pendingFlow{
		key:           p.Key,
		packet:        p,
		raw:           slices.Clone(raw),
		candidates:    list,
		home:          place.Home(now, hash, g.members.Agents()),
		flowsPerSlot:  g.members.FlowsPerSlot(now, x.service),
		latencyTarget: latencyTargetMS(route),
		priority:      route.Priority,
		startedAt:     now,
		sentAt:        now,
		resendAt:      now.Add(resendDelay),
	}
	g.pending = append(g.pending, x.pending)
	g.sendOpening(x, x.pending, Replaced)
	return true
}
