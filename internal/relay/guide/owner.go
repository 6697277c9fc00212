package guide

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

type owner struct {
	host    frame.Host
	initial uint32
	known   bool
}

// lostTo tells whether an owner has been silent for so long that its flows are
// looked for elsewhere, and ended if nobody has them.
func (g *Guide) lostTo(now time.Time, h frame.Host) bool {
	s := g.members.Side(h)
	return s != nil && !s.MayOwn(now, true) || s != nil && !s.MayOwn(now, false) && !g.members.Isolated(now)
}

// ackWindow is how far beyond an owner's first sequence number a caller's
// acknowledgment may lie: more than a flow carries in its life. Owners that are
// not the caller's are told apart by it in 15 of 16 cases; the side process knows
// for certain.
const ackWindow = 1 << 28

// fits tells whether a packet can be of the flow that the owner answered.
func (o *owner) fits(p link.Packet) bool {
	return o.host != 0 && (!o.known || !p.HasAck() || p.Acknowledgment-o.initial < ackWindow)
}

// ownerOf picks the owner whose first sequence number the packet acknowledges,
// where two endpoints answered the same opening. It gives 0 if it is neither's.
func (x *entry) ownerOf(p link.Packet) frame.Host {
	a, b := &x.owners[0], &x.owners[1]
	switch {
	case a.fits(p) && b.fits(p) && a.known && b.known && p.Acknowledgment-b.initial < p.Acknowledgment-a.initial:
		return b.host
	case a.fits(p):
		return a.host
	case b.fits(p):
		return b.host
	default:
		return 0
	}
}

func (g *Guide) hint(now time.Time, o frame.Owner) {
	g.members.Alive(o.Host)
	x, ok := g.flows[o.Key]
	if !ok {
		x = g.remember(now, o.Key)
		if x == nil {
			return
		}
	}
	x.keep = now.Add(ownerKeep)
	if x.opening != nil {
		g.add(Found{
			Key:   o.Key,
			Host:  o.Host,
			After: now.Sub(x.opening.startedAt),
		})
	}
	x.opening = nil
	x.denied = nil
	x.lostUntil = time.Time{}
	next := owner{
		host:    o.Host,
		initial: o.Initial,
		known:   o.Known,
	}
	if s := g.members.Side(o.Host); s != nil {
		x.service = s.Service
	}
	if x.owners[0].host != o.Host {
		x.owners[1] = x.owners[0]
	}
	x.owners[0] = next
	g.deliverKept(now, x)
}

// waitsAt tells whether the opening was last known to wait at a side process.
func (x *entry) waitsAt(h frame.Host) bool {
	return x.owners[0].host == h && !x.owners[0].known && x.owners[1].host == 0
}

// forget takes a host out of the owners. It tells whether the host was the only
// one and had owned the flow by the number that the caller acknowledges.
func (x *entry) forget(h frame.Host, p link.Packet) (owned bool) {
	if x.owners[1].host == h {
		x.owners[1] = owner{}
		return false
	}
	if x.owners[0].host != h {
		return false
	}
	owned = x.owners[0].known && x.owners[0].fits(p) && x.owners[1].host == 0
	x.owners[0] = x.owners[1]
	x.owners[1] = owner{}
	return owned
}
