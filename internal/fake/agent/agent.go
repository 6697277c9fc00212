// Package agent is a stand-in for a side process and its upstream: the shipped
// decisions with a fake stack, a fake upstream and a fake clock around them.
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
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// tickEvery is how often deadlines are looked at.
const tickInterval = 50 * time.Millisecond

// Message is a packet on its way between the roles.
type Message struct {
	Segment    stack.Segment
	Service    pact.ServiceID
	Candidates []node.Endpoint
	Position   int
	Denied     uint16
	Round      uint8
	Balancer   netip.AddrPort
	// Hops counts the times it was handed on.
	Hops int
}

// Outside is everything around an agent.
type Environment interface {
	Now() time.Time
	After(wait time.Duration, run func())
	// Pass sends a packet to another agent.
	Forward(from, to netip.AddrPort, m Message)
	// Probe asks a peer for an answer; Renew makes a new link to it first.
	SendProbe(from, to netip.AddrPort)
	ReopenLink(from, to netip.AddrPort)
	// Hint tells a balancer who owns a flow.
	SendHint(from, to netip.AddrPort, key link.Key, owner node.Incarnation)
	// Caller sends a packet to its caller.
	SendToCaller(from netip.AddrPort, g stack.Segment)
	// Saw is told every action and the event that led to it.
	OnAction(a *Agent, m *Message, action owner.Action)
	// Ran is told every request that the upstream runs.
	OnRequest(a *Agent, key link.Key, request uint64)
	// Emptied is told the end of a drain.
	OnDrained(a *Agent)
}

// Upstream is how the upstream behaves.
type Upstream struct {
	// ConnectTime and WorkTime are what a connection and a part of an answer take.
	ConnectTime time.Duration
	WorkTime    time.Duration
	// Parts is how many parts an answer has.
	Parts int
	// Refuses turns every connection away, whatever its health says.
	Refuses bool
}

// Agent is one side process with its upstream.
type Agent struct {
	Endpoint node.Endpoint
	Table    *owner.Table
	Gate     *admit.Controller
	Peers    *probe.Peers
	Upstream Upstream
	// View is what it knows of the endpoints of its service.
	View map[netip.AddrPort]node.Endpoint
	Dead bool
	// Alone keeps it from adding endpoints to a list.
	FixedList bool

	environment Environment
	random      *rand.Rand
	queued      map[uint64]Message
	servers     map[link.Key]*acceptedFlow
	paused      bool
	inbox       []func()
	current     *Message
}

// served is a flow that the fake stack holds.
type acceptedFlow struct {
	server *stack.Server
	serial uint64
}

// New starts an agent.
func New(e node.Endpoint, g *admit.Controller, u Upstream, o Environment, r *rand.Rand, options ...owner.Option) *Agent {
	options = append(options, owner.WithIdentity(e.Service, e.Incarnation), owner.WithAdmissionController(g))
	a := &Agent{
		Endpoint:    e,
		Table:       owner.New(options...),
		Gate:        g,
		Peers:       probe.New(),
		Upstream:    u,
		View:        map[netip.AddrPort]node.Endpoint{},
		environment: o,
		random:      r,
		queued:      map[uint64]Message{},
		servers:     map[link.Key]*acceptedFlow{},
	}
	a.after(tickInterval, a.tick)
	return a
}

// after runs something later, if the process is alive then; a paused one runs it
// when it wakes.
func (a *Agent) after(wait time.Duration, run func()) {
	a.environment.After(wait, func() { a.RunOrDefer(run) })
}

// Do runs something in the process.
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

// Pause stops the process; Wake lets it go on with all that has come meanwhile.
func (a *Agent) Pause() { a.paused = true }

// Paused tells whether the process stands still.
func (a *Agent) Paused() bool { return a.paused }

// Wake ends a pause.
func (a *Agent) Resume() {
	a.paused = false
	inbox := a.inbox
	a.inbox = nil
	for _, run := range inbox {
		run()
	}
}

// Kill ends the process and its upstream without a word.
func (a *Agent) Kill() {
	a.Dead = true
	for _, s := range a.servers {
		s.server.Abort(true)
	}
}

// Drain starts a graceful stop.
func (a *Agent) Drain(deadline time.Time) {
	a.RunOrDefer(func() {
		a.step(nil, owner.Drain{
			Deadline: deadline,
		})
	})
}

// Flows is how many flows the stack holds.
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

// Answered takes the answer to a probe.
func (a *Agent) ProbeAnswered(peer netip.AddrPort) {
	a.probe(probe.Answered{
		Peer: peer,
	})
}

// Receive takes a packet from a balancer or another agent.
func (a *Agent) Receive(m Message) {
	a.RunOrDefer(func() { a.receive(m) })
}

func (a *Agent) receive(m Message) {
	a.extendCandidates(&m)
	silent, gone := a.classifyCandidates(&m)
	a.step(&m, owner.PacketForEndpoint{
		Packet:      m.Segment.Packet,
		Service:     m.Service,
		Incarnation: m.Candidates[m.Position].Incarnation,
		Position:    m.Position,
		Candidates:  len(m.Candidates),
		Denied:      m.Denied,
		Round:       m.Round,
		Silent:      silent,
		Dead:        gone,
		Balancer:    m.Balancer,
	})
}

// judge says which candidates are silent and which are known to be dead.
func (a *Agent) classifyCandidates(m *Message) (silent, gone uint16) {
	for i, c := range m.Candidates {
		if a.Peers.Silent(c.Agent) {
			silent |= 1 << i
		}
		if e, known := a.View[c.Agent]; known && e.Incarnation != c.Incarnation && i != m.Position {
			gone |= 1 << i
		}
	}
	return silent, gone
}

// step takes one event and does what follows.
func (a *Agent) step(m *Message, e owner.Event) {
	hand := a.current
	a.current = m
	for _, action := range a.Table.Step(a.Now(), e, nil) {
		a.environment.OnAction(a, m, action)
		a.perform(action)
	}
	a.current = hand
}
