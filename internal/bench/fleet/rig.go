// Package fleet measures how balancers and agents find each other. It runs the state
// machines of the product on a fake clock and a fake link, and one configuration on
// real sockets to check this model.
package fleet

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/peer"
	"github.com/clementinewing/clementinewing/internal/fake/clock"
	"github.com/clementinewing/clementinewing/internal/fake/lossy"
	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/fleet/member"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/zone"
)

// Rig is a fleet on a fake clock. It sends the state machines' calls over a fake
// link, where either the request or the reply may be lost.
type Rig struct {
	Clock     *clock.Clock
	Net       *lossy.Net
	Random    *rand.Rand
	Balancers []*Balancer
	Agents    []*Agent
	// CountBytes turns on the counting of bytes.
	CountBytes bool
	// CallBytes counts the bytes of each call once.
	CallBytes          int
	balancersByAddress map[netip.AddrPort]*Balancer
	seeds              []netip.AddrPort
	// agentsByIncarnation finds an agent, which answers probes only of its own
	// incarnation.
	agentsByIncarnation map[node.Incarnation]*Agent
	ports               uint32
}

// process is the common part of balancers and agents.
type process struct {
	rig    *Rig
	name   string
	dead   bool
	paused bool
	// deferred holds what arrived during a pause.
	deferred []func()
	// Bytes counts the bytes sent and received, with CallOverheadBytes per call.
	Bytes int
	Calls int
}

// Balancer runs the state machine of one balancer.
type Balancer struct {
	process
	Self    node.Endpoint
	Machine *member.Node
	// Events counts the state machine's events, without ticks.
	Events int
	// OnChanged is called on member.EndpointsChanged.
	OnChanged func()
	NewerHead member.Head
	requests  uint64
}

// Agent runs the announcer of one agent.
type Agent struct {
	process
	Endpoint   node.Endpoint
	Machine    *lease.Announcer
	Superseded bool
}

// NewRig returns an empty fleet.
func NewRig(seed uint64, options ...lossy.Option) *Rig {
	c := clock.New()
	return &Rig{
		Clock:               c,
		Net:                 lossy.New(c, seed, options...),
		Random:              rand.New(rand.NewPCG(seed, 1)),
		balancersByAddress:  map[netip.AddrPort]*Balancer{},
		agentsByIncarnation: map[node.Incarnation]*Agent{},
	}
}

// Run advances the clock.
func (g *Rig) Run(d time.Duration) {
	g.Clock.Run(g.Clock.Now().Add(d))
}

// nextAddress returns the next unused address.
func (g *Rig) nextAddress() netip.AddrPort {
	g.ports++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(g.ports >> 16), byte(g.ports >> 8), byte(g.ports)}), 7000)
}

// NewBalancerEndpoint returns the endpoint of a new balancer without starting it.
func (g *Rig) NewBalancerEndpoint(place zone.Place) node.Endpoint {
	return node.Endpoint{
		Service:     lease.BalancerService,
		Agent:       g.nextAddress(),
		Incarnation: node.Incarnation(g.Random.Uint64()),
		Place:       place,
		Weight:      1,
		State:       node.Serving,
	}
}

// StartBalancer starts a balancer that knows the given seeds.
func (g *Rig) StartBalancer(self node.Endpoint, seeds ...netip.AddrPort) *Balancer {
	b := g.newBalancer(self, seeds...)
	b.Step(member.EndpointUpdated{
		Endpoint: self,
	})
	g.startTicks(b)
	return b
}

func (g *Rig) newBalancer(self node.Endpoint, seeds ...netip.AddrPort) *Balancer {
	random := rand.New(rand.NewPCG(g.Random.Uint64(), 0))
	b := &Balancer{
		process: process{
			rig:  g,
			name: self.Agent.String(),
		},
		Self:    self,
		Machine: member.New(self, random, member.WithSeeds(seeds...)),
	}
	g.Balancers = append(g.Balancers, b)
	g.balancersByAddress[self.Agent] = b
	return b
}

func (g *Rig) startTicks(b *Balancer) {
	phase := time.Duration(g.Random.Int64N(int64(member.TickInterval)))
	g.Clock.After(phase, b.tick)
}

