// Package hold is a side process's decision on each packet, on platforms whose
// upstreams end the flows: whether its endpoint takes a new flow, whether a flow
// is its endpoint's, and whom to ask next. It is a pure state machine: Step takes
// an event and gives actions.
//
// The side process is the only way to its endpoint. So what it decides on new
// flows holds whatever balancers believe: none reaches an endpoint that leaves.
package hold

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

const (
	// muteAfter is how long the endpoint may take over an opening, or over a
	// packet that it was asked about, until the next candidate is asked. The
	// endpoints answer within a few milliseconds, also when they are slow.
	muteAfter = 40 * time.Millisecond
	// requestWithin is how long an accepted flow counts as a request to come: three
	// round trips to a caller in another failure domain. One that comes later counts
	// from then on.
	requestWithin = 25 * time.Millisecond
	// requestMost is how long a request counts as in hand without an answer:
	// longer than any deadline of the services seen.
	requestMost = 12 * time.Second
	// closedKeep is how long a flow that ended stays known, so that what is
	// still under way reaches the endpoint.
	closedKeep = 8 * time.Second
	// flowKeep is how long a silent flow stays known: the longest life of a flow.
	flowKeep = 65 * time.Second
	// elsewhereKeep is how long the owner of a flow placed elsewhere is known.
	elsewhereKeep = 65 * time.Second
	// mostFlows and mostElsewhere bound the tables, 100 to 150 bytes a flow.
	mostFlows     = 20_000
	mostElsewhere = 50_000
	// markSlots is how many packets in the endpoint's hands are remembered.
	markSlots = 1 << 11
	// shareMost is how many times the average share of open flows an endpoint may
	// hold, and shareFloor the flows for each slot that it may hold in any case.
	// The load it answers: an endpoint that joins empty is the idlest for every
	// balancer until its next report, and long flows that gather there stay.
	shareMost  = 1.25
	shareFloor = 8
	// averageOver is the time constant of the average load: it spans a few
	// requests of a long flow.
	averageOver = 2 * time.Second
)

// Event is Arrived, Answered, Bounced, Elsewhere, Asked, Reported, Left, Leave, Told or Tick.
type Event interface{ event() }

// Arrived is a packet that a balancer or side process handed over.
type Arrived struct {
	Packet link.Packet
	Carry  *frame.Carry
}

// Answered is a packet of the endpoint.
type Answered struct {
	Packet link.Packet
	Raw    []byte
}

// Bounced is a packet that the endpoint did not take.
type Bounced struct {
	Packet link.Packet
	Raw    []byte
	Mark   uint32
}

// Elsewhere is word of the owner of a flow that this process is asked for first.
type Elsewhere struct {
	frame.Owner
}

// Asked is a balancer's question whether the endpoint owns a flow.
type Asked struct {
	frame.Ask
}

// Report is what the endpoint says of itself.
type Report struct {
	ID       string
	Service  string
	Born     uint64
	Sequence uint64
	Slots    uint16
	Draining bool
	// ColdUntil is when the endpoint stops being slow after its start.
	ColdUntil time.Time
}

// Reported is a report of the endpoint.
type Reported struct {
	Report
}

// Left is the endpoint's last word before it ends.
type Left struct {
	ID string
}

// Leave asks for no more new flows: the process is to end.
type Leave struct{}

// Told is what balancers remember of the endpoint from before this process.
type Told struct {
	State node.State
	Born  uint64
}

// Unreachable tells that nothing listens where the endpoint was.
type Unreachable struct{}

// Tick is due every TickEvery.
type Tick struct{}

// lateTick is the gap between ticks after which nothing is overdue: the process
// was kept from running, not the endpoint.
const lateTick = 100 * time.Millisecond

// TickEvery is the interval of ticks; it bounds how late a candidate that does
// not answer is passed over.
const TickEvery = 20 * time.Millisecond

func (Arrived) event()     {}
func (Answered) event()    {}
func (Bounced) event()     {}
func (Elsewhere) event()   {}
func (Asked) event()       {}
func (Reported) event()    {}
func (Left) event()        {}
func (Leave) event()       {}
func (Told) event()        {}
func (Unreachable) event() {}
func (Tick) event()        {}

// Action is Deliver, HandOn, GiveBack, Tell, Deny, Waits, GivenUp, Forward, Accepted, Began, Served or
// Changed.
type Action interface{ action() }

