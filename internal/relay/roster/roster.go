// Package roster is what a balancer knows of the fleet: side processes from
// their own reports of load, other balancers from their pulses. It is a pure
// state machine; a lost report costs freshness and nothing else.
package roster

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

const (
	// loadLeast is the interval of a side process's reports to a few balancers.
	// New flows are placed by reports; ten flows a second and endpoint change
	// little in it.
	loadLeast = 250 * time.Millisecond
	// loadBalancers is how many balancers are told at that interval; for more of
	// them it grows, so that the reports of a process stay as many, up to
	// loadMost, of which three still come before a process counts as absent.
	loadBalancers = 8
	loadMost      = 750 * time.Millisecond
	// pulseLeast is the interval of a balancer's pulses to a few others. For more
	// than pulseBalancers it grows, so that the pulses of a process stay as many, up
	// to pulseMost. What is urgent is told at once.
	pulseLeast     = 400 * time.Millisecond
	pulseBalancers = 16
	pulseMost      = 1600 * time.Millisecond
	// silentReports missed and silentDelay make a side process silent.
	silentReports = 3
	silentDelay   = 150 * time.Millisecond
	// forgetAfter is how long a silent side process stays a possible owner: as
	// long as the longest-lived flow of the platform.
	forgetAfter = 65 * time.Second
	// absentAfter is how long a side process has to be silent until flows are
	// looked for without it. A planned restart takes about a second; a request
	// that waits for longer than this has missed its deadline anyway.
	absentAfter = 2500 * time.Millisecond
	// greetEvery is how often a side process that has not been heard is greeted at
	// most: several round trips.
	greetEvery = 50 * time.Millisecond
	// isolatedShare is the share of side processes that have to be heard for
	// silence to say something about the others and not about this balancer.
	isolatedShare = 0.5
	// goneAfter is how long an endpoint that left stays known, so that a late
	// report is recognised.
	goneAfter = 10 * time.Second
	// dropBalancer is how long a silent balancer stays known.
	dropBalancer = 15 * time.Second
	// alivePulses are missed, and aliveDelay late, by a balancer that no longer shares
	// turns.
	alivePulses = 3
	aliveDelay  = 300 * time.Millisecond
)

// Balancer is another balancer.
type Balancer struct {
	frame.Pulse
	HeardAt time.Time
	// Met tells that it was heard and not only named by others.
	Met bool
}

// Roster holds the members.
type Roster struct {
	self      frame.Host
	sides     map[frame.Host]*Side
	balancers map[frame.Host]*Balancer
	services  map[pact.ServiceID][]*Side
	// all are the side processes of every service by host.
	all []*Side
	// named are side processes that another balancer knows and this one has not
	// heard.
	named map[frame.Host]naming
	// written are side processes in the record of the members that was read at
	// start. Whether their endpoints were present tells the value: one that had
	// left and starts again without an endpoint is no news.
	written map[frame.Host]bool
	// gainedAt is when the last member joined that was not expected.
	gainedAt time.Time
}

// New makes a roster of the balancer at self.
func New(self frame.Host) *Roster {
	return &Roster{
		self:      self,
		sides:     map[frame.Host]*Side{},
		balancers: map[frame.Host]*Balancer{},
		services:  map[pact.ServiceID][]*Side{},
		named:     map[frame.Host]naming{},
		written:   map[frame.Host]bool{},
	}
}

// Hear takes a report. It tells whether the report says more than fresh numbers:
// a new member, or another state, service or incarnation.
func (r *Roster) Hear(now time.Time, l frame.Load) (changed bool) {
	s, ok := r.sides[l.Host]
	if ok && s.Process == l.Process && l.Sequence <= s.Sequence {
		return false
	}
	if ok && isOlder(l, s.Load) {
		return false
	}
	if !ok {
		s = &Side{
			joinedAt: now,
		}
		s.Host = l.Host
		r.sides[l.Host] = s
		r.all = inserted(r.all, s)
		_, named := r.named[l.Host]
		_, written := r.written[l.Host]
		if !named && !written {
			r.gainedAt = now
		}
		delete(r.named, l.Host)
	}
	changed = !ok || s.State != l.State || s.Service != l.Service || s.Born != l.Born || s.Proven != l.Proven
	move := !ok || s.Service != l.Service
	if move && ok {
		r.detach(s)
	}
	if present, written := r.written[l.Host]; move && ok || written && !present && l.Born != 0 && l.State == node.Serving {
		// Another endpoint runs there by now.
		delete(r.written, l.Host)
		s.joinedAt = now
		r.gainedAt = now
	}
	s.Load = l
	s.HeardAt = now
	s.ColdUntil = now.Add(time.Duration(l.Cold) * time.Millisecond)
	s.Sent = 0
	s.Doubts = 0
	if move {
		r.attach(s)
	}
	return changed
}

