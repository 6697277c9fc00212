// Package lease keeps the records that nodes announce. Agents and balancers renew
// their records with a few home balancers, each of which holds a lease on the
// record. When a lease expires, the record becomes suspect; when SuspectTTL has
// passed as well, it becomes absent. A home that hears the announcer refutes both.
package lease

import (
	"cmp"
	"time"

	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// BalancerService is the service under which balancers announce themselves. The
// agent address of such a record is the balancer's control address.
var BalancerService = spec.NewServiceID("clementinewing/balancer")

// HeadService is the service of the single record that identifies the configuration
// file in force. That record is never renewed.
var HeadService = spec.NewServiceID("clementinewing/head")

// Health is the home balancers' view of the announcer of a record.
type Health uint8

const (
	// Live records are renewed.
	Live Health = iota + 1
	// Suspect records have no valid lease; their endpoint may still own flows.
	Suspect
	// Absent records have been suspect for SuspectTTL.
	Absent
)

// Key identifies one incarnation of an endpoint.
type Key struct {
	Service     spec.ServiceID
	Incarnation node.Incarnation
}

// Record is one version of the state of an endpoint.
type Record struct {
	Endpoint node.Endpoint
	Health   Health
	// Round increases whenever a home that hears the announcer refutes a suspicion
	// or an absence.
	Round uint32
	// Expires is when a gone or absent record may be deleted. It is zero for all
	// others.
	Expires time.Time
}

// Version holds the fields of a record that decide which of two versions is newer.
type Version struct {
	Gone     bool
	Sequence uint64
	Round    uint32
	Health   Health
}

// Key returns the key of the record.
func (r Record) Key() Key {
	return Key{
		Service:     r.Endpoint.Service,
		Incarnation: r.Endpoint.Incarnation,
	}
}

// Version returns the part of the record that decides which of two is newer.
func (r Record) Version() Version {
	return Version{
		Gone:     r.Endpoint.State == node.Gone,
		Sequence: r.Endpoint.Sequence,
		Round:    r.Round,
		Health:   r.Health,
	}
}

// Tombstone reports whether the record only states that its endpoint is gone or
// absent.
func (r Record) Tombstone() bool {
	return r.Endpoint.State == node.Gone || r.Health == Absent
}

// WithHealth returns the next version with the given health, which must be worse
// than the current one. For Absent, expires is when the record may be deleted.
func (r Record) WithHealth(health Health, expires time.Time) Record {
	r.Health = health
	r.Expires = expires
	return r
}

// Refute returns the next version, which is live because the announcer was heard.
func (r Record) Refute() Record {
	r.Health = Live
	r.Round++
	r.Expires = time.Time{}
	return r
}

// AsGone returns the final version, in state node.Gone.
func (r Record) AsGone(expires time.Time) Record {
	r.Endpoint.State = node.Gone
	r.Expires = expires
	return r
}

// NeedsRenewal reports whether the record has to be renewed.
func (r Record) NeedsRenewal() bool {
	return r.Endpoint.Service != HeadService && !r.Tombstone()
}

// IsBalancer reports whether the record announces a balancer.
func (r Record) IsBalancer() bool {
	return r.Endpoint.Service == BalancerService
}

// Compare orders versions: gone is final, then the announcer's higher sequence
// wins, then the homes' higher round, then the worse health.
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

// Merge returns the least upper bound of two versions of one record.
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
