// Package router decides what a balancer does with each packet of a caller, on
// platforms whose upstreams terminate the flows: it forwards the packet to an agent
// with a list of further candidates, refuses the flow, or resets it. It is a pure
// state machine: Step takes an event and returns actions.
//
// Flow owners are soft state. Losing them costs a lookup and never a flow: an unknown
// owner is found by asking the endpoints.
package router

import (
	"math"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/evac"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/health"
	"github.com/clementinewing/clementinewing/internal/relay/lookup"
	"github.com/clementinewing/clementinewing/internal/relay/place"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

const (
	// resendDelay is how long a SYN may stay without an owner hint before it is resent
	// to the next candidate; it doubles with each resend. Passing a SYN through all of its
	// candidates takes under 20 ms between failure domains.
	resendDelay = 60 * time.Millisecond
	// maxResends bounds the copies of one SYN that the balancer sends.
	maxResends = 4
	// openingTTL is how long a new flow without an owner is kept: longer than the
	// caller retransmits its SYN.
	openingTTL = 3 * time.Second
	// ownerTTL is how long an owner is kept after the flow's last packet. Flows that are
	// idle for longer may be discarded.
	ownerTTL = 30 * time.Second
	// confirmDelay is the least time from a lookup in which every known endpoint denied the
	// flow to the lookup that confirms it. The member record is read meanwhile. An owner that
	// was just joining is found by then, and the caller gets the reset soon enough to be
	// served elsewhere in time.
	confirmDelay = 50 * time.Millisecond
	// retryDelay is the delay before an inconclusive lookup is repeated: an endpoint did
	// not answer, or the candidate list was not complete.
	retryDelay = 150 * time.Millisecond
	// noOwnerTTL is how long a flow stays marked as having no owner. Its caller gives
	// up within seconds.
	noOwnerTTL = 5 * time.Second
	// bareLookupInterval is the least time between two lookups for bare ACKs of a flow. They
	// wait for no answer.
	bareLookupInterval = 500 * time.Millisecond
	// maxLookupRetries bounds the repeated lookups of a flow to about a second, in which
	// every agent reports after an outage.
	maxLookupRetries = 6
	// maxBackoffShift bounds the interval between further repetitions of a parallel lookup,
	// which doubles from retryDelay: a lookup that cannot be settled is repeated a few times in
	// the longest lifetime of a flow.
	maxBackoffShift = 8
	// maxPendingRetries bounds the packets kept for repeated lookups.
	maxPendingRetries = 2048
	// startupTimeout is how long after its start a balancer that knows no endpoint drops
	// SYNs instead of refusing them; the caller retransmits them meanwhile.
	startupTimeout = 1300 * time.Millisecond
	// maxFlows bounds the flow table; an entry takes about 300 bytes.
	maxFlows = 60_000
)

// Event is Packet, Hint, Returned, Denied, BatchAnswered or Tick.
type Event interface{ event() }

// Packet is a packet of a caller. Raw is not kept after Step returns.
type Packet struct {
	link.Packet
	Raw []byte
}

// Hint names the owner of a flow.
type Hint struct {
	frame.Owner
}

// Returned is a packet that an agent sent back: no candidate took it, or the cached owner
// denied the flow.
type Returned struct {
	link.Packet
	frame.Return
}

// Tick is needed at least every 20 ms while Waiting reports true.
type Tick struct{}

func (Packet) event()   {}
func (Hint) event()     {}
func (Returned) event() {}
func (Tick) event()     {}

// Action is Send, OwnerQuery, OwnerBatch, LookupSettled, ReadRecord, Refuse, Reset, Drop,
// OwnerFound or CapacityChanged.
type Action interface{ action() }

// Send forwards a packet to an agent.
type Send struct {
	To      frame.Host
	Forward *frame.Forward
	Key     link.Key
	Kind    link.Kind
	Reason  Reason
}

// Refuse answers a SYN with a reset; no request of the flow was run.
type Refuse struct {
	Packet link.Packet
	Reason Reason
}

// Reset resets a flow that no endpoint holds.
type Reset struct {
	Packet link.Packet
	Reason Reason
}

// Drop discards a packet without an answer.
type Drop struct {
	Packet link.Packet
	Reason Reason
}

// OwnerFound reports that an endpoint has answered a SYN or queued it until a slot is
// free.
type OwnerFound struct {
	Key     link.Key
	Host    frame.Host
	Latency time.Duration
}

// ReadRecord requests that the member record be read: a flow has been denied by every agent
// that this balancer knows. It is repeated until the record has been read.
type ReadRecord struct{}

func (ReadRecord) action() {}
func (OwnerFound) action() {}
func (Send) action()       {}
func (Refuse) action()     {}
func (Reset) action()      {}
func (Drop) action()       {}

// flow is an entry of the flow table.
type flow struct {
	// owners are the endpoints that answered the SYN, the latest first.
	owners [2]owner
	// sequence is the caller's initial sequence number if this balancer got the SYN.
	sequence  uint32
	service   spec.ServiceID
	expiresAt time.Time
	pending   *pendingFlow
	// offer is the latest offer of the SYN to endpoints until one has accepted it.
	offer *pendingFlow
	// noOwnerUntil is until when a bare ACK starts no further lookup, because every
	// endpoint has denied the flow.
	noOwnerUntil time.Time
	// lookedUpSince is when the lookup of the owner began; zero while there is none. The flow
	// is older, so a member record that was read later lists its owner.
	lookedUpSince time.Time
	// denials are the agents that have denied the flow in parallel lookups, or nil.
	denials *lookup.Denials
	// callerUntil is until when the caller counts as waiting: it retransmits its packets.
	callerUntil time.Time
	// walk is the packet of the flow that travels along the candidates, or nil.
	walk *walk
	// query is the parallel lookup in progress, or nil.
	query *query
	// retry is the lookup to repeat, or nil.
	retry *lookupRetry
	// refusedIn are failure domains whose agents have refused the SYN because they are
	// evacuated.
	refusedIn []uint64
}

// pendingFlow is a new flow whose SYN no endpoint has answered yet.
type pendingFlow struct {
	key        link.Key
	packet     link.Packet
	raw        []byte
	candidates []frame.Host
	// flags are those of the Forward.
	flags uint8
	home  frame.Host
	// flowsPerSlot is the service's; latencyTarget and priority are the route's.
	flowsPerSlot  uint16
	latencyTarget uint16
	priority      uint8
	// startedAt is when the caller's SYN arrived, sentAt when it was last forwarded.
	startedAt time.Time
	sentAt    time.Time
	resendAt  time.Time
	tries     int
	// lists is the number of earlier candidate lists, which have refused the SYN, and refused
	// the endpoints in them.
	lists   int
	refused []frame.Host
}

// Router decides on the packets of one balancer. It is not safe for concurrent use.
type Router struct {
	self      frame.Host
	zone      uint64
	startedAt time.Time
	members   *roster.Roster
	active    *plan.Active
	flows     map[link.Key]*flow
	pending   []*pendingFlow
	retries   []*lookupRetry
	// queries are the parallel lookups in progress; queryCount counts all that were made.
	queries    []*query
	queryCount uint32
	// walks are the packets that travel along candidates, oldest first.
	walks []*walk
	// asker sends the owner queries to agents that answer batches, packets counts the packets
	// that agents have to find out whether they own a flow. undecidedCount is the number of
	// lookups with agents that wait for the packet.
	asker          *lookup.Asker
	packets        *lookup.Packets
	undecidedCount int
	// homeMisses counts the lookups since one whose home knew the owner. Homes are not asked
	// before skipHomeUntil.
	homeMisses    int
	skipHomeUntil time.Time
	// sequentialUntil is until when the sequential lookups so far use up their rate. Before
	// batchedUntil flows are asked about in batches.
	sequentialUntil time.Time
	batchedUntil    time.Time
	// loads caches the average load of each service.
	loads   map[spec.ServiceID]serviceLoad
	sweepAt time.Time
	actions []Action

	// health holds what is known of the endpoints of each service that has got new flows.
	health      map[spec.ServiceID]*health.Service
	features    place.Features
	evacuations *evac.Source
	evenCounts  EvenCounts
}

// Option sets one property of a Router.
type Option func(*Router)

// WithFeatures sets the decisions that the deployment switches on.
func WithFeatures(f place.Features) Option {
	return func(g *Router) {
		g.features = f
	}
}

// New returns the state machine of the balancer at self, which started at the given time.
func New(self frame.Host, zone uint64, startedAt time.Time, members *roster.Roster, active *plan.Active, options ...Option) *Router {
	g := &Router{
		self:      self,
		zone:      zone,
		startedAt: startedAt,
		members:   members,
		active:    active,
		flows:     map[link.Key]*flow{},
		loads:     map[spec.ServiceID]serviceLoad{},
		health:    map[spec.ServiceID]*health.Service{},
		asker:     lookup.NewAsker(self),
		packets:   lookup.NewPackets(),
	}
	for _, o := range options {
		o(g)
	}
	return g
}

// Flows returns the size of the flow table.
func (g *Router) Flows() int {
	return len(g.flows)
}

// Waiting reports whether any new flow waits for its owner.
func (g *Router) Waiting() bool {
	return len(g.pending) > 0
}

// Step processes one event. The returned slice is valid until the next Step.
func (g *Router) Step(now time.Time, e Event) []Action {
	g.actions = g.actions[:0]
	switch e := e.(type) {
	case Packet:
		g.handlePacket(now, e)
	case Hint:
		g.handleHint(now, e.Owner)
	case Returned:
		g.handleReturn(now, e)
	case Denied:
		g.handleDenial(now, e.Denial)
	case BatchAnswered:
		g.handleBatchAnswer(now, e.OwnerAnswers)
	case Tick:
		g.handleTick(now)
	}
	return g.actions
}

func (g *Router) addAction(a Action) {
	g.actions = append(g.actions, a)
}

func (g *Router) handlePacket(now time.Time, p Packet) {
	if p.Kind == link.Opening {
		g.handleOpening(now, p)
		return
	}
	x, ok := g.flows[p.Key]
	if !ok {
		g.lookupOwner(now, p.Packet, p.Raw, lookupState{})
		return
	}
	x.forgetOtherLookup(p.Packet)
	x.callerUntil = now.Add(openingTTL)
	if now.Before(x.noOwnerUntil) && !wantsAnswer(p.Packet) {
		g.addAction(Drop{
			Packet: p.Packet,
			Reason: OwnerUnknown,
		})
		return
	}
	x.expiresAt = now.Add(ownerTTL)
	if p.IsReset() {
		delete(g.flows, p.Key)
	}
	if p.HasAck() {
		x.pending = nil
		x.offer = nil
	}
	host := x.ownerOf(p.Packet)
	if x.retry.repeatsItself() && host == 0 {
		g.addAction(Drop{
			Packet: p.Packet,
			Reason: OwnerUnknown,
		})
		return
	}
	if host == 0 || g.ownerEnded(host) {
		g.lookupOwner(now, p.Packet, p.Raw, lookupState{})
		return
	}
	g.sendToOwner(now, x, host, p)
}

// sendToOwner forwards a packet to the agent that owns its flow as far as this
// balancer knows.
func (g *Router) sendToOwner(now time.Time, x *flow, host frame.Host, p Packet) {
	latencyTarget, priority := g.routeTargets(p.Key)
	g.addAction(Send{
		To:     host,
		Key:    p.Key,
		Kind:   p.Kind,
		Reason: ToOwner,
		Forward: &frame.Forward{
			Flags:           frame.Cached,
			Best:            frame.NoBest,
			LatencyTargetMS: latencyTarget,
			Priority:        priority,
			AverageLoad:     g.averageLoad(now, x.service),
			Service:         x.service,
			Balancer:        g.self,
			Candidates:      []frame.Host{host},
			Packet:          p.Raw,
		},
	})
}

// serviceLoad is the average load of a service, valid until validUntil.
type serviceLoad struct {
	load       uint16
	validUntil time.Time
}

// loadInterval is the least time between two computations of a service's load: a
// fraction of the interval between load reports.
const loadInterval = 100 * time.Millisecond

func (g *Router) averageLoad(now time.Time, id spec.ServiceID) uint16 {
	b, ok := g.loads[id]
	if !ok || !now.Before(b.validUntil) {
		b = serviceLoad{
			load:       g.members.AverageLoad(now, id),
			validUntil: now.Add(loadInterval),
		}
		g.loads[id] = b
	}
	return b.load
}

// route returns the route of a flow in the plan in force.
func (g *Router) route(key link.Key) (r *plan.Route, ok bool) {
	if current := g.active.Current(); current != nil {
		r, ok = current.Routes[plan.TargetOf(key)]
	}
	return r, ok
}

// routeTargets returns the latency target and the priority of a flow's route in the
// form of a frame.Forward.
func (g *Router) routeTargets(key link.Key) (latencyTarget uint16, priority uint8) {
	r, ok := g.route(key)
	if !ok {
		return 0, 0
	}
	return latencyTargetMS(r), r.Priority
}

func latencyTargetMS(r *plan.Route) uint16 {
	return uint16(min(r.LatencyTarget.Milliseconds(), math.MaxUint16))
}

func (g *Router) addFlow(now time.Time, key link.Key) *flow {
	if len(g.flows) >= maxFlows {
		return nil
	}
	x := &flow{
		expiresAt: now.Add(openingTTL),
	}
	g.flows[key] = x
	return x
}

// sweepInterval is the interval between sweeps for expired flows.
const sweepInterval = 2 * time.Second

func (g *Router) handleTick(now time.Time) {
	g.retryLookups(now)
	g.checkWalks(now)
	g.requestRecord(now)
	g.checkQueries(now)
	kept := g.pending[:0]
	for _, o := range g.pending {
		x, ok := g.flows[o.key]
		if !ok || x.pending != o {
			continue
		}
		if now.Before(o.resendAt) || g.resendOpening(now, x, o) {
			kept = append(kept, o)
		}
	}
	clear(g.pending[len(kept):])
	g.pending = kept
	if now.Before(g.sweepAt) {
		return
	}
	g.sweepAt = now.Add(sweepInterval)
	for k, x := range g.flows {
		if now.After(x.expiresAt) {
			delete(g.flows, k)
		}
	}
}
