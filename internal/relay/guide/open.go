package guide

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/place"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// open places a new flow, or repeats what was decided for it.
func (g *Guide) open(now time.Time, p Packet) {
	current := g.held.Current()
	if current == nil {
		g.add(Drop{
			Packet: p.Packet,
			Why:    NoPlan,
		})
		return
	}
	route, ok := current.Routes[plan.TargetOf(p.Key)]
	if !ok {
		delete(g.flows, p.Key)
		g.add(Refuse{
			Packet: p.Packet,
			Why:    NoRoute,
		})
		return
	}
	x, ok := g.flows[p.Key]
	if ok && x.sequence == p.Sequence && g.repeat(now, x, p) {
		return
	}
	g.start(now, route, p)
}

// repeat answers a copy of an opening: the owner that is known gets it again.
// While none is, the balancer's own resends go on.
func (g *Guide) repeat(now time.Time, x *entry, p Packet) bool {
	if host := x.owners[0].host; host != 0 {
		s := g.members.Side(host)
		if s == nil || s.Silent(now) {
			return false
		}
		g.add(Send{
			To:   host,
			Key:  p.Key,
			Kind: p.Kind,
			Why:  Repeated,
			Carry: &frame.Carry{
				Best:     frame.NoBest,
				Service:  x.service,
				Balancer: g.self,
				List:     []frame.Host{host},
				Packet:   p.Raw,
			},
		})
		return true
	}
	return x.opening != nil && g.resend(now, x, x.opening)
}

func (g *Guide) start(now time.Time, route *plan.Route, p Packet) {
	hash := p.Key.Hash()
	service := route.Choose(hash)
	list := place.Opening(now, hash, g.zone, g.members.Service(service))
	if len(list) == 0 {
		g.unplaced(now, service, p)
		return
	}
	home := place.Home(now, hash, g.members.All())
	if p.Acknowledgment != 0 && home != 0 {
		// A copy of an opening whose first one went through another balancer: the
		// home may know where that one waits.
		list = append([]frame.Host{home}, withoutHost(list, home, true)...)
	}
	delete(g.flows, p.Key)
	x := g.remember(now, p.Key)
	if x == nil {
		g.add(Refuse{
			Packet: p.Packet,
			Why:    TableFull,
		})
		return
	}
	x.sequence = p.Sequence
	x.service = service
	x.opening = &opening{
		key:       p.Key,
		packet:    p.Packet,
		raw:       slices.Clone(p.Raw),
		list:      list,
		home:      home,
		share:     g.members.FlowShare(now, service),
		aim:       aimOf(route),
		urgency:   route.Urgency,
		startedAt: now,
		sentAt:    now,
		due:       now.Add(answerWithin),
	}
	g.waiting = append(g.waiting, x.opening)
	g.sendOpening(x, x.opening, Placed)
}

// unplaced answers an opening that no endpoint takes. It is refused at once but
// in the first moments of the balancer, which may not have heard of any.
func (g *Guide) unplaced(now time.Time, service pact.ServiceID, p Packet) {
	if len(g.members.Service(service)) == 0 && now.Before(g.started.Add(startGrace)) {
		g.add(Drop{
			Packet: p.Packet,
			Why:    Starting,
		})
		return
	}
	g.add(Refuse{
		Packet: p.Packet,
		Why:    NoEndpoint,
	})
}

func (g *Guide) sendOpening(x *entry, o *opening, why Reason) {
	if s := g.members.Side(o.list[0]); s != nil {
		s.Sent++
	}
	g.add(Send{
		To:   o.list[0],
		Key:  o.key,
		Kind: link.Opening,
		Why:  why,
		Carry: &frame.Carry{
			Best:     frame.NoBest,
			Share:    o.share,
			Aim:      o.aim,
			Urgency:  o.urgency,
			Service:  x.service,
			Balancer: g.self,
			Home:     o.home,
			List:     o.list,
			Packet:   o.raw,
		},
	})
}

// resend gives an opening that nobody answered to the next candidates. It tells
// whether the opening still waits.
func (g *Guide) resend(now time.Time, x *entry, o *opening) bool {
	if now.Before(o.due) {
		return true
	}
	if s := g.members.Side(o.list[0]); s != nil && s.HeardAt.Before(o.sentAt) {
		s.Doubts++
	}
	if o.tries >= mostResends {
		x.opening = nil
		return false
	}
	o.tries++
	o.list = append(o.list[1:len(o.list):len(o.list)], o.list[0])
	o.sentAt = now
	o.due = now.Add(answerWithin << o.tries)
	g.sendOpening(x, o, Resent)
	return true
}
