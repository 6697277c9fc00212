package owner

import (
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// state is the state of a flow at its owner.
type state uint8

const (
	// queued: the opening waits until a slot is free.
	queued state = iota
	// connecting: the connection to the upstream is being made; the agent keeps the
	// opening.
	connecting
	// halfOpen: the handshake with the caller is in progress.
	halfOpen
	// open: the caller has completed the handshake.
	open
	// closing: one side has sent a FIN.
	closing
	// lingering: the flow has ended and is remembered, so that its late packets are
	// not taken for those of an unknown flow.
	lingering

	stateCount
)

// maxWindowBytes is the largest accepted distance of a sequence number from the
// expected one. No stack here has a larger receive window.
const maxWindowBytes = 4 << 20

// flow is the state of one flow at its owner.
type flow struct {
	key   link.Key
	state state
	// index is the position of a live flow in Table.live.
	index  int
	serial uint64
	// deliverAction is the flow's Deliver, allocated once.
	deliverAction Action
	// deadline ends the current state; zero for open and closing TCP flows.
	deadline time.Time

	// callerISN is the sequence number of the caller's SYN.
	callerISN uint32
	// endpointISN is the sequence number of this endpoint's SYN-ACK.
	endpointISN uint32
	synAckSent  bool
	// sendNext, sendUnacked and receiveNext are SND.NXT, SND.UNA and RCV.NXT of
	// RFC 9293: the sequence number after the last byte sent to the caller, the
	// highest acknowledgment received from it, and the next sequence number expected
	// from it.
	sendNext    uint32
	sendUnacked uint32
	receiveNext uint32
	// aborted marks a lingering flow that was aborted rather than closed.
	aborted bool

	// forwardState is used to forward the opening as long as the flow is not accepted.
	forwardState forwardState
	// work tracks whether the flow holds a slot.
	work admit.Work

	hintedGroups uint64
	hintsResetAt time.Time
}

// isAccepted reports whether a flow in this state was accepted and has not ended: the
// stack knows it.
func (s state) isAccepted() bool {
	return s == halfOpen || s == open || s == closing
}

func (f *flow) isDatagram() bool {
	return f.key.Protocol == uint8(spec.UDP)
}

// matchesPacket reports whether a packet belongs to this flow and not to another one
// with the same key (RFC 9293, section 3.10.7.4; RFC 5961 for acknowledgments).
func (f *flow) matchesPacket(p *link.Packet) bool {
	if f.isDatagram() {
		return true
	}
	if !f.synAckSent {
		return false
	}
	if p.HasAck() && !f.matchesAck(p.Acknowledgment) {
		return false
	}
	if f.state == halfOpen && !p.HasAck() {
		return p.Sequence == f.receiveNext
	}
	return sequenceInRange(p.Sequence, f.receiveNext-maxWindowBytes, f.receiveNext+maxWindowBytes)
}

// matchesAck reports whether ack acknowledges bytes that this endpoint has sent.
func (f *flow) matchesAck(ack uint32) bool {
	if f.state == halfOpen {
		return ack == f.endpointISN+1
	}
	low := f.endpointISN + 1
	if f.state == lingering {
		low = f.sendUnacked
	} else if f.sendUnacked-low > maxWindowBytes {
		low = f.sendUnacked - maxWindowBytes
	}
	return sequenceInRange(ack, low, f.sendNext)
}

// recordReceived updates the sequence numbers from a packet of the caller.
func (f *flow) recordReceived(p *link.Packet) {
	if p.HasAck() && sequenceAfter(p.Acknowledgment, f.sendUnacked) {
		f.sendUnacked = p.Acknowledgment
	}
}

// recordSent updates the sequence numbers from a packet to the caller.
func (f *flow) recordSent(p *link.Packet) {
	end := p.Sequence + uint32(p.Payload)
	if p.Flags&(flagSyn|flagFin) != 0 {
		end++
	}
	if !f.synAckSent {
		f.synAckSent = true
		f.endpointISN = p.Sequence
		f.sendUnacked = p.Sequence + 1
		f.sendNext = end
		f.receiveNext = p.Acknowledgment
		return
	}
	if sequenceAfter(end, f.sendNext) {
		f.sendNext = end
	}
	if p.HasAck() && sequenceAfter(p.Acknowledgment, f.receiveNext) {
		f.receiveNext = p.Acknowledgment
	}
}

// TCP flags (RFC 9293).
const (
	flagFin = 0x01
	flagSyn = 0x02
)

// sequenceInRange reports whether low <= x <= high in sequence number arithmetic.
func sequenceInRange(x, low, high uint32) bool {
	return x-low <= high-low
}

// sequenceAfter reports whether a > b in sequence number arithmetic.
func sequenceAfter(a, b uint32) bool {
	return int32(a-b) > 0
}

// reserveHint reports whether a hint may be sent to a balancer now, and records it
// as sent. One hint is allowed per hintInterval for each of 64 groups of balancers.
func (f *flow) reserveHint(now time.Time, balancer netip.AddrPort) bool {
	if !balancer.IsValid() {
		return false
	}
	if !now.Before(f.hintsResetAt) {
		f.hintedGroups = 0
		f.hintsResetAt = now.Add(hintInterval)
	}
	bit := uint64(1) << (balancerGroup(balancer) % 64)
	if f.hintedGroups&bit != 0 {
		return false
	}
	f.hintedGroups |= bit
	return true
}

// balancerGroup hashes a balancer's address.
func balancerGroup(a netip.AddrPort) uint32 {
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
