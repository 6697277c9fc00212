// Package fleet simulates callers, balancers and agents on one fake clock and one fake
// network. It runs the production decision code with as little around it as possible,
// for focused tests and experiments.
package fleet

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/fake/agent"
	"github.com/clementinewing/clementinewing/internal/fake/clock"
	"github.com/clementinewing/clementinewing/internal/fake/lossy"
	"github.com/clementinewing/clementinewing/internal/fake/stack"
	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// Service describes a simulated service.
type Service struct {
	Name      string
	Endpoints int
	Limits    admit.Limits
	Policy    admit.Policy
	Upstream  agent.Upstream
}

// Settings configures a Fleet.
type Settings struct {
	Balancers int
	Services  []Service
	// Delay and Jitter apply to one direction between two machines, callers included.
	Delay  time.Duration
	Jitter time.Duration
	// Loss and Duplicate are the probabilities, from 0 to 1, that a packet is lost or
	// duplicated.
	Loss      float64
	Duplicate float64
	// MaxViewDelay is the longest time that a change takes to reach a balancer or an
	// agent. LeaseTTL is the time for which an endpoint that sends nothing counts as
	// present, ListingTTL that for which it stays listed afterwards.
	MaxViewDelay time.Duration
	LeaseTTL     time.Duration
	ListingTTL   time.Duration
	// SingleCandidate limits each candidate list to its first endpoint. This is plain
	// hashing, for comparison.
	SingleCandidate bool
	// Table holds the options of every flow table.
	Table []owner.Option
}

// Fleet is a running simulation.
type Fleet struct {
	Clock     *clock.Clock
	Net       *lossy.Net
	Random    *rand.Rand
	Settings  Settings
	Balancers []*Balancer
	Agents    []*agent.Agent
	Callers   []*stack.Caller
	Record    Record
	// ObserveAction is called for each action of an agent, if set.
	ObserveAction func(a *agent.Agent, m *agent.Message, action owner.Action)
	// FilterPacket is called for each packet between callers and the fleet, if set.
	// The packet is lost if it returns false.
	FilterPacket func(g stack.Segment, toCaller bool) bool

	callersByKey map[link.Key]*stack.Caller
	agents       map[netip.AddrPort]*agent.Agent
	links        map[linkEnds]*socketLink
	nextAddress  int
}

// Record holds what happened, for the checks of tests.
type Record struct {
	// Runs counts the runs of each request at all upstreams.
	Runs map[uint64]int
	// Misrouted counts requests that ran at the wrong service.
	Misrouted int
	// Owners lists the agents that accepted each flow.
	Owners map[link.Key][]*agent.Agent
	// RanAt is the agent whose upstream ran the last request of each flow.
	RanAt map[link.Key]*agent.Agent
	// LastAdmitted is the last time at which an endpoint admitted a new flow,
	// LastAccepted the last time at which it answered a SYN with a SYN-ACK.
	LastAdmitted map[*agent.Agent]time.Time
	LastAccepted map[*agent.Agent]time.Time
	// DrainedAt is the time at which a drain ended.
	DrainedAt map[*agent.Agent]time.Time
	// FabricPackets counts packets from the fabric that a balancer sent on,
	// ForwardedPackets those that an agent forwarded.
	FabricPackets    uint64
	ForwardedPackets uint64
	// ProbesSent counts the probes between processes.
	ProbesSent uint64
	// CutByDrain counts flows that were reset at the deadline of a drain.
	CutByDrain int
}

// New starts a fleet whose endpoints are known to all balancers and agents.
func New(seed uint64, s Settings) *Fleet {
	c := clock.New()
	f := &Fleet{
		Clock: c,
		Net: lossy.New(c, seed,
			lossy.WithDelay(s.Delay, s.Jitter),
			lossy.WithLoss(s.Loss, s.Duplicate),
		),
		Random:   rand.New(rand.NewPCG(seed, 1)),
		Settings: s,
		Record: Record{
			Runs:         map[uint64]int{},
			RanAt:        map[link.Key]*agent.Agent{},
			Owners:       map[link.Key][]*agent.Agent{},
			LastAdmitted: map[*agent.Agent]time.Time{},
			LastAccepted: map[*agent.Agent]time.Time{},
			DrainedAt:    map[*agent.Agent]time.Time{},
		},
		callersByKey: map[link.Key]*stack.Caller{},
		agents:       map[netip.AddrPort]*agent.Agent{},
		links:        map[linkEnds]*socketLink{},
	}
	for i, service := range s.Services {
		for range service.Endpoints {
			f.startKnown(i)
		}
	}
	for range s.Balancers {
		f.AddBalancer()
	}
	return f
}

// Now implements agent.Environment and stack.Timers.
func (f *Fleet) Now() time.Time { return f.Clock.Now() }

