package load

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/fake/clock"
	"github.com/clementinewing/clementinewing/internal/relay/admit"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/relay/router"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// The deployment of the relay path: the state machines of its balancers and agents run
// unchanged, between simulated callers and endpoints.
const (
	relayBalancers = 25
	relayAgents    = 50
	relayZones     = 3
	relaySlots     = 3
	relayService   = "rota"
	// relayTarget and relayPort are the address of the only route.
	relayTarget = 8
	relayPort   = 443
	// zoneDelay is the one-way delay within a failure domain, crossZoneDelay between two.
	zoneDelay      = 200 * time.Microsecond
	crossZoneDelay = 1400 * time.Microsecond
	// callerRoundTrip is the time from an endpoint's answer to a SYN to the request.
	callerRoundTrip = 6 * time.Millisecond
	// endpointDelay is the time in which an endpoint answers a SYN.
	endpointDelay = 100 * time.Microsecond
	relayTick     = 20 * time.Millisecond
	// firstRelayBalancer is the host of the first balancer; agents have lower numbers.
	firstRelayBalancer = frame.Host(1000)
)

// relaySim is one deployment.
type relaySim struct {
	trial     relayTrial
	clock     *clock.Clock
	random    *rand.Rand
	plan      plan.Active
	balancers []*relayBalancer
	agents    []*relayAgent
	calls     map[uint32]*relayCall
	lastCall  uint32
	meter     *relayMeter
	// reportsFrom is until when reports are lost.
	reportsFrom time.Time
}

type relayBalancer struct {
	sim     *relaySim
	host    frame.Host
	zone    uint64
	members *roster.Roster
	router  *router.Router
}

type relayAgent struct {
	sim        *relaySim
	host       frame.Host
	zone       uint64
	controller *admit.Controller
	process    uint64
	sequence   uint32
	// endpointReports counts the reports of the endpoint.
	endpointReports uint64
	// running and queue are the endpoint's requests, first come, first served.
	running int
	queue   []func()
	// held counts the SYNs and requests that the central queue has given the endpoint.
	held int
}

func newRelaySim(t relayTrial) *relaySim {
	s := &relaySim{
		trial:  t,
		clock:  clock.New(),
		random: rand.New(rand.NewPCG(t.Seed, 3)),
		calls:  map[uint32]*relayCall{},
		meter:  newRelayMeter(),
	}
	s.clock.Run(time.UnixMilli(1000))
	s.plan.Adopt(&plan.Plan{
		Version:  1,
		Revision: 1,
		Routes: map[plan.Target]*plan.Route{
			{
				Address: relayTarget,
				Port:    relayPort,
			}: {
				Address:       netip.AddrFrom4([4]byte{0, 0, 0, relayTarget}),
				Port:          relayPort,
				LatencyTarget: 400 * time.Millisecond,
				Priority:      2,
				Backends: []plan.Backend{
					{
						Name:    relayService,
						Service: spec.NewServiceID(relayService),
						Weight:  1,
					},
				},
			},
		},
	})
	for i := range relayBalancers {
		b := &relayBalancer{
			sim:  s,
			host: firstRelayBalancer + frame.Host(i),
			zone: uint64(i % relayZones),
		}
		b.start()
		s.balancers = append(s.balancers, b)
		b.tick()
	}
	for i := range relayAgents {
		a := &relayAgent{
			sim:  s,
			host: frame.Host(1 + i),
			zone: uint64(i % relayZones),
		}
		a.start()
		a.reportEndpoint()
		s.agents = append(s.agents, a)
		a.tick()
		s.clock.After(time.Duration(s.random.Int64N(int64(roster.ReportInterval(relayBalancers)))), a.report)
	}
	s.clock.Run(s.clock.Now().Add(roster.ReportInterval(relayBalancers) + 2*crossZoneDelay))
	return s
}

// start starts the agent without any knowledge.
func (a *relayAgent) start() {
	a.process++
	a.sequence = 0
	a.controller = admit.New(a.host, relayService, a.sim.trial.Policy.agent...)
}

// reportEndpoint passes a report of the endpoint to the agent.
func (a *relayAgent) reportEndpoint() {
	a.endpointReports++
	a.step(admit.ReportReceived{
		Report: admit.Report{
			ID:        "a",
			Service:   relayService,
			StartedAt: 1,
			Sequence:  a.endpointReports,
			Slots:     relaySlots,
		},
	})
}

// Times of a fault.
const (
	// relayFaultTime is how long reports are lost: the agents do not count as silent yet.
	relayFaultTime = 2 * time.Second
	// endpointReportDelay is the mean time to the endpoint's next report.
	endpointReportDelay = 600 * time.Millisecond
	// greetDelay is the time in which a balancer that starts gets the first reports.
	greetDelay = 10 * time.Millisecond
)