// AddBalancer starts a balancer that knows the first balancers as seeds.
func (g *Rig) AddBalancer(place zone.Place) *Balancer {
	b := g.StartBalancer(g.NewBalancerEndpoint(place), g.seeds...)
	if len(g.seeds) < seedCount {
		g.seeds = append(g.seeds, b.Self.Agent)
	}
	return b
}

// AddAgent starts an agent that announces the endpoint.
func (g *Rig) AddAgent(e node.Endpoint) *Agent {
	if !e.Agent.IsValid() {
		e.Agent = g.nextAddress()
	}
	if e.Incarnation == 0 {
		e.Incarnation = node.Incarnation(g.Random.Uint64())
	}
	random := rand.New(rand.NewPCG(g.Random.Uint64(), 0))
	a := &Agent{
		process: process{
			rig:  g,
			name: e.Agent.String() + "/agent",
		},
		Endpoint: e,
		Machine:  lease.NewAnnouncer(random, g.seeds),
	}
	g.Agents = append(g.Agents, a)
	g.agentsByIncarnation[e.Incarnation] = a
	a.Update(e)
	phase := time.Duration(g.Random.Int64N(int64(member.TickInterval)))
	g.Clock.After(phase, a.tick)
	return a
}

// Kill ends the process without notice.
func (p *process) Kill() {
	p.dead = true
}

// Dead reports whether the process was killed.
func (p *process) Dead() bool {
	return p.dead
}

// Pause suspends the process; what arrives is deferred.
func (p *process) Pause() {
	p.paused = true
}

// Wake resumes a paused process.
func (p *process) Resume() {
	p.paused = false
	waiting := p.deferred
	p.deferred = nil
	for _, f := range waiting {
		p.run(f)
	}
}

// run runs f in the process: not at all if it is dead, later if it is paused.
func (p *process) run(f func()) {
	switch {
	case p.dead:
	case p.paused:
		p.deferred = append(p.deferred, f)
	default:
		f()
	}
}

// Cut cuts or heals both directions between two balancers.
func (g *Rig) Cut(a, b *Balancer, cut bool) {
	g.Net.Cut(lossy.Direction{
		From: a.name,
		To:   b.name,
	}, cut)
	g.Net.Cut(lossy.Direction{
		From: b.name,
		To:   a.name,
	}, cut)
}

// CutAgent cuts or heals both directions between an agent and a balancer.
func (g *Rig) CutAgent(a *Agent, b *Balancer, cut bool) {
	g.Net.Cut(lossy.Direction{
		From: a.name,
		To:   b.name,
	}, cut)
	g.Net.Cut(lossy.Direction{
		From: b.name,
		To:   a.name,
	}, cut)
}

func (b *Balancer) tick() {
	if b.dead {
		return
	}
	b.rig.Clock.After(member.TickInterval, b.tick)
	if !b.paused {
		b.perform(b.Machine.Step(b.rig.Clock.Now(), member.Tick{}), nil)
	}
}

func (a *Agent) tick() {
	if a.dead {
		return
	}
	a.rig.Clock.After(member.TickInterval, a.tick)
	if !a.paused {
		a.step(lease.Tick{})
	}
}

// Step applies an event to the balancer's state machine.
func (b *Balancer) Step(e member.Event) {
	b.Events++
	b.perform(b.Machine.Step(b.rig.Clock.Now(), e), nil)
}

// reply is the reply to a call; exactly one field is set.
type reply struct {
	renew    *lease.RenewReply
	exchange *member.ExchangeReply
}

// perform carries out actions; answer is called with a reply among them.
func (b *Balancer) perform(actions []member.Action, answer func(reply)) {
	for _, a := range actions {
		switch a := a.(type) {
		case member.Call:
			b.call(a)
		case member.SendRenewReply:
			answer(reply{
				renew: &a.Reply,
			})
		case member.SendExchangeReply:
			answer(reply{
				exchange: &a.Reply,
			})
		case member.EndpointsChanged:
			if b.OnChanged != nil {
				b.OnChanged()
			}
		case member.ProbeEndpoint:
			b.probe(a)
		case member.NewerHead:
			b.NewerHead = a.Head
		}
	}
}

