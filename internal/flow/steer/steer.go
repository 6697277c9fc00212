// Package steer is a balancer's decision on one packet: which endpoints may own
// or take its flow, in the order in which they are asked. It keeps soft state
// alone: owners that side processes hinted at, and openings seen lately. Losing
// any of it costs a hand-over and never a flow.
//
// docs/design/0002-wire.md gives the reasons.
package steer

import (
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/rank"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

const (
	// defaultFlows is how many owners are kept.
	defaultFlows = 500_000
	// defaultOpenings is how many openings are remembered: 5,000 a second for
	// as long as repeatKeep.
	defaultOpenings = 50_000
	// ownerKeep is how long an owner is kept after its last packet, and ownerTick
	// the resolution of that.
	ownerKeep = 10 * time.Minute
	ownerTick = time.Second
	// otherRoom is how many places of an opening's list are kept for endpoints
	// that are draining or silent, which may hold the flow half open.
	otherRoom = 4
)

// Errors of Decide and Hint.
var (
	// ErrNoService is a packet to an address that no service has.
	ErrNoService = errors.New("no service at the target")
	// ErrNoEndpoint is a packet to a service without endpoints.
	ErrNoEndpoint = errors.New("service has no endpoint")
	// ErrNoOwner is a hint at an endpoint that the service does not have.
	ErrNoOwner = errors.New("hinted owner is no endpoint of the service")
)

// Decision is where a packet goes. A caller reuses one for many packets.
type Decision struct {
	Service pact.ServiceID
	// Endpoints are those of the service; they are shared and must not be
	// changed.
	Endpoints []node.Endpoint
	// Order holds indexes of Endpoints: the first gets the packet, the others
	// are asked after it in turn.
	Order []int
	// Repeat is how many times the caller has repeated this opening.
	Repeat int
	// Hinted tells that the first endpoint is the owner that was hinted at.
	Hinted bool
}

// Steerer decides for any number of threads.
type Steerer struct {
	services atomic.Pointer[services]
	owners   *table
	openings openings
}

// Option sets one property of a Steerer.
type Option func(*sizes)

type sizes struct {
	flows    int
	openings int
}

// WithFlows sets how many owners are kept, about 16 bytes each.
func WithFlows(count int) Option {
	return func(s *sizes) {
		s.flows = count
	}
}

// WithOpenings sets how many recent openings are remembered, about 16
// bytes each.
func WithOpenings(count int) Option {
	return func(s *sizes) {
		s.openings = count
	}
}

// New makes a Steerer that knows no service.
func New(options ...Option) *Steerer {
	size := &sizes{
		flows:    defaultFlows,
		openings: defaultOpenings,
	}
	for _, o := range options {
		o(size)
	}
	s := &Steerer{
		owners:   newTable(size.flows, ownerTick, ownerKeep),
		openings: newOpenings(size.openings),
	}
	s.services.Store(&services{})
	return s
}

// SetServices puts a snapshot in use for every decision from now on.
func (s *Steerer) SetServices(snapshot Snapshot) {
	prepared := prepare(snapshot)
	s.services.Store(&prepared)
}

// Arrival is a packet on its way through Prepare to Decide.
type Arrival struct {
	Packet link.Packet
	hash   uint64
}

// Prepare readies a batch of packets for Decide. It asks for the memory that the
// decisions will need: with many flows this is seldom in the processor's cache,
// and the thread then waits for the whole batch at once.
func (s *Steerer) Prepare(batch []Arrival) {
	for i := range batch {
		batch[i].hash = batch[i].Packet.Key.Hash()
	}
	// A loop of its own, short enough for many loads to be under way together.
	for i := range batch {
		s.owners.warm(batch[i].hash)
	}
}

// Decide fills d for a packet that comes from the fabric and was prepared.
func (s *Steerer) Decide(now time.Time, a *Arrival, d *Decision) error {
	p := &a.Packet
	d.Order = d.Order[:0]
	d.Repeat = 0
	d.Hinted = false
	g := s.services.Load().find(p.Key)
	if g == nil {
		return ErrNoService
	}
	if len(g.endpoints) == 0 {
		return ErrNoEndpoint
	}
	d.Service = g.id
	d.Endpoints = g.endpoints
	switch {
	case p.Kind != link.Opening:
		s.follow(now, g, a.hash, d)
	case p.Key.Protocol == uint8(pact.TCP):
		// A reused port must not follow the owner of the flow before.
		s.owners.drop(a.hash)
		d.Repeat = s.openings.repeats(now, a.hash, p)
		g.open(a.hash, d)
	default:
		g.open(a.hash, d)
	}
	return nil
}

// follow orders the endpoints for a packet of a flow that one of them owns. Their
// state plays no part: an endpoint that drains keeps the place that it had when
// the flow was opened.
func (s *Steerer) follow(now time.Time, g *group, hash uint64, d *Decision) {
	brief, found := s.owners.touch(now, hash)
	if found && len(g.endpoints) <= rank.MaxCandidates && slices.Contains(g.briefs, brief) {
		d.Order = g.unranked(d.Order)
	} else {
		d.Order = g.all.List(hash, d.Order)
	}
	if found {
		d.Order, d.Hinted = g.first(d.Order, brief)
	}
	if g.anySilent {
		first := d.Order[0]
		g.silentLast(d.Order)
		d.Hinted = d.Hinted && d.Order[0] == first
	}
}

// unranked lists every endpoint in no particular order. Behind a hinted owner the
// others are asked only if the hint was wrong, and then all of them may be.
func (g *group) unranked(order []int) []int {
	for index := range g.endpoints {
		order = append(order, index)
	}
	return order
}

// silentLast moves silent endpoints behind the others and keeps the order of each
// part: a packet that is sent to a dead one is lost to the living owner behind it.
func (g *group) silentLast(order []int) {
	end := len(order)
	for at := 0; at < end; {
		index := order[at]
		if !g.silent[index] {
			at++
			continue
		}
		copy(order[at:], order[at+1:])
		order[len(order)-1] = index
		end--
	}
}

// open orders the endpoints for a new flow: those that take it by rank, from the
// one that the caller's repetitions have reached, and then the draining and
// silent ones.
func (g *group) open(hash uint64, d *Decision) {
	d.Order = g.taking.List(hash, d.Order)
	others := len(g.endpoints) - g.takers
	room := rank.MaxCandidates - min(others, otherRoom)
	if len(d.Order) > room {
		d.Order = d.Order[:room]
	}
	rotate(d.Order, d.Repeat)
	if others == 0 {
		return
	}
	takers := len(d.Order)
	d.Order = g.others.List(hash, d.Order)
	for i := takers; i < len(d.Order); i++ {
		d.Order[i] += g.takers
	}
	if len(d.Order) > rank.MaxCandidates {
		d.Order = d.Order[:rank.MaxCandidates]
	}
}

// Hint keeps the owner of a flow for the packets that follow.
func (s *Steerer) Hint(now time.Time, k link.Key, owner node.Incarnation) error {
	g := s.services.Load().find(k)
	if g == nil {
		return ErrNoService
	}
	if !g.has(owner) {
		return ErrNoOwner
	}
	s.owners.put(now, k.Hash(), briefOf(owner))
	return nil
}

// rotate makes the n-th element the first.
func rotate(order []int, n int) {
	if len(order) == 0 {
		return
	}
	n %= len(order)
	slices.Reverse(order[:n])
	slices.Reverse(order[n:])
	slices.Reverse(order)
}
