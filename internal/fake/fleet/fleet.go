// Package fleet puts callers, balancers and side processes around one fake clock
// and one fake link. The decisions are the shipped ones; what stands around them is
// as small as it can be. It is for focused tests and experiments.
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
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// Service is a service to set up.
type Service struct {
	Name      string
	Endpoints int
	Limits    admit.Limits
	Policy    admit.Policy
	Upstream  agent.Upstream
}

// Settings say what a Fleet starts with.
type Settings struct {
	Balancers int
	Services  []Service
	// Delay and Jitter are one way between machines, to callers as well.
	Delay  time.Duration
	Jitter time.Duration
	// Loss and Double are the chances of each packet, from 0 to 1.
	Loss   float64
	Double float64
	// Lag is the longest time in which a change reaches a balancer or a side
	// process, Lease how long an endpoint that says nothing counts as present, Keep
	// how long it is listed after that.
	Lag   time.Duration
	Lease time.Duration
	Keep  time.Duration
	// Alone lists only the first endpoint for each packet: plain hashing, for
	// comparison.
	Alone bool
	// Table are options for every flow table.
	Table []owner.Option
}

// Fleet is a running set of machines.
type Fleet struct {
	Clock     *clock.Clock
	Net       *lossy.Net
	Random    *rand.Rand
	Settings  Settings
	Balancers []*Balancer
	Agents    []*agent.Agent
	Callers   []*stack.Caller
	Record    Record
	// Watch is told every action of a side process, if set.
	ObserveAction func(a *agent.Agent, m *agent.Message, action owner.Action)
	// Filter decides on a packet between callers and the system, if set: false
	// loses it.
	FilterPacket func(g stack.Segment, toCaller bool) bool

	callersByKey map[link.Key]*stack.Caller
	agents       map[netip.AddrPort]*agent.Agent
	links        map[processPair]*socketLink
	nextAddress  int
}

// Record is what happened, for checks.
type Record struct {
	// Runs counts by request how often an upstream ran it.
	Runs map[uint64]int
	// Misrouted counts requests that ran at another service.
	Misrouted int
	// Owners lists by flow the side processes that took it.
	Owners map[link.Key][]*agent.Agent
	// RanAt is by flow the side process whose upstream ran its last request.
	RanAt map[link.Key]*agent.Agent
	// Taken is the last time at which an endpoint took a new flow, Accepted the last
	// at which it completed one's handshake.
	LastAdmitted map[*agent.Agent]time.Time
	Accepted     map[*agent.Agent]time.Time
	// Emptied is when a drain ended.
	Emptied map[*agent.Agent]time.Time
	// Arrived and Passed count packets from the fabric and hand-overs.
	Arrived uint64
	Passed  uint64
	// Probes counts questions between processes.
	Probes uint64
	// Cut counts flows that a drain's deadline cut.
	Cut int
}

// New starts a fleet.
func New(seed uint64, s Settings) *Fleet {
	c := clock.New()
	f := &Fleet{
		Clock: c,
		Net: lossy.New(c, seed,
			lossy.WithDelay(s.Delay, s.Jitter),
			lossy.WithLoss(s.Loss, s.Double),
		),
		Random:   rand.New(rand.NewPCG(seed, 1)),
		Settings: s,
		Record: Record{
			Runs:         map[uint64]int{},
			RanAt:        map[link.Key]*agent.Agent{},
			Owners:       map[link.Key][]*agent.Agent{},
			LastAdmitted: map[*agent.Agent]time.Time{},
			Accepted:     map[*agent.Agent]time.Time{},
			Emptied:      map[*agent.Agent]time.Time{},
		},
		callersByKey: map[link.Key]*stack.Caller{},
		agents:       map[netip.AddrPort]*agent.Agent{},
		links:        map[processPair]*socketLink{},
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

// Now implements agent.Outside.
func (f *Fleet) Now() time.Time { return f.Clock.Now() }

// After implements agent.Outside and stack.Timers.
func (f *Fleet) After(wait time.Duration, run func()) { f.Clock.After(wait, run) }

// Run lets time pass.
func (f *Fleet) Run(wait time.Duration) { f.Clock.Run(f.Clock.Now().Add(wait)) }

// Target is where callers reach a service.
func Target(service int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(service + 1)}), 80)
}

