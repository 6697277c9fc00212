package lease

import (
	"net/netip"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/world/node"
)

// Book is what the balancer knows of all records. Publishing to it is an action
// of the registry; the book must show it by the next event.
type Book interface {
	// Lookup finds the present version of a record.
	Lookup(key Key) (Record, bool)
	// At lists the records that announce the service at the agent address.
	At(e node.Endpoint) []Record
	// Candidates lists the balancers that may be homes of an endpoint: those of
	// its region that are neither suspect nor away, or of all regions if that are
	// too few, in order of region. The caller must not change the list.
	Candidates(e node.Endpoint) []node.Endpoint
	// Each calls visit for every record that is not a tombstone.
	Each(visit func(r Record))
}

// Registry is the balancer's end of the leases: it holds those for which the
// balancer is a home. It is not safe for concurrent use.
type Registry struct {
	self   node.Incarnation
	region string
	book   Book
	leases map[Key]*held
	// due is when the next tick is late enough to mean that the node was paused.
	due time.Time
	// review is when the homes of all records may be compared again.
	review time.Time
	// moved tells that there was a change among the balancers since.
	moved bool
	// fresh are records that this balancer may be a home of.
	fresh []Key
}

// held is one lease. Homes are the control addresses named in replies.
type held struct {
	version Version
	until   time.Time
	// heard is until when the balancer vouches for the announcer.
	heard time.Time
	asked bool
	homes []netip.AddrPort
}

// RegistryEvent is one of Tick, Renewed, Learned, Vouched and Heard.
type RegistryEvent interface{ registryEvent() }

// Renewed is a Renew that has arrived. Request is handed back in the Answer.
type Renewed struct {
	Request uint64
	Renew   Renew
}

// Learned tells that the book has a new version of a record.
type Learned struct {
	Record Record
}

// Vouched is another home's word that it has heard from the announcer, or an
// answer of the endpoint itself.
type Vouched struct {
	Key Key
}

// Heard tells that the announcer itself has sent something else than a Renew.
type Heard struct {
	Key Key
}

func (Heard) registryEvent()   {}
func (Tick) registryEvent()    {}
func (Renewed) registryEvent() {}
func (Learned) registryEvent() {}
func (Vouched) registryEvent() {}

// RegistryAction is one of Answer, Publish, Ask and Probe.
type RegistryAction interface{ registryAction() }

// Answer replies to the Renewed event with the same request number.
type Answer struct {
	Request uint64
	Reply   RenewReply
}

// Publish puts a new version into the book and on its way to other balancers.
type Publish struct {
	Record Record
}

// Ask turns to another home of a lapsed record before it is doubted.
type Ask struct {
	To  netip.AddrPort
	Key Key
}

// Probe turns to the endpoint itself before it is doubted. Its answer counts as
// Vouched.
type Probe struct {
	Endpoint node.Endpoint
}

func (Probe) registryAction()   {}
func (Answer) registryAction()  {}
func (Publish) registryAction() {}
func (Ask) registryAction()     {}

// NewRegistry makes the registry of a balancer.
func NewRegistry(self node.Endpoint, book Book) *Registry {
	return &Registry{
		self:   self.Incarnation,
		region: self.Place.Region,
		book:   book,
		leases: map[Key]*held{},
	}
}

// Len is the number of leases held.
func (g *Registry) Len() int {
	return len(g.leases)
}

// Vouches tells whether the announcer was heard here lately.
func (g *Registry) Vouches(now time.Time, key Key) bool {
	h := g.leases[key]
	return h != nil && now.Before(h.heard)
}

// Step takes one event and tells what is to be done.
func (g *Registry) Step(now time.Time, event RegistryEvent) []RegistryAction {
	switch e := event.(type) {
	case Tick:
		return g.tick(now)
	case Renewed:
		return g.renewed(now, e)
	case Learned:
		return g.learned(now, e.Record)
	case Vouched:
		return g.vouched(now, e.Key)
	case Heard:
		return g.heard(now, e.Key)
	default:
		return nil
	}
}

