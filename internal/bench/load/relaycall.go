package load

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/admit"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/router"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// The work of the relay path's callers.
const (
	minRelayWork = 40 * time.Millisecond
	maxRelayWork = 60 * time.Millisecond
	// On long flows, one request in longWorkShare takes longWorkFactor times as long.
	longWorkShare  = 0.03
	longWorkFactor = 7
	// longFlowLife and longFlowGap are the mean lifetime of a long flow and the mean time
	// between two of its requests.
	longFlowLife = 15 * time.Second
	longFlowGap  = 400 * time.Millisecond
	// In a burst, callers send burstFactor times as much for burstDuration.
	burstFactor   = 1.7
	burstDuration = 2 * time.Second
	burstInterval = 7 * time.Second
	// The demand of a failure domain varies by demandSwing with demandPeriod.
	demandSwing  = 0.55
	demandPeriod = 17 * time.Second
	relaySettle  = 4 * time.Second
	relayMeasure = 20 * time.Second

	ackFlag = 0x10
	synFlag = 0x02
	finFlag = 0x01

	requestBytes = 100
)

// resendTimes are when a caller repeats an unanswered SYN, after the first one.
var resendTimes = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// relayCall is one flow of a caller.
type relayCall struct {
	number   uint32
	balancer *relayBalancer
	startAt  time.Time
	accepted bool
	agent    *relayAgent
	requests uint32
	// random is the caller's own source, so that every policy gets the same work.
	random *rand.Rand
	// closesAt is when a long flow is closed; a short one has one request.
	closesAt time.Time
	long     bool
}

// startCalls schedules the flows of the whole trial.
func (s *relaySim) startCalls() {
	begin := s.clock.Now()
	s.meter.startAt = begin.Add(relaySettle)
	end := s.meter.startAt.Add(relayMeasure)
	source := rand.New(rand.NewPCG(s.trial.Seed, 4))
	rate := s.trial.Load * relayAgents * relaySlots / ((minRelayWork + maxRelayWork) / 2).Seconds()
	if s.trial.Demand == longFlows {
		rate /= 1 + longWorkShare*(longWorkFactor-1)
		count := int(rate * longFlowGap.Seconds())
		for range count {
			s.scheduleCall(begin.Add(time.Duration(source.Int64N(int64(time.Second)))), source)
		}
		return
	}
	for at := begin; at.Before(end); {
		factor := 1.0
		if s.trial.Demand == bursts && at.Sub(begin)%burstInterval > burstInterval-burstDuration {
			factor = burstFactor
		}
		at = at.Add(time.Duration(source.ExpFloat64() / rate / factor * float64(time.Second)))
		s.scheduleCall(at, source)
	}
}

func (s *relaySim) scheduleCall(at time.Time, source *rand.Rand) {
	c := &relayCall{
		random: rand.New(rand.NewPCG(source.Uint64(), 5)),
		long:   s.trial.Demand == longFlows,
	}
	s.clock.At(at, func() { s.open(c) })
}

// open sends the SYN of a new flow to a balancer.
func (s *relaySim) open(c *relayCall) {
	now := s.clock.Now()
	s.lastCall++
	c.number = s.lastCall
	c.balancer = s.balancers[s.chooseBalancer(c.random)]
	c.startAt = now
	c.accepted = false
	c.requests = 0
	c.closesAt = now.Add(time.Duration(c.random.ExpFloat64() * float64(longFlowLife)))
	s.calls[c.number] = c
	if !now.Before(s.meter.startAt) {
		s.meter.opened++
	}
	s.trial.Policy.open(s, c)
}

// chooseBalancer returns a balancer by the demand of its failure domain.
func (s *relaySim) chooseBalancer(random *rand.Rand) int {
	for {
		i := random.IntN(relayBalancers)
		if s.trial.Demand != moving && s.trial.Demand != longFlows {
			return i
		}
		turn := s.clock.Now().Sub(s.meter.startAt).Seconds()/demandPeriod.Seconds() + float64(i%relayZones)/relayZones
		if random.Float64()*(1+demandSwing) < 1+demandSwing*math.Sin(2*math.Pi*turn) {
			return i
		}
	}
}

// openByRelay passes the SYN to the balancer's state machine.
func openByRelay(s *relaySim, c *relayCall) {
	s.sendSYN(c, 0)
	for i, d := range resendTimes {
		s.clock.After(d, func() {
			if !c.accepted && s.calls[c.number] == c {
				s.sendSYN(c, byte(i+1))
			}
		})
	}
}

func (s *relaySim) sendSYN(c *relayCall, retransmission byte) {
	c.balancer.step(router.Packet{
		Packet: s.syn(c.number, retransmission),
		Raw:    rawSYN(c.number, retransmission),
	})
}

