package guide

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/place"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// denial is a packet whose flow nobody was found to hold. It is asked for again
// until an owner is found, everybody has denied it twice, or asking makes no sense
// any more.
type denial struct {
	key    link.Key
	packet link.Packet
	raw    []byte
	due    time.Time
	tries  int
	// sureAt is when everybody had denied it for sure; zero if somebody had not.
	sureAt time.Time
}

// search is how far the search for a flow's owner has come.
type search struct {
	// denier has denied the flow, if it is not 0.
	denier frame.Host
	// unsure tells that somebody asked could not say.
	unsure bool
}

func (g *Guide) lookup(now time.Time, p link.Packet, raw []byte, s search) {
	if g.held.Current() == nil {
		g.add(Drop{
			Packet: p,
			Why:    NoPlan,
		})
		return
	}
	route, ok := g.route(p.Key)
	if !ok {
		g.endUnrouted(p)
		return
	}
	if x := g.flows[p.Key]; x != nil && x.inquiry != nil {
		g.join(now, x.inquiry, p, raw)
		return
	}
	list, settled := g.ownersOf(now, p.Key, route)
	list = withoutHost(list, s.denier, !s.unsure)
	if len(list) == 0 {
		g.add(Drop{
			Packet: p,
			Why:    NoEndpoint,
		})
		return
	}
	if len(list) > mostWalked {
		g.inquire(now, p, raw, list, settled)
		return
	}
	flags := uint8(0)
	if settled {
		flags |= frame.Settled
	}
	if s.unsure {
		flags |= frame.Unsure
	}
	g.add(Send{
		To:   list[0],
		Key:  p.Key,
		Kind: p.Kind,
		Why:  Lookup,
		Carry: &frame.Carry{
			Flags:    flags,
			Best:     frame.NoBest,
			Leg:      legWalk,
			Aim:      aimOf(route),
			Urgency:  route.Urgency,
			Service:  route.Choose(p.Key.Hash()),
			Balancer: g.self,
			Home:     g.home(now, p.Key),
			List:     list,
			Packet:   raw,
		},
	})
}

// wantsAnswer tells whether the caller waits for an answer to the packet: it sends
// bytes, or closes its end. A bare acknowledgment or a reset asks for nothing.
func wantsAnswer(p link.Packet) bool {
	return !p.IsReset() && (p.Payload > 0 || p.Kind == link.Closing)
}

// endUnrouted answers a packet of a flow whose target has no route. A caller that
// waits for an answer is told; a bare acknowledgment asks for nothing.
func (g *Guide) endUnrouted(p link.Packet) {
	if !wantsAnswer(p) {
		g.add(Drop{
			Packet: p,
			Why:    NoRoute,
		})
		return
	}
	g.add(Reset{
		Packet: p,
		Why:    NoRoute,
	})
}

// ownersOf lists everybody who may own a flow: every endpoint, those of the route's
// services first. The list is settled if it is complete and old enough that every
// member had time to be heard.
func (g *Guide) ownersOf(now time.Time, key link.Key, route *plan.Route) (list []frame.Host, settled bool) {
	hash := key.Hash()
	isolated := g.members.Isolated(now)
	list = place.Lookup(now, hash, isolated, g.members.All(), route.Services(hash))
	settled = !isolated && g.members.Complete(now) && !now.Before(g.settledAt)
	return list, settled
}

// home is the side process that keeps the owner of a flow, or 0.
func (g *Guide) home(now time.Time, key link.Key) frame.Host {
	return place.Home(now, key.Hash(), g.members.All())
}

// withoutHost takes a host out of the list, or puts it last if it cannot say
// whether it owns the flow.
func withoutHost(list []frame.Host, host frame.Host, sure bool) (out []frame.Host) {
	if host == 0 {
		return list
	}
	found := false
	for _, h := range list {
		if h == host {
			found = true
			continue
		}
		out = append(out, h)
	}
	if found && !sure {
		out = append(out, host)
	}
	return out
}

