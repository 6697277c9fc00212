package steer

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/clementinewing/clementinewing/internal/flow/rank"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// Service is one service as this balancer knows it.
type Service struct {
	ID        pact.ServiceID
	Address   netip.AddrPort
	Protocol  pact.Protocol
	Endpoints []node.Endpoint
}

// Snapshot is every service at one moment.
type Snapshot struct {
	Services []Service
	// Silent are the side processes that do not answer this balancer: they are
	// offered new flows after all others.
	Silent []netip.AddrPort
}

// target is where callers reach a service: address, port and protocol in one
// word, which maps look up faster than a struct.
type target uint64

func newTarget(address uint32, port uint16, protocol uint8) target {
	return target(address)<<24 | target(port)<<8 | target(protocol)
}

// group is a service prepared for decisions: endpoints that take new flows come
// first, draining and silent ones behind them, endpoints that are gone are left
// out.
type group struct {
	id        pact.ServiceID
	endpoints []node.Endpoint
	briefs    []uint32
	// silent marks the endpoints whose side process does not answer.
	silent    []bool
	anySilent bool
	// takers is how many of the endpoints take new flows.
	takers int
	taking *rank.Table
	others *rank.Table
	all    *rank.Table
}

// services is a snapshot prepared for decisions.
type services map[target]*group

func prepare(s Snapshot) services {
	prepared := make(services, len(s.Services))
	for i := range s.Services {
		service := &s.Services[i]
		if !service.Address.Addr().Is4() {
			continue
		}
		prepared[targetOf(service)] = newGroup(service, s.Silent)
	}
	return prepared
}

func targetOf(s *Service) target {
	address := s.Address.Addr().As4()
	return newTarget(binary.BigEndian.Uint32(address[:]), s.Address.Port(), uint8(s.Protocol))
}

func newGroup(s *Service, silent []netip.AddrPort) *group {
	g := &group{
		id:        s.ID,
		endpoints: make([]node.Endpoint, 0, len(s.Endpoints)),
	}
	for i := range s.Endpoints {
		if takesNew(&s.Endpoints[i], silent) {
			g.endpoints = append(g.endpoints, s.Endpoints[i])
		}
	}
	g.takers = len(g.endpoints)
	for i := range s.Endpoints {
		if holdsFlows(&s.Endpoints[i]) && !takesNew(&s.Endpoints[i], silent) {
			g.endpoints = append(g.endpoints, s.Endpoints[i])
		}
	}
	for i := range g.endpoints {
		g.briefs = append(g.briefs, briefOf(g.endpoints[i].Incarnation))
	}
	for i := range g.endpoints {
		g.silent = append(g.silent, slices.Contains(silent, g.endpoints[i].Agent))
	}
	g.anySilent = slices.Contains(g.silent, true)
	g.taking = rank.NewTable(g.endpoints[:g.takers])
	g.others = rank.NewTable(g.endpoints[g.takers:])
	g.all = rank.NewTable(g.endpoints)
	return g
}

func holdsFlows(e *node.Endpoint) bool {
	return e.State == node.Joining || e.State == node.Serving || e.State == node.Draining
}

func takesNew(e *node.Endpoint, silent []netip.AddrPort) bool {
	if e.State != node.Joining && e.State != node.Serving {
		return false
	}
	return !slices.Contains(silent, e.Agent)
}

func (s services) find(k link.Key) *group {
	return s[newTarget(k.Target, k.TargetPort, k.Protocol)]
}

// has tells whether an endpoint has the incarnation.
func (g *group) has(owner node.Incarnation) bool {
	for i := range g.endpoints {
		if g.endpoints[i].Incarnation == owner {
			return true
		}
	}
	return false
}

// first moves the endpoint with a brief to the front of an order; one that is
// not in a full order takes the place of the last.
func (g *group) first(order []int, brief uint32) (moved []int, found bool) {
	for at, index := range order {
		if g.briefs[index] == brief {
			shift(order, at, index)
			return order, true
		}
	}
	index := slices.Index(g.briefs, brief)
	if index < 0 {
		return order, false
	}
	shift(order, len(order)-1, index)
	return order, true
}

// shift puts an index to the front and moves those before at back by one; lists
// are too short for copy to pay.
func shift(order []int, at, index int) {
	for ; at > 0; at-- {
		order[at] = order[at-1]
	}
	order[0] = index
}

// briefOf shortens an incarnation to the bits that tell the endpoints of one
// service apart. Where two of them share a brief, a hint may name the wrong one,
// which hands the packet on.
func briefOf(i node.Incarnation) uint32 {
	return uint32(uint64(i) * 0x9e3779b97f4a7c15 >> (64 - valueBits))
}