// Layout of a caller's packet: its number, the number of its retransmission and its flags.
const (
	retransmissionAt = 4
	flagsAt          = 5
	rawPacketBytes   = 40
)

func rawSYN(number uint32, retransmission byte) []byte {
	raw := rawPacket(number, synFlag)
	raw[retransmissionAt] = retransmission
	return raw
}

func rawPacket(number uint32, flags byte) []byte {
	raw := make([]byte, rawPacketBytes)
	binary.BigEndian.PutUint32(raw, number)
	raw[flagsAt] = flags
	return raw
}

func (s *relaySim) syn(number uint32, retransmission byte) link.Packet {
	return link.Packet{
		Key: link.Key{
			Caller:     number,
			CallerPort: uint16(number),
			Target:     relayTarget,
			TargetPort: relayPort,
			Protocol:   6,
		},
		Kind:           link.Opening,
		Sequence:       1000,
		Acknowledgment: uint32(retransmission),
		Flags:          synFlag,
	}
}

func (s *relaySim) refuse(key link.Key) {
	if _, ok := s.calls[key.Caller]; ok {
		delete(s.calls, key.Caller)
		s.meter.refused++
	}
}

// deliver passes a packet to the endpoint, which answers a SYN and acknowledges any other
// packet.
func (a *relayAgent) deliver(raw []byte) {
	s := a.sim
	c := s.calls[binary.BigEndian.Uint32(raw)]
	if c == nil {
		return
	}
	if raw[flagsAt]&synFlag == 0 {
		s.clock.After(endpointDelay, func() { a.answer(c, ackFlag, 0, 501) })
		return
	}
	if !c.accepted && c.agent == nil {
		c.agent = a
		s.meter.recordAdmission(s, c, a)
	}
	s.clock.After(endpointDelay, func() {
		c.accepted = true
		c.agent = a
		a.answer(c, synFlag|ackFlag, 0, 500)
		s.clock.After(callerRoundTrip, func() { s.request(c) })
	})
}

// answer sends a packet of the endpoint to its agent.
func (a *relayAgent) answer(c *relayCall, flags uint8, payload int, sequence uint32) {
	p := a.sim.syn(c.number, 0)
	p.Kind = link.Continuing
	p.Flags = flags
	p.Payload = payload
	p.Sequence = sequence
	a.step(admit.PacketFromEndpoint{
		Packet: p,
	})
}

// toEndpoint sends a packet of the caller to the agent, past the balancers.
func (s *relaySim) toEndpoint(c *relayCall, flags uint8, payload int) {
	p := s.syn(c.number, 0)
	p.Kind = link.Continuing
	p.Sequence = 1001 + requestBytes*c.requests
	p.Acknowledgment = 501
	p.Flags = ackFlag | flags
	p.Payload = payload
	c.agent.step(admit.PacketForEndpoint{
		Packet: p,
		Forward: &frame.Forward{
			Flags:      frame.Cached,
			Best:       frame.NoBest,
			Service:    spec.NewServiceID(relayService),
			Balancer:   c.balancer.host,
			Candidates: []frame.Host{c.agent.host},
			Packet:     rawPacket(c.number, ackFlag|flags),
		},
	})
}

// request sends one request on an open flow and records its wait for a slot.
func (s *relaySim) request(c *relayCall) {
	a, begin := c.agent, c.startAt
	if c.requests > 0 {
		begin = s.clock.Now()
	}
	s.toEndpoint(c, 0, requestBytes)
	c.requests++
	s.meter.recordRequest(s, a)
	a.run(func() time.Duration {
		s.meter.recordWait(s.clock.Now(), begin)
		return s.workDuration(c)
	}, func() { s.finish(c) })
}

func (s *relaySim) workDuration(c *relayCall) time.Duration {
	work := minRelayWork + time.Duration(c.random.Int64N(int64(maxRelayWork-minRelayWork)))
	if c.long && c.random.Float64() < longWorkShare {
		work *= longWorkFactor
	}
	return work
}

// finish answers a request. A long flow goes on; its caller replaces it after its end.
func (s *relaySim) finish(c *relayCall) {
	a := c.agent
	if c.long && s.clock.Now().Before(c.closesAt) {
		a.answer(c, ackFlag, requestBytes, 501)
		s.clock.After(time.Duration(c.random.ExpFloat64()*float64(longFlowGap)), func() { s.request(c) })
		return
	}
	a.answer(c, ackFlag|finFlag, requestBytes, 501)
	s.toEndpoint(c, finFlag, 0)
	delete(s.calls, c.number)
	s.trial.Policy.finished(s, a)
	if c.long {
		c.agent = nil
		s.open(c)
	}
}