func (g *Guide) returned(now time.Time, e Return) {
	g.members.Alive(e.Host)
	p := e.Packet
	x, ok := g.flows[p.Key]
	if p.Kind == link.Opening {
		g.rejected(x, e)
		return
	}
	if !e.Walked {
		g.denied(now, x, e)
		return
	}
	if e.Leg != legWalk {
		g.handedBack(now, x, e)
		return
	}
	if !ok {
		if x = g.remember(now, p.Key); x == nil {
			return
		}
	}
	g.unowned(now, x, p, e.Stray.Packet, e.Sure)
}

// unowned takes note that a search found no owner; it is sure if everybody who may own
// the flow has denied it.
func (g *Guide) unowned(now time.Time, x *entry, p link.Packet, raw []byte, sure bool) {
	if !wantsAnswer(p) {
		if sure && x.owners[0].host == 0 {
			x.lostUntil = now.Add(lostFor)
			x.keep = x.lostUntil
		}
		g.add(Drop{
			Packet: p,
			Why:    OwnerUnknown,
		})
		return
	}
	x.keep = now.Add(openingKeep)
	g.notFound(now, x, p, raw, sure)
}

// notFound counts a search that found no owner. The flow is reset once everybody
// has denied it for sure at two times, far enough apart.
func (g *Guide) notFound(now time.Time, x *entry, p link.Packet, raw []byte, sure bool) {
	d := x.denied
	if d == nil {
		d = &denial{
			key:    p.Key,
			packet: p,
			raw:    slices.Clone(raw),
		}
	}
	wait := confirmAfter
	switch {
	case !sure:
		wait = askAgainAfter
		d.sureAt = time.Time{}
	case d.sureAt.IsZero():
		d.sureAt = now
	case !now.Before(d.sureAt.Add(confirmAfter)):
		delete(g.flows, p.Key)
		g.add(Reset{
			Packet: p,
			Why:    AllDenied,
		})
		return
	}
	g.add(Drop{
		Packet: p,
		Why:    OwnerUnknown,
	})
	if d.due.After(now) || len(g.denials) >= mostAsked {
		return
	}
	if d.tries >= mostAsks {
		x.denied = nil
		return
	}
	x.denied = d
	d.tries++
	d.due = now.Add(wait)
	g.denials = append(g.denials, d)
}

// rejected refuses an opening that no candidate takes, unless another copy of it
// has been accepted meanwhile.
func (g *Guide) rejected(x *entry, e Return) {
	if x == nil || x.sequence != e.Packet.Sequence || x.opening == nil && !x.waitsAt(e.Host) {
		g.add(Drop{
			Packet: e.Packet,
			Why:    AllRejected,
		})
		return
	}
	delete(g.flows, e.Packet.Key)
	g.add(Refuse{
		Packet: e.Packet,
		Why:    AllRejected,
	})
}

// askAgain looks again for flows that were not found.
func (g *Guide) askAgain(now time.Time) {
	var due []*denial
	g.denials = slices.DeleteFunc(g.denials, func(d *denial) bool {
		if now.Before(d.due) {
			return false
		}
		due = append(due, d)
		return true
	})
	for _, d := range due {
		if x, ok := g.flows[d.key]; ok && x.denied == d {
			g.lookup(now, d.packet, d.raw, search{})
		}
	}
}

// denied takes a packet back from the endpoint that was believed to own its flow.
// If that endpoint had owned it and is sure that it does not any more, it started
// anew and the flow is lost. Otherwise the owner is somebody else.
func (g *Guide) denied(now time.Time, x *entry, e Return) {
	p := e.Packet
	owned := false
	if x != nil {
		owned = x.forget(e.Host, p)
	}
	if e.Sure && owned && wantsAnswer(p) {
		delete(g.flows, p.Key)
		g.add(Reset{
			Packet: p,
			Why:    OwnerRestarted,
		})
		return
	}
	g.lookup(now, p, e.Stray.Packet, search{
		denier: e.Host,
		unsure: !e.Sure,
	})
}
