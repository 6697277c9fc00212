package guide

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// Where many endpoints may own a flow, its packet is not handed from one to the next:
// that takes as many hops and carries the packet as often. The home is asked first; if
// it does not know the owner, every endpoint is asked at once by a message without the
// packet. Only those that cannot tell without it are then handed the packet.
const (
	// mostWalked is up to how many candidates a packet is handed from one to the next.
	mostWalked = 16
	// homeWithin is how long the home may take to send the packet on to the owner or
	// back, and inquiryWithin how long the answers of all are waited for: several
	// round trips between failure domains, and a wait in a busy side process.
	homeWithin    = 40 * time.Millisecond
	inquiryWithin = 100 * time.Millisecond
	// handWithin is what one candidate may take that is handed the packet.
	handWithin = 6 * time.Millisecond
	// mostKept bounds the packets of a flow kept during an inquiry; the caller sends
	// the others again.
	mostKept = 8
)

// Legs of a search: which part of it a Return comes from.
const (
	// legWalk: a few candidates, one after the other.
	legWalk = iota
	// legHome: the home of the flow alone.
	legHome
	// legUnsure: those that could not tell without the packet.
	legUnsure
)

// Ask asks side processes for the owner of a flow.
type Ask struct {
	To  []frame.Host
	Ask frame.Ask
	// Settled tells that these are all that may own the flow.
	Settled bool
}

// Denied is the answer of a side process whose endpoint does not hold a flow, or that
// cannot tell.
type Denied struct {
	frame.Denial
}

func (Ask) action()   {}
func (Denied) event() {}

// inquiry is a search for the owner of a flow among many endpoints.
type inquiry struct {
	number uint32
	key    link.Key
	// leg is legHome while the home has the packet, legUnsure while it is handed to
	// those that could not tell, and legWalk while everybody is asked.
	leg uint8
	// kept are packets of the flow, the first the one that is searched for.
	kept []Packet
	// open are those whose answers are awaited and unsure those that could not tell.
	open   []frame.Host
	unsure []frame.Host
	// settled tells that everybody who may own the flow is asked.
	settled bool
	// due is when no more answers are waited for.
	due time.Time
}

// keep adds a packet that comes during the inquiry. Copies are left out.
func (q *inquiry) keep(p link.Packet, raw []byte) {
	isCopy := slices.ContainsFunc(q.kept, func(o Packet) bool {
		return o.Sequence == p.Sequence && o.Acknowledgment == p.Acknowledgment && o.Payload == p.Payload && o.Flags == p.Flags
	})
	if isCopy || len(q.kept) >= mostKept {
		return
	}
	q.kept = append(q.kept, Packet{
		Packet: p,
		Raw:    slices.Clone(raw),
	})
}

// inquire looks for an owner among many: at the home of the flow, if that is the first
// of the list, else by asking all.
func (g *Guide) inquire(now time.Time, p link.Packet, raw []byte, list []frame.Host, settled bool) {
	x, ok := g.flows[p.Key]
	if !ok {
		x = g.remember(now, p.Key)
	}
	if x == nil {
		g.add(Drop{
			Packet: p,
			Why:    TableFull,
		})
		return
	}
	q := &inquiry{
		key: p.Key,
	}
	q.keep(p, raw)
	x.inquiry = q
	g.inquiring = append(g.inquiring, q)
	if list[0] != g.home(now, p.Key) {
		g.askAll(now, q, list, settled)
		return
	}
	q.leg = legHome
	q.due = now.Add(homeWithin)
	g.hand(now, q, list[:1], 0)
}

// hand gives the first packet to candidates, one after the other.
func (g *Guide) hand(now time.Time, q *inquiry, list []frame.Host, flags uint8) {
	aim, urgency := g.routeOf(q.key)
	g.add(Send{
		To:   list[0],
		Key:  q.key,
		Kind: q.kept[0].Kind,
		Why:  Lookup,
		Carry: &frame.Carry{
			Flags:    flags,
			Best:     frame.NoBest,
			Leg:      q.leg,
			Aim:      aim,
			Urgency:  urgency,
			Balancer: g.self,
			Home:     g.home(now, q.key),
			List:     list,
			Packet:   q.kept[0].Raw,
		},
	})
}

