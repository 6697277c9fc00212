package owner

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

// forgetAfter is how long an orphan is remembered past its grace: longer than
// the pause between two retransmissions of a caller's stack (RFC 6298: up to 60 s,
// in practice up to 120 s).
const forgetAfter = 150 * time.Second

// orphan is a packet that every candidate denied. Its flow may yet have an owner
// that the sending balancer does not know, and would move on there.
type orphan struct {
	sequence       uint32
	acknowledgment uint32
	resetAfter     time.Time
}

type orphans struct {
	grace time.Duration
	seen  map[link.Key]orphan
}

// ripe tells whether the same packet has come for long enough.
func (o *orphans) ripe(now time.Time, p *link.Packet) bool {
	old, known := o.seen[p.Key]
	if known && old.sequence == p.Sequence && old.acknowledgment == p.Acknowledgment {
		return !now.Before(old.resetAfter)
	}
	if !known && len(o.seen) >= defaultOrphans {
		return false
	}
	o.seen[p.Key] = orphan{
		sequence:       p.Sequence,
		acknowledgment: p.Acknowledgment,
		resetAfter:     now.Add(o.grace),
	}
	return false
}

func (o *orphans) expire(now time.Time) {
	for key, old := range o.seen {
		if now.After(old.resetAfter.Add(forgetAfter)) {
			delete(o.seen, key)
		}
	}
}
