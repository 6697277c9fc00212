package admit_test

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/admit"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// Packets of callers, in the first byte of Forward.Packet. The other bytes hold the flow.
const (
	rawOpening = iota
	rawRequest
	rawFin
)

// forwardFromCaller forwards a packet of a caller to an agent.
func (s *simulatedAgent) forwardFromCaller(flow uint32, list []frame.Host, raw byte) {
	kind := s.simulation.kind
	if c, ok := s.simulation.calls[flow]; ok {
		kind = c.kind
	}
	c := &frame.Forward{
		Best:            frame.NoBest,
		LatencyTargetMS: uint16(kind.latencyTarget.Milliseconds()),
		Priority:        kind.priority,
		Service:         spec.NewServiceID(service),
		Balancer:        90,
		Candidates:      list,
		Packet:          rawPacket(raw, flow),
	}
	if raw != rawOpening {
		c.Flags = frame.Cached
	}
	p := newPacket(flow, raw != rawOpening)
	if raw == rawFin {
		p.Kind = link.Closing
		p.Sequence += 10
		p.Payload = 0
		p.Flags |= flagFin
	}
	s.step(admit.PacketForEndpoint{
		Packet:  p,
		Forward: c,
	})
}

func rawPacket(raw byte, flow uint32) []byte {
	return []byte{raw, byte(flow >> 16), byte(flow >> 8), byte(flow)}
}

func flowOfRaw(raw []byte) uint32 {
	return uint32(raw[1])<<16 | uint32(raw[2])<<8 | uint32(raw[3])
}

func flowOfKey(k link.Key) uint32 {
	return (k.Caller-7)<<16 | uint32(k.CallerPort)
}

func newPacket(flow uint32, request bool) link.Packet {
	p := link.Packet{
		Key: link.Key{
			Caller:     7 + flow>>16,
			CallerPort: uint16(flow),
		},
		Kind:     link.Opening,
		Sequence: 1000 + flow<<8,
		Flags:    flagSyn,
	}
	if request {
		p.Kind = link.Continuing
		p.Sequence++
		p.Acknowledgment = 501
		p.Payload = 10
		p.Flags = flagAck
	}
	return p
}

func (s *simulatedAgent) tick() {
	s.step(admit.Tick{})
	s.simulation.clock.After(admit.TickInterval, s.tick)
}

// sendFromEndpoint passes a packet of the endpoint to its agent.
func (s *simulatedAgent) sendFromEndpoint(flow uint32, flags uint8, payload int) {
	p := newPacket(flow, false)
	p.Kind = link.Continuing
	p.Sequence = 500
	p.Flags = flags
	p.Payload = payload
	s.step(admit.PacketFromEndpoint{
		Packet: p,
	})
}

func (s *simulatedAgent) step(e admit.Event) {
	w := s.simulation
	actions := append([]admit.Action(nil), s.controller.Step(w.clock.Now(), e)...)
	switch {
	case !s.hasFreeSlot():
		s.freeSince = time.Time{}
	case s.freeSince.IsZero():
		s.freeSince = w.clock.Now()
	}
	for _, a := range actions {
		switch a := a.(type) {
		case admit.Deliver:
			flow := flowOfRaw(a.Raw)
			switch a.Raw[0] {
			case rawRequest:
				s.handleRequest(flow)
			case rawOpening:
				w.clock.After(time.Microsecond, func() { s.answerOpening(flow) })
			}
		case admit.AnnounceOwner:
			if c, ok := w.calls[flowOfKey(a.Owner.Key)]; ok {
				c.queuedAt = s
			}
		case admit.ForwardToCandidate:
			c := *a.Forward
			flow := flowOfKey(a.Key)
			w.clock.After(hopDelay, func() {
				w.agents[a.To-1].step(admit.PacketForEndpoint{
					Packet:  newPacket(flow, false),
					Forward: &c,
				})
			})
		case admit.ReturnToBalancer:
			flow := flowOfKey(a.Key)
			if c, ok := w.calls[flow]; ok {
				if w.offerFurther(flow, c) {
					continue
				}
				if w.observer != nil {
					w.observer(flow, c)
				}
				w.clock.After(2*hopDelay, func() { w.endAttempt(flow, c) })
			}
		}
	}
}

// answerOpening answers a SYN. The caller's request follows one round trip later.
func (s *simulatedAgent) answerOpening(flow uint32) {
	s.sendFromEndpoint(flow, flagSyn|flagAck, 0)
	c, ok := s.simulation.calls[flow]
	if !ok {
		return
	}
	c.agent = s
	s.simulation.clock.After(2*hopDelay, func() { s.forwardFromCaller(flow, []frame.Host{s.host}, rawRequest) })
}

// handleRequest runs, queues or sheds a request at the endpoint.
func (s *simulatedAgent) handleRequest(flow uint32) {
	switch {
	case s.busySlots < s.simulation.slots:
		s.runRequest(flow)
	case len(s.queue) < s.simulation.queue:
		s.queue = append(s.queue, flow)
	default:
		s.sendFromEndpoint(flow, flagAck, 10)
		if c, ok := s.simulation.calls[flow]; ok {
			c.agent = nil
			s.simulation.endAttempt(flow, c)
		}
	}
}

func (s *simulatedAgent) runRequest(flow uint32) {
	s.busySlots++
	w := s.simulation
	work := time.Duration(0)
	if c, ok := w.calls[flow]; ok {
		work = c.work
	}
	if work == 0 {
		work = time.Duration(float64(w.kind.averageWork) * (0.5 + w.random.Float64()))
	}
	if s.slowdown > 0 {
		work = time.Duration(float64(work) * s.slowdown)
	}
	if w.clock.Now().Before(w.warmAt) {
		work = time.Duration(float64(work) * coldFactor)
	}
	w.clock.After(work, func() {
		s.busySlots--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.runRequest(next)
		}
		closes := false
		if c, ok := w.calls[flow]; ok {
			closes = c.kind.closes
		}
		w.recordAnswer(flow)
		if !closes {
			s.sendFromEndpoint(flow, flagAck, 10)
			return
		}
		s.sendFromEndpoint(flow, flagAck|flagFin, 10)
		w.clock.After(2*hopDelay, func() { s.forwardFromCaller(flow, []frame.Host{s.host}, rawFin) })
	})
}

func (w *loadSimulation) recordAnswer(flow uint32) {
	c, ok := w.calls[flow]
	if !ok || c.finished {
		return
	}
	delete(w.calls, flow)
	c.finished = true
	switch took := w.clock.Now().Add(hopDelay).Sub(c.dueAt); {
	case took <= c.kind.latencyTarget:
		c.kind.outcome.onTarget++
	case took <= c.kind.timeout:
		c.kind.outcome.late++
	default:
		c.kind.outcome.failed++
	}
}
