// Package roster holds what a balancer knows of the members of its fleet: agents from
// their load reports, other balancers from their heartbeats. It is a pure state machine. A
// lost report only means older figures until the next one.
package roster

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/even"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

const (
	// minReportInterval is the interval of an agent's reports to a few balancers. New
	// flows are placed by these reports; ten flows per second and endpoint change little
	// within the interval.
	minReportInterval = 250 * time.Millisecond
	// reportBalancers is the largest number of balancers that get reports at
	// minReportInterval. For more of them the interval grows so that the rate of an agent's
	// reports stays the same, up to maxReportInterval. At that interval three reports still
	// come before an agent counts as absent.
	reportBalancers   = 8
	maxReportInterval = 750 * time.Millisecond
	// minHeartbeatInterval is the interval of a balancer's heartbeats to a few others. For
	// more than heartbeatBalancers it grows so that the rate of a balancer's heartbeats
	// stays the same, up to maxHeartbeatInterval. Urgent changes are sent at once.
	minHeartbeatInterval = 400 * time.Millisecond
	heartbeatBalancers   = 16
	maxHeartbeatInterval = 1600 * time.Millisecond
	// An agent is silent after maxMissedReports intervals without a report and reportDelay,
	// which allows for network delay.
	maxMissedReports = 3
	reportDelay      = 150 * time.Millisecond
	// agentTTL is how long a silent agent is kept as a possible owner: as long as the
	// longest-lived flow of the platform.
	agentTTL = 65 * time.Second
	// absentTimeout is how long after its last report an agent is left out of owner
	// lookups. A planned restart takes about a second; a request that waits for longer than
	// this timeout has missed its deadline anyway.
	absentTimeout = 2500 * time.Millisecond
	// greetInterval is the least time between two greetings (heartbeats) to an agent that
	// has not been heard: several round trips.
	greetInterval = 50 * time.Millisecond
	// minHeardShare is the least share of agents whose reports must arrive. Below it, the
	// silence of the others is taken for a fault of this balancer.
	minHeardShare = 0.5
	// goneTTL is how long the agent of a stopped endpoint is kept, so that a late report
	// is recognized.
	goneTTL = 10 * time.Second
	// balancerTTL is how long a silent balancer is kept.
	balancerTTL = 15 * time.Second
	// A balancer no longer counts in the ranks after maxMissedHeartbeats intervals without
	// a heartbeat and heartbeatDelay.
	maxMissedHeartbeats = 3
	heartbeatDelay      = 300 * time.Millisecond
)

// Balancer is another balancer.
type Balancer struct {
	frame.Heartbeat
	HeardAt time.Time
	// Heard is set if a heartbeat came; other balancers are known from lists only.
	Heard bool
}

// Roster holds the members that a balancer knows.
type Roster struct {
	self      frame.Host
	agents    map[frame.Host]*Agent
	balancers map[frame.Host]*Balancer
	services  map[spec.ServiceID][]*Agent
	// all are the agents of every service, sorted by host.
	all []*Agent
	// expected are agents that another balancer knows and from which this one has had no
	// report.
	expected map[frame.Host]expectation
	// registered are the agents in the member record as last seen.
	registered map[frame.Host]registration
	// joins counts how often an agent was heard for the first time or after an absence.
	joins uint64
	// recordCalledAt is when the latest store call started that has shown a complete member
	// record.
	recordCalledAt time.Time
	// excludesZone is nil or reports whether the endpoints of a failure domain get no new flows.
	excludesZone func(zone uint64) bool
}

// ExcludeZones leaves the endpoints of failure domains that get no new flows out of the averages
// of their services.
func (r *Roster) ExcludeZones(excluded func(zone uint64) bool) {
	r.excludesZone = excluded
}

// New returns an empty roster of the balancer at self.
func New(self frame.Host) *Roster {
	return &Roster{
		self:      self,
		agents:    map[frame.Host]*Agent{},
		balancers: map[frame.Host]*Balancer{},
		services:  map[spec.ServiceID][]*Agent{},
		expected:  map[frame.Host]expectation{},

		registered: map[frame.Host]registration{},
	}
}

