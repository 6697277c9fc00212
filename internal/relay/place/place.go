// Package place ranks the endpoints of a service for one flow: by load for a new flow,
// by rendezvous hashing for a flow whose owner has to be found.
//
// Every balancer places new flows on its own, on load reports that are up to 250 ms old,
// among endpoints with a few slots each. Long flows are never moved. A report holds the
// load now and on average; the average reflects the long flows, whose requests come and
// go. Agents correct a wrong choice by forwarding the SYN to the next candidate.
package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/rank"
	"github.com/clementinewing/clementinewing/internal/relay/evac"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/health"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// Costs of a new flow, in units of load: 1 is an endpoint with every slot in use.
const (
	// currentLoadWeight and averageLoadWeight weigh the load at the last report against
	// the average load, most of which comes from long flows. The current load changes many times
	// between two reports; placing by it alone sends every balancer to the same
	// endpoints.
	currentLoadWeight = 0.1
	averageLoadWeight = 1.0
	// remoteZoneCost is how much more load an endpoint in the own failure domain may
	// have than one in another. Traffic between failure domains costs money, and a hop
	// adds a millisecond each way; a failure domain whose load is higher by more than
	// this still places new flows in others.
	remoteZoneCost = 0.4
	// coldCost is the share by which requests take longer on a cold endpoint.
	coldCost = 0.6
	// unprovenCost ranks endpoints that have given their agent no sign of life yet behind
	// the others.
	unprovenCost = 2.0
	// unansweredCost is added for each SYN that was left unanswered.
	unansweredCost = 0.7
	// maxRandomCost bounds the random part of the cost, which keeps balancers from
	// making the same choice.
	maxRandomCost = 0.3
	// maxFlowCandidates bounds the candidate list of a new flow. With a tenth of the
	// endpoints free, eight candidates include a free one in over half of the cases, and
	// the least loaded of the eight takes the rest.
	maxFlowCandidates = 8
)

type scoredAgent struct {
	agent *roster.Agent
	cost  float64
	class class
}

// class is a group of candidates; lower ones are asked first.
type class int

const (
	// classProbe: the endpoint is asked first, to find out whether it serves.
	classProbe class = iota - 1
	classNormal
	classSuspect
)

// Request asks for the candidates of one new flow.
type Request struct {
	Now time.Time
	// Hash is that of the flow, Zone the failure domain in which it is placed if possible.
	Hash uint64
	Zone uint64
	// Agents are those of the flow's service.
	Agents []*roster.Agent
	// Exclude holds endpoints that have already refused the flow.
	Exclude []frame.Host
	// Evacuations holds the evacuated failure domains, or is nil. Their endpoints get no new
	// flow.
	Evacuations *evac.Source
	// ColdRate is how many requests per second a cold endpoint of the service can serve; 0 means
	// no limit.
	ColdRate float64
	// Probe is an endpoint to ask first, to find out whether it serves, or 0.
	Probe frame.Host
	// Health holds the capacities of the service's endpoints, or is nil.
	Health *health.Service
	Features
}

// Features holds the decisions that a deployment switches on.
type Features struct {
	// Even places by load estimates that account for their age.
	Even bool
	// Outliers places fewer new flows on endpoints that are slow or fail.
	Outliers bool
}

// FlowCandidates returns at most maxFlowCandidates endpoints that accept new flows,
// lowest cost first. Suspects come last, unless no endpoint is known to serve.
func FlowCandidates(q *Request) (list []frame.Host) {
	candidates := q.rank()
	candidates = candidates[:min(len(candidates), maxFlowCandidates)]
	list = make([]frame.Host, len(candidates))
	for i := range candidates {
		list[i] = candidates[i].agent.Host
	}
	return list
}

// rank returns all endpoints that accept the flow in the order in which they are asked.
func (q *Request) rank() []scoredAgent {
	candidates := make([]scoredAgent, 0, len(q.Agents))
	serving := slices.ContainsFunc(q.Agents, func(s *roster.Agent) bool {
		return s.AcceptsFlows(q.Now) && !health.Unproven(s) && !slices.Contains(q.Exclude, s.Host)
	})
	for _, s := range q.Agents {
		if q.exclusion(s) == "" {
			candidates = append(candidates, q.score(s, serving))
		}
	}
	slices.SortFunc(candidates, func(a, b scoredAgent) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.cost, b.cost))
	})
	q.mixZones(candidates)
	return q.reducedLast(candidates)
}

