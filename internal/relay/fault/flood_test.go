package fault

import (
	"encoding/binary"
	"fmt"
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
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// A flood is a deployment after a loss of all power: its callers send packets of flows that no
// endpoint holds any more. Each machine has a link and a processor of limited speed.
const (
	floodHop       = 1400 * time.Microsecond
	floodStoreTime = 10 * time.Millisecond
	// readInterval is the least time between two reads of the member record by a balancer.
	readInterval = 200 * time.Millisecond
	// smallLink is 10 Mbit/s in bytes per second, the link of a balancer, and largeLink 200 Mbit/s,
	// that of an agent. datagramTime is what a small machine needs to
	// send or receive a datagram. Datagrams that would wait for longer than maxBacklog are lost.
	smallLink    = 1_250_000
	largeLink    = 25_000_000
	datagramTime = 100 * time.Microsecond
	maxBacklog   = 200 * time.Millisecond
	// packetBytes is the size of a caller's packet, headerBytes that of a datagram's headers.
	packetBytes = 400
	headerBytes = 28
	// arrivalPeriod is the time in which the callers of the dead flows send their next packets.
	arrivalPeriod = 300 * time.Millisecond
)

type flood struct {
	clock      *clock.Clock
	random     *rand.Rand
	activePlan plan.Active
	balancers  []*floodBalancer
	agents     []*floodAgent
	packets    []link.Packet
	// loss is the share of datagrams between balancers and agents that get lost.
	loss      float64
	storeLost bool
	callers   map[link.Key]*floodCaller
	// opened counts the new flows.
	opened int
}

// machine is a balancer's or an agent's link and processor.
type machine struct {
	// link is in bytes per second.
	link                                int
	sentUntil, receivedUntil, busyUntil time.Time
	datagrams, lost                     int
	// lookupBytes holds the bytes of lookups sent and received in each tenth of a second.
	lookupBytes map[int64]int
}

type floodBalancer struct {
	machine
	host         frame.Host
	members      *roster.Roster
	router       *router.Router
	recordWanted bool
	nextReadAt   time.Time
}

type floodAgent struct {
	machine
	host       frame.Host
	controller *admit.Controller
	sequence   uint32
	process    uint64
	down       bool
	// mute is set if the agent answers no questions, which it counts.
	mute      bool
	questions int
	endpoint  map[link.Key]uint32
}

// floodCaller is the caller of one flow.
type floodCaller struct {
	key     link.Key
	first   time.Time
	initial uint32
	opening bool
	// doneAt is when the caller of a dead flow got a reset, or of a new one an answer.
	doneAt time.Time
	tries  int
	reset  bool
}

// newFlood starts balancers and agents. Only the first agents, as many as complete says, know
// all flows of their endpoints.
func newFlood(balancers, agents, complete int, random *rand.Rand) *flood {
	w := &flood{
		clock:   clock.New(),
		random:  random,
		callers: map[link.Key]*floodCaller{},
	}
	w.clock.Run(time.UnixMilli(100_000))
	r := &plan.Route{
		Address: netip.AddrFrom4([4]byte{0, 0, 0, 8}),
		Port:    443,
		Backends: []plan.Backend{
			{
				Name:    service,
				Service: spec.NewServiceID(service),
				Weight:  1,
			},
		},
	}
	w.activePlan.Adopt(&plan.Plan{
		Version:  1,
		Revision: 1,
		Routes: map[plan.Target]*plan.Route{
			{
				Address: 8,
				Port:    443,
			}: r,
		},
	})
	for i := range balancers {
		b := &floodBalancer{
			host: firstBalancer + frame.Host(i),
		}
		b.link = smallLink
		b.lookupBytes = map[int64]int{}
		w.balancers = append(w.balancers, b)
		w.startBalancer(b)
		w.tickBalancer(b)
	}
	for i := range agents {
		s := &floodAgent{
			host:     frame.Host(1 + i),
			endpoint: map[link.Key]uint32{},
		}
		s.link = largeLink
		w.agents = append(w.agents, s)
		var options []admit.Option
		if i < complete {
			options = append(options, admit.EndpointAbsent())
		}
		w.startAgent(s, options...)
		w.tickAgent(s)
		w.report(s)
	}
	return w
}

func (w *flood) startBalancer(b *floodBalancer) {
	b.members = roster.New(b.host)
	b.router = router.New(b.host, 1, w.clock.Now(), b.members, &w.activePlan)
}

func (w *flood) startAgent(s *floodAgent, options ...admit.Option) {
	s.process++
	s.sequence = 0
	s.down = false
	s.controller = admit.New(s.host, service, options...)
	s.controller.Step(w.clock.Now(), admit.ReportReceived{
		Report: admit.Report{
			ID:        fmt.Sprint(s.host),
			Service:   service,
			StartedAt: 5,
			Sequence:  s.process,
			Slots:     100,
		},
	})
}

func (w *flood) tickBalancer(b *floodBalancer) {
	w.runBalancer(b, router.Tick{})
	if now := w.clock.Now(); b.recordWanted && !now.Before(b.nextReadAt) && !w.storeLost {
		b.recordWanted = false
		b.nextReadAt = now.Add(readInterval)
		members := b.members
		w.clock.After(floodStoreTime, func() {
			var hosts []frame.Host
			for _, s := range w.agents {
				hosts = append(hosts, s.host)
			}
			members.ApplyRecord(now, roster.RecordContent{
				Agents:   hosts,
				CalledAt: now,
				Complete: true,
			})
		})
	}
	w.clock.After(tickInterval, func() { w.tickBalancer(b) })
}

func (w *flood) tickAgent(s *floodAgent) {
	w.runAgent(s, admit.Tick{})
	w.clock.After(tickInterval, func() { w.tickAgent(s) })
}

// report sends the load reports of an agent.
func (w *flood) report(s *floodAgent) {
	if !s.down {
		s.sequence++
		l := s.controller.Load(w.clock.Now())
		l.Process = s.process
		l.Sequence = s.sequence
		l.Zone = uint64(1 + s.host%4)
		l.IntervalMS = 750
		for _, b := range w.balancers {
			w.send(&s.machine, &b.machine, l, false, func() { b.members.ApplyReport(w.clock.Now(), l) })
		}
	}
	w.clock.After(750*time.Millisecond, func() { w.report(s) })
}

// send passes a datagram through the sender's processor and link and those of the receiver.
func (w *flood) send(from, to *machine, m frame.Message, lookup bool, deliver func()) {
	size := len(frame.Append(nil, m)) + headerBytes
	now := w.clock.Now()
	if lookup {
		from.countLookup(now, size)
		to.countLookup(now, size)
	}
	sent, ok := from.pass(now, &from.sentUntil, size)
	if !ok || w.random.Float64() < w.loss {
		return
	}
	w.clock.At(sent.Add(floodHop), func() {
		received, ok := to.pass(w.clock.Now(), &to.receivedUntil, size)
		if ok {
			w.clock.At(received, deliver)
		}
	})
}

func (m *machine) countLookup(now time.Time, size int) {
	if m.lookupBytes != nil {
		m.lookupBytes[now.UnixMilli()/100] += size
	}
}

// pass returns when a datagram has passed a link and the processor.
func (m *machine) pass(now time.Time, linkUntil *time.Time, size int) (at time.Time, ok bool) {
	m.datagrams++
	*linkUntil = latest(now, *linkUntil).Add(time.Duration(size) * time.Second / time.Duration(m.link))
	m.busyUntil = latest(now, m.busyUntil).Add(datagramTime)
	at = latest(*linkUntil, m.busyUntil)
	if at.Sub(now) > maxBacklog {
		m.lost++
		return at, false
	}
	return at, true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lookupDatagrams returns the questions that agents have got.
func (w *flood) lookupDatagrams() (sum int) {
	for _, s := range w.agents {
		sum += s.questions
	}
	return sum
}

// mostLookupBytes returns the most bytes of lookups in any second.
func (m *machine) mostLookupBytes() (most int) {
	for start := range m.lookupBytes {
		sum := 0
		for i := range int64(10) {
			sum += m.lookupBytes[start+i]
		}
		most = max(most, sum)
	}
	return most
}

func (w *flood) runBalancer(b *floodBalancer, e router.Event) {
	for _, a := range slices.Clone(b.router.Step(w.clock.Now(), e)) {
		switch a := a.(type) {
		case router.Send:
			c := *a.Forward
			c.Packet = slices.Clone(c.Packet)
			w.forward(&b.machine, a.To, &c, a.Reason == router.Lookup)
		case router.OwnerBatch:
			s := w.agents[a.To-1]
			w.send(&b.machine, &s.machine, a.Batch, true, func() {
				if s.questions++; s.mute {
					return
				}
				w.runAgent(s, admit.OwnersQueried{
					OwnerBatch: a.Batch,
				})
			})
		case router.ReadRecord:
			b.recordWanted = true
		case router.Refuse:
			w.tellReset(&b.machine, a.Packet)
		case router.Reset:
			w.tellReset(&b.machine, a.Packet)
		}
	}
}

func (w *flood) forward(from *machine, to frame.Host, c *frame.Forward, lookup bool) {
	s := w.agents[to-1]
	w.send(from, &s.machine, c, lookup, func() {
		w.runAgent(s, admit.PacketForEndpoint{
			Packet:  w.packets[binary.BigEndian.Uint32(c.Packet)],
			Forward: c,
		})
	})
}

func (w *flood) runAgent(s *floodAgent, e admit.Event) {
	if s.down {
		return
	}
	for _, a := range slices.Clone(s.controller.Step(w.clock.Now(), e)) {
		switch a := a.(type) {
		case admit.Deliver:
			raw := slices.Clone(a.Raw)
			w.clock.After(floodHop/10, func() { w.reachEndpoint(s, raw, a.Mark) })
		case admit.SendToCaller:
			p := w.packets[binary.BigEndian.Uint32(a.Raw)]
			w.clock.After(floodHop, func() { w.answer(p) })
		case admit.ForwardToCandidate:
			c := *a.Forward
			c.Packet = slices.Clone(c.Packet)
			w.forward(&s.machine, a.To, &c, false)
		case admit.ReturnToBalancer:
			returned := a.Return
			returned.Packet = slices.Clone(returned.Packet)
			b := w.balancers[a.To-firstBalancer]
			p := w.packets[binary.BigEndian.Uint32(returned.Packet)]
			w.send(&s.machine, &b.machine, returned, p.Kind != link.Opening, func() {
				w.runBalancer(b, router.Returned{
					Packet: p,
					Return: returned,
				})
			})
		case admit.AnswerOwners:
			b := w.balancers[a.To-firstBalancer]
			w.send(&s.machine, &b.machine, a.Answers, true, func() {
				w.runBalancer(b, router.BatchAnswered{
					OwnerAnswers: a.Answers,
				})
			})
		case admit.AnnounceOwner:
			w.announce(s, a)
		}
	}
}

func (w *flood) announce(s *floodAgent, a admit.AnnounceOwner) {
	if a.To >= firstBalancer {
		b := w.balancers[a.To-firstBalancer]
		w.send(&s.machine, &b.machine, a.Owner, false, func() {
			w.runBalancer(b, router.Hint{
				Owner: a.Owner,
			})
		})
		return
	}
	o := w.agents[a.To-1]
	w.send(&s.machine, &o.machine, a.Owner, false, func() {
		w.runAgent(o, admit.OwnerAnnounced{
			Owner: a.Owner,
		})
	})
}

// reachEndpoint delivers a packet to an endpoint, which answers SYNs and bounces packets of
// flows that it does not hold.
func (w *flood) reachEndpoint(s *floodAgent, raw []byte, mark uint32) {
	p := w.packets[binary.BigEndian.Uint32(raw)]
	initial, holds := s.endpoint[p.Key]
	switch {
	case p.Kind == link.Opening:
		if !holds {
			initial = w.random.Uint32()
			s.endpoint[p.Key] = initial
		}
		w.endpointSends(s, p.Key, initial, flagSyn|flagAck, 0)
	case !holds || p.Acknowledgment-initial > 1<<20:
		w.runAgent(s, admit.PacketBounced{
			Packet: p,
			Raw:    raw,
			Mark:   mark,
		})
	default:
		w.endpointSends(s, p.Key, initial+1, flagAck, requestBytes)
	}
}

func (w *flood) endpointSends(s *floodAgent, k link.Key, sequence uint32, flags uint8, payload int) {
	p := link.Packet{
		Key:      k,
		Kind:     link.Continuing,
		Sequence: sequence,
		Flags:    flags,
		Payload:  payload,
	}
	w.runAgent(s, admit.PacketFromEndpoint{
		Packet: p,
		Raw:    w.raw(p),
	})
}

func (w *flood) raw(p link.Packet) []byte {
	w.packets = append(w.packets, p)
	raw := make([]byte, packetBytes)
	binary.BigEndian.PutUint32(raw, uint32(len(w.packets)-1))
	return raw
}
