package steer

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

const (
	// openingTick is the resolution at which openings are timed.
	openingTick = 10 * time.Millisecond
	// repeatGap is the least time between an opening and its repetition by the
	// caller, whose first timeout is 1 s or more (RFC 6298). Copies that come
	// sooner were doubled by the network and go where the first one went.
	repeatGap = 500 * time.Millisecond
	// repeatKeep is how long an opening is remembered after it was last seen;
	// callers double their timeout: 1, 2, 4 and 8 s.
	repeatKeep = 10 * time.Second
)

// openings remembers the openings seen lately, a flow and sequence each, and how
// often the caller has repeated them.
type openings struct {
	table *table
}

func newOpenings(count int) openings {
	return openings{
		table: newTable(count, openingTick, repeatKeep),
	}
}

// repeats records an opening and gives how many times the caller has repeated it
// by now.
func (o openings) repeats(now time.Time, hash uint64, p *link.Packet) int {
	return int(o.table.count(now, openingKey(hash, p), uint16(repeatGap/openingTick)))
}

// openingKey tells the openings of one flow apart. An odd factor spreads the
// sequence over the bits of bucket and tag.
func openingKey(hash uint64, p *link.Packet) uint64 {
	return hash ^ uint64(p.Sequence)*0x9e3779b97f4a7c15
}
