// Package guide is a balancer's decision on each packet of a caller, on platforms
// whose upstreams end the flows: to which side process it goes, along which list
// of others, or that its flow is refused or reset. It is a pure state machine:
// Step takes an event and gives actions.
//
// Owners of flows are soft state. Losing any of it costs a lookup and never a
// flow: an unknown owner is found by asking the endpoints of the service in turn.
package guide

import (
	"math"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/place"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

const (
	// answerWithin is how long an opening may go without word of an owner until
	// it is given to the next candidate. A walk over all candidates of an
	// opening takes under 20 ms between failure domains.
	answerWithin = 60 * time.Millisecond
	// mostResends bounds the copies of one opening that the balancer makes.
	mostResends = 4
	// openingKeep is how long an opening without an owner is remembered: past
	// the last copy that a caller sends.
	openingKeep = 3 * time.Second
	// ownerKeep is how long an owner is kept after the flow's last packet. Flows
	// idle for longer may be discarded.
	ownerKeep = 30 * time.Second
	// askAgainAfter is how long after every endpoint has denied a flow they are
	// asked once more before it is reset: an owner that was missed because a
	// datagram was lost, or that was just joining, is found by then.
	askAgainAfter = 150 * time.Millisecond
	// settledAfter is how long after its start a balancer takes what it knows of
	// the members for complete if nobody told it who they are: two reports of a
	// side process.
	settledAfter = 600 * time.Millisecond
	// lostFor is how long it is remembered that nobody holds a flow. Its caller
	// gives up within seconds.
	lostFor = 5 * time.Second
	// mostAsks bounds how often a flow is asked for again: for about a second, in
	// which everybody is heard after an outage.
	mostAsks = 6
	// mostAsked bounds the packets kept to be asked for again.
	mostAsked = 2048
	// startGrace is how long a balancer that knows no endpoint leaves openings
	// unanswered instead of refusing them; the caller's copies come meanwhile.
	startGrace = 1300 * time.Millisecond
	// mostFlows bounds the flows remembered, about 300 bytes each.
	mostFlows = 60_000
)

// Event is Packet, Hint, Return or Tick.
type Event interface{ event() }

// Packet is a caller's packet; Raw is kept by no one after Step.
type Packet struct {
	link.Packet
	Raw []byte
}

// Hint is word of an owner.
type Hint struct {
	frame.Owner
}

// Return is a packet that found no owner.
type Return struct {
	link.Packet
	frame.Stray
}

// Tick is due at least every 20 ms while openings wait.
type Tick struct{}

func (Packet) event() {}
func (Hint) event()   {}
func (Return) event() {}
func (Tick) event()   {}

// Action is Send, Refuse, Reset, Drop or Found.
type Action interface{ action() }

// Send gives a packet to a side process.
type Send struct {
	To    frame.Host
	Carry *frame.Carry
	Key   link.Key
	Kind  link.Kind
	Why   Reason
}

// Refuse answers an opening with a reset: nothing was run.
type Refuse struct {
	Packet link.Packet
	Why    Reason
}

// Reset ends a flow that no endpoint holds.
type Reset struct {
	Packet link.Packet
	Why    Reason
}

// Drop leaves a packet unanswered.
type Drop struct {
	Packet link.Packet
	Why    Reason
}

// Found tells that an endpoint has answered an opening, or holds it until a slot
// is free.
type Found struct {
	Key   link.Key
	Host  frame.Host
	After time.Duration
}

func (Found) action()  {}
func (Send) action()   {}
func (Refuse) action() {}
func (Reset) action()  {}
func (Drop) action()   {}

// entry is what is remembered of one flow.
type entry struct {
	// owners are those that answered the opening, the latest first.
	owners [2]owner
	// sequence is the caller's first sequence number, if the opening came here.
	sequence uint32
	service  pact.ServiceID
	keep     time.Time
	opening  *opening
	// lostUntil is how long bare acknowledgments of a flow that every endpoint
	// has denied are not asked for again.
	lostUntil time.Time
	// denied is kept while the flow is asked for a second time.
	denied *denial
}

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

type owner struct {
	host    frame.Host
	initial uint32
	known   bool
}

// opening is a new flow that waits for its owner.
type opening struct {
	key    link.Key
	packet link.Packet
	raw    []byte
	list   []frame.Host
	home   frame.Host
	// share is the service's; aim and urgency are the route's.
	share   uint16
	aim     uint16
	urgency uint8
	// startedAt is when the caller's packet came, sentAt when it was last sent.
	startedAt time.Time
	sentAt    time.Time
	due       time.Time
	tries     int
}

// Guide decides for one balancer. Calls are made by one goroutine at a time.
type Guide struct {
	self    frame.Host
	zone    uint64
	started time.Time
	members *roster.Roster
	held    *plan.Held
	flows   map[link.Key]*entry
	waiting []*opening
	denials []*denial
	// settledAt is from when on the members known are taken for complete.
	settledAt time.Time
	sweepAt   time.Time
	out       []Action
}

// New makes a guide; started is when the balancer did.
func New(self frame.Host, zone uint64, started time.Time, members *roster.Roster, held *plan.Held) *Guide {
	return &Guide{
		self:    self,
		zone:    zone,
		started: started,
		members: members,
		held:    held,
		flows:   map[link.Key]*entry{},

		settledAt: started.Add(settledAfter),
	}
}

// Settle tells that the members have been named, so that from now on the balancer
// knows whom it has not heard yet.
func (g *Guide) Settle(now time.Time) {
	if now.Before(g.settledAt) {
		g.settledAt = now
	}
}

// Flows is how many flows are remembered.
func (g *Guide) Flows() int {
	return len(g.flows)
}

// Waiting tells whether openings wait for their owners.
func (g *Guide) Waiting() bool {
	return len(g.waiting) > 0
}

// Step takes one event. The actions are valid until the next Step.
func (g *Guide) Step(now time.Time, e Event) []Action {
	g.out = g.out[:0]
	switch e := e.(type) {
	case Packet:
		g.packet(now, e)
	case Hint:
		g.hint(now, e.Owner)
	case Return:
		g.returned(now, e)
	case Tick:
		g.tick(now)
	}
	return g.out
}

func (g *Guide) add(a Action) {
	g.out = append(g.out, a)
}

func (g *Guide) packet(now time.Time, p Packet) {
	if p.Kind == link.Opening {
		g.open(now, p)
		return
	}
	x, ok := g.flows[p.Key]
	if !ok {
		g.lookup(now, p.Packet, p.Raw, search{})
		return
	}
	if now.Before(x.lostUntil) && !wantsAnswer(p.Packet) {
		g.add(Drop{
			Packet: p.Packet,
			Why:    OwnerUnknown,
		})
		return
	}
	x.keep = now.Add(ownerKeep)
	if p.IsReset() {
		delete(g.flows, p.Key)
	}
	if x.opening != nil && p.HasAck() {
		x.opening = nil
	}
	host := x.ownerOf(p.Packet)
	if host == 0 || g.lostTo(now, host) {
		g.lookup(now, p.Packet, p.Raw, search{})
		return
	}
	g.add(Send{
		To:   host,
		Key:  p.Key,
		Kind: p.Kind,
		Why:  ToOwner,
		Carry: &frame.Carry{
			Flags:    frame.Cached,
			Best:     frame.NoBest,
			Service:  x.service,
			Balancer: g.self,
			List:     []frame.Host{host},
			Packet:   p.Raw,
		},
	})
}

// lostTo tells whether an owner has been silent for so long that its flows are
// looked for elsewhere, and ended if nobody has them.
func (g *Guide) lostTo(now time.Time, h frame.Host) bool {
	s := g.members.Side(h)
	return s != nil && !s.MayOwn(now, true) || s != nil && !s.MayOwn(now, false) && !g.members.Isolated(now)
}

// ackWindow is how far beyond an owner's first sequence number a caller's
// acknowledgment may lie: more than a flow carries in its life. Owners that are
// not the caller's are told apart by it in 15 of 16 cases; the side process knows
// for certain.
const ackWindow = 1 << 28

// fits tells whether a packet can be of the flow that the owner answered.
func (o *owner) fits(p link.Packet) bool {
	return o.host != 0 && (!o.known || !p.HasAck() || p.Acknowledgment-o.initial < ackWindow)
}

// ownerOf picks the owner whose first sequence number the packet acknowledges,
// where two endpoints answered the same opening. It gives 0 if it is neither's.
func (x *entry) ownerOf(p link.Packet) frame.Host {
	a, b := &x.owners[0], &x.owners[1]
	switch {
	case a.fits(p) && b.fits(p) && a.known && b.known && p.Acknowledgment-b.initial < p.Acknowledgment-a.initial:
		return b.host
	case a.fits(p):
		return a.host
	case b.fits(p):
		return b.host
	default:
		return 0
	}
}

// search is how far the search for a flow's owner has come.
type search struct {
	// denier has denied the flow, if it is not 0.
	denier frame.Host
	// unsure tells that somebody asked could not say.
	unsure bool
	// leg counts the lists that were asked.
	leg uint8
}

func (g *Guide) lookup(now time.Time, p link.Packet, raw []byte, s search) {
	current := g.held.Current()
	if current == nil {
		g.add(Drop{
			Packet: p,
			Why:    NoPlan,
		})
		return
	}
	route, ok := current.Routes[plan.TargetOf(p.Key)]
	if !ok {
		g.endUnrouted(p)
		return
	}
	list, settled := g.ownersOf(now, p.Key, route)
	list = withoutHost(list, s.denier, !s.unsure)
	home := frame.Host(0)
	if len(list) > 0 {
		home = list[0]
	}
	list = list[min(int(s.leg)*frame.MaxList, len(list)):]
	list = list[:min(len(list), frame.MaxList)]
	if len(list) == 0 {
		g.add(Drop{
			Packet: p,
			Why:    NoEndpoint,
		})
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
			Leg:      s.leg,
			Service:  route.Choose(p.Key.Hash()),
			Balancer: g.self,
			Home:     home,
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

// ownersOf lists everybody who may own a flow of a route. The list is settled if
// it is complete and old enough that every member had time to be heard.
func (g *Guide) ownersOf(now time.Time, key link.Key, route *plan.Route) (list []frame.Host, settled bool) {
	hash := key.Hash()
	first := route.Choose(hash)
	isolated := g.members.Isolated(now)
	list = place.Lookup(now, hash, isolated, g.members.Service(first))
	for i := range route.Parts {
		if other := route.Parts[i].Service; other != first {
			list = append(list, place.Lookup(now, hash, isolated, g.members.Service(other))...)
		}
	}
	settled = !isolated && g.members.Complete(now) && !now.Before(g.settledAt)
	if len(list) > frame.MaxList && g.anySilent(now, list) {
		// Who falls silent moves in the order, and could be missed between two
		// lists.
		settled = false
	}
	return list, settled
}

func (g *Guide) anySilent(now time.Time, list []frame.Host) bool {
	return slices.ContainsFunc(list, func(h frame.Host) bool {
		return g.members.Side(h).Silent(now)
	})
}

// moreToAsk tells whether candidates are left after a list was asked.
func (g *Guide) moreToAsk(now time.Time, p link.Packet, leg uint8) bool {
	current := g.held.Current()
	if current == nil {
		return false
	}
	route, ok := current.Routes[plan.TargetOf(p.Key)]
	if !ok || leg == math.MaxUint8 {
		return false
	}
	list, _ := g.ownersOf(now, p.Key, route)
	return (int(leg)+1)*frame.MaxList < len(list)
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

func (g *Guide) hint(now time.Time, o frame.Owner) {
	g.members.Alive(o.Host)
	x, ok := g.flows[o.Key]
	if !ok {
		x = g.remember(now, o.Key)
		if x == nil {
			return
		}
	}
	x.keep = now.Add(ownerKeep)
	if x.opening != nil {
		g.add(Found{
			Key:   o.Key,
			Host:  o.Host,
			After: now.Sub(x.opening.startedAt),
		})
	}
	x.opening = nil
	x.denied = nil
	x.lostUntil = time.Time{}
	next := owner{
		host:    o.Host,
		initial: o.Initial,
		known:   o.Known,
	}
	if s := g.members.Side(o.Host); s != nil {
		x.service = s.Service
	}
	if x.owners[0].host == o.Host {
		x.owners[0] = next
		return
	}
	x.owners[1] = x.owners[0]
	x.owners[0] = next
}

func (g *Guide) remember(now time.Time, key link.Key) *entry {
	if len(g.flows) >= mostFlows {
		return nil
	}
	x := &entry{
		keep: now.Add(openingKeep),
	}
	g.flows[key] = x
	return x
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
	if g.moreToAsk(now, p, e.Leg) {
		g.lookup(now, p, e.Stray.Packet, search{
			unsure: !e.Sure,
			leg:    e.Leg + 1,
		})
		return
	}
	if !ok {
		if x = g.remember(now, p.Key); x == nil {
			return
		}
	}
	if !wantsAnswer(p) {
		if e.Sure && x.owners[0].host == 0 {
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
	g.notFound(now, x, e)
}

// notFound counts a search that found no owner. The flow is reset once everybody
// has denied it for sure at two times, far enough apart.
func (g *Guide) notFound(now time.Time, x *entry, e Return) {
	d := x.denied
	if d == nil {
		d = &denial{
			key:    e.Packet.Key,
			packet: e.Packet,
			raw:    slices.Clone(e.Stray.Packet),
		}
	}
	switch {
	case !e.Sure:
		d.sureAt = time.Time{}
	case d.sureAt.IsZero():
		d.sureAt = now
	case !now.Before(d.sureAt.Add(askAgainAfter)):
		delete(g.flows, e.Packet.Key)
		g.add(Reset{
			Packet: e.Packet,
			Why:    AllDenied,
		})
		return
	}
	g.add(Drop{
		Packet: e.Packet,
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
	d.due = now.Add(askAgainAfter)
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

// waitsAt tells whether the opening was last known to wait at a side process.
func (x *entry) waitsAt(h frame.Host) bool {
	return x.owners[0].host == h && !x.owners[0].known && x.owners[1].host == 0
}

// askAgain looks again for flows that were not found.
func (g *Guide) askAgain(now time.Time) {
	for len(g.denials) > 0 && !now.Before(g.denials[0].due) {
		d := g.denials[0]
		g.denials = g.denials[1:]
		if x, ok := g.flows[d.key]; ok && x.denied == d {
			g.lookup(now, d.packet, d.raw, search{})
		}
	}
	if len(g.denials) == 0 {
		g.denials = nil
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

// forget takes a host out of the owners. It tells whether the host was the only
// one and had owned the flow by the number that the caller acknowledges.
func (x *entry) forget(h frame.Host, p link.Packet) (owned bool) {
	if x.owners[1].host == h {
		x.owners[1] = owner{}
		return false
	}
	if x.owners[0].host != h {
		return false
	}
	owned = x.owners[0].known && x.owners[0].fits(p) && x.owners[1].host == 0
	x.owners[0] = x.owners[1]
	x.owners[1] = owner{}
	return owned
}

// sweepEvery is how often flows that are over are looked for.
const sweepEvery = 2 * time.Second

func (g *Guide) tick(now time.Time) {
	g.askAgain(now)
	kept := g.waiting[:0]
	for _, o := range g.waiting {
		x, ok := g.flows[o.key]
		if !ok || x.opening != o {
			continue
		}
		if now.Before(o.due) || g.resend(now, x, o) {
			kept = append(kept, o)
		}
	}
	clear(g.waiting[len(kept):])
	g.waiting = kept
	if now.Before(g.sweepAt) {
		return
	}
	g.sweepAt = now.Add(sweepEvery)
	for k, x := range g.flows {
		if now.After(x.keep) {
			delete(g.flows, k)
		}
	}
}
