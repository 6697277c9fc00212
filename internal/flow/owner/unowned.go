package owner

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

// unownedTTL is how long an unowned packet is remembered after its reset delay. It is
// longer than the interval between two retransmissions of a caller's stack (RFC 6298:
// up to 60 s, in practice up to 120 s).
const unownedTTL = 150 * time.Second

// unownedPacket is a packet that every candidate denied. Its flow may still have an
// owner that the sending balancer does not know. In that case the flow makes progress
// there, and its sequence numbers change.
type unownedPacket struct {
	sequence       uint32
	acknowledgment uint32
	resetAfter     time.Time
}

// unownedPackets holds the last unowned packet of each flow.
type unownedPackets struct {
	resetDelay time.Duration
	seen       map[link.Key]unownedPacket
}

// resetDue reports whether the same packet has been retransmitted for the whole reset
// delay.
func (o *unownedPackets) resetDue(now time.Time, p *link.Packet) bool {
	old, known := o.seen[p.Key]
	if known && old.sequence == p.Sequence && old.acknowledgment == p.Acknowledgment {
		return !now.Before(old.resetAfter)
	}
	if !known && len(o.seen) >= maxUnowned {
		return false
	}
	o.seen[p.Key] = unownedPacket{
		sequence:       p.Sequence,
		acknowledgment: p.Acknowledgment,
		resetAfter:     now.Add(o.resetDelay),
	}
	return false
}

func (o *unownedPackets) forgetExpired(now time.Time) {
	for key, old := range o.seen {
		if now.After(old.resetAfter.Add(unownedTTL)) {
			delete(o.seen, key)
		}
	}
}
