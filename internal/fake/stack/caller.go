package stack

import (
	"math/rand/v2"
	"time"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

// Outcome is how a flow ended from the view of its caller.
type Outcome uint8

const (
	// Pending means that the flow has not ended.
	Pending Outcome = iota
	// Finished means that the caller got every answer completely and closed the flow.
	Finished
	// Refused means that the SYN was answered with a reset, so that nothing was run.
	Refused
	// Broken means that the flow failed after it was established.
	Broken
	// Unanswered means that the caller got no answer to its SYN and gave up.
	Unanswered
)

// Workload is the sequence of requests that a caller sends on its flow.
type Workload struct {
	Key link.Key
	// FirstRequest is the number of the first request. Later requests count up from it.
	FirstRequest uint64
	// Requests is the number of requests, one after the other. Parts is the number of
	// parts of each answer.
	Requests int
	Parts    int
	// Pause is the time between an answer and the next request.
	Pause time.Duration
}

// Caller is the caller's TCP endpoint of one flow.
type Caller struct {
	Workload Workload
	Outcome  Outcome
	// ForeignParts counts received parts that belong to other answers.
	ForeignParts int
	// EstablishedAt is the time at which the handshake was complete, EndedAt that at
	// which the outcome was known.
	EstablishedAt time.Time
	EndedAt       time.Time

	timers          Timers
	send            func(Segment)
	sender          sender
	initialSequence uint32
	nextExpected    uint32
	requestsSent    int
	partsReceived   int
	established     bool
	closing         bool
	heardAt         time.Time
	keepalivesSent  int
	onEnded         func(*Caller)
}

// NewCaller starts a flow by sending its SYN.
func NewCaller(p Workload, t Timers, r *rand.Rand, send func(Segment), ended func(*Caller)) *Caller {
	c := &Caller{
		Workload:        p,
		timers:          t,
		send:            send,
		initialSequence: r.Uint32(),
		onEnded:         ended,
	}
	c.sender = sender{
		timers:       t,
		send:         send,
		onFailed:     c.retransmissionFailed,
		nextSequence: c.initialSequence,
	}
	syn := c.segment()
	syn.Kind = link.Opening
	syn.Flags = flagSyn
	c.sender.transmit(syn)
	return c
}

// Alive reports whether the flow has not ended.
func (c *Caller) Alive() bool {
	return c.Outcome == Pending
}

// Established reports whether the handshake is complete.
func (c *Caller) Established() bool {
	return c.established
}

func (c *Caller) segment() Segment {
	return Segment{
		Packet: link.Packet{
			Key:            c.Workload.Key,
			Kind:           link.Continuing,
			Sequence:       c.sender.nextSequence,
			Acknowledgment: c.nextExpected,
			Flags:          flagAck,
		},
	}
}

// Receive handles a packet from any endpoint.
func (c *Caller) Receive(g Segment) {
	switch {
	case !c.Alive():
		c.receiveClosed(g)
	case !c.established:
		c.receiveOpening(g)
	case g.IsReset():
		if g.Sequence == c.nextExpected {
			c.finish(Broken)
		}
	case g.Flags&flagSyn != 0:
		c.send(c.segment())
	default:
		c.receiveOpen(g)
	}
}

// receiveClosed answers like a host without the flow: with a reset to any packet that
// is not one. A finished caller still acknowledges a retransmitted FIN.
func (c *Caller) receiveClosed(g Segment) {
	switch {
	case g.IsReset():
	case c.Outcome != Finished:
		c.reset(g.Acknowledgment)
	case g.Flags&flagFin != 0:
		c.send(c.segment())
	}
}

func (c *Caller) reset(sequence uint32) {
	g := c.segment()
	g.Kind = link.Closing
	g.Flags = flagReset
	g.Sequence = sequence
	g.Acknowledgment = 0
	c.send(g)
}

func (c *Caller) receiveOpening(g Segment) {
	acceptable := g.HasAck() && g.Acknowledgment == c.initialSequence+1
	switch {
	case g.IsReset():
		if acceptable {
			c.finish(Refused)
		}
	case g.HasAck() && !acceptable:
		c.reset(g.Acknowledgment)
	case g.Flags&flagSyn != 0:
		c.established = true
		c.EstablishedAt = c.timers.Now()
		c.nextExpected = g.Sequence + 1
		c.sender.acknowledge(g.Acknowledgment)
		c.send(c.segment())
		c.heardAt = c.EstablishedAt
		c.timers.After(keepaliveInterval, c.keepalive)
		c.sendNextRequest()
	}
}

// keepalive probes an idle endpoint and ends the flow after maxKeepalives unanswered
// probes (RFC 9293, section 3.8.4).
func (c *Caller) keepalive() {
	if !c.Alive() {
		return
	}
	if c.timers.Now().Sub(c.heardAt) >= keepaliveInterval {
		if c.keepalivesSent == maxKeepalives {
			c.finish(Broken)
			return
		}
		c.keepalivesSent++
		g := c.segment()
		g.Sequence--
		c.send(g)
	}
	c.timers.After(keepaliveInterval, c.keepalive)
}

func (c *Caller) receiveOpen(g Segment) {
	c.heardAt = c.timers.Now()
	c.keepalivesSent = 0
	if g.HasAck() && !sequenceAfter(g.Acknowledgment, c.sender.nextSequence) {
		c.sender.acknowledge(g.Acknowledgment)
	}
	if g.Payload == 0 && g.Flags&flagFin == 0 {
		if g.Sequence != c.nextExpected {
			c.send(c.segment())
		}
		return
	}
	if g.Sequence != c.nextExpected {
		c.send(c.segment())
		return
	}
	c.takeData(g)
}

// takeData handles the next part of the answer, or the FIN.
func (c *Caller) takeData(g Segment) {
	if g.Payload > 0 {
		c.nextExpected += uint32(g.Payload)
		if g.Body.Request != c.Workload.FirstRequest+uint64(c.requestsSent-1) || g.Body.Part != c.partsReceived {
			c.ForeignParts++
		}
		c.partsReceived++
	}
	if g.Flags&flagFin != 0 {
		c.nextExpected++
	}
	c.send(c.segment())
	switch {
	case g.Flags&flagFin != 0 && c.closing:
		c.finish(Finished)
	case g.Flags&flagFin != 0:
		c.finish(Broken)
	case c.partsReceived == c.Workload.Parts:
		c.timers.After(c.Workload.Pause, c.sendNextRequest)
	}
}

// sendNextRequest sends the next request, or a FIN after the last one.
func (c *Caller) sendNextRequest() {
	if !c.Alive() {
		return
	}
	g := c.segment()
	if c.requestsSent == c.Workload.Requests {
		c.closing = true
		g.Kind = link.Closing
		g.Flags |= flagFin
		c.sender.transmit(g)
		return
	}
	g.Payload = PartBytes
	g.Body = Body{
		Request: c.Workload.FirstRequest + uint64(c.requestsSent),
	}
	c.requestsSent++
	c.partsReceived = 0
	c.sender.transmit(g)
}

func (c *Caller) retransmissionFailed() {
	if !c.established {
		c.finish(Unanswered)
		return
	}
	c.finish(Broken)
}

// Forget ends the flow without a packet, as if the host had lost its state.
func (c *Caller) Forget() {
	c.finish(Broken)
}

func (c *Caller) finish(o Outcome) {
	if !c.Alive() {
		return
	}
	c.Outcome = o
	c.EndedAt = c.timers.Now()
	c.sender.stop()
	c.onEnded(c)
}