// isOlder tells whether a report is from an earlier life of the endpoint.
func isOlder(l, held frame.Load) bool {
	return l.Process == held.Process && l.Born != 0 && l.Born < held.Born
}

func (r *Roster) attach(s *Side) {
	r.services[s.Service] = inserted(r.services[s.Service], s)
}

func (r *Roster) detach(s *Side) {
	r.services[s.Service] = without(r.services[s.Service], s)
}

// inserted gives a new list with s in its place by host.
func inserted(list []*Side, s *Side) []*Side {
	at, _ := slices.BinarySearchFunc(list, s.Host, func(o *Side, h frame.Host) int { return cmp.Compare(o.Host, h) })
	return slices.Insert(slices.Clone(list), at, s)
}

// without gives a new list that lacks s.
func without(list []*Side, s *Side) []*Side {
	return slices.DeleteFunc(slices.Clone(list), func(o *Side) bool { return o == s })
}

// Alive notes a sign of life that is no report.
func (r *Roster) Alive(h frame.Host) {
	if s, ok := r.sides[h]; ok {
		s.Doubts = 0
	}
}

// Side gives a side process, or nil.
func (r *Roster) Side(h frame.Host) *Side {
	return r.sides[h]
}

// Service gives the side processes of a service by host; the list is not to be
// changed.
func (r *Roster) Service(id pact.ServiceID) []*Side {
	return r.services[id]
}

// All gives the side processes of every service by host; the list is not to be
// changed.
func (r *Roster) All() []*Side {
	return r.all
}

// LoadEvery is the interval of reports to a number of balancers.
func LoadEvery(balancers int) time.Duration {
	return min(max(loadLeast, loadLeast*time.Duration(balancers)/loadBalancers), loadMost)
}

// PulseEvery is the interval of pulses to a number of other balancers.
func PulseEvery(balancers int) time.Duration {
	return min(max(pulseLeast, pulseLeast*time.Duration(balancers)/pulseBalancers), pulseMost)
}

// ShareUnit is one flow for each slot in the result of FlowShare.
const ShareUnit = 16

// FlowShare is how many open flows a slot of the service holds on average, over
// the endpoints that take new ones; 0 if there is none.
func (r *Roster) FlowShare(now time.Time, id pact.ServiceID) uint16 {
	return r.perSlot(now, id, func(s *Side) int { return int(s.Flows) * ShareUnit })
}

// perSlot sums a figure over the endpoints of a service that take new flows, and divides
// it by their slots; 0 if there is none.
func (r *Roster) perSlot(now time.Time, id pact.ServiceID, figure func(s *Side) int) uint16 {
	sum, slots := 0, 0
	for _, s := range r.services[id] {
		if s.Takes(now) && s.Proven {
			sum += figure(s)
			slots += int(s.Slots)
		}
	}
	if slots == 0 {
		return 0
	}
	return uint16(min(sum/slots, math.MaxUint16))
}

// LoadUnit is a full slot in reports of load and in the result of Busy.
const LoadUnit = 64

// Busy is what the endpoints of the service that take new flows have in hand on
// average, in parts of their slots; 0 if there is none.
func (r *Roster) Busy(now time.Time, id pact.ServiceID) uint16 {
	return r.perSlot(now, id, func(s *Side) int { return int(s.Average) })
}

// Sides gives the hosts of the side processes whose endpoints may hold flows.
func (r *Roster) Sides() (list []frame.Host) {
	for h, s := range r.sides {
		if s.State != node.Gone {
			list = append(list, h)
		}
	}
	slices.Sort(list)
	return list
}

// naming is a side process that is known by name only.
type naming struct {
	// until is how long it is waited for, and greetAt when it is greeted again.
	until   time.Time
	greetAt time.Time
}

// NameSide notes a side process that others know, and tells whether it is to be
// greeted: it has not been heard here, and not been greeted just now. A balancer that
// starts is told the same names by every other one.
func (r *Roster) NameSide(now time.Time, h frame.Host) bool {
	if _, ok := r.sides[h]; ok {
		return false
	}
	n, ok := r.named[h]
	if !ok {
		n.until = now.Add(absentAfter)
	}
	if now.Before(n.greetAt) {
		return false
	}
	n.greetAt = now.Add(greetEvery)
	r.named[h] = n
	return true
}

// Written takes the record of the members that was read at start: those that were
// present, which are waited for, and those whose endpoints had left. It gives the
// ones that have not been heard.
func (r *Roster) Written(now time.Time, present, left []frame.Host) (missing []frame.Host) {
	for _, h := range left {
		r.written[h] = false
	}
	for _, h := range present {
		r.written[h] = true
		if r.NameSide(now, h) {
			missing = append(missing, h)
		}
	}
	// Some may have been heard before the record was read.
	r.gainedAt = time.Time{}
	for h, s := range r.sides {
		if _, written := r.written[h]; !written && s.joinedAt.After(r.gainedAt) {
			r.gainedAt = s.joinedAt
		}
	}
	return missing
}

