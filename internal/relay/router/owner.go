package router

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// owner is an endpoint that answered a flow's SYN or queues it.
type owner struct {
	host frame.Host
	// initialSequence is the endpoint's initial sequence number if sequenceKnown.
	initialSequence uint32
	sequenceKnown   bool
}

// ownerEnded reports whether the endpoint of an owner has ended. Its flows are then looked up
// elsewhere. An owner whose agent is silent is waited for: no other endpoint holds its flows.
func (g *Router) ownerEnded(h frame.Host) bool {
	s := g.members.Agent(h)
	return s != nil && s.State == node.Gone
}

// ackWindow is how far beyond an owner's initial sequence number a caller's
// acknowledgment may be: more than a flow carries in its lifetime. The window excludes a
// wrong owner in 15 of 16 cases; the agent can always tell.
const ackWindow = 1 << 28

// matches reports whether a packet can belong to the flow that the owner answered.
func (o *owner) matches(p link.Packet) bool {
	return o.host != 0 && (!o.sequenceKnown || !p.HasAck() || p.Acknowledgment-o.initialSequence < ackWindow)
}

// ownerOf returns the owner of the packet's flow, or 0. If two endpoints answered the
// same SYN, the owner is the one whose initial sequence number the packet acknowledges.
func (x *flow) ownerOf(p link.Packet) frame.Host {
	a, b := &x.owners[0], &x.owners[1]
	switch {
	case a.matches(p) && b.matches(p) && a.sequenceKnown && b.sequenceKnown && p.Acknowledgment-b.initialSequence < p.Acknowledgment-a.initialSequence:
		return b.host
	case a.matches(p):
		return a.host
	case b.matches(p):
		return b.host
	default:
		return 0
	}
}

func (g *Router) handleHint(now time.Time, o frame.Owner) {
	g.members.MarkAlive(o.Host)
	if o.Known {
		g.members.MarkAccepted(o.Host)
	}
	x, ok := g.flows[o.Key]
	if !ok {
		x = g.addFlow(now, o.Key)
		if x == nil {
			return
		}
	}
	x.expiresAt = now.Add(ownerTTL)
	g.applyAnnouncedLoad(now, x.pending, o)
	if x.pending != nil {
		g.addAction(OwnerFound{
			Key:     o.Key,
			Host:    o.Host,
			Latency: now.Sub(x.pending.startedAt),
		})
	}
	x.pending = nil
	if o.Known {
		x.offer = nil
	}
	x.retry = nil
	x.walk = nil
	x.lookedUpSince = time.Time{}
	x.noOwnerUntil = time.Time{}
	next := owner{
		host:            o.Host,
		initialSequence: o.InitialSequence,
		sequenceKnown:   o.Known,
	}
	if s := g.members.Agent(o.Host); s != nil {
		x.service = s.Service
	}
	if x.owners[0].host != o.Host {
		x.owners[1] = x.owners[0]
	}
	x.owners[0] = next
	g.deliverHeld(now, x)
}

// queuedAt reports whether the SYN was last known to be queued at an agent.
func (x *flow) queuedAt(h frame.Host) bool {
	return x.owners[0].host == h && !x.owners[0].sequenceKnown && x.owners[1].host == 0
}

// removeOwner removes a host from the owners. It reports whether the host was the only
// owner and the caller acknowledges its sequence number.
func (x *flow) removeOwner(h frame.Host, p link.Packet) (owned bool) {
	if x.owners[1].host == h {
		x.owners[1] = owner{}
		return false
	}
	if x.owners[0].host != h {
		return false
	}
	owned = x.owners[0].sequenceKnown && x.owners[0].matches(p) && x.owners[1].host == 0
	x.owners[0] = x.owners[1]
	x.owners[1] = owner{}
	return owned
}