// startFault starts the fault of the trial.
func (s *relaySim) startFault() {
	switch s.trial.Fault {
	case reportsLost:
		s.reportsFrom = s.clock.Now().Add(relayFaultTime)
	case balancersRestart:
		for _, b := range s.balancers[:relayBalancers/3] {
			b.start()
		}
		s.clock.After(greetDelay, s.reportAll)
	case agentsRestart:
		for _, a := range s.agents[:relayAgents/10] {
			a.start()
			s.clock.After(endpointReportDelay, a.reportEndpoint)
		}
		s.reportAll()
	}
}

// reportAll sends a report of each agent to every balancer.
func (s *relaySim) reportAll() {
	for _, a := range s.agents {
		a.sendReport()
	}
}

// start starts the balancer without any knowledge.
func (b *relayBalancer) start() {
	b.members = roster.New(b.host)
	b.router = router.New(b.host, b.zone, b.sim.clock.Now(), b.members, &b.sim.plan, router.WithFeatures(b.sim.trial.Policy.features))
}

func (b *relayBalancer) tick() {
	b.step(router.Tick{})
	b.sim.clock.After(relayTick, b.tick)
}

func (b *relayBalancer) step(e router.Event) {
	for _, x := range b.router.Step(b.sim.clock.Now(), e) {
		switch x := x.(type) {
		case router.Send:
			b.sim.send(b.zone, x.To, x.Forward)
		case router.Refuse:
			b.sim.refuse(x.Packet.Key)
		}
	}
}

// send passes a message to a balancer or an agent after the delay of the way there.
func (s *relaySim) send(zone uint64, to frame.Host, m frame.Message) {
	s.meter.recordMessage(m)
	if to >= firstRelayBalancer {
		b := s.balancers[to-firstRelayBalancer]
		s.clock.After(wayDelay(zone, b.zone), func() { b.receive(m) })
		return
	}
	if f, ok := m.(*frame.Forward); ok {
		kept := *f
		kept.Candidates = slices.Clone(f.Candidates)
		m = &kept
	}
	a := s.agents[to-1]
	s.clock.After(wayDelay(zone, a.zone), func() { a.receive(m) })
}

func wayDelay(from, to uint64) time.Duration {
	if from == to {
		return zoneDelay
	}
	return crossZoneDelay
}

func (b *relayBalancer) receive(m frame.Message) {
	switch m := m.(type) {
	case frame.LoadReport:
		b.members.ApplyReport(b.sim.clock.Now(), m)
	case frame.Owner:
		b.step(router.Hint{
			Owner: m,
		})
	case frame.Return:
		if m.Packet[flagsAt]&synFlag == 0 {
			return
		}
		b.step(router.Returned{
			Packet: b.sim.syn(binary.BigEndian.Uint32(m.Packet), 0),
			Return: m,
		})
	}
}

func (a *relayAgent) receive(m frame.Message) {
	switch m := m.(type) {
	case *frame.Forward:
		call := a.sim.calls[binary.BigEndian.Uint32(m.Packet)]
		if call == nil {
			return
		}
		a.step(admit.PacketForEndpoint{
			Packet:  a.sim.syn(call.number, m.Packet[retransmissionAt]),
			Forward: m,
		})
	case frame.Owner:
		a.step(admit.OwnerAnnounced{
			Owner: m,
		})
	}
}

func (a *relayAgent) tick() {
	a.step(admit.Tick{})
	a.sim.clock.After(admit.TickInterval, a.tick)
}

func (a *relayAgent) report() {
	a.sendReport()
	a.sim.clock.After(roster.ReportInterval(relayBalancers), a.report)
}

// sendReport sends a load report to every balancer.
func (a *relayAgent) sendReport() {
	s := a.sim
	a.sequence++
	l := a.controller.Load(s.clock.Now())
	l.Process = a.process
	l.Zone = a.zone
	l.Sequence = a.sequence
	l.IntervalMS = uint16(roster.ReportInterval(relayBalancers).Milliseconds())
	for _, b := range s.balancers {
		if !s.clock.Now().Before(s.reportsFrom) {
			s.send(a.zone, b.host, l)
		}
	}
}

func (a *relayAgent) step(e admit.Event) {
	for _, x := range slices.Clone(a.controller.Step(a.sim.clock.Now(), e)) {
		switch x := x.(type) {
		case admit.Deliver:
			a.deliver(x.Raw)
		case admit.ForwardToCandidate:
			a.sim.meter.passes++
			a.sim.send(a.zone, x.To, x.Forward)
		case admit.ReturnToBalancer:
			a.sim.send(a.zone, x.To, x.Return)
		case admit.AnnounceOwner:
			a.sim.send(a.zone, x.To, x.Owner)
		}
	}
}

// run starts the work of a request once a slot of the endpoint is free.
func (a *relayAgent) run(start func() time.Duration, done func()) {
	job := func() {
		a.running++
		a.sim.clock.After(start(), func() {
			a.running--
			done()
			if len(a.queue) > 0 {
				next := a.queue[0]
				a.queue = a.queue[1:]
				next()
			}
		})
	}
	if a.running < relaySlots {
		job()
		return
	}
	a.queue = append(a.queue, job)
}
