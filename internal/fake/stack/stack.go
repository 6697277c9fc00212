// Package stack simulates the two TCP endpoints of a flow on a fake clock. It
// implements enough of RFC 9293, 6298 and 5961 that handshakes, retransmissions, lost
// FINs, resets and challenge ACKs happen as with a real stack. Every segment carries
// PartBytes bytes or none, and a body that identifies these bytes.
package stack

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

// PartBytes is the size of a request and of one part of an answer.
const PartBytes = 100

// Timers of both endpoints.
const (
	handshakeTimeout  = time.Second
	dataTimeout       = 200 * time.Millisecond
	maxTimeout        = 8 * time.Second
	giveUpTimeout     = 90 * time.Second
	keepaliveInterval = 10 * time.Second
	maxKeepalives     = 3
)

// TCP flags (RFC 9293, section 3.1).
const (
	flagFin   = 0x01
	flagSyn   = 0x02
	flagReset = 0x04
	flagAck   = 0x10
)

// Body identifies the bytes of a segment: the request, or the part of its answer.
type Body struct {
	Request uint64
	Part    int
}

// Segment is one packet of a flow with the body that it carries.
type Segment struct {
	link.Packet
	Body Body
}

// Timers is the clock of an endpoint.
type Timers interface {
	Now() time.Time
	After(wait time.Duration, run func())
}

// sequenceAfter reports whether a comes after b in sequence space, modulo 2^32.
func sequenceAfter(a, b uint32) bool {
	return int32(a-b) > 0
}

// unacknowledged is a segment that is retransmitted until it is acknowledged.
type unacknowledged struct {
	segment Segment
	end     uint32
}

// sender holds the unacknowledged segments of one endpoint and retransmits them.
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

// transmit sends a segment and keeps it until it is acknowledged.
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

// acknowledge drops the acknowledged segments and reports whether there were any.
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

// stop drops all unacknowledged segments and stops the timer.
func (s *sender) stop() {
	s.queue = nil
	s.timerGeneration++
}

func (s *sender) startTimer() {
	s.timerGeneration++
	generation := s.timerGeneration
	if len(s.queue) == 0 {
		return
	}
	s.timers.After(s.timeout, func() {
		if generation == s.timerGeneration {
			s.retransmit()
		}
	})
}

// retransmit repeats the first unacknowledged segment with exponential backoff, and
// calls onFailed once giveUpAt has passed.
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
