package member

import (
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/fleet/detect"
	"github.com/clementinewing/clementinewing/internal/fleet/gossip"
	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// publish merges a record into the table and gossips it if it is news.
func (n *Node) publish(now time.Time, r lease.Record) []Action {
	if !n.table.Merge(now, r) {
		return nil
	}
	out := n.handleRecord(now, r)
	return append(out, n.applyGossip(now, n.gossip.Step(now, gossip.RecordChanged{
		Key: r.Key(),
	}))...)
}

// handleRecord passes a record that is new in the table to the other components.
func (n *Node) handleRecord(now time.Time, r lease.Record) []Action {
	if r.Endpoint.Service == lease.HeadService {
		return n.checkHead(now)
	}
	n.view.recordHealth(now, r)
	out := n.reportHealth(now, r)
	if r.IsBalancer() && !n.announcer.HasLease(now) {
		n.announcer.Step(now, lease.SeedsChanged{
			Seeds: n.homeAddresses(),
		})
	}
	return append(out, n.applyRegistry(now, n.registry.Step(now, lease.RecordLearned{
		Record: r,
	}))...)
}

// reportHealth passes the health that the leases give an upstream to the failure
// detector.
func (n *Node) reportHealth(now time.Time, r lease.Record) []Action {
	switch {
	case r.IsBalancer():
		return nil
	case r.Endpoint.State == node.Gone:
		return n.applyDetector(n.detector.Step(now, detect.EndpointGone{
			Key: r.Key(),
		}))
	default:
		return n.applyDetector(n.detector.Step(now, detect.HealthLearned{
			Key:    r.Key(),
			Health: r.Health,
		}))
	}
}

// applyDetector turns the actions of the failure detector into those of the node.
func (n *Node) applyDetector(actions []detect.Action) []Action {
	var out []Action
	for _, a := range actions {
		switch a := a.(type) {
		case detect.Probe:
			if r, ok := n.table.Lookup(a.Key); ok {
				out = append(out, ProbeEndpoint{
					Endpoint: r.Endpoint,
					NewLink:  a.NewLink,
				})
			}
		case detect.SuspicionChanged:
			n.view.changed = true
		}
	}
	return out
}

// applyAnnouncer turns the actions of the announcer into those of the node. The
// balancer does not renew its record with itself.
func (n *Node) applyAnnouncer(now time.Time, actions []lease.AnnouncerAction) []Action {
	var out []Action
	for _, a := range actions {
		switch a := a.(type) {
		case lease.Send:
			if a.To == n.self.Agent {
				continue
			}
			renew := a.Renew
			out = append(out, n.newCall(a.To, purposeRenew, a.NewLink, &renew, nil))
		case lease.Superseded:
			out = append(out, Superseded{})
		}
	}
	return out
}

// applyRegistry turns the actions of the registry into those of the node. Only
// upstreams are probed.
func (n *Node) applyRegistry(now time.Time, actions []lease.RegistryAction) []Action {
	var out []Action
	for _, a := range actions {
		switch a := a.(type) {
		case lease.Publish:
			out = append(out, n.publish(now, a.Record)...)
		case lease.QueryHome:
			exchange := &Exchange{
				From:        n.self.Agent,
				Incarnation: n.self.Incarnation,
				QueriedKeys: []lease.Key{a.Key},
			}
			out = append(out, n.newCall(a.To, purposeQuery, false, nil, exchange))
		case lease.ProbeEndpoint:
			if a.Endpoint.Service != lease.BalancerService {
				out = append(out, ProbeEndpoint{
					Endpoint: a.Endpoint,
					NewLink:  true,
				})
			}
		case lease.SendReply:
			out = append(out, SendRenewReply{
				Request: a.Request,
				Reply:   a.Reply,
			})
		}
	}
	return out
}

// applyGossip turns the actions of the gossip into those of the node.
func (n *Node) applyGossip(now time.Time, actions []gossip.Action) []Action {
	var out []Action
	for _, a := range actions {
		switch a := a.(type) {
		case gossip.Send:
			exchange := &Exchange{
				From:        n.self.Agent,
				Incarnation: n.self.Incarnation,
				Message:     a.Message,
			}
			out = append(out, n.newCall(a.To, purposeGossip, a.NewLink, nil, exchange))
		case gossip.RecordLearned:
			out = append(out, n.handleRecord(now, a.Record)...)
		}
	}
	return out
}

// newCall creates a Call and remembers its purpose until the reply.
func (n *Node) newCall(to netip.AddrPort, purpose callPurpose, newLink bool, renew *lease.Renew, exchange *Exchange) Call {
	n.lastCallID++
	n.calls[n.lastCallID] = call{
		to:      to,
		purpose: purpose,
	}
	return Call{
		ID:       n.lastCallID,
		To:       to,
		NewLink:  newLink,
		Renew:    renew,
		Exchange: exchange,
	}
}