// After implements agent.Environment and stack.Timers.
func (f *Fleet) After(wait time.Duration, run func()) { f.Clock.After(wait, run) }

// Run advances the clock by wait and runs all events until then.
func (f *Fleet) Run(wait time.Duration) { f.Clock.Run(f.Clock.Now().Add(wait)) }

// Target returns the address at which callers reach a service.
func Target(service int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(service + 1)}), 80)
}

// ServiceID returns the ID of a service.
func (f *Fleet) ServiceID(service int) spec.ServiceID {
	return spec.NewServiceID(f.Settings.Services[service].Name)
}

// Key returns the flow key of the n-th caller of a service.
func Key(service, n int) link.Key {
	target := Target(service).Addr().As4()
	return link.Key{
		Caller:     0x0a000000 + uint32(n/50000),
		Target:     uint32(target[0])<<24 | uint32(target[1])<<16 | uint32(target[2])<<8 | uint32(target[3]),
		CallerPort: uint16(10000 + n%50000),
		TargetPort: Target(service).Port(),
		Protocol:   uint8(spec.TCP),
	}
}

// ServiceOf returns the service to which a flow belongs.
func ServiceOf(k link.Key) int {
	return int(k.Target&0xff) - 1
}

// Call starts a caller. The function ended is called when its flow has ended.
func (f *Fleet) Call(p stack.Workload, ended func(*stack.Caller)) *stack.Caller {
	c := stack.NewCaller(p, f, f.Random, f.sendThroughFabric, ended)
	f.callersByKey[p.Key] = c
	f.Callers = append(f.Callers, c)
	return c
}

// sendThroughFabric sends a packet of a caller to a random running balancer.
func (f *Fleet) sendThroughFabric(g stack.Segment) {
	if f.FilterPacket != nil && !f.FilterPacket(g, false) {
		return
	}
	var alive []*Balancer
	for _, b := range f.Balancers {
		if !b.Dead {
			alive = append(alive, b)
		}
	}
	if len(alive) == 0 {
		return
	}
	b := alive[f.Random.IntN(len(alive))]
	f.Net.Send(lossy.Direction{
		From: "fabric",
		To:   b.Name,
	}, func() { b.receive(g) })
}

// SendToCaller implements agent.Environment.
func (f *Fleet) SendToCaller(from netip.AddrPort, g stack.Segment) {
	if f.FilterPacket != nil && !f.FilterPacket(g, true) {
		return
	}
	f.Net.Send(lossy.Direction{
		From: from.String(),
		To:   "fabric",
	}, func() { f.DeliverToCaller(g) })
}

// DeliverToCaller delivers a packet to the caller that uses its address and port now.
func (f *Fleet) DeliverToCaller(g stack.Segment) {
	if c := f.callersByKey[g.Key]; c != nil {
		c.Receive(g)
	}
}

// OnAction implements agent.Environment.
func (f *Fleet) OnAction(a *agent.Agent, m *agent.Message, action owner.Action) {
	switch x := action.(type) {
	case owner.Accept:
		f.Record.Owners[x.Key] = append(f.Record.Owners[x.Key], a)
		f.Record.LastAccepted[a] = f.Now()
	case owner.Connect:
		f.Record.LastAdmitted[a] = f.Now()
	case owner.Abort:
		if x.Reason == owner.DrainDeadline && !x.Silent {
			f.Record.CutByDrain++
		}
	}
	if f.ObserveAction != nil {
		f.ObserveAction(a, m, action)
	}
}

// HeldByAny reports whether a flow was at one of the given agents: the one that ran its
// last request or, if none ran, any one that accepted it.
func (f *Fleet) HeldByAny(key link.Key, dead map[*agent.Agent]bool) bool {
	if a, ran := f.Record.RanAt[key]; ran {
		return dead[a]
	}
	return slices.ContainsFunc(f.Record.Owners[key], func(a *agent.Agent) bool { return dead[a] })
}

// OnRequest implements agent.Environment.
func (f *Fleet) OnRequest(a *agent.Agent, key link.Key, request uint64) {
	f.Record.Runs[request]++
	f.Record.RanAt[key] = a
	if a.Endpoint.Service != f.ServiceID(ServiceOf(key)) {
		f.Record.Misrouted++
	}
}

// OnDrained implements agent.Environment.
func (f *Fleet) OnDrained(a *agent.Agent) {
	f.Record.DrainedAt[a] = f.Now()
}

// Replay sends a packet of a caller through the fabric without passing it to
// FilterPacket.
func (f *Fleet) Replay(g stack.Segment) {
	filter := f.FilterPacket
	f.FilterPacket = nil
	f.sendThroughFabric(g)
	f.FilterPacket = filter
}
