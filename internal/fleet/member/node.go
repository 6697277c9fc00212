// Package member combines a balancer's fleet membership in one state machine:
// the announcement of its own record, the leases that it holds for others, failure
// detection, and the gossip of changes. An adapter feeds it requests, replies and
// ticks, and carries out the actions that it returns.
package member

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/fleet/detect"
	"github.com/clementinewing/clementinewing/internal/fleet/gossip"
	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

const (
	// TickInterval is the time between two Tick events.
	TickInterval = 100 * time.Millisecond
	// CallTimeout is the timeout of each Call.
	CallTimeout = 800 * time.Millisecond
)

// Node is the membership state machine of one balancer. It is not safe for
// concurrent use.
type Node struct {
	self       node.Endpoint
	table      *gossip.Table
	announcer  *lease.Announcer
	registry   *lease.Registry
	gossip     *gossip.Gossip
	calls      map[uint64]call
	lastCallID uint64
	head       Head
	// remindAt is when a head that is not adopted yet is reported again.
	remindAt time.Time
	view     view
	detector *detect.Detector
	// now is the time of the latest event.
	now time.Time
}

// call is a Call without a reply yet.
type call struct {
	to      netip.AddrPort
	purpose callPurpose
}

// callPurpose selects the component that handles the reply to a call.
type callPurpose uint8

const (
	purposeRenew callPurpose = iota + 1
	purposeGossip
	purposeQuery
)

// Option sets one property of a Node.
type Option func(*options)

type options struct {
	seeds []netip.AddrPort
}

// WithSeeds sets the control addresses that are contacted while no peer is known.
func WithSeeds(seeds ...netip.AddrPort) Option {
	return func(o *options) {
		o.seeds = seeds
	}
}

// New creates the state machine of the balancer that self describes.
func New(self node.Endpoint, random *rand.Rand, opts ...Option) *Node {
	var o options
	for _, set := range opts {
		set(&o)
	}
	self.Service = lease.BalancerService
	table := gossip.NewTable()
	return &Node{
		self:      self,
		table:     table,
		announcer: lease.NewAnnouncer(random, nil),
		registry:  lease.NewRegistry(self, table),
		gossip:    gossip.New(self, table, random, o.seeds),
		calls:     map[uint64]call{},
		detector:  detect.New(),
		view:      newView(),
	}
}

// Table returns the records that the balancer knows.
func (n *Node) Table() *gossip.Table {
	return n.table
}

// LeaseCount returns the number of leases that the balancer holds.
func (n *Node) LeaseCount() int {
	return n.registry.Len()
}

// Peers returns the control addresses that changes are pushed to.
func (n *Node) Peers() []netip.AddrPort {
	return n.gossip.Peers()
}

// Ready reports whether the balancer's table is complete enough to decide on
// flows. A new balancer should accept no packets before that.
func (n *Node) Ready(now time.Time) bool {
	return n.gossip.Synchronized(now)
}

// Step processes one event and returns the resulting actions.
func (n *Node) Step(now time.Time, event Event) []Action {
	n.now = now
	var out []Action
	switch e := event.(type) {
	case Tick:
		out = n.tick(now)
	case EndpointUpdated:
		out = n.announceSelf(now, e.Endpoint)
	case EndpointUsed:
		out = n.applyDetector(n.detector.Step(now, detect.EndpointUsed{
			Key: e.Key,
		}))
	case PacketFromEndpoint:
		out = n.applyDetector(n.detector.Step(now, detect.PacketFromEndpoint{
			Key: e.Key,
		}))
		out = append(out, n.confirmAnnouncers(now, []lease.Key{e.Key})...)
	case SeedsChanged:
		n.gossip.Step(now, gossip.SeedsChanged{
			Addresses: e.Addresses,
		})
	case HeadAdopted:
		out = n.applyHead(now, e.Head)
	case RenewReceived:
		out = n.handleRenew(now, e)
	case ExchangeReceived:
		out = n.handleExchange(now, e)
	case ReplyReceived:
		out = n.handleReply(now, e)
	case CallFailed:
		out = n.handleFailure(now, e.ID)
	}
	return out
}

func (n *Node) tick(now time.Time) []Action {
	out := n.applyAnnouncer(now, n.announcer.Step(now, lease.Tick{}))
	out = append(out, n.applyRegistry(now, n.registry.Step(now, lease.Tick{}))...)
	out = append(out, n.applyGossip(now, n.gossip.Step(now, gossip.Tick{}))...)
	out = append(out, n.applyDetector(n.detector.Step(now, detect.Tick{}))...)
	if !now.Before(n.remindAt) {
		out = append(out, n.checkHead(now)...)
	}
	if n.takeChanged(now) {
		out = append(out, EndpointsChanged{})
	}
	return out
}