// score returns the class and the cost of an endpoint. serving is set if an endpoint of the service
// is known to serve.
func (q *Request) score(s *roster.Agent, serving bool) (c scoredAgent) {
	t := q.terms(s)
	c = scoredAgent{
		agent: s,
		cost:  t.Total(),
	}
	switch {
	case s.Host == q.Probe:
		c.class = classProbe
	case serving && s.Suspect():
		c.class = classSuspect
	}
	return c
}

// PlacementCost returns the expected load of an endpoint with one more flow.
func PlacementCost(now time.Time, zone uint64, s *roster.Agent) (cost float64) {
	t := placementTerms(now, zone, s)
	return t.endpoint()
}

func placementTerms(now time.Time, zone uint64, s *roster.Agent) Terms {
	slots := float64(max(s.Slots, 1))
	load := currentLoadWeight*(float64(s.InUse)+float64(s.SentSinceReport)+1)/slots + averageLoadWeight*float64(s.Average)/64/slots
	return endpointTerms(now, zone, s, load, remoteZoneCost)
}

// endpointTerms adds to the load of an endpoint what else makes a flow slower there.
func endpointTerms(now time.Time, zone uint64, s *roster.Agent, load, remoteCost float64) (t Terms) {
	t = Terms{
		Load:       load,
		Cold:       1,
		Unanswered: unansweredCost * float64(s.Unanswered),
	}
	if now.Before(s.ColdUntil) {
		t.Cold = 1 + coldCost
	}
	if s.Zone != zone {
		t.Zone = remoteCost
	}
	if !s.Proven {
		t.Unproven = unprovenCost
	}
	return t
}

// hashFraction returns a pseudo-random number from 0 to 1 for a flow and a host.
func hashFraction(hash uint64, h frame.Host) float64 {
	x := (hash ^ uint64(h)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return float64(x>>11) / (1 << 53)
}

// OwnerCandidates ranks all endpoints that may own a flow: its home, which stores
// its owner, then the endpoints of the given services, in their
// order, then all others. No service is left out, because an operator may have moved the
// route since the flow was opened. Silent endpoints come last. Endpoints of one failure domain
// follow each other, since the packet travels along the list. Ties are broken by rendezvous
// hashing, so that balancers agree.
func OwnerCandidates(now time.Time, hash uint64, isolated bool, agents []*roster.Agent, services []spec.ServiceID) (list []frame.Host) {
	home := Home(now, hash, agents)
	candidates := make([]ownerCandidate, 0, len(agents))
	for _, s := range agents {
		if !s.MayOwn(now, isolated) {
			continue
		}
		c := ownerCandidate{
			host: s.Host,
			zone: s.Zone,
			cost: hashCost(hash, s.Host),
		}
		switch index := slices.Index(services, s.Service); {
		case s.Host == home:
			c.class = -1
		case s.Silent(now):
			c.class = len(services) + 1
		case index >= 0:
			c.class = index
		default:
			c.class = len(services)
		}
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, func(a, b ownerCandidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.zone, b.zone), cmp.Compare(a.cost, b.cost))
	})
	list = make([]frame.Host, len(candidates))
	for i := range candidates {
		list[i] = candidates[i].host
	}
	return list
}

// ownerCandidate is one endpoint as ranked by OwnerCandidates; lower classes are asked
// first.
type ownerCandidate struct {
	host  frame.Host
	class int
	zone  uint64
	cost  uint64
}

func hashCost(hash uint64, h frame.Host) uint64 {
	return rank.Cost(hash, node.Endpoint{
		Incarnation: node.Incarnation(uint64(h) * 0x9e3779b97f4a7c15),
		Weight:      1,
	})
}

// Home returns the agent that stores the owner of a flow, or 0. It is chosen among the
// agents of all services, so that it stays the same when a route moves.
func Home(now time.Time, hash uint64, agents []*roster.Agent) (home frame.Host) {
	best := uint64(math.MaxUint64)
	for _, s := range agents {
		if s.HasNoEndpoint() || s.Silent(now) {
			continue
		}
		if cost := hashCost(hash, s.Host); cost < best {
			best = cost
			home = s.Host
		}
	}
	return home
}