// ApplyReport applies a load report. The reports of one process are ordered by their
// numbers; the start time of the endpoint does not order them, since the wall clock that it
// was read from may have been set back. ApplyReport reports whether more than the load changed: a new
// member, or another state, service or incarnation.
func (r *Roster) ApplyReport(now time.Time, l frame.LoadReport) (changed bool) {
	s, ok := r.agents[l.Host]
	if ok && s.Process == l.Process && l.Sequence <= s.Sequence {
		return false
	}
	if !ok {
		s = &Agent{}
		s.Host = l.Host
		r.agents[l.Host] = s
		r.all = withAgent(r.all, s)
		delete(r.expected, l.Host)
	}
	if !ok || s.absent(now) {
		r.joins++
	}
	changed = !ok || s.State != l.State || s.Service != l.Service || s.StartedAt != l.StartedAt || s.Proven != l.Proven
	moved := !ok || s.Service != l.Service
	if moved && ok {
		r.removeFromService(s)
	}
	r.trackRegistration(now, s, &l)
	s.LoadReport = l
	s.HeardAt = now
	s.ColdUntil = now.Add(time.Duration(l.ColdMS) * time.Millisecond)
	if l.ColdMS > 0 {
		s.WarmAt = s.ColdUntil
	}
	s.SentSinceReport = 0
	s.Load.ApplyReport(now, even.Report{
		Use:         float64(l.InUse),
		Average:     float64(l.Average) / LoadUnit,
		Slots:       float64(l.Slots),
		ServiceTime: time.Duration(l.ServiceTimeMS) * time.Millisecond,
	})
	s.Unanswered = 0
	if moved {
		r.addToService(s)
	}
	return changed
}

func (r *Roster) addToService(s *Agent) {
	r.services[s.Service] = withAgent(r.services[s.Service], s)
}

func (r *Roster) removeFromService(s *Agent) {
	r.services[s.Service] = withoutAgent(r.services[s.Service], s)
}

// withAgent returns a copy of a list that is sorted by host, with s inserted.
func withAgent(list []*Agent, s *Agent) []*Agent {
	at, _ := slices.BinarySearchFunc(list, s.Host, func(o *Agent, h frame.Host) int { return cmp.Compare(o.Host, h) })
	return slices.Insert(slices.Clone(list), at, s)
}

// withoutAgent returns a copy of the list without s.
func withoutAgent(list []*Agent, s *Agent) []*Agent {
	return slices.DeleteFunc(slices.Clone(list), func(o *Agent) bool { return o == s })
}

// MarkAlive records a message of an agent that is not a report.
func (r *Roster) MarkAlive(h frame.Host) {
	if s, ok := r.agents[h]; ok {
		s.Unanswered = 0
	}
}

// MarkAccepted records that the endpoint of an agent has accepted a SYN.
func (r *Roster) MarkAccepted(h frame.Host) {
	if s, ok := r.agents[h]; ok {
		s.Refusals = 0
		s.Proven = true
	}
}

// Joins counts how often an agent was heard for the first time or after an absence.
func (r *Roster) Joins() uint64 {
	return r.joins
}

// Agent returns the agent at a host, or nil.
func (r *Roster) Agent(h frame.Host) *Agent {
	return r.agents[h]
}

// ServiceAgents returns the agents of a service, sorted by host. The slice must not be
// changed.
func (r *Roster) ServiceAgents(id spec.ServiceID) []*Agent {
	return r.services[id]
}

// Agents returns the agents of every service, sorted by host. The slice must not be
// changed.
func (r *Roster) Agents() []*Agent {
	return r.all
}

// ReportInterval returns the interval of load reports to a number of balancers.
func ReportInterval(balancers int) time.Duration {
	return min(max(minReportInterval, minReportInterval*time.Duration(balancers)/reportBalancers), maxReportInterval)
}

// HeartbeatInterval returns the interval of heartbeats to a number of other balancers.
func HeartbeatInterval(balancers int) time.Duration {
	return min(max(minHeartbeatInterval, minHeartbeatInterval*time.Duration(balancers)/heartbeatBalancers), maxHeartbeatInterval)
}

