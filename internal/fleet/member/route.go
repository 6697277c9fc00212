package member

import (
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/fleet/spread"
	"github.com/clementinewing/clementinewing/internal/fleet/watch"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// publish puts a record into the table and on its way.
func (n *Node) publish(now time.Time, r lease.Record) []Action {
	if !n.table.Merge(now, r) {
		return nil
	}
	out := n.known(now, r)
	return append(out, n.fromSpread(now, n.spread.Step(now, spread.Changed{
		Key: r.Key(),
	}))...)
}

// known takes note of a record that is new in the table.
func (n *Node) known(now time.Time, r lease.Record) []Action {
	if r.Endpoint.Service == lease.Heads {
		return n.headKnown(now)
	}
	n.view.note(now, r)
	out := n.judge(now, r)
	if r.IsBalancer() && !n.announcer.Held(now) {
		n.announcer.Step(now, lease.Contacts{
			Seeds: n.homes(),
		})
	}
	return append(out, n.fromRegistry(now, n.registry.Step(now, lease.Learned{
		Record: r,
	}))...)
}

// judge tells the watch what the leases say of an upstream.
func (n *Node) judge(now time.Time, r lease.Record) []Action {
	switch {
	case r.IsBalancer():
		return nil
	case r.Endpoint.State == node.Gone:
		return n.fromWatch(n.watch.Step(now, watch.Left{
			Key: r.Key(),
		}))
	default:
		return n.fromWatch(n.watch.Step(now, watch.Judged{
			Key:    r.Key(),
			Health: r.Health,
		}))
	}
}

func (n *Node) fromWatch(actions []watch.Action) []Action {
	var out []Action
	for _, a := range actions {
		switch a := a.(type) {
		case watch.Probe:
			if r, ok := n.table.Lookup(a.Key); ok {
				out = append(out, Probe{
					Endpoint: r.Endpoint,
					Fresh:    a.Fresh,
				})
			}
		case watch.Turned:
			n.view.changed = true
		}
	}
	return out
}

func (n *Node) fromAnnouncer(now time.Time, actions []lease.AnnouncerAction) []Action {
	var out []Action
	for _, a := range actions {
		switch a := a.(type) {
		case lease.Send:
			if a.To == n.self.Agent {
				continue
			}
			renew := a.Renew
			out = append(out, n.call(a.To, renewing, a.Fresh, &renew, nil))
		case lease.Superseded:
			out = append(out, Superseded{})
		}
	}
	return out
}

func (n *Node) fromRegistry(now time.Time, actions []lease.RegistryAction) []Action {
	var out []Action
	for _, a := range actions {
		switch a := a.(type) {
		case lease.Publish:
			out = append(out, n.publish(now, a.Record)...)
		case lease.Ask:
			exchange := &Exchange{
				From:        n.self.Agent,
				Incarnation: n.self.Incarnation,
				Doubts:      []lease.Key{a.Key},
			}
			out = append(out, n.call(a.To, asking, false, nil, exchange))
		case lease.Probe:
			if a.Endpoint.Service != lease.Balancers {
				out = append(out, Probe{
					Endpoint: a.Endpoint,
					Fresh:    true,
				})
			}
		case lease.Answer:
			out = append(out, AnswerRenew{
				Request: a.Request,
				Reply:   a.Reply,
			})
		}
	}
	return out
}

func (n *Node) fromSpread(now time.Time, actions []spread.Action) []Action {
	var out []Action
	for _, a := range actions {
		switch a := a.(type) {
		case spread.Send:
			exchange := &Exchange{
				From:        n.self.Agent,
				Incarnation: n.self.Incarnation,
				Message:     a.Message,
			}
			out = append(out, n.call(a.To, spreading, a.Fresh, nil, exchange))
		case spread.Learned:
			out = append(out, n.known(now, a.Record)...)
		}
	}
	return out
}

func (n *Node) call(to netip.AddrPort, why reason, fresh bool, renew *lease.Renew, exchange *Exchange) Call {
	n.last++
	n.calls[n.last] = call{
		to:     to,
		reason: why,
	}
	return Call{
		ID:       n.last,
		To:       to,
		Fresh:    fresh,
		Renew:    renew,
		Exchange: exchange,
	}
}
