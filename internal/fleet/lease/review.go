package lease

import (
	"cmp"
	"net/netip"
	"time"
)

// homes are the control addresses to renew a record with. They are kept with
// the lease, because finding them means looking at every balancer of a region.
func (g *Registry) homes(r Record) []netip.AddrPort {
	h := g.leases[r.Key()]
	if h != nil && h.homes != nil {
		return h.homes
	}
	var out []netip.AddrPort
	for _, b := range Homes(r.Endpoint, g.book.Candidates(r.Endpoint), HomeCount+SpareCount) {
		out = append(out, b.Agent)
	}
	if h != nil {
		h.homes = out
	}
	return out
}

// adoptFresh looks at the records learned since the last tick.
func (g *Registry) adoptFresh(now time.Time) {
	for _, key := range g.fresh {
		if r, ok := g.book.Lookup(key); ok {
			g.adopt(now, r)
		}
	}
	g.fresh = g.fresh[:0]
}

// reviewHomes looks once a RenewInterval, and only after a change among the
// balancers, for records whose home this balancer has become.
func (g *Registry) reviewHomes(now time.Time) {
	if !g.moved || now.Before(g.review) {
		return
	}
	g.moved = false
	g.review = now.Add(RenewInterval)
	for _, h := range g.leases {
		h.homes = nil
	}
	g.book.Each(func(r Record) {
		g.adopt(now, r)
	})
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}
