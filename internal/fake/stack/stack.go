// Package stack is a tiny stand-in for the two TCP ends of a flow, over a fake
// clock: enough of RFC 9293, 6298 and 5961 that handshakes, retransmissions, lost
// ends, resets and challenges happen as with a real stack. Every segment carries
// PartBytes bytes or none, and a body that tells whose bytes they are.
package stack

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

// PartBytes is the size of a request, and of one part of an answer.
const PartBytes = 100

// Timers of both ends.
const (
	handshakeTimeout  = time.Second
	dataTimeout       = 200 * time.Millisecond
	maxTimeout        = 8 * time.Second
	giveUpTimeout     = 90 * time.Second
	keepaliveInterval = 10 * time.Second
	maxKeepalives     = 3
)

// Flags of RFC 9293.
const (
	flagFin   = 0x01
	flagSyn   = 0x02
	flagReset = 0x04
	flagAck   = 0x10
)

// Body names the bytes of a segment: which request, or which part of its answer.
type Body struct {
	Request uint64
	Part    int
}

// Segment is one packet of a flow and what its bytes are.
type Segment struct {
	link.Packet
	Body Body
}

// Timers is the clock that an end lives by.
type Timers interface {
	Now() time.Time
	After(wait time.Duration, run func())
}

// After tells whether a comes after b on the circle of sequence numbers.
func sequenceAfter(a, b uint32) bool {
	return int32(a-b) > 0
}

// queued is a segment that is sent until it is acknowledged.
type unacknowledged struct {
	segment Segment
	end     uint32
}

// sender keeps what one end has sent and the other has not acknowledged.
type sender struct {
	timers          Timers
	send            func(Segment)
	onFailed        func()
	queue           []unacknowledged
	nextSequence    uint32
	timeout         time.Duration
	giveUpAt        time.Time
	timerGeneration int
}

// push sends a segment that has to be acknowledged.
func (s *sender) transmit(g Segment) {
	length := uint32(g.Payload)
	if g.Flags&(flagSyn|flagFin) != 0 {
		length++
	}
	g.Sequence = s.nextSequence
	s.nextSequence += length
	s.queue = append(s.queue, unacknowledged{
		segment: g,
		end:     s.nextSequence,
	})
	s.send(g)
	if len(s.queue) == 1 {
		s.resetTimer()
	}
}

// acked drops what is acknowledged and tells whether anything was.
func (s *sender) acknowledge(ack uint32) bool {
	done := 0
	for done < len(s.queue) && !sequenceAfter(s.queue[done].end, ack) {
		done++
	}
	if done == 0 {
		return false
	}
	s.queue = s.queue[done:]
	s.resetTimer()
	return true
}

func (s *sender) resetTimer() {
	s.timeout = dataTimeout
	s.giveUpAt = s.timers.Now().Add(giveUpTimeout)
	if len(s.queue) > 0 && s.queue[0].segment.Flags&flagSyn != 0 {
		s.timeout = handshakeTimeout
	}
	s.startTimer()
}

// stop forgets everything unacknowledged.
func (s *sender) stop() {
	s.queue = nil
	s.timerGeneration++
}

func (s *sender) startTimer() {
	s.timerGeneration++
	round := s.timerGeneration
	if len(s.queue) == 0 {
		return
	}
	s.timers.After(s.timeout, func() {
		if round == s.timerGeneration {
			s.retransmit()
		}
	})
}

// again repeats the first unacknowledged segment.
func (s *sender) retransmit() {
	if !s.timers.Now().Before(s.giveUpAt) {
		s.stop()
		s.onFailed()
		return
	}
	s.timeout = min(2*s.timeout, maxTimeout)
	s.send(s.queue[0].segment)
	s.startTimer()
}