// FlowsPerSlotUnit is the result of FlowsPerSlot for one flow per slot.
const FlowsPerSlotUnit = 16

// FlowsPerSlot returns the average number of open flows per slot of a service, over the
// endpoints that accept new flows, or 0 if there is none.
func (r *Roster) FlowsPerSlot(now time.Time, id spec.ServiceID) uint16 {
	return r.averagePerSlot(now, id, func(s *Agent) int { return int(s.Flows) * FlowsPerSlotUnit })
}

// averagePerSlot sums a figure over the endpoints of a service that accept new flows and
// divides it by the number of their slots. It returns 0 if there is none.
func (r *Roster) averagePerSlot(now time.Time, id spec.ServiceID, figure func(s *Agent) int) uint16 {
	sum, slots := 0, 0
	for _, s := range r.services[id] {
		excluded := r.excludesZone != nil && r.excludesZone(s.Zone)
		if s.AcceptsFlows(now) && s.Proven && !s.Suspect() && !excluded {
			sum += figure(s)
			slots += int(s.Slots)
		}
	}
	if slots == 0 {
		return 0
	}
	return uint16(min(sum/slots, math.MaxUint16))
}

// LoadUnit is one busy slot in load reports and in the result of AverageLoad.
const LoadUnit = 64

// AverageLoad returns the average load per slot of a service, over the endpoints that
// accept new flows, or 0 if there is none.
func (r *Roster) AverageLoad(now time.Time, id spec.ServiceID) uint16 {
	return r.averagePerSlot(now, id, func(s *Agent) int { return int(s.Average) })
}

// PresentAgents returns the hosts of the agents whose endpoints may hold flows.
func (r *Roster) PresentAgents() (list []frame.Host) {
	for h, s := range r.agents {
		if s.State != node.Gone {
			list = append(list, h)
		}
	}
	slices.Sort(list)
	return list
}

// expectation is an agent that is known only from the lists of others.
type expectation struct {
	// expiresAt is when the agent is no longer expected, greetAt when it may be greeted
	// again.
	expiresAt time.Time
	greetAt   time.Time
}

// ExpectAgent records an agent that others know. It reports whether to greet the agent
// with a heartbeat: this balancer has not heard it and has not greeted it within
// greetInterval. A balancer that starts gets the same agents from every other one.
func (r *Roster) ExpectAgent(now time.Time, h frame.Host) bool {
	if _, ok := r.agents[h]; ok {
		return false
	}
	n, ok := r.expected[h]
	if !ok {
		n.expiresAt = now.Add(absentTimeout)
	}
	if now.Before(n.greetAt) {
		return false
	}
	n.greetAt = now.Add(greetInterval)
	r.expected[h] = n
	return true
}

// Isolated reports whether so few agents still report to this balancer that the fault may
// be its own.
func (r *Roster) Isolated(now time.Time) bool {
	known, heard := len(r.expected), 0
	for _, s := range r.agents {
		if s.State == node.Gone || s.absent(now) {
			continue
		}
		known++
		if !s.Silent(now) {
			heard++
		}
	}
	return float64(heard) < minHeardShare*float64(known) || heard == 0
}

// ApplyHeartbeat applies a heartbeat and reports whether the balancer is new or has
// restarted.
func (r *Roster) ApplyHeartbeat(now time.Time, p frame.Heartbeat) (added bool) {
	if p.Host == r.self {
		return false
	}
	b, ok := r.balancers[p.Host]
	if !ok {
		b = &Balancer{}
		r.balancers[p.Host] = b
	}
	added = !ok || b.Process != p.Process
	b.Heartbeat = p
	b.HeardAt = now
	b.Heard = true
	return added
}

// AddBalancer adds a balancer that others know and reports whether it is new.
func (r *Roster) AddBalancer(now time.Time, h frame.Host) (added bool) {
	if _, ok := r.balancers[h]; ok || h == r.self || h == 0 {
		return false
	}
	r.balancers[h] = &Balancer{
		Heartbeat: frame.Heartbeat{
			Host:       h,
			StoreAgeMS: frame.StoreAgeUnknown,
		},
		HeardAt: now,
	}
	return true
}