// Left gives the hosts of the side processes whose endpoints ended lately.
func (r *Roster) Left() (list []frame.Host) {
	for h, s := range r.sides {
		if s.State == node.Gone {
			list = append(list, h)
		}
	}
	slices.Sort(list)
	return list
}

// Isolated tells whether this balancer hears so few side processes that their
// silence may be its own.
func (r *Roster) Isolated(now time.Time) bool {
	known, heard := len(r.named), 0
	for _, s := range r.sides {
		if s.State == node.Gone || s.absent(now) {
			continue
		}
		known++
		if !s.Silent(now) {
			heard++
		}
	}
	return float64(heard) < isolatedShare*float64(known) || heard == 0
}

// Complete tells whether every side process that others know has been heard here,
// and long enough ago that the last one to join is known to all.
func (r *Roster) Complete(now time.Time) bool {
	r.expireNamed(now)
	// One report, which every side process sends to every balancer, and its delay.
	joinedFor := LoadEvery(len(r.balancers)+1) + silentDelay
	return len(r.named) == 0 && now.After(r.gainedAt.Add(joinedFor))
}

// Meet takes a pulse and tells whether the balancer is new here.
func (r *Roster) Meet(now time.Time, p frame.Pulse) (added bool) {
	if p.Host == r.self {
		return false
	}
	b, ok := r.balancers[p.Host]
	if !ok {
		b = &Balancer{}
		r.balancers[p.Host] = b
	}
	added = !ok || b.Process != p.Process
	b.Pulse = p
	b.HeardAt = now
	b.Met = true
	return added
}

// Name adds a balancer that others know, and tells whether it is new here.
func (r *Roster) Name(now time.Time, h frame.Host) (added bool) {
	if _, ok := r.balancers[h]; ok || h == r.self || h == 0 {
		return false
	}
	r.balancers[h] = &Balancer{
		Pulse: frame.Pulse{
			Host: h,
			Age:  frame.NoAge,
		},
		HeardAt: now,
	}
	return true
}

// Balancers gives the hosts of all balancers but this one.
func (r *Roster) Balancers() []frame.Host {
	return hosts(r.balancers)
}

// WithPlan gives the balancers that have a plan of a revision or a later one.
func (r *Roster) WithPlan(revision uint64) (list []frame.Host) {
	for h, b := range r.balancers {
		if b.Met && b.Revision >= revision {
			list = append(list, h)
		}
	}
	return list
}

// Known gives the balancers that were heard lately and this one: what side
// processes are to report to.
func (r *Roster) Known(now time.Time) (list []frame.Host) {
	list = []frame.Host{r.self}
	for h, b := range r.balancers {
		if b.Met && now.Before(b.HeardAt.Add(dropBalancer)) {
			list = append(list, h)
		}
	}
	slices.Sort(list)
	return list
}

// Turn is this balancer's place among those alive, for the work that one of them
// does for all.
func (r *Roster) Turn(now time.Time) (turn int) {
	aliveFor := alivePulses*PulseEvery(len(r.balancers)) + aliveDelay
	for h, b := range r.balancers {
		if h < r.self && b.Met && !b.Leaving && now.Before(b.HeardAt.Add(aliveFor)) {
			turn++
		}
	}
	return turn
}

// Digest identifies a set of hosts.
func Digest(list []frame.Host) (sum uint64) {
	for _, h := range list {
		sum += digest(h)
	}
	return sum
}

func digest(h frame.Host) uint64 {
	x := uint64(h) * 0x9e3779b97f4a7c15
	return x ^ x>>29
}

// Expire forgets members that were silent for long and gives them.
func (r *Roster) Expire(now time.Time) (sides, balancers []frame.Host) {
	for h, s := range r.sides {
		keep := forgetAfter
		if s.State == node.Gone {
			keep = goneAfter
		}
		if now.After(s.HeardAt.Add(keep)) {
			r.detach(s)
			r.all = without(r.all, s)
			delete(r.sides, h)
			sides = append(sides, h)
		}
	}
	r.expireNamed(now)
	for h, b := range r.balancers {
		if now.After(b.HeardAt.Add(dropBalancer)) {
			delete(r.balancers, h)
			balancers = append(balancers, h)
		}
	}
	return sides, balancers
}

func (r *Roster) expireNamed(now time.Time) {
	for h, n := range r.named {
		if now.After(n.until) {
			delete(r.named, h)
		}
	}
}

func hosts[T any](m map[frame.Host]T) (list []frame.Host) {
	list = make([]frame.Host, 0, len(m))
	for h := range m {
		list = append(list, h)
	}
	slices.Sort(list)
	return list
}
