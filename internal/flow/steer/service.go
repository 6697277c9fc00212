package steer

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/clementinewing/clementinewing/internal/flow/rank"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// Service is a service as this balancer knows it.
type Service struct {
	ID        spec.ServiceID
	Address   netip.AddrPort
	Protocol  spec.Protocol
	Endpoints []node.Endpoint
}

// Snapshot is the state of all services at one moment.
type Snapshot struct {
	Services []Service
	// SilentAgents are the agents that do not answer the probes of this balancer. They
	// are asked last, for new flows together with draining endpoints.
	SilentAgents []netip.AddrPort
}

// target is the address, port and protocol under which callers reach a service,
// packed into one word because maps look up a word faster than a struct.
type target uint64

func newTarget(address uint32, port uint16, protocol uint8) target {
	return target(address)<<24 | target(port)<<8 | target(protocol)
}

// indexedService is a service prepared for decisions. Its endpoints that accept new
// flows come first, draining and silent ones follow, and gone ones are left out.
type indexedService struct {
	id        spec.ServiceID
	endpoints []node.Endpoint
	shortIDs  []uint32
	// silent marks the endpoints whose agent does not answer.
	silent    []bool
	anySilent bool
	// accepting is the number of endpoints that accept new flows.
	accepting      int
	acceptingRanks *rank.Table
	otherRanks     *rank.Table
	allRanks       *rank.Table
}

// serviceIndex is a snapshot prepared for decisions.
type serviceIndex map[target]*indexedService

func newServiceIndex(s Snapshot) serviceIndex {
	index := make(serviceIndex, len(s.Services))
	for i := range s.Services {
		service := &s.Services[i]
		if !service.Address.Addr().Is4() {
			continue
		}
		index[targetOf(service)] = newIndexedService(service, s.SilentAgents)
	}
	return index
}

func targetOf(s *Service) target {
	address := s.Address.Addr().As4()
	return newTarget(binary.BigEndian.Uint32(address[:]), s.Address.Port(), uint8(s.Protocol))
}

func newIndexedService(s *Service, silent []netip.AddrPort) *indexedService {
	is := &indexedService{
		id:        s.ID,
		endpoints: make([]node.Endpoint, 0, len(s.Endpoints)),
	}
	for i := range s.Endpoints {
		if acceptsNewFlows(&s.Endpoints[i], silent) {
			is.endpoints = append(is.endpoints, s.Endpoints[i])
		}
	}
	is.accepting = len(is.endpoints)
	for i := range s.Endpoints {
		if mayHoldFlows(&s.Endpoints[i]) && !acceptsNewFlows(&s.Endpoints[i], silent) {
			is.endpoints = append(is.endpoints, s.Endpoints[i])
		}
	}
	for i := range is.endpoints {
		is.shortIDs = append(is.shortIDs, shortIDOf(is.endpoints[i].Incarnation))
	}
	for i := range is.endpoints {
		is.silent = append(is.silent, slices.Contains(silent, is.endpoints[i].Agent))
	}
	is.anySilent = slices.Contains(is.silent, true)
	is.acceptingRanks = rank.NewTable(is.endpoints[:is.accepting])
	is.otherRanks = rank.NewTable(is.endpoints[is.accepting:])
	is.allRanks = rank.NewTable(is.endpoints)
	return is
}

func mayHoldFlows(e *node.Endpoint) bool {
	return e.State == node.Joining || e.State == node.Serving || e.State == node.Draining
}

func acceptsNewFlows(e *node.Endpoint, silent []netip.AddrPort) bool {
	if e.State != node.Joining && e.State != node.Serving {
		return false
	}
	return !slices.Contains(silent, e.Agent)
}

func (s serviceIndex) find(k link.Key) *indexedService {
	return s[newTarget(k.Target, k.TargetPort, k.Protocol)]
}

// hasIncarnation reports whether an endpoint of the service has the incarnation.
func (is *indexedService) hasIncarnation(owner node.Incarnation) bool {
	for i := range is.endpoints {
		if is.endpoints[i].Incarnation == owner {
			return true
		}
	}
	return false
}

// moveToFront moves the endpoint with a short ID to the front of an order. If the
// order is full and doesn't contain it, it replaces the last one.
func (is *indexedService) moveToFront(order []int, shortID uint32) (moved []int, found bool) {
	for at, index := range order {
		if is.shortIDs[index] == shortID {
			moveIndexToFront(order, at, index)
			return order, true
		}
	}
	index := slices.Index(is.shortIDs, shortID)
	if index < 0 {
		return order, false
	}
	moveIndexToFront(order, len(order)-1, index)
	return order, true
}

// moveIndexToFront puts an index at the front and shifts the entries before position
// at back by one. A loop is faster than copy on lists this short.
func moveIndexToFront(order []int, at, index int) {
	for ; at > 0; at-- {
		order[at] = order[at-1]
	}
	order[0] = index
}

// shortIDOf hashes an incarnation to valueBits bits that tell the endpoints of one
// service apart. If two of them share a short ID, a hint may name the wrong one, which
// then forwards the packet.
func shortIDOf(i node.Incarnation) uint32 {
	return uint32(uint64(i) * 0x9e3779b97f4a7c15 >> (64 - valueBits))
}
