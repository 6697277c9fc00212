package stack

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

// Server is the TCP endpoint of one flow on the side of the upstream.
type Server struct {
	// Key is the key of the flow.
	Key link.Key

	timers         Timers
	send           func(Segment)
	runRequest     func(request uint64)
	onEnded        func()
	sender         sender
	nextExpected   uint32
	established    bool
	callerClosed   bool
	closing        bool
	dead           bool
	activeRequests int
	heardAt        time.Time
	keepalivesSent int
}

// Hooks are the callbacks of a Server.
type Hooks struct {
	// Send sends a packet to the caller.
	Send func(Segment)
	// Run runs a request that was received completely.
	Run func(request uint64)
	// Ended is called once, when the flow ends other than by Abort.
	Ended func()
}

// NewServer accepts a flow by answering its SYN. The sequence number of the answer is
// initial.
func NewServer(syn Segment, initial uint32, t Timers, h Hooks) *Server {
	s := &Server{
		Key:          syn.Key,
		timers:       t,
		send:         h.Send,
		runRequest:   h.Run,
		onEnded:      h.Ended,
		nextExpected: syn.Sequence + 1,
		heardAt:      t.Now(),
	}
	s.sender = sender{
		timers:       t,
		send:         h.Send,
		onFailed:     s.end,
		nextSequence: initial,
	}
	g := s.segment()
	g.Flags |= flagSyn
	s.sender.transmit(g)
	t.After(keepaliveInterval, s.keepalive)
	return s
}

func (s *Server) segment() Segment {
	return Segment{
		Packet: link.Packet{
			Key:            s.Key,
			Kind:           link.Continuing,
			Sequence:       s.sender.nextSequence,
			Acknowledgment: s.nextExpected,
			Flags:          flagAck,
		},
	}
}

// Receive handles a packet of the flow.
func (s *Server) Receive(g Segment) {
	switch {
	case s.dead:
	case g.IsReset():
		s.receiveReset(g)
	case g.Flags&flagSyn != 0:
		s.receiveOpening(g)
	default:
		s.receive(g)
	}
}

// receiveReset ends the flow if the sequence number is the next one expected, and
// answers any other reset with a challenge ACK (RFC 5961, section 3).
func (s *Server) receiveReset(g Segment) {
	if g.Sequence == s.nextExpected {
		s.end()
		return
	}
	s.send(s.segment())
}

// receiveOpening repeats the SYN-ACK for a retransmitted SYN, and answers any other SYN
// with a challenge ACK (RFC 5961, section 4).
func (s *Server) receiveOpening(g Segment) {
	if !s.established && g.Sequence+1 == s.nextExpected {
		s.send(s.sender.queue[0].segment)
		return
	}
	s.send(s.segment())
}

func (s *Server) receive(g Segment) {
	s.heardAt = s.timers.Now()
	s.keepalivesSent = 0
	if g.HasAck() && !sequenceAfter(g.Acknowledgment, s.sender.nextSequence) && s.sender.acknowledge(g.Acknowledgment) {
		s.established = true
	}
	if g.Payload > 0 || g.Flags&flagFin != 0 {
		s.takeData(g)
	}
	if s.closing && len(s.sender.queue) == 0 {
		s.end()
	}
}

func (s *Server) takeData(g Segment) {
	if g.Sequence != s.nextExpected {
		s.send(s.segment())
		return
	}
	s.nextExpected += uint32(g.Payload)
	if g.Flags&flagFin != 0 {
		s.nextExpected++
		s.callerClosed = true
	}
	s.send(s.segment())
	if g.Payload > 0 {
		s.activeRequests++
		s.runRequest(g.Body.Request)
	}
	s.closeWhenDone()
}

// Answer sends one part of an answer. The request is done after the last part.
func (s *Server) Answer(b Body, last bool) {
	if s.dead {
		return
	}
	g := s.segment()
	g.Payload = PartBytes
	g.Body = b
	s.sender.transmit(g)
	if last {
		s.activeRequests--
		s.closeWhenDone()
	}
}

// closeWhenDone sends a FIN once the caller has sent its FIN and every request is
// answered.
func (s *Server) closeWhenDone() {
	if !s.callerClosed || s.activeRequests > 0 || s.closing {
		return
	}
	s.closing = true
	g := s.segment()
	g.Kind = link.Closing
	g.Flags |= flagFin
	s.sender.transmit(g)
}

// keepalive probes an idle caller and ends the flow after maxKeepalives unanswered
// probes (RFC 9293, section 3.8.4).
func (s *Server) keepalive() {
	if s.dead {
		return
	}
	idle := s.timers.Now().Sub(s.heardAt)
	if idle >= keepaliveInterval {
		if s.keepalivesSent == maxKeepalives {
			s.end()
			return
		}
		s.keepalivesSent++
		g := s.segment()
		g.Sequence--
		s.send(g)
	}
	s.timers.After(keepaliveInterval, s.keepalive)
}

// Idle reports whether no request is being run.
func (s *Server) Idle() bool {
	return s.activeRequests == 0
}

// Abort ends the flow at once, with a reset to the caller unless silent.
func (s *Server) Abort(silent bool) {
	if s.dead {
		return
	}
	if !silent {
		g := s.segment()
		g.Kind = link.Closing
		g.Flags |= flagReset
		s.send(g)
	}
	s.dead = true
	s.sender.stop()
}

func (s *Server) end() {
	if s.dead {
		return
	}
	s.dead = true
	s.sender.stop()
	s.onEnded()
}