// askAll asks all candidates at once.
func (g *Guide) askAll(now time.Time, q *inquiry, list []frame.Host, settled bool) {
	g.inquiries++
	q.number = g.inquiries
	q.leg = legWalk
	q.open = list
	q.settled = settled
	q.due = now.Add(inquiryWithin)
	p := &q.kept[0]
	g.add(Ask{
		To:      slices.Clone(list),
		Settled: settled,
		Ask: frame.Ask{
			Number:         q.number,
			Balancer:       g.self,
			Key:            q.key,
			Acknowledgment: p.Acknowledgment,
			Acknowledges:   p.HasAck(),
		},
	})
}

// askOthers goes on after the home, which did not know the owner or did not answer.
func (g *Guide) askOthers(now time.Time, x *entry) {
	q := x.inquiry
	route, ok := g.route(q.key)
	if !ok {
		x.inquiry = nil
		g.endUnrouted(q.kept[0].Packet)
		return
	}
	list, settled := g.ownersOf(now, q.key, route)
	if len(list) == 0 {
		x.inquiry = nil
		return
	}
	g.askAll(now, q, list, settled)
}

// deny takes the answer of a side process that does not own the flow.
func (g *Guide) deny(now time.Time, d frame.Denial) {
	g.members.Alive(d.Host)
	x, ok := g.flows[d.Key]
	if !ok || x.inquiry == nil || x.inquiry.number != d.Number {
		return
	}
	q := x.inquiry
	at := slices.Index(q.open, d.Host)
	if at < 0 {
		return
	}
	q.open = slices.Delete(q.open, at, at+1)
	if !d.Sure {
		q.unsure = append(q.unsure, d.Host)
	}
	if len(q.open) == 0 {
		g.conclude(now, x)
	}
}

// conclude ends an inquiry that found no owner. Those that could not tell are handed
// the packet; if there are none, the flow has no owner, as far as everybody answered.
func (g *Guide) conclude(now time.Time, x *entry) {
	q := x.inquiry
	first := q.kept[0]
	silent := len(q.open) > 0
	if len(q.unsure) == 0 {
		x.inquiry = nil
		g.unowned(now, x, first.Packet, first.Raw, q.settled && !silent)
		return
	}
	list := q.unsure[:min(len(q.unsure), frame.MaxList)]
	q.unsure = q.unsure[len(list):]
	q.open = nil
	q.leg = legUnsure
	q.due = now.Add(inquiryWithin + time.Duration(len(list))*handWithin)
	q.settled = q.settled && !silent
	if q.settled {
		g.hand(now, q, list, frame.Settled)
		return
	}
	g.hand(now, q, list, frame.Unsure)
}

// handedBack takes back a packet of an inquiry whose candidates did not own its flow.
// One that comes later than the inquiry waited for it changes nothing.
func (g *Guide) handedBack(now time.Time, x *entry, e Return) {
	if x == nil || x.inquiry == nil || x.inquiry.leg != e.Leg {
		return
	}
	q := x.inquiry
	if e.Leg == legHome {
		g.askOthers(now, x)
		return
	}
	q.settled = q.settled && e.Sure
	g.conclude(now, x)
}

// deliverKept sends the packets that came during an inquiry to the owner that it found.
func (g *Guide) deliverKept(now time.Time, x *entry) {
	q := x.inquiry
	x.inquiry = nil
	if q == nil {
		return
	}
	kept := q.kept
	if q.leg != legWalk {
		// The first packet has found the owner by itself.
		kept = kept[1:]
	}
	for _, p := range kept {
		if host := x.ownerOf(p.Packet); host != 0 {
			g.toOwner(now, x, host, p)
		}
	}
}

// expireInquiries ends the inquiries whose answers are overdue.
func (g *Guide) expireInquiries(now time.Time) {
	kept := g.inquiring[:0]
	var due []*inquiry
	for _, q := range g.inquiring {
		x, ok := g.flows[q.key]
		switch {
		case !ok || x.inquiry != q:
		case now.Before(q.due):
			kept = append(kept, q)
		default:
			due = append(due, q)
		}
	}
	clear(g.inquiring[len(kept):])
	g.inquiring = kept
	for _, q := range due {
		x := g.flows[q.key]
		switch q.leg {
		case legHome:
			g.askOthers(now, x)
		case legUnsure:
			// The packet is lost, or waits for an endpoint that does not answer.
			q.settled = false
			g.conclude(now, x)
		default:
			g.conclude(now, x)
		}
		if x.inquiry == q {
			g.inquiring = append(g.inquiring, q)
		}
	}
}