// Deliver gives a packet to the endpoint; it comes back with Mark if it bounces.
type Deliver struct {
	Raw  []byte
	Mark uint32
}

// HandOn gives a packet to the next candidate.
type HandOn struct {
	To    frame.Host
	Carry *frame.Carry
	Key   link.Key
	Kind  link.Kind
	Why   Reason
}

// GiveBack returns a packet to its balancer.
type GiveBack struct {
	To    frame.Host
	Stray frame.Stray
	Key   link.Key
	Why   Reason
}

// Tell sends word of an owner.
type Tell struct {
	To    frame.Host
	Owner frame.Owner
}

// Deny answers a balancer that the endpoint does not own a flow.
type Deny struct {
	To     frame.Host
	Denial frame.Denial
}

// Waits tells that a request on an open flow waits for a slot.
type Waits struct {
	Key link.Key
	// Busy is how busy the service is, in 64ths of its slots.
	Busy uint16
}

// GivenUp tells that a request waited until its caller sent no more copies. It has not
// run.
type GivenUp struct {
	Key   link.Key
	After time.Duration
}

// Forward sends a packet of the endpoint to its caller.
type Forward struct {
	Raw []byte
	Key link.Key
}

// Accepted tells that the endpoint answered an opening.
type Accepted struct {
	Key    link.Key
	InUse  int
	Slots  int
	After  time.Duration
	Queued bool
}

// Served tells that the first byte of a request's answer came.
type Served struct {
	Key   link.Key
	After time.Duration
}

// Began tells that the first bytes of a request went to the endpoint; Raw holds
// them behind the packet's header.
type Began struct {
	Key link.Key
	Raw []byte
}

// Changed tells that what the process believes of its endpoint has changed.
type Changed struct {
	State node.State
	Why   Reason
}

func (Deliver) action()  {}
func (HandOn) action()   {}
func (GiveBack) action() {}
func (Tell) action()     {}
func (Deny) action()     {}
func (Waits) action()    {}
func (GivenUp) action()  {}
func (Forward) action()  {}
func (Accepted) action() {}
func (Served) action()   {}
func (Began) action()    {}
func (Changed) action()  {}

// Hold decides for one endpoint. Calls are made by one goroutine at a time.
type Hold struct {
	self    frame.Host
	service pact.ServiceID

	endpoint endpoint
	flows    map[link.Key]*flow
	// elsewhere holds owners of flows that are looked for here first.
	elsewhere map[link.Key]place
	// asking holds who asked whose a flow is that its endpoint was given a packet of.
	asking map[link.Key]asker
	// waiting are openings that wait for a free slot.
	waiting map[link.Key]*waiter
	// share is what openings that wait have of the next finished request.
	share float64
	// work is how long the endpoint takes over a request.
	work     time.Duration
	marks    [markSlots]mark
	nextMark uint32
	// timed are the marks that have a deadline, oldest first.
	timed []uint32
	// accepted are the flows whose openings were answered, oldest first, until a
	// request is no longer expected to come.
	accepted []acceptance
	inUse    int
	// openFlows counts the flows that are open.
	openFlows int
	average   float64
	tickAt    time.Time
	sweepAt   time.Time
	out       []Action
}

// place is where a flow lives.
type place struct {
	owner frame.Owner
	keep  time.Time
}

// asker is who is told that a flow is the endpoint's, should the endpoint answer a
// packet of it.
type asker struct {
	balancer frame.Host
	home     frame.Host
	keep     time.Time
}

// Option sets one property of a Hold.
type Option func(*Hold)

// FirstStart tells that the whole system starts for the first time: no flow is
// older than this process, and traffic waits for the endpoint's report.
func FirstStart() Option {
	return func(h *Hold) {
		h.endpoint.complete = true
		h.endpoint.waits = true
	}
}

// StartedAt tells when this process started by the time of day.
func StartedAt(wall time.Time) Option {
	return func(h *Hold) {
		h.endpoint.watchedFrom = uint64(wall.UnixMilli())
	}
}

