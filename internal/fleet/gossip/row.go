// Package gossip distributes changes of records between balancers. A change is
// pushed to a limited number of peers, and each of them forwards it once (Demers et
// al. 1987). Range-based set reconciliation (Meyer 2023) over hashes of the key space
// repairs what the pushes missed. Lease renewals are not gossiped.
package gossip

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
	"github.com/clementinewing/clementinewing/internal/world/zone"
)

// row is the compact form of a record: a node must be able to hold 160,000 of them.
type row struct {
	service     uint64
	incarnation uint64
	sequence    uint64
	upstream    string
	address     [16]byte
	// expiresAt is in seconds of Unix time; zero means never.
	expiresAt uint32
	weight    uint32
	round     uint32
	port      uint16
	place     uint16
	state     node.State
	health    lease.Health
}

// places numbers the places, so that a row needs no names of its place.
type places struct {
	numbers map[zone.Place]uint16
	names   []zone.Place
}

// number returns the number of a place and assigns one to a new place.
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
		w.expiresAt = uint32(r.Expires.Unix())
	}
	return w
}

func (p *places) unpack(w *row) lease.Record {
	r := lease.Record{
		Endpoint: node.Endpoint{
			Service:     spec.ServiceID(w.service),
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
	if w.expiresAt != 0 {
		r.Expires = time.Unix(int64(w.expiresAt), 0).UTC()
	}
	return r
}

func (w *row) key() lease.Key {
	return lease.Key{
		Service:     spec.ServiceID(w.service),
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

// position returns the position of a key in the key space.
func position(k lease.Key) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(k.Service))
	binary.LittleEndian.PutUint64(b[8:], uint64(k.Incarnation))
	return xxhash.Sum64(b[:])
}

// digest returns the hash of one version of a record. Digests are combined by
// exclusive or, so that the hash of a range does not depend on the order of changes.
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
