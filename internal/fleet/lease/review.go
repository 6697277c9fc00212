package lease

import (
	"cmp"
	"net/netip"
	"time"
)

// homeAddresses returns the control addresses to renew a record with. They are
// cached in the lease, because computing them visits every balancer of a region.
func (g *Registry) homeAddresses(r Record) []netip.AddrPort {
	h := g.leases[r.Key()]
	if h != nil && h.homes != nil {
		return h.homes
	}
	var out []netip.AddrPort
	for _, b := range Homes(r.Endpoint, g.records.Candidates(r.Endpoint), HomeCount+SpareCount) {
		out = append(out, b.Agent)
	}
	if h != nil {
		h.homes = out
	}
	return out
}

// acquirePending takes leases on those records learned since the last tick that this
// balancer is a home of.
func (g *Registry) acquirePending(now time.Time) {
	for _, key := range g.pendingKeys {
		if r, ok := g.records.Lookup(key); ok {
			g.acquireLease(now, r)
		}
	}
	g.pendingKeys = g.pendingKeys[:0]
}

// reviewHomes takes leases on records that this balancer has become a home of. It
// runs at most once per RenewInterval, and only after a change among the balancers.
func (g *Registry) reviewHomes(now time.Time) {
	if !g.balancersChanged || now.Before(g.reviewAt) {
		return
	}
	g.balancersChanged = false
	g.reviewAt = now.Add(RenewInterval)
	for _, h := range g.leases {
		h.homes = nil
	}
	g.records.EachPresent(func(r Record) {
		g.acquireLease(now, r)
	})
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}
