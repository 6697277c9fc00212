package stack

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

// Server is the endpoint's end of one flow.
type Server struct {
	// Key is the flow's.
	Key link.Key

	timers      Timers
	send        func(Segment)
	run         func(request uint64)
	ended       func()
	sender      sender
	expected    uint32
	established bool
	callerDone  bool
	closing     bool
	dead        bool
	busy        int
	heard       time.Time
	unanswered  int
}

// Hooks are what a Server needs of its surroundings.
type Hooks struct {
	// Send takes a packet to the caller.
	Send func(Segment)
	// Run takes a request that has come whole.
	Run func(request uint64)
	// Ended is called once, when the flow is over.
	Ended func()
}

// NewServer answers an opening; initial is the sequence number of the answer.
func NewServer(opening Segment, initial uint32, t Timers, h Hooks) *Server {
	s := &Server{
		Key:      opening.Key,
		timers:   t,
		send:     h.Send,
		run:      h.Run,
		ended:    h.Ended,
		expected: opening.Sequence + 1,
		heard:    t.Now(),
	}
	s.sender = sender{
		timers: t,
		send:   h.Send,
		failed: s.end,
		next:   initial,
	}
	g := s.segment()
	g.Flags |= flagSyn
	s.sender.push(g)
	t.After(keepaliveEvery, s.keepalive)
	return s
}

func (s *Server) segment() Segment {
	return Segment{
		Packet: link.Packet{
			Key:            s.Key,
			Kind:           link.Continuing,
			Sequence:       s.sender.next,
			Acknowledgment: s.expected,
			Flags:          flagAck,
		},
	}
}

// Receive takes a packet of the flow.
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

// receiveReset ends the flow for an exact number and challenges any other (RFC
// 5961, section 3).
func (s *Server) receiveReset(g Segment) {
	if g.Sequence == s.expected {
		s.end()
		return
	}
	s.send(s.segment())
}

// receiveOpening repeats the answer, or challenges (RFC 5961, section 4).
func (s *Server) receiveOpening(g Segment) {
	if !s.established && g.Sequence+1 == s.expected {
		s.send(s.sender.queue[0].segment)
		return
	}
	s.send(s.segment())
}

func (s *Server) receive(g Segment) {
	s.heard = s.timers.Now()
	s.unanswered = 0
	if g.HasAck() && !after(g.Acknowledgment, s.sender.next) && s.sender.acked(g.Acknowledgment) {
		s.established = true
	}
	if g.Payload > 0 || g.Flags&flagFin != 0 {
		s.take(g)
	}
	if s.closing && len(s.sender.queue) == 0 {
		s.end()
	}
}

func (s *Server) take(g Segment) {
	if g.Sequence != s.expected {
		s.send(s.segment())
		return
	}
	s.expected += uint32(g.Payload)
	if g.Flags&flagFin != 0 {
		s.expected++
		s.callerDone = true
	}
	s.send(s.segment())
	if g.Payload > 0 {
		s.busy++
		s.run(g.Body.Request)
	}
	s.close()
}

// Answer sends one part of an answer; last tells that it is the last.
func (s *Server) Answer(b Body, last bool) {
	if s.dead {
		return
	}
	g := s.segment()
	g.Payload = PartBytes
	g.Body = b
	s.sender.push(g)
	if last {
		s.busy--
		s.close()
	}
}

// close sends the end once the caller has and nothing is left to answer.
func (s *Server) close() {
	if !s.callerDone || s.busy > 0 || s.closing {
		return
	}
	s.closing = true
	g := s.segment()
	g.Kind = link.Closing
	g.Flags |= flagFin
	s.sender.push(g)
}

// keepalive asks a quiet caller for a sign of life (RFC 9293, section 3.8.4).
func (s *Server) keepalive() {
	if s.dead {
		return
	}
	quiet := s.timers.Now().Sub(s.heard)
	if quiet >= keepaliveEvery {
		if s.unanswered == keepalivesMost {
			s.end()
			return
		}
		s.unanswered++
		g := s.segment()
		g.Sequence--
		s.send(g)
	}
	s.timers.After(keepaliveEvery, s.keepalive)
}

// Idle tells whether no request is in work.
func (s *Server) Idle() bool {
	return s.busy == 0
}

// Cut ends the flow at once; silent ends tell the caller nothing.
func (s *Server) Cut(silent bool) {
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
	s.ended()
}
