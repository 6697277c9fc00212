package lease

import (
	"net/netip"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/world/node"
)

// RecordTable holds the balancer's version of every record. The registry changes it
// through Publish actions, which must have taken effect by the next event.
type RecordTable interface {
	// Lookup returns the current version of a record.
	Lookup(key Key) (Record, bool)
	// ByAddress returns the records that announce the endpoint's service at its
	// agent address.
	ByAddress(e node.Endpoint) []Record
	// Candidates returns the balancers that may be homes of an endpoint, sorted by
	// region: those of its region that are neither suspect nor gone nor absent, or
	// those of all regions if its own has too few. The caller must not modify the list.
	Candidates(e node.Endpoint) []node.Endpoint
	// EachPresent calls visit for every record that is not a tombstone.
	EachPresent(visit func(r Record))
}

// Registry is the balancer's side of the leases: it holds the leases on records that
// the balancer is a home of. It is not safe for concurrent use.
type Registry struct {
	self    node.Incarnation
	region  string
	records RecordTable
	leases  map[Key]*heldLease
	// tickDeadline is the time after which the next tick means that the node was
	// paused.
	tickDeadline time.Time
	// reviewAt is when the homes of all records may be recomputed.
	reviewAt time.Time
	// balancersChanged is set by a change among the balancers since the last review.
	balancersChanged bool
	// pendingKeys are records learned since the last tick that this balancer may be a
	// home of.
	pendingKeys []Key
}

// heldLease is a lease on one record. Its homes are the control addresses to
// return in replies.
type heldLease struct {
	version    Version
	leaseUntil time.Time
	// heardUntil is the time until which the announcer counts as recently heard.
	heardUntil time.Time
	// queried is set while the endpoint and the other homes are queried about the
	// expired lease.
	queried bool
	homes   []netip.AddrPort
}

// RegistryEvent is one of Tick, RenewReceived, RecordLearned, AnnouncerConfirmed and
// AnnouncerHeard.
type RegistryEvent interface{ registryEvent() }

// RenewReceived is a Renew that has arrived. Request is returned in the SendReply.
type RenewReceived struct {
	Request uint64
	Renew   Renew
}

// RecordLearned reports that the table has a new version of a record.
type RecordLearned struct {
	Record Record
}

// AnnouncerConfirmed reports that another home has heard the announcer, or that the
// endpoint itself has answered.
type AnnouncerConfirmed struct {
	Key Key
}

// AnnouncerHeard reports that the announcer has sent a message other than a Renew.
type AnnouncerHeard struct {
	Key Key
}

func (AnnouncerHeard) registryEvent()     {}
func (Tick) registryEvent()               {}
func (RenewReceived) registryEvent()      {}
func (RecordLearned) registryEvent()      {}
func (AnnouncerConfirmed) registryEvent() {}

// RegistryAction is one of SendReply, Publish, QueryHome and ProbeEndpoint.
type RegistryAction interface{ registryAction() }

// SendReply replies to the RenewReceived event with the same request number.
type SendReply struct {
	Request uint64
	Reply   RenewReply
}

// Publish stores a new version in the table and sends it to other balancers.
type Publish struct {
	Record Record
}

// QueryHome asks another home of a record with an expired lease whether it has heard
// the announcer, before the record's health changes.
type QueryHome struct {
	To  netip.AddrPort
	Key Key
}

// ProbeEndpoint probes the endpoint itself before the record's health changes. An
// answer counts as AnnouncerConfirmed.
type ProbeEndpoint struct {
	Endpoint node.Endpoint
}

func (ProbeEndpoint) registryAction() {}
func (SendReply) registryAction()     {}
func (Publish) registryAction()       {}
func (QueryHome) registryAction()     {}

// NewRegistry returns the registry of the balancer self.
func NewRegistry(self node.Endpoint, records RecordTable) *Registry {
	return &Registry{
		self:    self.Incarnation,
		region:  self.Place.Region,
		records: records,
		leases:  map[Key]*heldLease{},
	}
}

// Len returns the number of leases held.
func (g *Registry) Len() int {
	return len(g.leases)
}

// HeardRecently reports whether this balancer has heard the announcer within the
// last heardTTL.
func (g *Registry) HeardRecently(now time.Time, key Key) bool {
	h := g.leases[key]
	return h != nil && now.Before(h.heardUntil)
}

// Step handles one event and returns the actions to take.
func (g *Registry) Step(now time.Time, event RegistryEvent) []RegistryAction {
	switch e := event.(type) {
	case Tick:
		return g.tick(now)
	case RenewReceived:
		return g.applyRenew(now, e)
	case RecordLearned:
		return g.applyRecord(now, e.Record)
	case AnnouncerConfirmed:
		return g.applyConfirmation(now, e.Key)
	case AnnouncerHeard:
		return g.applyHeard(now, e.Key)
	default:
		return nil
	}
}

