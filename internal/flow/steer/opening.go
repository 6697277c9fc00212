package steer

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

const (
	// openingResolution is the resolution of the times in the table of openings.
	openingResolution = 10 * time.Millisecond
	// minRetransmitDelay is the least time between an opening and its retransmission
	// by the caller, whose first timeout is 1 s or more (RFC 6298). Copies that
	// arrive sooner were duplicated by the network and go to the same endpoint as the
	// first one.
	minRetransmitDelay = 500 * time.Millisecond
	// openingTTL is how long an opening is remembered after it was last seen. Callers
	// double their retransmission timeout: 1, 2, 4 and 8 s.
	openingTTL = 10 * time.Second
)

// openingTable remembers recent openings, by flow and sequence number, and how often
// the caller has retransmitted them. An opening is the first packet of a flow, such
// as a SYN.
type openingTable struct {
	table *table
}

func newOpeningTable(count int) openingTable {
	return openingTable{
		table: newTable(count, openingResolution, openingTTL),
	}
}

// countRetransmits records an opening and returns how many times the caller has
// retransmitted it so far.
func (o openingTable) countRetransmits(now time.Time, hash uint64, p *link.Packet) int {
	return int(o.table.count(now, openingKey(hash, p), uint16(minRetransmitDelay/openingResolution)))
}

// openingKey returns a key for one opening of a flow. Multiplying by an odd constant
// spreads the sequence number over the bits of the bucket index and the tag.
func openingKey(hash uint64, p *link.Packet) uint64 {
	return hash ^ uint64(p.Sequence)*0x9e3779b97f4a7c15
}
