// Package fleet measures how balancers and side processes find each other: the
// shipped machines on a fake clock and a fake link, and one point on real
// sockets to check the model.
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

// Rig is a fleet on a fake clock. It carries the machines' calls over a fake
// link, where a call may be lost on the way there or back.
type Rig struct {
	Clock     *clock.Clock
	Net       *lossy.Net
	Random    *rand.Rand
	Balancers []*Balancer
	Agents    []*Agent
	// Sizes turns on the count of bytes.
	Sizes bool
	// Served counts each call's bytes once.
	Served int
	ends   map[netip.AddrPort]*Balancer
	seeds  []netip.AddrPort
	// sides finds a side process, which answers probes of its own life only.
	sides map[node.Incarnation]*Agent
	ports uint32
}

// process is what balancers and side processes have in common.
type process struct {
	rig    *Rig
	name   string
	dead   bool
	paused bool
	// waiting is what arrived during a pause.
	waiting []func()
	// Bytes counts what was sent and received, with CallOverheadBytes a call.
	Bytes int
	Calls int
}

// Balancer is one balancer's machine.
type Balancer struct {
	process
	Self    node.Endpoint
	Machine *member.Node
	// Events counts the machine's steps, without ticks.
	Events int
	// OnChanged is called for the action of the same name.
	OnChanged func()
	Behind    member.Head
	requests  uint64
}

// Agent is one side process' announcer.
type Agent struct {
	process
	Endpoint node.Endpoint
	Machine  *lease.Announcer
	Lost     bool
}

// NewRig makes an empty fleet.
func NewRig(seed uint64, options ...lossy.Option) *Rig {
	c := clock.New()
	return &Rig{
		Clock:  c,
		Net:    lossy.New(c, seed, options...),
		Random: rand.New(rand.NewPCG(seed, 1)),
		ends:   map[netip.AddrPort]*Balancer{},
		sides:  map[node.Incarnation]*Agent{},
	}
}

// Run lets time pass.
func (g *Rig) Run(d time.Duration) {
	g.Clock.Run(g.Clock.Now().Add(d))
}

// address gives the next unused address.
func (g *Rig) address() netip.AddrPort {
	g.ports++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(g.ports >> 16), byte(g.ports >> 8), byte(g.ports)}), 7000)
}

// Describe makes the record of a balancer without starting it.
func (g *Rig) Describe(place zone.Place) node.Endpoint {
	return node.Endpoint{
		Service:     lease.BalancerService,
		Agent:       g.address(),
		Incarnation: node.Incarnation(g.Random.Uint64()),
		Place:       place,
		Weight:      1,
		State:       node.Serving,
	}
}

// Start starts a balancer that knows the given seeds.
func (g *Rig) Start(self node.Endpoint, seeds ...netip.AddrPort) *Balancer {
	b := g.build(self, seeds...)
	b.Step(member.EndpointUpdated{
		Endpoint: self,
	})
	g.schedule(b)
	return b
}

func (g *Rig) build(self node.Endpoint, seeds ...netip.AddrPort) *Balancer {
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
	g.ends[self.Agent] = b
	return b
}

func (g *Rig) schedule(b *Balancer) {
	phase := time.Duration(g.Random.Int64N(int64(member.TickInterval)))
	g.Clock.After(phase, b.tick)
}

// AddBalancer starts a balancer that knows the first balancers as seeds.
func (g *Rig) AddBalancer(place zone.Place) *Balancer {
	b := g.Start(g.Describe(place), g.seeds...)
	if len(g.seeds) < seedCount {
		g.seeds = append(g.seeds, b.Self.Agent)
	}
	return b
}

