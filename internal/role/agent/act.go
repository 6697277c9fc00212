package agent

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/rawip"
	"github.com/clementinewing/clementinewing/internal/edge/wire"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
	"github.com/clementinewing/clementinewing/internal/flow/probe"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// step passes one event to the owner table and performs the actions that it
// returns. m is the message that carried the packet of the event, if any.
func (a *Agent) step(e owner.Event, m *wire.Message) {
	s := a.flows
	s.mutex.Lock()
	actions := s.table.Step(time.Now(), e, nil)
	for _, c := range actions {
		s.storeOpening(c, m)
	}
	s.mutex.Unlock()
	for _, c := range actions {
		a.perform(s, c, m)
	}
}

func (a *Agent) perform(s *flows, c owner.Action, m *wire.Message) {
	switch c := c.(type) {
	case owner.Connect:
		a.connect(s, c)
	case owner.Accept:
		a.accept(s, c.Key)
	case owner.Deliver:
		a.deliver(s, c.Key, m)
	case owner.ForwardToCandidate:
		a.forwardToCandidate(s, c, m)
	case owner.Reject:
		a.reset(s.takeOpening(c.Key, c.Serial, m))
	case owner.Reset:
		a.reset(m)
	case owner.Drop:
	case owner.Hint:
		a.hint(s, c, m)
	case owner.Abort:
		a.abort(s, c)
	case owner.Drained:
		close(a.drained)
	}
}

func (a *Agent) deliver(s *flows, k link.Key, m *wire.Message) {
	if isDatagram(k) {
		a.deliverDatagram(s.lookup(k), m.Inner)
		return
	}
	a.stack.Inject(m.Inner)
}

// forwardToCandidate sends a packet to another candidate, directly or through the
// balancer from which the packet came.
func (a *Agent) forwardToCandidate(s *flows, c owner.ForwardToCandidate, m *wire.Message) {
	m = s.takeOpening(c.Key, c.Serial, m)
	if m == nil || c.Position >= len(m.Candidates) {
		return
	}
	m.Position = uint8(c.Position)
	m.Denied = c.Denied
	m.Round = c.Round
	next := m.Candidates[c.Position].Agent
	if c.ViaBalancer && m.Balancer.IsValid() {
		s.send(a.tunnel, m, m.Balancer)
		return
	}
	s.send(a.socketFor(next), m, next)
	a.stepPeers(probe.PacketSent{
		Peer: next,
	})
}

func (a *Agent) reset(m *wire.Message) {
	if m == nil {
		return
	}
	p, err := link.Parse(m.Inner)
	if err != nil || p.IsReset() || isDatagram(p.Key) {
		return
	}
	_, _ = a.tunnel.WriteToUDPAddrPort(rawip.AppendReset(nil, p), a.fabric)
}

// hint tells the balancer that this endpoint owns the flow. If the event carried no
// packet, the hint repeats the stored opening.
func (a *Agent) hint(s *flows, c owner.Hint, m *wire.Message) {
	if m == nil {
		m = s.pendingOpening(c.Key)
	}
	if m == nil {
		return
	}
	s.send(a.tunnel, &wire.Message{
		Kind:     wire.Hint,
		Service:  m.Service,
		Balancer: c.Balancer,
		Candidates: []wire.Candidate{
			{
				Agent:       a.Address(),
				Incarnation: a.incarnation,
			},
		},
		Inner: m.Inner[:min(len(m.Inner), maxHintBytes)],
	}, c.Balancer)
}
