package router

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/lookup"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// A packet that travels along its candidates is lost at the first one that is away, which may
// come before the owner: endpoints that do not hold the flow have got the packet, and its own has
// not. While agents are restarted one after the other, most packets meet one. An agent that is
// away is known only when it has missed several reports, so a lookup that does not come back is
// continued with a query to all agents.
const (
	// walkTimeout is how long the candidates may take together, and candidateTimeout how long
	// each of them may take in addition.
	walkTimeout      = 100 * time.Millisecond
	candidateTimeout = 2 * time.Millisecond
)

// walk is a packet that travels along the candidates.
type walk struct {
	packet   Packet
	deadline time.Time
}

// startWalk records a packet that is about to travel along a list of candidates, if all of them
// answer batches. It does so whether or not the caller waits for an answer: an endpoint that sends
// without getting acknowledgments goes on until it gives up the flow.
func (g *Router) startWalk(now time.Time, p link.Packet, raw []byte, list []frame.Host) {
	x, ok := g.flows[p.Key]
	if ok && x.walk != nil || len(g.walks) >= maxPendingRetries {
		return
	}
	if _, single := g.splitByBatches(list); len(single) > 0 {
		return
	}
	if !ok {
		if x = g.addFlow(now, p.Key); x == nil {
			return
		}
	}
	x.walk = &walk{
		packet: Packet{
			Packet: p,
			Raw:    slices.Clone(raw),
		},
		deadline: now.Add(walkTimeout + time.Duration(len(list))*candidateTimeout),
	}
	g.walks = append(g.walks, x.walk)
}

// checkWalks asks all agents about the flows whose packets have not come back in time.
func (g *Router) checkWalks(now time.Time) {
	walks := g.walks
	g.walks = nil
	for _, w := range walks {
		x, ok := g.flows[w.packet.Key]
		switch {
		case !ok || x.walk != w:
		case now.Before(w.deadline):
			g.walks = append(g.walks, w)
		default:
			x.walk = nil
			g.continueWalk(now, x, w.packet)
		}
	}
}

func (g *Router) continueWalk(now time.Time, x *flow, p Packet) {
	route, ok := g.route(p.Key)
	if !ok || x.query != nil || x.ownerOf(p.Packet) != 0 {
		return
	}
	list, complete := g.lookupCandidates(now, p.Key, route)
	if len(list) == 0 {
		return
	}
	if x.denials == nil {
		// The home has had the packet.
		x.denials = lookup.NewDenials(p.Packet)
	}
	g.startQuery(now, p.Packet, p.Raw, lookupState{}, list, complete)
}
