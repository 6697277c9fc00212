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
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
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
	// confirmAfter is how long after every endpoint has denied a flow they are asked
	// once more before it is reset: an owner that was just joining is found by then.
	// The caller is told soon enough to be served in time elsewhere.
	confirmAfter = 50 * time.Millisecond
	// askAgainAfter is the same where somebody has not answered.
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

// Event is Packet, Hint, Return, Denied or Tick.
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

// Action is Send, Ask, Refuse, Reset, Drop or Found.
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
	// inquiry is under way while the owner is searched among many.
	inquiry *inquiry
	// denied is kept while the flow is asked for a second time.
	denied *denial
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
	// inquiring are the inquiries under way, and inquiries counts all of them.
	inquiring []*inquiry
	inquiries uint32
	// busy is how busy services are.
	busy map[pact.ServiceID]busyness
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
		busy:    map[pact.ServiceID]busyness{},

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
	case Denied:
		g.deny(now, e.Denial)
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
	g.toOwner(now, x, host, p)
}

// toOwner gives a packet to the side process that is believed to own its flow.
func (g *Guide) toOwner(now time.Time, x *entry, host frame.Host, p Packet) {
	aim, urgency := g.routeOf(p.Key)
	g.add(Send{
		To:   host,
		Key:  p.Key,
		Kind: p.Kind,
		Why:  ToOwner,
		Carry: &frame.Carry{
			Flags:    frame.Cached,
			Best:     frame.NoBest,
			Aim:      aim,
			Urgency:  urgency,
			Busy:     g.busyOf(now, x.service),
			Service:  x.service,
			Balancer: g.self,
			List:     []frame.Host{host},
			Packet:   p.Raw,
		},
	})
}

// busyness is how busy a service is, worked out anew after until.
type busyness struct {
	load  uint16
	until time.Time
}

// busyEvery is how often at most a service's load is worked out: a part of the time
// between two reports.
const busyEvery = 100 * time.Millisecond

func (g *Guide) busyOf(now time.Time, id pact.ServiceID) uint16 {
	b, ok := g.busy[id]
	if !ok || !now.Before(b.until) {
		b = busyness{
			load:  g.members.Busy(now, id),
			until: now.Add(busyEvery),
		}
		g.busy[id] = b
	}
	return b.load
}

// route gives the route of a flow in the plan in force.
func (g *Guide) route(key link.Key) (r *plan.Route, ok bool) {
	if current := g.held.Current(); current != nil {
		r, ok = current.Routes[plan.TargetOf(key)]
	}
	return r, ok
}

// routeOf gives latency objective and priority of a flow's route, as a Carry tells them.
func (g *Guide) routeOf(key link.Key) (aim uint16, urgency uint8) {
	r, ok := g.route(key)
	if !ok {
		return 0, 0
	}
	return aimOf(r), r.Urgency
}

func aimOf(r *plan.Route) uint16 {
	return uint16(min(r.Aim.Milliseconds(), math.MaxUint16))
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

// sweepEvery is how often flows that are over are looked for.
const sweepEvery = 2 * time.Second

func (g *Guide) tick(now time.Time) {
	g.askAgain(now)
	g.watchInquiries(now)
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
