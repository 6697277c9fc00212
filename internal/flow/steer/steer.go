// Package steer makes a balancer's decision on one packet: which endpoints may own
// or admit its flow, in the order in which they are asked. It keeps only soft state:
// the owners of flows, as learned from hints of the agents, and recent openings. The
// loss of any of it costs an extra forward and never a flow.
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
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

const (
	// defaultMaxOwners is the default number of owners kept.
	defaultMaxOwners = 500_000
	// defaultMaxOpenings is the default number of openings kept: 5,000 per second for
	// openingTTL.
	defaultMaxOpenings = 50_000
	// ownerTTL is how long an owner is kept after its last packet, and ownerResolution
	// the resolution of that time.
	ownerTTL        = 10 * time.Minute
	ownerResolution = time.Second
	// maxReservedPlaces limits the places at the end of the candidate list of an opening
	// that are reserved for draining or silent endpoints, which may own the flow in
	// half-open state.
	maxReservedPlaces = 4
)

// Errors of Decide and Hint.
var (
	// ErrNoService means that no service has the target address of the packet.
	ErrNoService = errors.New("no service at the target")
	// ErrNoEndpoint means that the service has no endpoint.
	ErrNoEndpoint = errors.New("service has no endpoint")
	// ErrNoOwner means that the service has no endpoint with the hinted incarnation.
	ErrNoOwner = errors.New("hinted owner is not an endpoint of the service")
)

// Decision is where a packet goes. One value can be reused for many packets.
type Decision struct {
	Service spec.ServiceID
	// Endpoints are the endpoints of the service; they are shared and must not be
	// changed.
	Endpoints []node.Endpoint
	// Order is the candidate list as indexes of Endpoints: the first gets the packet,
	// the others are asked after it in turn.
	Order []int
	// Retransmits is how many times the caller has retransmitted this opening.
	Retransmits int
	// Hinted reports that the first of Order is the owner named by a hint.
	Hinted bool
}

// Steerer makes decisions. It is safe for concurrent use.
type Steerer struct {
	services atomic.Pointer[serviceIndex]
	owners   *table
	openings openingTable
}

// Option configures a Steerer.
type Option func(*sizes)

type sizes struct {
	owners   int
	openings int
}

// WithMaxOwners sets the number of owners kept, at about 16 bytes each.
func WithMaxOwners(count int) Option {
	return func(s *sizes) {
		s.owners = count
	}
}

// WithMaxOpenings sets the number of recent openings kept, at about 16 bytes each.
func WithMaxOpenings(count int) Option {
	return func(s *sizes) {
		s.openings = count
	}
}

// New returns a Steerer without services.
func New(options ...Option) *Steerer {
	size := &sizes{
		owners:   defaultMaxOwners,
		openings: defaultMaxOpenings,
	}
	for _, o := range options {
		o(size)
	}
	s := &Steerer{
		owners:   newTable(size.owners, ownerResolution, ownerTTL),
		openings: newOpeningTable(size.openings),
	}
	s.services.Store(&serviceIndex{})
	return s
}

// SetServices replaces the snapshot that decisions use.
func (s *Steerer) SetServices(snapshot Snapshot) {
	index := newServiceIndex(snapshot)
	s.services.Store(&index)
}

// Arrival is a packet between Prepare and Decide.
type Arrival struct {
	Packet link.Packet
	hash   uint64
}

// Prepare prepares a batch of packets for Decide: it prefetches the memory that the
// decisions need. With many flows this memory is seldom in the processor's cache, and
// a batch lets the thread wait for all loads at once.
func (s *Steerer) Prepare(batch []Arrival) {
	for i := range batch {
		batch[i].hash = batch[i].Packet.Key.Hash()
	}
	// The loop is separate and short, so that many loads are in flight at once.
	for i := range batch {
		s.owners.prefetch(batch[i].hash)
	}
}

