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
// packet. Only those that cannot tell without it are then handed the packet, in short
// lists at the same time.
const (
	// mostWalked is up to how many candidates a packet is handed from one to the next.
	mostWalked = frame.MaxList
	// homeWithin is how long the home may take to send the packet on to the owner or
	// back, and inquiryWithin how long the answers of all are waited for: several
	// round trips between failure domains, and a wait in a busy side process.
	homeWithin    = 20 * time.Millisecond
	inquiryWithin = 100 * time.Millisecond
	// mostHanded is how many candidates one list has that is handed the packet, and
	// handWithin what each may take.
	mostHanded = 8
	handWithin = 10 * time.Millisecond
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
	// legMore: those that could not tell are handed a further packet of the flow. What
	// comes back of it says nothing new.
	legMore
	// legUnsure: those that could not tell are handed the packet. This and the legs up
	// to legCount tell one inquiry from the next, of which a late Return may be.
	legUnsure
)

// legCount is how many legs there are.
const legCount = 250

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
	// atHome tells that the home has the packet and nobody else has been asked yet.
	atHome bool
	// kept are packets of the flow, the first the one that is searched for.
	kept []Packet
	// open are those whose answers are awaited, unsure those that could not tell and
	// handed those that were given the packet since; lists counts the lists of these
	// that have not come back.
	open   []frame.Host
	unsure []frame.Host
	handed []frame.Host
	lists  int
	// settled tells that everybody who may own the flow is asked.
	settled bool
	// due is when no more answers are waited for.
	due time.Time
}

// leg is that of the lists which are handed the packet.
func (q *inquiry) leg() uint8 {
	return legUnsure + uint8(q.number%(legCount-legUnsure))
}

// keep adds a packet that comes during the inquiry, and tells whether it is not a copy
// of one that is kept.
func (q *inquiry) keep(p link.Packet, raw []byte) bool {
	isCopy := slices.ContainsFunc(q.kept, func(o Packet) bool {
		return o.Sequence == p.Sequence && o.Acknowledgment == p.Acknowledgment && o.Payload == p.Payload && o.Flags == p.Flags
	})
	if isCopy || len(q.kept) >= mostKept {
		return false
	}
	q.kept = append(q.kept, Packet{
		Packet: p,
		Raw:    slices.Clone(raw),
	})
	return true
}

// join takes a packet of a flow whose owner is being looked for. An endpoint may need
// all packets of a request before it says anything.
func (g *Guide) join(now time.Time, q *inquiry, p link.Packet, raw []byte) {
	if q.keep(p, raw) {
		g.handLists(now, q, legMore, q.handed, &q.kept[len(q.kept)-1])
	}
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
	q.atHome = true
	q.due = now.Add(homeWithin)
	g.hand(now, legHome, list[:1], 0, &q.kept[0])
}

// hand gives a packet to candidates, one after the other.
func (g *Guide) hand(now time.Time, leg uint8, list []frame.Host, flags uint8, p *Packet) {
	aim, urgency := g.routeOf(p.Key)
	g.add(Send{
		To:   list[0],
		Key:  p.Key,
		Kind: p.Kind,
		Why:  Lookup,
		Carry: &frame.Carry{
			Flags:    flags,
			Best:     frame.NoBest,
			Leg:      leg,
			Aim:      aim,
			Urgency:  urgency,
			Balancer: g.self,
			Home:     g.home(now, p.Key),
			List:     list,
			Packet:   p.Raw,
		},
	})
}

// handLists gives a packet to candidates in short lists, and tells how many.
func (g *Guide) handLists(now time.Time, q *inquiry, leg uint8, hosts []frame.Host, p *Packet) (lists int) {
	flags := uint8(frame.Unsure)
	if q.settled {
		flags = frame.Settled
	}
	for list := range slices.Chunk(hosts, mostHanded) {
		lists++
		g.hand(now, leg, slices.Clone(list), flags, p)
	}
	return lists
}

// askAll asks all candidates at once.
func (g *Guide) askAll(now time.Time, q *inquiry, list []frame.Host, settled bool) {
	g.inquiries++
	q.number = g.inquiries
	q.atHome = false
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
		g.advance(now, x)
	}
}

// advance hands the packet to those that could not tell. If there are none and nobody's
// answer is awaited, the flow has no owner, as far as everybody answered.
func (g *Guide) advance(now time.Time, x *entry) {
	q := x.inquiry
	if len(q.unsure) > 0 {
		g.handUnsure(now, q)
		return
	}
	if len(q.open) > 0 || q.lists > 0 {
		return
	}
	x.inquiry = nil
	first := q.kept[0]
	g.unowned(now, x, first.Packet, first.Raw, q.settled)
}

func (g *Guide) handUnsure(now time.Time, q *inquiry) {
	q.lists += g.handLists(now, q, q.leg(), q.unsure, &q.kept[0])
	for i := range q.kept[1:] {
		g.handLists(now, q, legMore, q.unsure, &q.kept[1+i])
	}
	q.handed = append(q.handed, q.unsure...)
	q.unsure = nil
	q.due = now.Add(inquiryWithin + mostHanded*handWithin)
}

// handedBack takes back a packet of an inquiry whose candidates did not own its flow.
// One that comes later than the inquiry waited for it changes nothing.
func (g *Guide) handedBack(now time.Time, x *entry, e Return) {
	if x == nil || x.inquiry == nil {
		return
	}
	q := x.inquiry
	switch {
	case q.atHome && e.Leg == legHome:
		g.askOthers(now, x)
	case !q.atHome && e.Leg == q.leg() && q.lists > 0:
		q.lists--
		q.settled = q.settled && e.Sure
		g.advance(now, x)
	}
}

// deliverKept sends the packets that came during an inquiry to the owner that it found.
func (g *Guide) deliverKept(now time.Time, x *entry) {
	q := x.inquiry
	x.inquiry = nil
	if q == nil {
		return
	}
	kept := q.kept
	switch {
	case slices.Contains(q.handed, x.owners[0].host):
		// It has been handed all of them.
		return
	case q.atHome:
		// The home has sent the first one to the owner.
		kept = kept[1:]
	}
	for _, p := range kept {
		if host := x.ownerOf(p.Packet); host != 0 {
			g.toOwner(now, x, host, p)
		}
	}
}

// watchInquiries goes on with the inquiries under way: the packet is handed to those that
// could not tell without waiting for everybody's answer, and nobody is waited for that is
// overdue.
func (g *Guide) watchInquiries(now time.Time) {
	watched := g.inquiring
	g.inquiring = nil
	for _, q := range watched {
		x, ok := g.flows[q.key]
		if !ok || x.inquiry != q {
			continue
		}
		switch overdue := !now.Before(q.due); {
		case overdue && q.atHome:
			g.askOthers(now, x)
		case overdue:
			q.settled = q.settled && len(q.open) == 0 && q.lists == 0
			q.open = nil
			q.lists = 0
			g.advance(now, x)
		case len(q.unsure) > 0:
			g.advance(now, x)
		}
		if x.inquiry == q {
			g.inquiring = append(g.inquiring, q)
		}
	}
}