// probe sends a datagram to the agent, which answers it.
func (b *Balancer) probe(p member.ProbeEndpoint) {
	a := b.rig.agentsByIncarnation[p.Endpoint.Incarnation]
	b.countBytes(ProbeBytes)
	if a == nil {
		return
	}
	key := lease.Key{
		Service:     p.Endpoint.Service,
		Incarnation: p.Endpoint.Incarnation,
	}
	b.rig.Net.Send(lossy.Direction{
		From: b.name,
		To:   a.name,
	}, func() {
		a.run(func() {
			b.rig.Net.Send(lossy.Direction{
				From: a.name,
				To:   b.name,
			}, func() {
				b.run(func() {
					b.countBytes(ProbeBytes)
					b.Step(member.PacketFromEndpoint{
						Key: key,
					})
				})
			})
		})
	})
}

func (p *process) countBytes(bytes int) {
	p.Bytes += bytes
}

func (b *Balancer) call(c member.Call) {
	b.rig.sendCall(&b.process, c.To, c.Renew, c.Exchange, func(r reply) {
		b.Step(member.ReplyReceived{
			ID:       c.ID,
			Renew:    r.renew,
			Exchange: r.exchange,
		})
	}, func() {
		b.Step(member.CallFailed{
			ID: c.ID,
		})
	})
}

// sendCall sends a call to its balancer. It calls done with the reply, or expired
// after member.CallTimeout.
func (g *Rig) sendCall(from *process, to netip.AddrPort, renew *lease.Renew, exchange *member.Exchange, done func(reply), expired func()) {
	ended := false
	g.Clock.After(member.CallTimeout, func() {
		from.run(func() {
			if !ended {
				ended = true
				expired()
			}
		})
	})
	target := g.balancersByAddress[to]
	g.countRequest(from, target, renew, exchange)
	if target == nil {
		return
	}
	forth := lossy.Direction{
		From: from.name,
		To:   target.name,
	}
	back := lossy.Direction{
		From: target.name,
		To:   from.name,
	}
	g.Net.Send(forth, func() {
		target.run(func() {
			target.serve(renew, exchange, func(r reply) {
				g.countReply(from, &target.process, r)
				g.Net.Send(back, func() {
					from.run(func() {
						if !ended {
							ended = true
							done(r)
						}
					})
				})
			})
		})
	})
}

func (b *Balancer) serve(renew *lease.Renew, exchange *member.Exchange, answer func(reply)) {
	b.requests++
	b.Events++
	var event member.Event
	if renew != nil {
		event = member.RenewReceived{
			Request: b.requests,
			Renew:   *renew,
		}
	} else {
		event = member.ExchangeReceived{
			Request:  b.requests,
			Exchange: *exchange,
		}
	}
	b.perform(b.Machine.Step(b.rig.Clock.Now(), event), answer)
}

func (g *Rig) countRequest(from *process, to *Balancer, renew *lease.Renew, exchange *member.Exchange) {
	from.Calls++
	if to != nil {
		to.Calls++
	}
	if !g.CountBytes {
		return
	}
	size := CallOverheadBytes
	if renew != nil {
		size += peer.RenewBytes(*renew)
	} else {
		size += peer.ExchangeBytes(*exchange)
	}
	from.Bytes += size
	g.CallBytes += size
	if to != nil {
		to.Bytes += size
	}
}

func (g *Rig) countReply(from, to *process, r reply) {
	if !g.CountBytes {
		return
	}
	var size int
	if r.renew != nil {
		size = peer.RenewReplyBytes(*r.renew)
	} else {
		size = peer.ExchangeReplyBytes(*r.exchange)
	}
	from.Bytes += size
	to.Bytes += size
	g.CallBytes += size
}

// Update announces a change of the agent's endpoint.
func (a *Agent) Update(e node.Endpoint) {
	a.Endpoint = e
	a.step(lease.EndpointUpdated{
		Endpoint: e,
	})
}

func (a *Agent) step(e lease.AnnouncerEvent) {
	for _, action := range a.Machine.Step(a.rig.Clock.Now(), e) {
		switch action := action.(type) {
		case lease.Send:
			a.send(action)
		case lease.Superseded:
			a.Superseded = true
		}
	}
}

func (a *Agent) send(s lease.Send) {
	a.rig.sendCall(&a.process, s.To, &s.Renew, nil, func(r reply) {
		a.step(lease.ReplyReceived{
			From:  s.To,
			Reply: *r.renew,
		})
	}, func() {
		a.step(lease.SendFailed{
			To: s.To,
		})
	})
}

// Name returns the name of the process on the fake link.
func (p *process) Name() string {
	return p.name
}
