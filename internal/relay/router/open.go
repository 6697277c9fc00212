package router

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/place"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// handleOpening places a new flow, or repeats the decision for a retransmitted SYN.
func (g *Router) handleOpening(now time.Time, p Packet) {
	current := g.active.Current()
	if current == nil {
		g.addAction(Drop{
			Packet: p.Packet,
			Reason: NoPlan,
		})
		return
	}
	route, ok := current.Routes[plan.TargetOf(p.Key)]
	if !ok {
		delete(g.flows, p.Key)
		g.addAction(Refuse{
			Packet: p.Packet,
			Reason: NoRoute,
		})
		return
	}
	x, ok := g.flows[p.Key]
	if ok && x.sequence == p.Sequence && g.repeatOpening(now, x, p) {
		return
	}
	g.placeFlow(now, route, p)
}

// repeatOpening handles a retransmitted SYN: it goes to the known owner again. Without
// one, the balancer's own resends continue.
func (g *Router) repeatOpening(now time.Time, x *flow, p Packet) bool {
	if host := x.owners[0].host; host != 0 {
		s := g.members.Agent(host)
		if s == nil || s.Silent(now) {
			return false
		}
		g.addAction(Send{
			To:     host,
			Key:    p.Key,
			Kind:   p.Kind,
			Reason: Repeated,
			Forward: &frame.Forward{
				Best:       frame.NoBest,
				Service:    x.service,
				Balancer:   g.self,
				Candidates: []frame.Host{host},
				Packet:     p.Raw,
			},
		})
		return true
	}
	return x.pending != nil && g.resendOpening(now, x, x.pending)
}

func (g *Router) placeFlow(now time.Time, route *plan.Route, p Packet) {
	hash := p.Key.Hash()
	service := route.ChooseService(hash)
	list, flags := g.flowCandidates(now, hash, service, nil)
	if len(list) == 0 {
		g.refuseUnplaced(now, service, p)
		return
	}
	home := place.Home(now, hash, g.members.Agents())
	if p.Acknowledgment != 0 && home != 0 {
		// A retransmitted SYN whose first copy went through another balancer: the home
		// may know where that copy is queued.
		list = append([]frame.Host{home}, withoutHost(list, home, true)...)
	}
	delete(g.flows, p.Key)
	x := g.addFlow(now, p.Key)
	if x == nil {
		g.addAction(Refuse{
			Packet: p.Packet,
			Reason: TableFull,
		})
		return
	}
	x.sequence = p.Sequence
	x.service = service
	x.pending = &pendingFlow{
		key:           p.Key,
		packet:        p.Packet,
		raw:           slices.Clone(p.Raw),
		candidates:    list,
		flags:         flags,
		home:          home,
		flowsPerSlot:  g.members.FlowsPerSlot(now, service),
		latencyTarget: latencyTargetMS(route),
		priority:      route.Priority,
		startedAt:     now,
		sentAt:        now,
		resendAt:      now.Add(resendDelay),
	}
	x.offer = x.pending
	g.pending = append(g.pending, x.pending)
	g.sendOpening(x, x.pending, Placed)
}

// refuseUnplaced refuses a SYN that no endpoint takes, or drops it.
func (g *Router) refuseUnplaced(now time.Time, service spec.ServiceID, p Packet) {
	reason := g.unplacedReason(now, service)
	if reason == Starting {
		g.addAction(Drop{
			Packet: p.Packet,
			Reason: reason,
		})
		return
	}
	g.addAction(Refuse{
		Packet: p.Packet,
		Reason: reason,
	})
}

// unplacedReason returns why no endpoint takes a SYN. It is Starting if an endpoint may take its
// retransmission: the balancer has just started and has heard no agent yet, or an agent waits to
// be registered or to be told which failure domains are evacuated.
func (g *Router) unplacedReason(now time.Time, service spec.ServiceID) Reason {
	agents := g.members.ServiceAgents(service)
	switch {
	case g.awaitsAgent(now, agents) || len(agents) == 0 && now.Before(g.startedAt.Add(startupTimeout)):
		return Starting
	case g.onlyEvacuated(now, service):
		return Evacuated
	default:
		return NoEndpoint
	}
}

func (g *Router) sendOpening(x *flow, o *pendingFlow, why Reason) {
	if s := g.members.Agent(o.candidates[0]); s != nil {
		s.SentSinceReport++
		s.Load.ApplySent(o.sentAt)
	}
	g.addAction(Send{
		To:     o.candidates[0],
		Key:    o.key,
		Kind:   link.Opening,
		Reason: why,
		Forward: &frame.Forward{
			Flags:           o.flags,
			Best:            frame.NoBest,
			LookupStage:     uint8(o.lists),
			FlowsPerSlot:    o.flowsPerSlot,
			LatencyTargetMS: o.latencyTarget,
			Priority:        o.priority,
			Service:         x.service,
			Balancer:        g.self,
			Home:            o.home,
			Candidates:      o.candidates,
			Packet:          o.raw,
		},
	})
}

// resendOpening sends an unanswered SYN to the next candidate once it is due. It reports
// whether the flow still waits for an owner.
func (g *Router) resendOpening(now time.Time, x *flow, o *pendingFlow) bool {
	if now.Before(o.resendAt) {
		return true
	}
	if s := g.members.Agent(o.candidates[0]); s != nil && s.HeardAt.Before(o.sentAt) {
		s.Unanswered++
	}
	if o.tries >= maxResends {
		x.pending = nil
		return false
	}
	o.tries++
	o.candidates = append(o.candidates[1:len(o.candidates):len(o.candidates)], o.candidates[0])
	if o.candidates = g.withoutEvacuated(o.candidates); len(o.candidates) == 0 {
		x.pending = nil
		return false
	}
	o.sentAt = now
	o.resendAt = now.Add(resendDelay << o.tries)
	g.sendOpening(x, o, Resent)
	return true
}
