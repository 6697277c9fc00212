// Package lease keeps the records that nodes announce: side processes and
// balancers renew their records with a few home balancers, which hold a lease
// on each. A lapsed lease is a suspicion and a lapsed suspicion an absence; a home
// that hears the announcer overrules both.
package lease

import (
	"cmp"
	"time"

	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// Balancers is the service under which balancers announce themselves. The agent
// address of such a record is the balancer's control address.
var Balancers = pact.Identify("clementinewing/balancer")

// Heads is the service of the one record that names the file in force. Nobody
// renews it.
var Heads = pact.Identify("clementinewing/head")

// Health is what the home balancers believe about the announcer of a record.
type Health uint8

const (
	// Live records are renewed.
	Live Health = iota + 1
	// Suspect records have lapsed; their endpoint may still own flows.
	Suspect
	// Absent records have been suspect for SuspicionLife.
	Absent
)

// Key identifies one life of one endpoint.
type Key struct {
	Service     pact.ServiceID
	Incarnation node.Incarnation
}

// Record is one version of what is known about an endpoint.
type Record struct {
	Endpoint node.Endpoint
	Health   Health
	// Round rises whenever a home that hears the announcer overrules a doubt.
	Round uint32
	// Expires is when a record that is gone or absent may be forgotten. It is
	// zero for all others.
	Expires time.Time
}

// Version orders the versions of one record.
type Version struct {
	Gone     bool
	Sequence uint64
	Round    uint32
	Health   Health
}

// Key identifies the record among all.
func (r Record) Key() Key {
	return Key{
		Service:     r.Endpoint.Service,
		Incarnation: r.Endpoint.Incarnation,
	}
}

// Version is the part of the record that decides which of two is newer.
func (r Record) Version() Version {
	return Version{
		Gone:     r.Endpoint.State == node.Gone,
		Sequence: r.Endpoint.Sequence,
		Round:    r.Round,
		Health:   r.Health,
	}
}

// Tombstone tells whether the record only says that its endpoint is away.
func (r Record) Tombstone() bool {
	return r.Endpoint.State == node.Gone || r.Health == Absent
}

// Doubt is the next version with the given health; away from Live it only gets
// worse, and expires gives an absence its end.
func (r Record) Doubt(health Health, expires time.Time) Record {
	r.Health = health
	r.Expires = expires
	return r
}

// Overrule is the next version, which says that the announcer was heard.
func (r Record) Overrule() Record {
	r.Health = Live
	r.Round++
	r.Expires = time.Time{}
	return r
}

// Leave is the final version.
func (r Record) Leave(expires time.Time) Record {
	r.Endpoint.State = node.Gone
	r.Expires = expires
	return r
}

// Leased tells whether the record has to be renewed.
func (r Record) Leased() bool {
	return r.Endpoint.Service != Heads && !r.Tombstone()
}

// IsBalancer tells whether the record announces a balancer.
func (r Record) IsBalancer() bool {
	return r.Endpoint.Service == Balancers
}

// Compare orders versions: gone is final, then the sequence of the announcer
// counts, then the round of the homes, then the worse health.
func (v Version) Compare(o Version) int {
	return cmp.Or(
		compareBool(v.Gone, o.Gone),
		cmp.Compare(v.Sequence, o.Sequence),
		cmp.Compare(v.Round, o.Round),
		cmp.Compare(v.Health, o.Health),
	)
}

// Compare orders two versions of one record. The order is total, so taking the
// greater is commutative, associative and idempotent.
func Compare(a, b Record) int {
	return cmp.Or(
		a.Version().Compare(b.Version()),
		cmp.Compare(a.Endpoint.State, b.Endpoint.State),
		cmp.Compare(a.Endpoint.Weight, b.Endpoint.Weight),
		a.Endpoint.Agent.Compare(b.Endpoint.Agent),
		cmp.Compare(a.Endpoint.Upstream, b.Endpoint.Upstream),
		cmp.Compare(a.Endpoint.Place.Region, b.Endpoint.Place.Region),
		cmp.Compare(a.Endpoint.Place.Domain, b.Endpoint.Place.Domain),
		a.Expires.Compare(b.Expires),
	)
}

// Merge is the least upper bound of two versions of one record.
func Merge(a, b Record) Record {
	if Compare(a, b) < 0 {
		return b
	}
	return a
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
