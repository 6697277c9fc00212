package health

import (
	"cmp"
	"slices"

	"github.com/clementinewing/clementinewing/internal/relay/roster"
)

// New flows of a failure domain stay in it while it has free slots: a hop to another one takes
// time and costs money, and callers wait nowhere. From spillStart on, some flows find all slots of
// the domain in use. At spillEnd there are no free slots left, and new flows are spread over the
// free slots of all domains. Both are shares of slots in use.
const (
	spillStart = 0.7
	spillEnd   = 1.0
)

// zoneLoad is the load of one failure domain.
type zoneLoad struct {
	zone  uint64
	slots float64
	used  float64
}

// free returns the number of free slots.
func (z *zoneLoad) free() float64 {
	return max(z.slots-z.used, 0)
}

// spill is how new flows leave the balancer's failure domain. The share of flows that do is
// divided among the other domains in proportion to their free slots.
type spill struct {
	share float64
	// zones are the other domains with free slots, the last one with the highest bound. A flow
	// whose fraction is below the bound of a domain and of none before goes there.
	zones  []uint64
	bounds []float64
}

// updateSpill computes how new flows leave the balancer's failure domain.
func (s *Service) updateSpill(accepting []*roster.Agent) {
	s.spill = spill{}
	own, others := s.zoneLoads(accepting)
	remote := 0.0
	for i := range others {
		remote += others[i].free()
	}
	if remote == 0 {
		return
	}
	full := 1.0
	if own.slots > 0 {
		full = min(max((own.used/own.slots-spillStart)/(spillEnd-spillStart), 0), 1)
	}
	s.spill.share = full * remote / (remote + own.free())
	sum := 0.0
	for i := range others {
		if free := others[i].free(); free > 0 {
			sum += free
			s.spill.zones = append(s.spill.zones, others[i].zone)
			s.spill.bounds = append(s.spill.bounds, s.spill.share*sum/remote)
		}
	}
}

// zoneLoads returns the loads of the balancer's failure domain and of the others, in their order,
// over endpoints that are known to serve.
func (s *Service) zoneLoads(accepting []*roster.Agent) (own zoneLoad, others []zoneLoad) {
	for _, a := range accepting {
		if Unproven(a) {
			continue
		}
		z := &own
		if a.Zone != s.Zone {
			i, found := slices.BinarySearchFunc(others, a.Zone, func(z zoneLoad, zone uint64) int { return cmp.Compare(z.zone, zone) })
			if !found {
				others = slices.Insert(others, i, zoneLoad{
					zone: a.Zone,
				})
			}
			z = &others[i]
		}
		slots := float64(a.Slots) * s.Capacity(a.Host)
		z.slots += slots
		// The average follows a change after seconds, the present use of a single endpoint
		// changes with each request.
		z.used += min((float64(a.Average)/roster.LoadUnit+float64(a.InUse))/2, slots)
	}
	return own, others
}

// PreferredZone returns the failure domain in which a new flow is placed if it has free slots.
func (s *Service) PreferredZone(hash uint64) uint64 {
	x := fraction(hash ^ zoneSalt)
	for i, bound := range s.spill.bounds {
		if x < bound {
			return s.spill.zones[i]
		}
	}
	return s.Zone
}

// zoneSalt makes the choice of the failure domain independent of that of the endpoint.
const zoneSalt = 0x5bd1e9955bd1e995

// SpillShare returns the share of new flows that leave the failure domain.
func (s *Service) SpillShare() float64 {
	return s.spill.share
}