// announceSelf announces the balancer's own record. The record enters the
// balancer's table at once, without waiting for a home.
func (n *Node) announceSelf(now time.Time, e node.Endpoint) []Action {
	e.Service = lease.BalancerService
	e.Incarnation = n.self.Incarnation
	n.announcer.Step(now, lease.SeedsChanged{
		Seeds: n.homeAddresses(),
	})
	actions := n.announcer.Step(now, lease.EndpointUpdated{
		Endpoint: e,
	})
	var out []Action
	for _, own := range n.announcer.Endpoints() {
		r := lease.Record{
			Endpoint: own,
			Health:   lease.Live,
		}
		if own.State == node.Gone {
			r.Expires = now.Add(lease.TombstoneTTL)
		}
		out = append(out, n.publish(now, r)...)
	}
	return append(out, n.applyAnnouncer(now, actions)...)
}

// homeAddresses returns the control addresses of the balancers that hold the lease
// on this balancer's record.
func (n *Node) homeAddresses() []netip.AddrPort {
	var out []netip.AddrPort
	for _, b := range lease.Homes(n.self, n.table.Candidates(n.self), lease.HomeCount) {
		out = append(out, b.Agent)
	}
	return out
}

func (n *Node) handleRenew(now time.Time, e RenewReceived) []Action {
	return n.applyRegistry(now, n.registry.Step(now, lease.RenewReceived{
		Request: e.Request,
		Renew:   e.Renew,
	}))
}

func (n *Node) handleExchange(now time.Time, e ExchangeReceived) []Action {
	reply := ExchangeReply{}
	for _, key := range e.Exchange.QueriedKeys {
		if n.registry.HeardRecently(now, key) {
			reply.HeardKeys = append(reply.HeardKeys, key)
		}
	}
	actions := n.gossip.Step(now, gossip.MessageReceived{
		Request: e.Request,
		From:    e.Exchange.From,
		Message: e.Exchange.Message,
	})
	out := n.applyRegistry(now, n.registry.Step(now, lease.AnnouncerHeard{
		Key: lease.Key{
			Service:     lease.BalancerService,
			Incarnation: e.Exchange.Incarnation,
		},
	}))
	for _, a := range actions {
		if answer, ok := a.(gossip.SendReply); ok {
			reply.Message = answer.Message
			continue
		}
		out = append(out, n.applyGossip(now, []gossip.Action{a})...)
	}
	return append(out, SendExchangeReply{
		Request: e.Request,
		Reply:   reply,
	})
}

func (n *Node) handleReply(now time.Time, e ReplyReceived) []Action {
	c, ok := n.calls[e.ID]
	if !ok {
		return nil
	}
	delete(n.calls, e.ID)
	switch {
	case c.purpose == purposeRenew && e.Renew != nil:
		return n.applyAnnouncer(now, n.announcer.Step(now, lease.ReplyReceived{
			From:  c.to,
			Reply: *e.Renew,
		}))
	case c.purpose == purposeGossip && e.Exchange != nil:
		return n.applyGossip(now, n.gossip.Step(now, gossip.ReplyReceived{
			From:    c.to,
			Message: e.Exchange.Message,
		}))
	case c.purpose == purposeQuery && e.Exchange != nil:
		return n.confirmAnnouncers(now, e.Exchange.HeardKeys)
	default:
		return nil
	}
}

// confirmAnnouncers tells the registry that the announcers of these records are
// alive.
func (n *Node) confirmAnnouncers(now time.Time, keys []lease.Key) []Action {
	var out []Action
	for _, key := range keys {
		out = append(out, n.applyRegistry(now, n.registry.Step(now, lease.AnnouncerConfirmed{
			Key: key,
		}))...)
	}
	return out
}

func (n *Node) handleFailure(now time.Time, id uint64) []Action {
	c, ok := n.calls[id]
	if !ok {
		return nil
	}
	delete(n.calls, id)
	switch c.purpose {
	case purposeRenew:
		return n.applyAnnouncer(now, n.announcer.Step(now, lease.SendFailed{
			To: c.to,
		}))
	case purposeGossip:
		return n.applyGossip(now, n.gossip.Step(now, gossip.SendFailed{
			To: c.to,
		}))
	default:
		return nil
	}
}
