package router

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
)

// EvenCounts counts the placed SYNs by the load of the endpoints that took them.
type EvenCounts struct {
	// Announced counts the SYNs whose endpoint announced its load.
	Announced uint64
	// BeyondSlots counts those taken by an endpoint without a free slot, WhileFree those of
	// them after whose placement another endpoint reported a free slot.
	BeyondSlots uint64
	WhileFree   uint64
}

// EvenCounts returns the counts since the start.
func (g *Router) EvenCounts() EvenCounts {
	return g.evenCounts
}

// applyAnnouncedLoad learns from the announcement of an owner: its load, and that the
// candidates asked before it had no free slot. Agents without even placement announce no load
// and pass SYNs on by another rule.
func (g *Router) applyAnnouncedLoad(now time.Time, p *pendingFlow, o frame.Owner) {
	if !g.features.Even || !o.LoadKnown {
		return
	}
	if s := g.members.Agent(o.Host); s != nil {
		s.Load.ApplyUse(now, float64(o.Load)/roster.LoadUnit*float64(s.Slots))
	}
	if p == nil {
		return
	}
	beyond := o.Load > roster.LoadUnit
	g.evenCounts.Announced++
	if beyond {
		g.evenCounts.BeyondSlots++
		if g.reportedFree(now, p, o.Host) {
			g.evenCounts.WhileFree++
		}
	}
	if p.tries > 0 || p.packet.Acknowledgment != 0 {
		// Other copies of the SYN took other ways.
		return
	}
	passed := p.candidates
	if i := slices.Index(passed, o.Host); i >= 0 && !beyond {
		passed = passed[:i]
	}
	for _, h := range passed {
		if s := g.members.Agent(h); s != nil && h != o.Host {
			s.Load.ApplyFull(now)
		}
	}
}

// reportedFree reports whether another endpoint of the service has reported a free slot since
// the SYN was placed.
func (g *Router) reportedFree(now time.Time, p *pendingFlow, taker frame.Host) bool {
	x := g.flows[p.key]
	if x == nil {
		return false
	}
	return slices.ContainsFunc(g.members.ServiceAgents(x.service), func(s *roster.Agent) bool {
		return s.Host != taker && s.AcceptsFlows(now) && s.InUse < s.Slots && !s.HeardAt.Before(p.startedAt)
	})
}
