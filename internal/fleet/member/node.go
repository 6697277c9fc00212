// Package member joins the decisions of a balancer about the fleet into one
// state machine: its own record, the leases it holds, and the spread of changes.
// An adapter brings calls and time to it and carries out its actions.
package member

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/fleet/spread"
	"github.com/clementinewing/clementinewing/internal/fleet/watch"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

const (
	// TickInterval is how often an adapter ticks the machine.
	TickInterval = 100 * time.Millisecond
	// CallLife is the deadline of each call.
	CallLife = 800 * time.Millisecond
)

// Node is the state machine of one balancer. It is not safe for concurrent use.
type Node struct {
	self      node.Endpoint
	table     *spread.Table
	announcer *lease.Announcer
	registry  *lease.Registry
	spread    *spread.Spread
	calls     map[uint64]call
	last      uint64
	head      Head
	// remind is when a lag behind the head is told again.
	remind time.Time
	view   view
	watch  *watch.Watch
	// now is the time of the last event.
	now time.Time
}

// call is one call under way.
type call struct {
	to     netip.AddrPort
	reason reason
}

type reason uint8

const (
	renewing reason = iota + 1
	spreading
	asking
)

// Option sets one property of a Node.
type Option func(*options)

type options struct {
	seeds []netip.AddrPort
}

// WithSeeds names control addresses of other balancers to begin with.
func WithSeeds(seeds ...netip.AddrPort) Option {
	return func(o *options) {
		o.seeds = seeds
	}
}

// New makes the machine of the balancer that self describes.
func New(self node.Endpoint, random *rand.Rand, opts ...Option) *Node {
	var o options
	for _, set := range opts {
		set(&o)
	}
	self.Service = lease.Balancers
	table := spread.NewTable()
	return &Node{
		self:      self,
		table:     table,
		announcer: lease.NewAnnouncer(random, nil),
		registry:  lease.NewRegistry(self, table),
		spread:    spread.New(self, table, random, o.seeds),
		calls:     map[uint64]call{},
		watch:     watch.New(),
		view:      newView(),
	}
}

// Table is what the balancer knows.
func (n *Node) Table() *spread.Table {
	return n.table
}

// Leases is the number of leases that the balancer holds.
func (n *Node) Leases() int {
	return n.registry.Len()
}

// Peers are the control addresses that changes are pushed to.
func (n *Node) Peers() []netip.AddrPort {
	return n.spread.Peers()
}

// Ready tells whether the balancer knows the fleet well enough to judge flows. A
// newcomer should take no packets before.
func (n *Node) Ready(now time.Time) bool {
	return n.spread.Settled(now)
}

// Step takes one event and tells what is to be done.
func (n *Node) Step(now time.Time, event Event) []Action {
	n.now = now
	var out []Action
	switch e := event.(type) {
	case Tick:
		out = n.tick(now)
	case Update:
		out = n.update(now, e.Endpoint)
	case Used:
		out = n.fromWatch(n.watch.Step(now, watch.Used{
			Key: e.Key,
		}))
	case Answered:
		out = n.fromWatch(n.watch.Step(now, watch.Answered{
			Key: e.Key,
		}))
		out = append(out, n.vouched(now, []lease.Key{e.Key})...)
	case Seeds:
		n.spread.Step(now, spread.Seeds{
			Addresses: e.Addresses,
		})
	case Adopted:
		out = n.adopted(now, e.Head)
	case Renewed:
		out = n.renewed(now, e)
	case Exchanged:
		out = n.exchanged(now, e)
	case Returned:
		out = n.returned(now, e)
	case Expired:
		out = n.expired(now, e.ID)
	}
	return out
}

func (n *Node) tick(now time.Time) []Action {
	out := n.fromAnnouncer(now, n.announcer.Step(now, lease.Tick{}))
	out = append(out, n.fromRegistry(now, n.registry.Step(now, lease.Tick{}))...)
	out = append(out, n.fromSpread(now, n.spread.Step(now, spread.Tick{}))...)
	out = append(out, n.fromWatch(n.watch.Step(now, watch.Tick{}))...)
	if !now.Before(n.remind) {
		out = append(out, n.headKnown(now)...)
	}
	if n.due(now) {
		out = append(out, Changed{})
	}
	return out
}