func (g *Registry) renewed(now time.Time, e Renewed) []RegistryAction {
	var out []RegistryAction
	reply := RenewReply{
		Verdicts: make([]Verdict, 0, len(e.Renew.Records)),
	}
	for _, r := range e.Renew.Records {
		var verdict Verdict
		verdict, out = g.renew(now, r, out)
		reply.Verdicts = append(reply.Verdicts, verdict)
		if len(reply.Homes) == 0 {
			reply.Homes = g.homes(r)
		}
	}
	return append(out, Answer{
		Request: e.Request,
		Reply:   reply,
	})
}

// renew compares an announced record with the book. Only a version that is not
// behind the book's renews the lease.
func (g *Registry) renew(now time.Time, r Record, out []RegistryAction) (Verdict, []RegistryAction) {
	known, ok := g.book.Lookup(r.Key())
	switch {
	case !ok || newer(r, known):
		out = g.retire(now, r, out)
		out = append(out, Publish{
			Record: r,
		})
		known = r
	case known.Endpoint.State == node.Gone || known.Endpoint.Sequence > r.Endpoint.Sequence:
		return verdict(known), out
	case known.Health != Live:
		known = known.Overrule()
		out = append(out, Publish{
			Record: known,
		})
	}
	if known.Tombstone() {
		delete(g.leases, known.Key())
	} else {
		g.hold(now, known)
	}
	return verdict(known), out
}

// newer tells whether the announcer says something that the book lacks.
func newer(announced, known Record) bool {
	if known.Endpoint.State == node.Gone {
		return false
	}
	return announced.Endpoint.State == node.Gone || announced.Endpoint.Sequence > known.Endpoint.Sequence
}

func verdict(known Record) Verdict {
	return Verdict{
		Key:     known.Key(),
		Version: known.Version(),
	}
}

// retire declares the earlier lives at the record's address gone.
func (g *Registry) retire(now time.Time, r Record, out []RegistryAction) []RegistryAction {
	if r.Tombstone() {
		return out
	}
	for _, old := range g.book.At(r.Endpoint) {
		if old.Key() == r.Key() || old.Tombstone() {
			continue
		}
		delete(g.leases, old.Key())
		out = append(out, Publish{
			Record: old.Leave(now.Add(TombstoneLife)),
		})
	}
	return out
}

func (g *Registry) hold(now time.Time, r Record) {
	h := g.leases[r.Key()]
	if h == nil {
		h = &held{}
		g.leases[r.Key()] = h
	}
	h.version = r.Version()
	h.until = now.Add(Life)
	h.heard = now.Add(vouchLife)
	h.asked = false
}