// New makes a Hold for the endpoint of a service beside the process at self.
func New(self frame.Host, service string, options ...Option) *Hold {
	h := &Hold{
		self:      self,
		service:   pact.Identify(service),
		flows:     map[link.Key]*flow{},
		elsewhere: map[link.Key]place{},
		asking:    map[link.Key]asker{},
		waiting:   map[link.Key]*waiter{},
		work:      firstWork,
	}
	h.endpoint.slots = 1
	for _, o := range options {
		o(h)
	}
	return h
}

// Step takes one event. The actions are valid until the next Step.
func (h *Hold) Step(now time.Time, e Event) []Action {
	h.out = h.out[:0]
	switch e := e.(type) {
	case Arrived:
		h.arrived(now, e)
	case Answered:
		h.answered(now, e)
	case Bounced:
		h.bounced(now, e)
	case Elsewhere:
		h.learn(now, e.Owner)
	case Asked:
		h.askedFor(e.Ask)
	case Reported:
		h.reported(now, e.Report)
	case Left:
		h.left(e.ID)
	case Leave:
		h.endpoint.leaving = true
	case Told:
		h.told(e)
	case Unreachable:
		h.dead()
	case Tick:
		h.tick(now)
	}
	h.serveWaiting(now)
	return h.out
}

func (h *Hold) add(a Action) {
	h.out = append(h.out, a)
}

// Load gives what is told to balancers; the caller adds what it alone knows.
func (h *Hold) Load(now time.Time) frame.Load {
	e := &h.endpoint
	return frame.Load{
		Host:    h.self,
		Service: h.service,
		State:   e.state(),
		Proven:  e.proven,
		Refuses: e.refuses && !e.reported,
		Born:    e.born,
		Slots:   e.slots,
		InUse:   uint16(min(h.inUse+len(h.waiting), 0xffff)),
		Average: uint16(min(h.average*roster.LoadUnit, 0xffff)),
		Flows:   uint16(min(h.openFlows, 0xffff)),
		Cold:    uint16(max(0, min(e.coldUntil.Sub(now).Milliseconds(), 0xffff))),
	}
}

// InUse is how many requests and openings the endpoint has in hand.
func (h *Hold) InUse() int {
	return h.inUse
}

// Flows is how many flows are known.
func (h *Hold) Flows() int {
	return len(h.flows)
}

// learn keeps the owner of a flow that is looked for here first.
func (h *Hold) learn(now time.Time, o frame.Owner) {
	if o.Host == h.self || len(h.elsewhere) >= mostElsewhere {
		return
	}
	h.elsewhere[o.Key] = place{
		owner: o,
		keep:  now.Add(elsewhereKeep),
	}
}

func (h *Hold) tick(now time.Time) {
	h.overdue(now)
	h.expireAccepted(now)
	if !h.tickAt.IsZero() {
		part := min(1, float64(now.Sub(h.tickAt))/float64(averageOver))
		h.average += (float64(h.inUse) - h.average) * part
	}
	h.tickAt = now
	if now.Before(h.sweepAt) {
		return
	}
	h.sweepAt = now.Add(sweepEvery)
	h.sweep(now)
}

// acceptance is a flow whose opening was answered.
type acceptance struct {
	key link.Key
	at  time.Time
}

// expireAccepted frees the slots of openings whose callers send no request.
func (h *Hold) expireAccepted(now time.Time) {
	for len(h.accepted) > 0 && now.After(h.accepted[0].at.Add(requestWithin)) {
		a := h.accepted[0]
		h.accepted = h.accepted[1:]
		if f, ok := h.flows[a.key]; ok && f.phase == phaseAccepted && f.since.Equal(a.at) {
			h.use(f, phaseIdle)
		}
	}
}

// sweepEvery is how often flows are looked over for what has ended.
const sweepEvery = 60 * time.Millisecond

func (h *Hold) sweep(now time.Time) {
	h.openFlows = 0
	for k, f := range h.flows {
		if f.known && f.fins == 0 {
			h.openFlows++
		}
		switch {
		case now.After(f.keep):
			h.use(f, phaseIdle)
			delete(h.flows, k)
		case f.phase == phaseBusy && now.After(f.since.Add(requestMost)):
			h.use(f, phaseIdle)
		}
	}
	for k, a := range h.asking {
		if now.After(a.keep) {
			delete(h.asking, k)
		}
	}
	for k, p := range h.elsewhere {
		if now.After(p.keep) {
			delete(h.elsewhere, k)
		}
	}
}
