// Package agent simulates an agent and its upstream for tests. It runs the
// production decision code on a fake TCP stack, a fake upstream and a fake clock.
package agent

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/fake/stack"
	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
	"github.com/clementinewing/clementinewing/internal/flow/probe"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// tickInterval is the period at which deadlines are checked.
const tickInterval = 50 * time.Millisecond

// Message is a packet in transit between a balancer and an agent or two agents.
type Message struct {
	Segment    stack.Segment
	Service    spec.ServiceID
	Candidates []node.Endpoint
	Position   int
	Denied     uint16
	Round      uint8
	Balancer   netip.AddrPort
	// Hops counts how often agents have forwarded the packet.
	Hops int
}

// Environment is the clock and the network of an agent, and receives its events.
type Environment interface {
	Now() time.Time
	After(wait time.Duration, run func())
	// Forward sends a packet to another agent, or to a balancer that relays it.
	Forward(from, to netip.AddrPort, m Message)
	// SendProbe probes a peer. ReopenLink opens a new link to it first.
	SendProbe(from, to netip.AddrPort)
	ReopenLink(from, to netip.AddrPort)
	// SendHint tells a balancer which endpoint owns a flow.
	SendHint(from, to netip.AddrPort, key link.Key, owner node.Incarnation)
	// SendToCaller sends a packet to the caller of its flow.
	SendToCaller(from netip.AddrPort, g stack.Segment)
	// OnAction is called for each action with the packet that led to it, if any.
	OnAction(a *Agent, m *Message, action owner.Action)
	// OnRequest is called for each request that the upstream runs.
	OnRequest(a *Agent, key link.Key, request uint64)
	// OnDrained is called when a drain has ended.
	OnDrained(a *Agent)
}

// Upstream sets the behavior of the upstream.
type Upstream struct {
	// ConnectTime is the time to accept a connection, WorkTime the time to produce
	// one part of an answer.
	ConnectTime time.Duration
	WorkTime    time.Duration
	// Parts is the number of parts of an answer.
	Parts int
	// Refuses makes the upstream refuse every connection, whatever health it reports.
	Refuses bool
}

// Agent is one agent with its upstream.
type Agent struct {
	Endpoint  node.Endpoint
	Table     *owner.Table
	Admission *admit.Controller
	Peers     *probe.Peers
	Upstream  Upstream
	// View holds the known endpoints of its service by the address of their agent.
	Endpoints map[netip.AddrPort]node.Endpoint
	Dead      bool
	// FixedList disables the extension of candidate lists by this agent.
	FixedList bool

	environment Environment
	random      *rand.Rand
	queued      map[uint64]Message
	servers     map[link.Key]*acceptedFlow
	paused      bool
	inbox       []func()
	current     *Message
}

// acceptedFlow is a flow that the fake stack terminates.
type acceptedFlow struct {
	server *stack.Server
	serial uint64
}

// New starts an agent for the endpoint e.
func New(e node.Endpoint, g *admit.Controller, u Upstream, o Environment, r *rand.Rand, options ...owner.Option) *Agent {
	options = append(options, owner.WithIdentity(e.Service, e.Incarnation), owner.WithAdmissionController(g))
	a := &Agent{
		Endpoint:    e,
		Table:       owner.New(options...),
		Admission:   g,
		Peers:       probe.New(),
		Upstream:    u,
		Endpoints:   map[netip.AddrPort]node.Endpoint{},
		environment: o,
		random:      r,
		queued:      map[uint64]Message{},
		servers:     map[link.Key]*acceptedFlow{},
	}
	a.after(tickInterval, a.tick)
	return a
}

// after calls run once wait has passed. A dead process drops the call, a paused one
// defers it until it resumes.
func (a *Agent) after(wait time.Duration, run func()) {
	a.environment.After(wait, func() { a.RunOrDefer(run) })
}

// RunOrDefer calls run at once, after Resume if the process is paused, and never if
// it is dead.
func (a *Agent) RunOrDefer(run func()) {
	switch {
	case a.Dead:
	case a.paused:
		a.inbox = append(a.inbox, run)
	default:
		run()
	}
}

// Now implements stack.Timers.
func (a *Agent) Now() time.Time { return a.environment.Now() }

// After implements stack.Timers.
func (a *Agent) After(wait time.Duration, run func()) { a.after(wait, run) }

// Pause stops the process. Its timers and packets are kept until Resume.
func (a *Agent) Pause() { a.paused = true }

// Paused reports whether the process is paused.
func (a *Agent) Paused() bool { return a.paused }

// Resume ends a pause and runs everything that was deferred meanwhile.
func (a *Agent) Resume() {
	a.paused = false
	inbox := a.inbox
	a.inbox = nil
	for _, run := range inbox {
		run()
	}
}

// Kill ends the process and its upstream; neither sends anything to anyone.
func (a *Agent) Kill() {
	a.Dead = true
	for _, s := range a.servers {
		s.server.Abort(true)
	}
}

// Drain starts a graceful stop that ends at deadline at the latest.
func (a *Agent) Drain(deadline time.Time) {
	a.RunOrDefer(func() {
		a.step(nil, owner.Drain{
			Deadline: deadline,
		})
	})
}

// Flows returns the number of flows that the stack holds.
func (a *Agent) Flows() int {
	return len(a.servers)
}

func (a *Agent) tick() {
	a.step(nil, owner.Tick{})
	a.probe(probe.Tick{})
	a.after(tickInterval, a.tick)
}

func (a *Agent) probe(e probe.Event) {
	for _, action := range a.Peers.Step(a.Now(), e, nil) {
		switch action := action.(type) {
		case probe.SendProbe:
			a.environment.SendProbe(a.Endpoint.Agent, action.Peer)
		case probe.ReopenLink:
			a.environment.ReopenLink(a.Endpoint.Agent, action.Peer)
		}
	}
}

// ProbeAnswered handles the answer of a peer to a probe.
func (a *Agent) ProbeAnswered(peer netip.AddrPort) {
	a.probe(probe.Answered{
		Peer: peer,
	})
}

// Receive handles a packet from a balancer or another agent.
func (a *Agent) Receive(m Message) {
	a.RunOrDefer(func() { a.receive(m) })
}

func (a *Agent) receive(m Message) {
	a.extendCandidates(&m)
	silent, dead := a.classifyCandidates(&m)
	a.step(&m, owner.PacketForEndpoint{
		Packet:      m.Segment.Packet,
		Service:     m.Service,
		Incarnation: m.Candidates[m.Position].Incarnation,
		Position:    m.Position,
		Candidates:  len(m.Candidates),
		Denied:      m.Denied,
		Round:       m.Round,
		Silent:      silent,
		Dead:        dead,
		Balancer:    m.Balancer,
	})
}

// classifyCandidates returns the candidates that are silent and those known to be
// dead, each as a bit mask over the candidate list.
func (a *Agent) classifyCandidates(m *Message) (silent, dead uint16) {
	for i, c := range m.Candidates {
		if a.Peers.Silent(c.Agent) {
			silent |= 1 << i
		}
		if e, known := a.Endpoints[c.Agent]; known && e.Incarnation != c.Incarnation && i != m.Position {
			dead |= 1 << i
		}
	}
	return silent, dead
}

// step passes one event to the flow table and performs the resulting actions. The
// packet m is the one that the event is about, if any.
func (a *Agent) step(m *Message, e owner.Event) {
	previous := a.current
	a.current = m
	for _, action := range a.Table.Step(a.Now(), e, nil) {
		a.environment.OnAction(a, m, action)
		a.perform(action)
	}
	a.current = previous
}