// learned follows the book: a doubt about an announcer that was heard here is
// overruled, and a lease on an overtaken version counts for the new one.
func (g *Registry) learned(now time.Time, r Record) []RegistryAction {
	if r.IsBalancer() {
		g.moved = true
	}
	key := r.Key()
	gone := r.Endpoint.State == node.Gone
	if !gone && r.Health != Live && (g.Vouches(now, key) || key.Incarnation == g.self) {
		r = r.Overrule()
		g.follow(now, r)
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
	g.follow(now, r)
	return nil
}

func (g *Registry) follow(now time.Time, r Record) {
	h := g.leases[r.Key()]
	if h == nil {
		g.fresh = append(g.fresh, r.Key())
		return
	}
	if r.Health != h.version.Health {
		h.until = now.Add(lifeOf(r.Health))
	}
	h.version = r.Version()
	h.asked = false
}

// adopt takes a lease on a record that this balancer has become a home of.
func (g *Registry) adopt(now time.Time, r Record) {
	if g.leases[r.Key()] != nil || !r.Leased() || r.Endpoint.Incarnation == g.self || !g.isHome(r) {
		return
	}
	g.leases[r.Key()] = &held{
		version: r.Version(),
		until:   now.Add(lifeOf(r.Health)),
	}
}

func lifeOf(h Health) time.Duration {
	if h == Suspect {
		return SuspicionLife
	}
	return Life
}

// elsewhere tells whether all candidates, which are in order of region, stand in
// the record's region and this balancer does not.
func (g *Registry) elsewhere(r Record, balancers []node.Endpoint) bool {
	region := r.Endpoint.Place.Region
	last := balancers[len(balancers)-1]
	return g.region != region && balancers[0].Place.Region == region && last.Place.Region == region
}

func (g *Registry) isHome(r Record) bool {
	balancers := g.book.Candidates(r.Endpoint)
	if len(balancers) == 0 || g.elsewhere(r, balancers) {
		return false
	}
	if !likely(r.Endpoint.Incarnation, g.self, len(balancers)) {
		return false
	}
	homes := Homes(r.Endpoint, balancers, HomeCount)
	return slices.ContainsFunc(homes, func(b node.Endpoint) bool { return b.Incarnation == g.self })
}

// heard renews a lease that is held here and takes back any doubt.
func (g *Registry) heard(now time.Time, key Key) []RegistryAction {
	r, ok := g.book.Lookup(key)
	if !ok || r.Endpoint.State == node.Gone {
		return nil
	}
	var out []RegistryAction
	if r.Health != Live {
		r = r.Overrule()
		out = append(out, Publish{
			Record: r,
		})
	}
	if g.leases[key] != nil {
		g.hold(now, r)
	}
	return out
}

// vouched extends a lease that was about to be doubted, and takes back a doubt.
func (g *Registry) vouched(now time.Time, key Key) []RegistryAction {
	h := g.leases[key]
	r, ok := g.book.Lookup(key)
	if h == nil || !h.asked || !ok || r.Tombstone() {
		return nil
	}
	h.asked = false
	h.until = now.Add(Life / 2)
	if r.Health == Live {
		return nil
	}
	r = r.Overrule()
	h.version = r.Version()
	return []RegistryAction{
		Publish{
			Record: r,
		},
	}
}

func (g *Registry) tick(now time.Time) []RegistryAction {
	if !g.due.IsZero() && now.After(g.due) {
		g.grace(now)
	}
	g.due = now.Add(WakeSlack)
	g.adoptFresh(now)
	g.reviewHomes(now)
	var out []RegistryAction
	for _, key := range g.lapsed(now) {
		out = g.lapse(now, key, out)
	}
	return out
}

// grace gives every announcer time to renew after this node itself was paused.
func (g *Registry) grace(now time.Time) {
	for _, h := range g.leases {
		h.asked = false
		if until := now.Add(Life); h.until.Before(until) {
			h.until = until
		}
	}
}

// lapsed lists the leases that have run out, in a fixed order.
func (g *Registry) lapsed(now time.Time) []Key {
	var out []Key
	for key, h := range g.leases {
		if !now.Before(h.until) {
			out = append(out, key)
		}
	}
	slices.SortFunc(out, compareKeys)
	return out
}

func (g *Registry) lapse(now time.Time, key Key, out []RegistryAction) []RegistryAction {
	h := g.leases[key]
	r, ok := g.book.Lookup(key)
	if !ok || r.Tombstone() {
		delete(g.leases, key)
		return out
	}
	if r.Version() != h.version {
		return append(out, g.learned(now, r)...)
	}
	if !g.isHome(r) {
		delete(g.leases, key)
		return out
	}
	if !h.asked {
		return g.ask(now, r, h, out)
	}
	if h.version.Health == Suspect {
		delete(g.leases, key)
		return append(out, Publish{
			Record: r.Doubt(Absent, now.Add(TombstoneLife)),
		})
	}
	r = r.Doubt(Suspect, time.Time{})
	h.version = r.Version()
	h.asked = false
	h.until = now.Add(SuspicionLife)
	return append(out, Publish{
		Record: r,
	})
}

func (g *Registry) ask(now time.Time, r Record, h *held, out []RegistryAction) []RegistryAction {
	h.asked = true
	h.until = now.Add(AskLife)
	out = append(out, Probe{
		Endpoint: r.Endpoint,
	})
	for _, b := range Homes(r.Endpoint, g.book.Candidates(r.Endpoint), HomeCount+SpareCount) {
		if b.Incarnation == g.self {
			continue
		}
		out = append(out, Ask{
			To:  b.Agent,
			Key: r.Key(),
		})
	}
	return out
}