// update announces the balancer itself. It knows of itself at once.
func (n *Node) update(now time.Time, e node.Endpoint) []Action {
	e.Service = lease.Balancers
	e.Incarnation = n.self.Incarnation
	n.announcer.Step(now, lease.Contacts{
		Seeds: n.homes(),
	})
	actions := n.announcer.Step(now, lease.Update{
		Endpoint: e,
	})
	var out []Action
	for _, own := range n.announcer.Endpoints() {
		r := lease.Record{
			Endpoint: own,
			Health:   lease.Live,
		}
		if own.State == node.Gone {
			r.Expires = now.Add(lease.TombstoneLife)
		}
		out = append(out, n.publish(now, r)...)
	}
	return append(out, n.fromAnnouncer(now, actions)...)
}

// homes are the balancers that hold the lease on this one's record.
func (n *Node) homes() []netip.AddrPort {
	var out []netip.AddrPort
	for _, b := range lease.Homes(n.self, n.table.Candidates(n.self), lease.HomeCount) {
		out = append(out, b.Agent)
	}
	return out
}

func (n *Node) renewed(now time.Time, e Renewed) []Action {
	return n.fromRegistry(now, n.registry.Step(now, lease.Renewed{
		Request: e.Request,
		Renew:   e.Renew,
	}))
}

func (n *Node) exchanged(now time.Time, e Exchanged) []Action {
	reply := ExchangeReply{}
	for _, key := range e.Exchange.Doubts {
		if n.registry.Vouches(now, key) {
			reply.Vouches = append(reply.Vouches, key)
		}
	}
	actions := n.spread.Step(now, spread.Requested{
		Request: e.Request,
		From:    e.Exchange.From,
		Message: e.Exchange.Message,
	})
	out := n.fromRegistry(now, n.registry.Step(now, lease.Heard{
		Key: lease.Key{
			Service:     lease.Balancers,
			Incarnation: e.Exchange.Incarnation,
		},
	}))
	for _, a := range actions {
		if answer, ok := a.(spread.Answer); ok {
			reply.Message = answer.Message
			continue
		}
		out = append(out, n.fromSpread(now, []spread.Action{a})...)
	}
	return append(out, AnswerExchange{
		Request: e.Request,
		Reply:   reply,
	})
}

func (n *Node) returned(now time.Time, e Returned) []Action {
	c, ok := n.calls[e.ID]
	if !ok {
		return nil
	}
	delete(n.calls, e.ID)
	switch {
	case c.reason == renewing && e.Renew != nil:
		return n.fromAnnouncer(now, n.announcer.Step(now, lease.Replied{
			From:  c.to,
			Reply: *e.Renew,
		}))
	case c.reason == spreading && e.Exchange != nil:
		return n.fromSpread(now, n.spread.Step(now, spread.Replied{
			From:    c.to,
			Message: e.Exchange.Message,
		}))
	case c.reason == asking && e.Exchange != nil:
		return n.vouched(now, e.Exchange.Vouches)
	default:
		return nil
	}
}

func (n *Node) vouched(now time.Time, keys []lease.Key) []Action {
	var out []Action
	for _, key := range keys {
		out = append(out, n.fromRegistry(now, n.registry.Step(now, lease.Vouched{
			Key: key,
		}))...)
	}
	return out
}

func (n *Node) expired(now time.Time, id uint64) []Action {
	c, ok := n.calls[id]
	if !ok {
		return nil
	}
	delete(n.calls, id)
	switch c.reason {
	case renewing:
		return n.fromAnnouncer(now, n.announcer.Step(now, lease.Failed{
			To: c.to,
		}))
	case spreading:
		return n.fromSpread(now, n.spread.Step(now, spread.Failed{
			To: c.to,
		}))
	default:
		return nil
	}
}