// Balancers returns the hosts of all other balancers.
func (r *Roster) Balancers() []frame.Host {
	return sortedHosts(r.balancers)
}

// BalancersWithPlan returns the balancers whose plan has at least the given version.
func (r *Roster) BalancersWithPlan(version uint64) (list []frame.Host) {
	for h, b := range r.balancers {
		if b.Heard && b.PlanVersion >= version {
			list = append(list, h)
		}
	}
	return list
}

// LiveBalancers returns the balancers that agents report to: this one and those whose last
// heartbeat is no older than balancerTTL.
func (r *Roster) LiveBalancers(now time.Time) (list []frame.Host) {
	list = []frame.Host{r.self}
	for h, b := range r.balancers {
		if b.Heard && now.Before(b.HeardAt.Add(balancerTTL)) {
			list = append(list, h)
		}
	}
	slices.Sort(list)
	return list
}

// Fitness says how well a balancer can do work that one balancer does for all.
type Fitness struct {
	// StoreLost is set while the store does not answer the balancer, Leaving while the balancer
	// is about to stop.
	StoreLost bool
	Leaving   bool
}

// order returns a number that is lower for a balancer that is fitter.
func (f Fitness) order() (n int) {
	if f.StoreLost {
		n += 2
	}
	if f.Leaving {
		n++
	}
	return n
}

// Rank returns the rank of this balancer among those that have missed no more than a few
// heartbeats, by fitness and then by address. Work that one balancer does for all is done by
// the one of rank 0.
func (r *Roster) Rank(now time.Time, own Fitness) (rank int) {
	for h, b := range r.balancers {
		if !r.live(now, b) {
			continue
		}
		other := Fitness{
			StoreLost: b.StoreLost,
			Leaving:   b.Leaving,
		}
		if o, n := other.order(), own.order(); o < n || o == n && h < r.self {
			rank++
		}
	}
	return rank
}

// live reports whether a balancer has missed no more than a few heartbeats.
func (r *Roster) live(now time.Time, b *Balancer) bool {
	timeout := maxMissedHeartbeats*HeartbeatInterval(len(r.balancers)) + heartbeatDelay
	return b.Heard && now.Before(b.HeardAt.Add(timeout))
}

// HearsMost reports whether at least half of the other balancers that are known have missed no
// more than a few heartbeats. One that was last heard before since does not count.
func (r *Roster) HearsMost(now, since time.Time) bool {
	heard := 0
	for _, b := range r.balancers {
		if r.live(now, b) && !b.HeardAt.Before(since) {
			heard++
		}
	}
	return 2*heard >= len(r.balancers)
}

// Digest returns a sum that identifies a set of hosts.
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

// Expire removes the members that have been silent for longer than their TTL and returns
// them.
func (r *Roster) Expire(now time.Time) (agents, balancers []frame.Host) {
	for h, s := range r.agents {
		ttl := agentTTL
		if s.State == node.Gone {
			ttl = goneTTL
		}
		if now.After(s.HeardAt.Add(ttl)) {
			r.removeFromService(s)
			r.all = withoutAgent(r.all, s)
			delete(r.agents, h)
			delete(r.registered, h)
			agents = append(agents, h)
		}
	}
	r.expireExpected(now)
	r.expireRegistered(now)
	for h, b := range r.balancers {
		if now.After(b.HeardAt.Add(balancerTTL)) {
			delete(r.balancers, h)
			balancers = append(balancers, h)
		}
	}
	return agents, balancers
}

func (r *Roster) expireExpected(now time.Time) {
	for h, n := range r.expected {
		if now.After(n.expiresAt) {
			delete(r.expected, h)
		}
	}
}

func sortedHosts[T any](m map[frame.Host]T) (list []frame.Host) {
	list = make([]frame.Host, 0, len(m))
	for h := range m {
		list = append(list, h)
	}
	slices.Sort(list)
	return list
}