func (g *Registry) applyRenew(now time.Time, e RenewReceived) []RegistryAction {
	var out []RegistryAction
	reply := RenewReply{
		Verdicts: make([]Verdict, 0, len(e.Renew.Records)),
	}
	for _, r := range e.Renew.Records {
		var verdict Verdict
		verdict, out = g.renewRecord(now, r, out)
		reply.Verdicts = append(reply.Verdicts, verdict)
		if len(reply.Homes) == 0 {
			reply.Homes = g.homeAddresses(r)
		}
	}
	return append(out, SendReply{
		Request: e.Request,
		Reply:   reply,
	})
}

// renewRecord compares an announced record with the table. Only a version that is not
// older than the table's renews the lease.
func (g *Registry) renewRecord(now time.Time, r Record, out []RegistryAction) (Verdict, []RegistryAction) {
	known, ok := g.records.Lookup(r.Key())
	switch {
	case !ok || announcesNewer(r, known):
		out = g.publishEarlierGone(now, r, out)
		out = append(out, Publish{
			Record: r,
		})
		known = r
	case known.Endpoint.State == node.Gone || known.Endpoint.Sequence > r.Endpoint.Sequence:
		return newVerdict(known), out
	case known.Health != Live:
		known = known.Refute()
		out = append(out, Publish{
			Record: known,
		})
	}
	if known.Tombstone() {
		delete(g.leases, known.Key())
	} else {
		g.extendLease(now, known)
	}
	return newVerdict(known), out
}

// announcesNewer reports whether the announced version is newer than the known one.
func announcesNewer(announced, known Record) bool {
	if known.Endpoint.State == node.Gone {
		return false
	}
	return announced.Endpoint.State == node.Gone || announced.Endpoint.Sequence > known.Endpoint.Sequence
}

func newVerdict(known Record) Verdict {
	return Verdict{
		Key:     known.Key(),
		Version: known.Version(),
	}
}

// publishEarlierGone publishes earlier incarnations at the record's address as gone.
func (g *Registry) publishEarlierGone(now time.Time, r Record, out []RegistryAction) []RegistryAction {
	if r.Tombstone() {
		return out
	}
	for _, old := range g.records.ByAddress(r.Endpoint) {
		if old.Key() == r.Key() || old.Tombstone() {
			continue
		}
		delete(g.leases, old.Key())
		out = append(out, Publish{
			Record: old.AsGone(now.Add(TombstoneTTL)),
		})
	}
	return out
}

func (g *Registry) extendLease(now time.Time, r Record) {
	h := g.leases[r.Key()]
	if h == nil {
		h = &heldLease{}
		g.leases[r.Key()] = h
	}
	h.version = r.Version()
	h.leaseUntil = now.Add(LeaseTTL)
	h.heardUntil = now.Add(heardTTL)
	h.queried = false
}

// applyRecord handles a new version in the table. A suspicion or absence of an
// announcer that was heard here is refuted, and a lease on an older version is
// transferred to the new one.
func (g *Registry) applyRecord(now time.Time, r Record) []RegistryAction {
	if r.IsBalancer() {
		g.balancersChanged = true
	}
	key := r.Key()
	gone := r.Endpoint.State == node.Gone
	if !gone && r.Health != Live && (g.HeardRecently(now, key) || key.Incarnation == g.self) {
		r = r.Refute()
		g.updateLease(now, r)
		return []RegistryAction{
			Publish{
				Record: r,
			},
		}
	}
	if r.Tombstone() {
		delete(g.leases, key)
		return nil
	}
	g.updateLease(now, r)
	return nil
}

func (g *Registry) updateLease(now time.Time, r Record) {
	h := g.leases[r.Key()]
	if h == nil {
		g.pendingKeys = append(g.pendingKeys, r.Key())
		return
	}
	if r.Health != h.version.Health {
		h.leaseUntil = now.Add(healthTTL(r.Health))
	}
	h.version = r.Version()
	h.queried = false
}

// acquireLease takes a lease on a record that this balancer has become a home of.
func (g *Registry) acquireLease(now time.Time, r Record) {
	if g.leases[r.Key()] != nil || !r.NeedsRenewal() || r.Endpoint.Incarnation == g.self || !g.isHome(r) {
		return
	}
	g.leases[r.Key()] = &heldLease{
		version:    r.Version(),
		leaseUntil: now.Add(healthTTL(r.Health)),
	}
}

func healthTTL(h Health) time.Duration {
	if h == Suspect {
		return SuspectTTL
	}
	return LeaseTTL
}

