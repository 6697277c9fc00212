package agent

import (
	"slices"

	"github.com/clementinewing/clementinewing/internal/fake/stack"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
	"github.com/clementinewing/clementinewing/internal/flow/probe"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// TCP flags (RFC 9293, section 3.1).
const (
	flagReset = 0x04
	flagAck   = 0x10
)

// maxCandidates is the greatest length of a candidate list.
const maxCandidates = 16

// extendCandidates appends the endpoints that this agent knows and the candidate list
// lacks. An agent knows only the endpoints of its own service.
func (a *Agent) extendCandidates(m *Message) {
	if a.FixedList || m.Service != a.Endpoint.Service {
		return
	}
	var missing []node.Endpoint
	for _, e := range a.Endpoints {
		known := slices.ContainsFunc(m.Candidates, func(c node.Endpoint) bool {
			return c.Agent == e.Agent && c.Incarnation == e.Incarnation
		})
		if !known {
			missing = append(missing, e)
		}
	}
	slices.SortFunc(missing, func(x, y node.Endpoint) int { return x.Agent.Compare(y.Agent) })
	missing = missing[:min(len(missing), maxCandidates-len(m.Candidates))]
	m.Candidates = append(slices.Clone(m.Candidates), missing...)
}

func (a *Agent) perform(action owner.Action) {
	switch x := action.(type) {
	case owner.Queue:
		a.queued[x.Serial] = *a.current
	case owner.Connect:
		a.connect(x)
	case owner.Accept:
		a.accept(x)
	case owner.Deliver:
		a.deliver(x)
	case owner.ForwardToCandidate:
		a.forwardToCandidate(x)
	case owner.Reject:
		g := a.takeQueued(x.Serial).Segment
		a.environment.SendToCaller(a.Endpoint.Agent, newReset(g))
	case owner.Reset:
		a.environment.SendToCaller(a.Endpoint.Agent, newReset(a.current.Segment))
	case owner.Hint:
		a.environment.SendHint(a.Endpoint.Agent, x.Balancer, x.Key, a.Endpoint.Incarnation)
	case owner.Abort:
		a.abort(x)
	case owner.Drained:
		a.environment.OnDrained(a)
	}
}

// takeQueued removes and returns the queued SYN of a flow. For serial 0 it returns the
// packet of the current event.
func (a *Agent) takeQueued(serial uint64) Message {
	if serial == 0 {
		return *a.current
	}
	m := a.queued[serial]
	delete(a.queued, serial)
	return m
}

func (a *Agent) connect(x owner.Connect) {
	if _, known := a.queued[x.Serial]; !known {
		a.queued[x.Serial] = *a.current
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
	m := a.takeQueued(x.Serial)
	s := &acceptedFlow{
		serial: x.Serial,
	}
	a.servers[x.Key] = s
	s.server = stack.NewServer(m.Segment, a.random.Uint32(), a, stack.Hooks{
		Send:  a.sendToCaller,
		Run:   func(request uint64) { a.runRequest(s, request) },
		Ended: func() { a.endFlow(x.Key, s) },
	})
}

// sendToCaller sends a packet of the stack to the caller and reports it to the flow
// table.
func (a *Agent) sendToCaller(g stack.Segment) {
	a.step(nil, owner.PacketFromEndpoint{
		Packet: g.Packet,
	})
	a.environment.SendToCaller(a.Endpoint.Agent, g)
}

// runRequest runs a request and sends its answer part by part.
func (a *Agent) runRequest(s *acceptedFlow, request uint64) {
	a.environment.OnRequest(a, s.server.Key, request)
	a.sendPart(s, request, 0)
}

func (a *Agent) sendPart(s *acceptedFlow, request uint64, part int) {
	a.after(a.Upstream.WorkTime, func() {
		last := part == a.Upstream.Parts-1
		s.server.Answer(stack.Body{
			Request: request,
			Part:    part,
		}, last)
		if !last {
			a.sendPart(s, request, part+1)
		}
	})
}

func (a *Agent) endFlow(key link.Key, s *acceptedFlow) {
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
		// A real stack answers a packet of an unknown flow with a reset.
		a.environment.SendToCaller(a.Endpoint.Agent, newReset(a.current.Segment))
		return
	}
	s.server.Receive(a.current.Segment)
}

func (a *Agent) forwardToCandidate(x owner.ForwardToCandidate) {
	m := a.takeQueued(x.Serial)
	m.Position = x.Position
	m.Denied = x.Denied
	m.Round = x.Round
	m.Hops++
	peer := m.Candidates[x.Position].Agent
	if x.ViaBalancer {
		a.environment.Forward(a.Endpoint.Agent, m.Balancer, m)
		return
	}
	a.environment.Forward(a.Endpoint.Agent, peer, m)
	a.probe(probe.PacketSent{
		Peer: peer,
	})
}

func (a *Agent) abort(x owner.Abort) {
	delete(a.queued, x.Serial)
	s := a.servers[x.Key]
	if s == nil || s.serial != x.Serial {
		return
	}
	delete(a.servers, x.Key)
	s.server.Abort(x.Silent)
}

// newReset returns the reset that answers a packet of an unknown flow (RFC 9293,
// section 3.10.7.1).
func newReset(g stack.Segment) stack.Segment {
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
