package owner

import (
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// state is where a flow stands at its owner.
type state uint8

const (
	// waiting: the opening is kept until a slot is free.
	waiting state = iota
	// connecting: the opening is kept, the upstream was asked.
	connecting
	// half open: the handshake with the caller is under way.
	half
	// open: the caller has completed the handshake.
	open
	// closing: one side has sent its last byte.
	closing
	// lingering: ended, remembered so that late packets do no harm.
	lingering

	states
)

// windowBytes is how far a sequence number may lie from the last one seen; no
// stack here has a larger receive window.
const windowBytes = 4 << 20

// flow is what the owner keeps of one flow.
type flow struct {
	key    link.Key
	state  state
	index  int
	serial uint64
	// deliver is the flow's Deliver, made once.
	deliver Action
	// deadline ends the present state; zero in open and closing TCP flows.
	deadline time.Time

	// initial is the sequence number of the caller's opening.
	initial uint32
	// answer is the sequence number of this endpoint's SYN-ACK.
	answer   uint32
	answered bool
	// sent is the sequence number after the last byte sent to the caller, acked
	// the highest that the caller acknowledged, next the one expected from it.
	sent  uint32
	acked uint32
	next  uint32
	// aborted marks a lingering flow that did not end by itself.
	aborted bool

	// walk is the rest of the kept opening's way, until the flow is accepted.
	walk walk
	// work tells whether the flow holds a slot.
	work admit.Work

	hinted    uint64
	hintAfter time.Time
}

// isAccepted tells whether the stack knows a flow in this state.
func (s state) isAccepted() bool {
	return s == half || s == open || s == closing
}

func (f *flow) isDatagram() bool {
	return f.key.Protocol == uint8(pact.UDP)
}

// fits tells whether a packet belongs to this flow and not to another one under
// the same key (RFC 9293, section 3.10.7.4; RFC 5961 for acknowledgments).
func (f *flow) fits(p *link.Packet) bool {
	if f.isDatagram() {
		return true
	}
	if !f.answered {
		return false
	}
	if p.HasAck() && !f.fitsAck(p.Acknowledgment) {
		return false
	}
	if f.state == half && !p.HasAck() {
		return p.Sequence == f.next
	}
	return within(p.Sequence, f.next-windowBytes, f.next+windowBytes)
}

// fitsAck tells whether ack acknowledges bytes that this endpoint has sent.
func (f *flow) fitsAck(ack uint32) bool {
	if f.state == half {
		return ack == f.answer+1
	}
	low := f.answer + 1
	if f.state == lingering {
		low = f.acked
	} else if f.acked-low > windowBytes {
		low = f.acked - windowBytes
	}
	return within(ack, low, f.sent)
}

// saw keeps the numbers of a packet from the caller.
func (f *flow) saw(p *link.Packet) {
	if p.HasAck() && after(p.Acknowledgment, f.acked) {
		f.acked = p.Acknowledgment
	}
}

// said keeps the numbers of a packet to the caller.
func (f *flow) said(p *link.Packet) {
	end := p.Sequence + uint32(p.Payload)
	if p.Flags&(flagSyn|flagFin) != 0 {
		end++
	}
	if !f.answered {
		f.answered = true
		f.answer = p.Sequence
		f.acked = p.Sequence + 1
		f.sent = end
		f.next = p.Acknowledgment
		return
	}
	if after(end, f.sent) {
		f.sent = end
	}
	if p.HasAck() && after(p.Acknowledgment, f.next) {
		f.next = p.Acknowledgment
	}
}

// Flags of RFC 9293.
const (
	flagFin = 0x01
	flagSyn = 0x02
)

// within tells whether low <= x <= high on the circle of sequence numbers.
func within(x, low, high uint32) bool {
	return x-low <= high-low
}

// after tells whether a comes after b on the circle of sequence numbers.
func after(a, b uint32) bool {
	return int32(a-b) > 0
}

// mayHint tells whether a balancer may be told now: once a pause for each of 64
// groups of balancers.
func (f *flow) mayHint(now time.Time, balancer netip.AddrPort) bool {
	if !balancer.IsValid() {
		return false
	}
	if !now.Before(f.hintAfter) {
		f.hinted = 0
		f.hintAfter = now.Add(hintPause)
	}
	bit := uint64(1) << (group(balancer) % 64)
	if f.hinted&bit != 0 {
		return false
	}
	f.hinted |= bit
	return true
}

func group(a netip.AddrPort) uint32 {
	sum := uint32(a.Port())
	if a.Addr().Is4() {
		b := a.Addr().As4()
		return sum + 31*(uint32(b[3])+31*(uint32(b[2])+31*uint32(b[1])))
	}
	b := a.Addr().As16()
	for _, x := range b {
		sum = sum*31 + uint32(x)
	}
	return sum
}