// ServiceID identifies a service.
func (f *Fleet) ServiceID(service int) pact.ServiceID {
	return pact.Identify(f.Settings.Services[service].Name)
}

// Key is that of the n-th caller of a service.
func Key(service, n int) link.Key {
	target := Target(service).Addr().As4()
	return link.Key{
		Caller:     0x0a000000 + uint32(n/50000),
		Target:     uint32(target[0])<<24 | uint32(target[1])<<16 | uint32(target[2])<<8 | uint32(target[3]),
		CallerPort: uint16(10000 + n%50000),
		TargetPort: Target(service).Port(),
		Protocol:   uint8(pact.TCP),
	}
}

// ServiceOf is the service that a flow is for.
func ServiceOf(k link.Key) int {
	return int(k.Target&0xff) - 1
}

// Call starts a caller.
func (f *Fleet) Call(p stack.Plan, ended func(*stack.Caller)) *stack.Caller {
	c := stack.NewCaller(p, f, f.Random, f.sendThroughFabric, ended)
	f.callersByKey[p.Key] = c
	f.Callers = append(f.Callers, c)
	return c
}

// fabric takes a packet of a caller to any balancer that lives.
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
	f.Net.Send(lossy.Way{
		From: "fabric",
		To:   b.Name,
	}, func() { b.receive(g) })
}

// Caller implements agent.Outside.
func (f *Fleet) SendToCaller(from netip.AddrPort, g stack.Segment) {
	if f.FilterPacket != nil && !f.FilterPacket(g, true) {
		return
	}
	f.Net.Send(lossy.Way{
		From: from.String(),
		To:   "fabric",
	}, func() { f.DeliverToCaller(g) })
}

// Give hands a packet to the caller that has its address and port now.
func (f *Fleet) DeliverToCaller(g stack.Segment) {
	if c := f.callersByKey[g.Key]; c != nil {
		c.Receive(g)
	}
}

// Saw implements agent.Outside.
func (f *Fleet) OnAction(a *agent.Agent, m *agent.Message, action owner.Action) {
	switch x := action.(type) {
	case owner.Accept:
		f.Record.Owners[x.Key] = append(f.Record.Owners[x.Key], a)
		f.Record.Accepted[a] = f.Now()
	case owner.Connect:
		f.Record.LastAdmitted[a] = f.Now()
	case owner.Abort:
		if x.Reason == owner.DrainDeadline && !x.Silent {
			f.Record.Cut++
		}
	}
	if f.ObserveAction != nil {
		f.ObserveAction(a, m, action)
	}
}

// Lost tells whether a flow was at one of the given side processes: where its last
// request ran or, if none did, where it was taken.
func (f *Fleet) Lost(key link.Key, dead map[*agent.Agent]bool) bool {
	if a, ran := f.Record.RanAt[key]; ran {
		return dead[a]
	}
	return slices.ContainsFunc(f.Record.Owners[key], func(a *agent.Agent) bool { return dead[a] })
}

// Ran implements agent.Outside.
func (f *Fleet) OnRequest(a *agent.Agent, key link.Key, request uint64) {
	f.Record.Runs[request]++
	f.Record.RanAt[key] = a
	if a.Endpoint.Service != f.ServiceID(ServiceOf(key)) {
		f.Record.Misrouted++
	}
}

// Emptied implements agent.Outside.
func (f *Fleet) OnDrained(a *agent.Agent) {
	f.Record.Emptied[a] = f.Now()
}

// Replay sends a caller's packet once more, past the filter.
func (f *Fleet) Replay(g stack.Segment) {
	filter := f.FilterPacket
	f.FilterPacket = nil
	f.sendThroughFabric(g)
	f.FilterPacket = filter
}