// Decide fills d for a packet from the fabric that Prepare has prepared.
func (s *Steerer) Decide(now time.Time, a *Arrival, d *Decision) error {
	p := &a.Packet
	d.Order = d.Order[:0]
	d.Retransmits = 0
	d.Hinted = false
	service := s.services.Load().find(p.Key)
	if service == nil {
		return ErrNoService
	}
	if len(service.endpoints) == 0 {
		return ErrNoEndpoint
	}
	d.Service = service.id
	d.Endpoints = service.endpoints
	switch {
	case p.Kind != link.Opening:
		s.orderForExistingFlow(now, service, a.hash, d)
	case p.Key.Protocol == uint8(spec.TCP):
		// A flow on a reused port must not go to the owner of the previous flow.
		s.owners.drop(a.hash)
		d.Retransmits = s.openings.countRetransmits(now, a.hash, p)
		service.orderForNewFlow(a.hash, d)
	default:
		service.orderForNewFlow(a.hash, d)
	}
	return nil
}

// orderForExistingFlow orders the endpoints for a packet of a flow that one of them
// owns. Their state is ignored: a draining endpoint keeps the rank that it had when
// the flow was opened.
func (s *Steerer) orderForExistingFlow(now time.Time, service *indexedService, hash uint64, d *Decision) {
	shortID, found := s.owners.touch(now, hash)
	if found && len(service.endpoints) <= rank.MaxCandidates && slices.Contains(service.shortIDs, shortID) {
		d.Order = service.appendUnranked(d.Order)
	} else {
		d.Order = service.allRanks.List(hash, d.Order)
	}
	if found {
		d.Order, d.Hinted = service.moveToFront(d.Order, shortID)
	}
	if service.anySilent {
		first := d.Order[0]
		service.moveSilentLast(d.Order)
		d.Hinted = d.Hinted && d.Order[0] == first
	}
}

// appendUnranked appends every endpoint in no particular order. The endpoints behind a
// hinted owner are asked only if the hint was wrong, and then all of them may be.
func (is *indexedService) appendUnranked(order []int) []int {
	for index := range is.endpoints {
		order = append(order, index)
	}
	return order
}

// moveSilentLast moves silent endpoints behind the others and keeps the order within
// both parts. A packet sent to a dead endpoint is lost, even if the endpoint behind
// it owns the flow.
func (is *indexedService) moveSilentLast(order []int) {
	end := len(order)
	for at := 0; at < end; {
		index := order[at]
		if !is.silent[index] {
			at++
			continue
		}
		copy(order[at:], order[at+1:])
		order[len(order)-1] = index
		end--
	}
}

// orderForNewFlow orders the endpoints for a new flow: first those that accept it by
// rank, rotated by one place per retransmission, then the draining and silent ones.
func (is *indexedService) orderForNewFlow(hash uint64, d *Decision) {
	d.Order = is.acceptingRanks.List(hash, d.Order)
	others := len(is.endpoints) - is.accepting
	limit := rank.MaxCandidates - min(others, maxReservedPlaces)
	if len(d.Order) > limit {
		d.Order = d.Order[:limit]
	}
	rotate(d.Order, d.Retransmits)
	if others == 0 {
		return
	}
	accepting := len(d.Order)
	d.Order = is.otherRanks.List(hash, d.Order)
	for i := accepting; i < len(d.Order); i++ {
		d.Order[i] += is.accepting
	}
	if len(d.Order) > rank.MaxCandidates {
		d.Order = d.Order[:rank.MaxCandidates]
	}
}

// Hint records the owner of a flow for the packets that follow.
func (s *Steerer) Hint(now time.Time, k link.Key, owner node.Incarnation) error {
	service := s.services.Load().find(k)
	if service == nil {
		return ErrNoService
	}
	if !service.hasIncarnation(owner) {
		return ErrNoOwner
	}
	s.owners.put(now, k.Hash(), shortIDOf(owner))
	return nil
}

// rotate moves the n-th element to the front and keeps the cyclic order.
func rotate(order []int, n int) {
	if len(order) == 0 {
		return
	}
	n %= len(order)
	slices.Reverse(order[:n])
	slices.Reverse(order[n:])
	slices.Reverse(order)
}