// AddAgent starts a side process that announces the endpoint.
func (g *Rig) AddAgent(e node.Endpoint) *Agent {
	if !e.Agent.IsValid() {
		e.Agent = g.address()
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
	g.sides[e.Incarnation] = a
	a.Update(e)
	phase := time.Duration(g.Random.Int64N(int64(member.TickInterval)))
	g.Clock.After(phase, a.tick)
	return a
}

// Kill ends the process without a word.
func (p *process) Kill() {
	p.dead = true
}

// Dead tells whether the process was killed.
func (p *process) Dead() bool {
	return p.dead
}

// Pause stops the process; what arrives waits for it.
func (p *process) Pause() {
	p.paused = true
}

// Wake lets a paused process go on.
func (p *process) Wake() {
	p.paused = false
	waiting := p.waiting
	p.waiting = nil
	for _, f := range waiting {
		p.arrive(f)
	}
}

// arrive runs f in the process.
func (p *process) arrive(f func()) {
	switch {
	case p.dead:
	case p.paused:
		p.waiting = append(p.waiting, f)
	default:
		f()
	}
}

// Cut stops or heals both directions between two balancers.
func (g *Rig) Cut(a, b *Balancer, cut bool) {
	g.Net.Cut(lossy.Way{
		From: a.name,
		To:   b.name,
	}, cut)
	g.Net.Cut(lossy.Way{
		From: b.name,
		To:   a.name,
	}, cut)
}

// CutAgent stops or heals both directions between a side process and a balancer.
func (g *Rig) CutAgent(a *Agent, b *Balancer, cut bool) {
	g.Net.Cut(lossy.Way{
		From: a.name,
		To:   b.name,
	}, cut)
	g.Net.Cut(lossy.Way{
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

// Step brings an event to the balancer's machine.
func (b *Balancer) Step(e member.Event) {
	b.Events++
	b.perform(b.Machine.Step(b.rig.Clock.Now(), e), nil)
}

// reply is what a request's sender is told; one of both is set.
type reply struct {
	renew    *lease.RenewReply
	exchange *member.ExchangeReply
}

// perform carries out actions; an answer among them goes to answer.
func (b *Balancer) perform(actions []member.Action, answer func(reply)) {
	for _, a := range actions {
		switch a := a.(type) {
		case member.Call:
			b.call(a)
		case member.AnswerRenew:
			answer(reply{
				renew: &a.Reply,
			})
		case member.AnswerExchange:
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
			b.Behind = a.Head
		}
	}
}

// probe sends a datagram to the side process, which answers it.
func (b *Balancer) probe(p member.ProbeEndpoint) {
	a := b.rig.sides[p.Endpoint.Incarnation]
	b.count(ProbeBytes)
	if a == nil {
		return
	}
	key := lease.Key{
		Service:     p.Endpoint.Service,
		Incarnation: p.Endpoint.Incarnation,
	}
	b.rig.Net.Send(lossy.Way{
		From: b.name,
		To:   a.name,
	}, func() {
		a.arrive(func() {
			b.rig.Net.Send(lossy.Way{
				From: a.name,
				To:   b.name,
			}, func() {
				b.arrive(func() {
					b.count(ProbeBytes)
					b.Step(member.PacketFromEndpoint{
						Key: key,
					})
				})
			})
		})
	})
}

func (p *process) count(bytes int) {
	p.Bytes += bytes
}

func (b *Balancer) call(c member.Call) {
	b.rig.carry(&b.process, c.To, c.Renew, c.Exchange, func(r reply) {
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

// carry brings a call to its balancer and the answer back, or neither.
func (g *Rig) carry(from *process, to netip.AddrPort, renew *lease.Renew, exchange *member.Exchange, done func(reply), expired func()) {
	ended := false
	g.Clock.After(member.CallTimeout, func() {
		from.arrive(func() {
			if !ended {
				ended = true
				expired()
			}
		})
	})
	target := g.ends[to]
	g.countRequest(from, target, renew, exchange)
	if target == nil {
		return
	}
	forth := lossy.Way{
		From: from.name,
		To:   target.name,
	}
	back := lossy.Way{
		From: target.name,
		To:   from.name,
	}
	g.Net.Send(forth, func() {
		target.arrive(func() {
			target.serve(renew, exchange, func(r reply) {
				g.countReply(from, &target.process, r)
				g.Net.Send(back, func() {
					from.arrive(func() {
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
	if !g.Sizes {
		return
	}
	size := CallOverheadBytes
	if renew != nil {
		size += peer.RenewBytes(*renew)
	} else {
		size += peer.ExchangeBytes(*exchange)
	}
	from.Bytes += size
	g.Served += size
	if to != nil {
		to.Bytes += size
	}
}

func (g *Rig) countReply(from, to *process, r reply) {
	if !g.Sizes {
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
	g.Served += size
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
			a.Lost = true
		}
	}
}

func (a *Agent) send(s lease.Send) {
	a.rig.carry(&a.process, s.To, &s.Renew, nil, func(r reply) {
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

// Name is the process' end of the fake link.
func (p *process) Name() string {
	return p.name
}
