package agent

import (
	"slices"

	"github.com/clementinewing/clementinewing/internal/fake/stack"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
	"github.com/clementinewing/clementinewing/internal/flow/probe"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// Flags of RFC 9293.
const (
	flagReset = 0x04
	flagAck   = 0x10
)

// most is the longest list of candidates.
const most = 16

// extend adds the endpoints that this process knows and the list lacks. It knows
// those of its own service alone.
func (a *Agent) extend(m *Message) {
	if a.Alone || m.Service != a.Endpoint.Service {
		return
	}
	var missing []node.Endpoint
	for _, e := range a.View {
		known := slices.ContainsFunc(m.Candidates, func(c node.Endpoint) bool {
			return c.Agent == e.Agent && c.Incarnation == e.Incarnation
		})
		if !known {
			missing = append(missing, e)
		}
	}
	slices.SortFunc(missing, func(x, y node.Endpoint) int { return x.Agent.Compare(y.Agent) })
	missing = missing[:min(len(missing), most-len(m.Candidates))]
	m.Candidates = append(slices.Clone(m.Candidates), missing...)
}

func (a *Agent) do(action owner.Action) {
	switch x := action.(type) {
	case owner.Queue:
		a.kept[x.Serial] = *a.hand
	case owner.Connect:
		a.connect(x)
	case owner.Accept:
		a.accept(x)
	case owner.Deliver:
		a.deliver(x)
	case owner.ForwardToCandidate:
		a.pass(x)
	case owner.Reject:
		g := a.take(x.Serial).Segment
		a.outside.Caller(a.Endpoint.Agent, reset(g))
	case owner.Reset:
		a.outside.Caller(a.Endpoint.Agent, reset(a.hand.Segment))
	case owner.Hint:
		a.outside.Hint(a.Endpoint.Agent, x.Balancer, x.Key, a.Endpoint.Incarnation)
	case owner.Abort:
		a.abort(x)
	case owner.Drained:
		a.outside.Emptied(a)
	}
}

// take gives the kept opening of a flow, or the packet at hand.
func (a *Agent) take(serial uint64) Message {
	if serial == 0 {
		return *a.hand
	}
	m := a.kept[serial]
	delete(a.kept, serial)
	return m
}

func (a *Agent) connect(x owner.Connect) {
	if _, known := a.kept[x.Serial]; !known {
		a.kept[x.Serial] = *a.hand
	}
	a.after(a.Upstream.ConnectTime, func() {
		if a.Upstream.Refuses {
			a.step(nil, owner.UpstreamFailed{
				Key:    x.Key,
				Serial: x.Serial,
			})
			return
		}
		a.step(nil, owner.UpstreamConnected(x))
	})
}

func (a *Agent) accept(x owner.Accept) {
	m := a.take(x.Serial)
	s := &served{
		serial: x.Serial,
	}
	a.servers[x.Key] = s
	s.server = stack.NewServer(m.Segment, a.random.Uint32(), a, stack.Hooks{
		Send:  a.answer,
		Run:   func(request uint64) { a.run(s, request) },
		Ended: func() { a.finish(x.Key, s) },
	})
}

// answer sends what the stack says.
func (a *Agent) answer(g stack.Segment) {
	a.step(nil, owner.PacketFromEndpoint{
		Packet: g.Packet,
	})
	a.outside.Caller(a.Endpoint.Agent, g)
}

// run does a request, a part of its answer at a time.
func (a *Agent) run(s *served, request uint64) {
	a.outside.Ran(a, s.server.Key, request)
	a.part(s, request, 0)
}

func (a *Agent) part(s *served, request uint64, part int) {
	a.after(a.Upstream.WorkTime, func() {
		last := part == a.Upstream.Parts-1
		s.server.Answer(stack.Body{
			Request: request,
			Part:    part,
		}, last)
		if !last {
			a.part(s, request, part+1)
		}
	})
}

func (a *Agent) finish(key link.Key, s *served) {
	if a.servers[key] == s {
		delete(a.servers, key)
	}
	a.step(nil, owner.FlowEnded{
		Key:    key,
		Serial: s.serial,
	})
}

func (a *Agent) deliver(x owner.Deliver) {
	s := a.servers[x.Key]
	if s == nil {
		// A real stack would answer with a reset of its own.
		a.outside.Caller(a.Endpoint.Agent, reset(a.hand.Segment))
		return
	}
	s.server.Receive(a.hand.Segment)
}

func (a *Agent) pass(x owner.ForwardToCandidate) {
	m := a.take(x.Serial)
	m.Position = x.Position
	m.Denied = x.Denied
	m.Round = x.Round
	m.Hops++
	peer := m.Candidates[x.Position].Agent
	if x.ViaBalancer {
		a.outside.Pass(a.Endpoint.Agent, m.Balancer, m)
		return
	}
	a.outside.Pass(a.Endpoint.Agent, peer, m)
	a.probe(probe.PacketSent{
		Peer: peer,
	})
}

func (a *Agent) abort(x owner.Abort) {
	delete(a.kept, x.Serial)
	s := a.servers[x.Key]
	if s == nil || s.serial != x.Serial {
		return
	}
	delete(a.servers, x.Key)
	s.server.Cut(x.Silent)
}

// reset is the answer to a packet of a flow that is not held (RFC 9293, section
// 3.10.7.1).
func reset(g stack.Segment) stack.Segment {
	answer := stack.Segment{
		Packet: link.Packet{
			Key:   g.Key,
			Kind:  link.Closing,
			Flags: flagReset,
		},
	}
	if g.HasAck() {
		answer.Sequence = g.Acknowledgment
		return answer
	}
	answer.Flags |= flagAck
	answer.Acknowledgment = g.Sequence + uint32(g.Payload)
	if g.Kind == link.Opening {
		answer.Acknowledgment++
	}
	return answer
}