// regionHasOtherHomes reports whether all candidates, which are sorted by region, are
// in the record's region and this balancer is not.
func (g *Registry) regionHasOtherHomes(r Record, balancers []node.Endpoint) bool {
	region := r.Endpoint.Place.Region
	last := balancers[len(balancers)-1]
	return g.region != region && balancers[0].Place.Region == region && last.Place.Region == region
}

func (g *Registry) isHome(r Record) bool {
	balancers := g.records.Candidates(r.Endpoint)
	if len(balancers) == 0 || g.regionHasOtherHomes(r, balancers) {
		return false
	}
	if !mayBeHome(r.Endpoint.Incarnation, g.self, len(balancers)) {
		return false
	}
	homes := Homes(r.Endpoint, balancers, HomeCount)
	return slices.ContainsFunc(homes, func(b node.Endpoint) bool { return b.Incarnation == g.self })
}

// applyHeard renews the lease if it is held here and refutes a suspicion or
// absence.
func (g *Registry) applyHeard(now time.Time, key Key) []RegistryAction {
	r, ok := g.records.Lookup(key)
	if !ok || r.Endpoint.State == node.Gone {
		return nil
	}
	var out []RegistryAction
	if r.Health != Live {
		r = r.Refute()
		out = append(out, Publish{
			Record: r,
		})
	}
	if g.leases[key] != nil {
		g.extendLease(now, r)
	}
	return out
}

// applyConfirmation extends a lease whose expiry is being checked, and refutes a
// suspicion.
func (g *Registry) applyConfirmation(now time.Time, key Key) []RegistryAction {
	h := g.leases[key]
	r, ok := g.records.Lookup(key)
	if h == nil || !h.queried || !ok || r.Tombstone() {
		return nil
	}
	h.queried = false
	h.leaseUntil = now.Add(LeaseTTL / 2)
	if r.Health == Live {
		return nil
	}
	r = r.Refute()
	h.version = r.Version()
	return []RegistryAction{
		Publish{
			Record: r,
		},
	}
}

func (g *Registry) tick(now time.Time) []RegistryAction {
	if !g.tickDeadline.IsZero() && now.After(g.tickDeadline) {
		g.extendAllLeases(now)
	}
	g.tickDeadline = now.Add(PauseThreshold)
	g.acquirePending(now)
	g.reviewHomes(now)
	var out []RegistryAction
	for _, key := range g.expiredKeys(now) {
		out = g.handleExpiry(now, key, out)
	}
	return out
}

// extendAllLeases gives every announcer time to renew after this node was paused.
func (g *Registry) extendAllLeases(now time.Time) {
	for _, h := range g.leases {
		h.queried = false
		if until := now.Add(LeaseTTL); h.leaseUntil.Before(until) {
			h.leaseUntil = until
		}
	}
}

// expiredKeys returns the keys of expired leases in a fixed order.
func (g *Registry) expiredKeys(now time.Time) []Key {
	var out []Key
	for key, h := range g.leases {
		if !now.Before(h.leaseUntil) {
			out = append(out, key)
		}
	}
	slices.SortFunc(out, compareKeys)
	return out
}

// handleExpiry queries the endpoint and the other homes about an expired lease. If the
// lease expires again without a confirmation, the record becomes suspect, or absent if
// it is suspect already.
func (g *Registry) handleExpiry(now time.Time, key Key, out []RegistryAction) []RegistryAction {
	h := g.leases[key]
	r, ok := g.records.Lookup(key)
	if !ok || r.Tombstone() {
		delete(g.leases, key)
		return out
	}
	if r.Version() != h.version {
		return append(out, g.applyRecord(now, r)...)
	}
	if !g.isHome(r) {
		delete(g.leases, key)
		return out
	}
	if !h.queried {
		return g.queryHomes(now, r, h, out)
	}
	if h.version.Health == Suspect {
		delete(g.leases, key)
		return append(out, Publish{
			Record: r.WithHealth(Absent, now.Add(TombstoneTTL)),
		})
	}
	r = r.WithHealth(Suspect, time.Time{})
	h.version = r.Version()
	h.queried = false
	h.leaseUntil = now.Add(SuspectTTL)
	return append(out, Publish{
		Record: r,
	})
}

func (g *Registry) queryHomes(now time.Time, r Record, h *heldLease, out []RegistryAction) []RegistryAction {
	h.queried = true
	h.leaseUntil = now.Add(QueryTimeout)
	out = append(out, ProbeEndpoint{
		Endpoint: r.Endpoint,
	})
	for _, b := range Homes(r.Endpoint, g.records.Candidates(r.Endpoint), HomeCount+SpareCount) {
		if b.Incarnation == g.self {
			continue
		}
		out = append(out, QueryHome{
			To:  b.Agent,
			Key: r.Key(),
		})
	}
	return out
}
