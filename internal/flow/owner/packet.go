package owner

import (
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

func (t *Table) handlePacketForEndpoint(now time.Time, e *PacketForEndpoint, out []Action) []Action {
	if !e.positionsValid() {
		return t.drop(Malformed, out)
	}
	f := t.flows[e.Packet.Key]
	switch {
	case e.Incarnation == t.incarnation && e.Service != t.service:
		return t.denyForeign(now, e, OtherService, out)
	case e.Incarnation != t.incarnation && (f == nil || e.Service != t.service):
		return t.denyForeign(now, e, OtherIncarnation, out)
	}
	if e.Packet.Kind == link.Opening {
		return t.handleOpening(now, e, f, out)
	}
	return t.handleNonOpening(now, e, f, out)
}

// denyForeign denies and forwards a packet addressed to another service or incarnation.
// An earlier incarnation at this address has ended and owns no flows, and an endpoint
// owns no flows of another service, so the denial is correct. If the packet were
// dropped, the owner lookup would end before the owner is found.
func (t *Table) denyForeign(now time.Time, e *PacketForEndpoint, reason Reason, out []Action) []Action {
	if e.Packet.Kind == link.Opening {
		return t.forwardOpening(newForwardState(e), e.Packet.Key, reason, out)
	}
	return t.denyOwnership(now, e, reason, out)
}

// handleNonOpening handles a packet that is not an opening.
func (t *Table) handleNonOpening(now time.Time, e *PacketForEndpoint, f *flow, out []Action) []Action {
	p := &e.Packet
	if f == nil {
		return t.denyOwnership(now, e, NotMine, out)
	}
	if f.state <= connecting && p.IsReset() && p.Sequence-f.callerISN <= 1 {
		return t.abortFlow(now, f, Cancelled, out)
	}
	if !f.matchesPacket(p) {
		return t.denyOwnership(now, e, NotMine, out)
	}
	if f.state == lingering {
		return t.handleLate(f, p, out)
	}
	f.recordReceived(p)
	t.recordCallerBytes(now, f, p)
	t.advanceState(f, p)
	return t.deliver(now, e, f, out)
}

// advanceState updates the state of a flow from a packet of the caller.
func (t *Table) advanceState(f *flow, p *link.Packet) {
	if f.state == halfOpen && p.HasAck() {
		t.setState(f, open)
		f.deadline = time.Time{}
	}
	if f.state == open && p.Flags&flagFin != 0 {
		t.setState(f, closing)
	}
}

// handleLate handles a packet of a flow that has ended here: it is dropped, or answered
// with a reset if the flow was aborted.
func (t *Table) handleLate(f *flow, p *link.Packet, out []Action) []Action {
	if !f.aborted || p.IsReset() {
		return t.drop(Late, out)
	}
	return t.reset(p.Key, EndedEarly, out)
}

func (t *Table) reset(key link.Key, r Reason, out []Action) []Action {
	t.counts.Reasons[r]++
	return append(out, Reset{
		Key:    key,
		Reason: r,
	})
}

// deliver passes the packet to the stack.
func (t *Table) deliver(now time.Time, e *PacketForEndpoint, f *flow, out []Action) []Action {
	return t.hintBalancer(now, f, e.Balancer, e.Denied, append(out, f.deliverAction))
}

// hintBalancer tells the balancer that this endpoint owns the flow, if another candidate
// has denied the packet before: the balancer did not know the owner.
func (t *Table) hintBalancer(now time.Time, f *flow, b netip.AddrPort, denied uint16, out []Action) []Action {
	if denied == 0 || !f.reserveHint(now, b) {
		return out
	}
	t.counts.Hints++
	return append(out, Hint{
		Key:      f.key,
		Balancer: b,
	})
}

// denyOwnership sets the denied bit of this candidate and forwards the packet to the next
// one. Silent candidates come last: they may be alive, and their denial is never
// assumed. A reset is allowed only after every candidate has denied.
func (t *Table) denyOwnership(now time.Time, e *PacketForEndpoint, reason Reason, out []Action) []Action {
	s := newForwardState(e)
	remaining := s.remaining()
	if responsive := remaining &^ s.silent; responsive != 0 {
		return t.forward(s, e.Packet.Key, s.nextCandidate(responsive), reason, out)
	}
	if remaining != 0 {
		return t.forwardToSilent(s, e, remaining, out)
	}
	if e.Packet.IsReset() {
		return t.drop(NoOwner, out)
	}
	if s.candidates == maxCandidates {
		return t.drop(ListCut, out)
	}
	if !t.unowned.resetDue(now, &e.Packet) {
		return t.drop(NoOwnerYet, out)
	}
	return t.reset(e.Packet.Key, NoOwner, out)
}

// forwardToSilent forwards a packet to one of the candidates that do not answer
// this endpoint, in rotation, alternately directly and through the balancer: possibly
// only the path from here to the candidate is broken.
func (t *Table) forwardToSilent(s forwardState, e *PacketForEndpoint, remaining uint16, out []Action) []Action {
	t.silentTurn++
	t.counts.Reasons[SilentCandidate]++
	to := s.forwardAction(e.Packet.Key, nthCandidate(remaining, t.silentTurn/2), SilentCandidate)
	to.ViaBalancer = t.silentTurn%2 == 0 && e.Balancer.IsValid()
	return append(out, to)
}

// forward forwards a packet to another candidate.
func (t *Table) forward(s forwardState, key link.Key, to int, reason Reason, out []Action) []Action {
	t.counts.Reasons[reason]++
	return append(out, s.forwardAction(key, to, reason))
}

func (s forwardState) forwardAction(key link.Key, position int, reason Reason) ForwardToCandidate {
	return ForwardToCandidate{
		Key:      key,
		Serial:   s.serial,
		Position: position,
		Denied:   s.denied | s.ownBit(),
		Round:    s.round,
		Reason:   reason,
	}
}
