// Package spread carries changes of records between balancers: a change is
// pushed to a bounded number of peers, who push it on once (Demers et al. 1987),
// and range-based set reconciliation (Meyer 2023) over hashes of the key space
// repairs what pushes missed. Renewals never travel.
package spread

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/pact"
	"github.com/clementinewing/clementinewing/internal/world/zone"
)

// row is a record in the size at which a node can hold 160,000 of them.
type row struct {
	service     uint64
	incarnation uint64
	sequence    uint64
	upstream    string
	address     [16]byte
	// expires is in seconds of Unix time, zero for never.
	expires uint32
	weight  uint32
	round   uint32
	port    uint16
	place   uint16
	state   node.State
	health  lease.Health
}

// places gives each place a number, so that rows need not carry its name.
type places struct {
	numbers map[zone.Place]uint16
	names   []zone.Place
}

func (p *places) number(of zone.Place) uint16 {
	n, ok := p.numbers[of]
	if !ok {
		n = uint16(len(p.names))
		p.numbers[of] = n
		p.names = append(p.names, of)
	}
	return n
}

func (p *places) pack(r lease.Record) row {
	e := r.Endpoint
	w := row{
		service:     uint64(e.Service),
		incarnation: uint64(e.Incarnation),
		sequence:    e.Sequence,
		upstream:    e.Upstream,
		address:     e.Agent.Addr().As16(),
		weight:      e.Weight,
		round:       r.Round,
		port:        e.Agent.Port(),
		place:       p.number(e.Place),
		state:       e.State,
		health:      r.Health,
	}
	if !r.Expires.IsZero() {
		w.expires = uint32(r.Expires.Unix())
	}
	return w
}

func (p *places) unpack(w *row) lease.Record {
	r := lease.Record{
		Endpoint: node.Endpoint{
			Service:     pact.ServiceID(w.service),
			Upstream:    w.upstream,
			Agent:       netip.AddrPortFrom(netip.AddrFrom16(w.address).Unmap(), w.port),
			Incarnation: node.Incarnation(w.incarnation),
			Place:       p.names[w.place],
			Weight:      w.weight,
			State:       w.state,
			Sequence:    w.sequence,
		},
		Health: w.health,
		Round:  w.round,
	}
	if w.expires != 0 {
		r.Expires = time.Unix(int64(w.expires), 0).UTC()
	}
	return r
}

func (w *row) key() lease.Key {
	return lease.Key{
		Service:     pact.ServiceID(w.service),
		Incarnation: node.Incarnation(w.incarnation),
	}
}

func (w *row) version() lease.Version {
	return lease.Version{
		Gone:     w.state == node.Gone,
		Sequence: w.sequence,
		Round:    w.round,
		Health:   w.health,
	}
}

func (w *row) digest() uint64 {
	return digest(w.key(), w.version())
}

// position is a key's place in the key space.
func position(k lease.Key) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(k.Service))
	binary.LittleEndian.PutUint64(b[8:], uint64(k.Incarnation))
	return xxhash.Sum64(b[:])
}

// digest is the hash of one version of one record. Digests are combined by
// exclusive or, so that a range's hash does not depend on the order of changes.
func digest(k lease.Key, v lease.Version) uint64 {
	var b [30]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(k.Service))
	binary.LittleEndian.PutUint64(b[8:], uint64(k.Incarnation))
	binary.LittleEndian.PutUint64(b[16:], v.Sequence)
	binary.LittleEndian.PutUint32(b[24:], v.Round)
	if v.Gone {
		b[28] = 1
	}
	b[29] = byte(v.Health)
	return xxhash.Sum64(b[:])
}
