package owner

import (
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

func (t *Table) arrived(now time.Time, e *Arrived, out []Action) []Action {
	if !e.valid() {
		return t.drop(Malformed, out)
	}
	f := t.flows[e.Packet.Key]
	switch {
	case e.Incarnation == t.incarnation && e.Service != t.service:
		return t.foreign(now, e, OtherService, out)
	case e.Incarnation != t.incarnation && (f == nil || e.Service != t.service):
		return t.foreign(now, e, OtherIncarnation, out)
	}
	if e.Packet.Kind == link.Opening {
		return t.arrivedOpening(now, e, f, out)
	}
	return t.arrivedLater(now, e, f, out)
}

// foreign denies a packet that is not for this life of this endpoint. A life that
// held this address before has lost it and owns nothing any more, and a life that
// serves one service owns nothing of another; so the denial is true, while a drop
// would end the walk before the owner is found.
func (t *Table) foreign(now time.Time, e *Arrived, why Reason, out []Action) []Action {
	if e.Packet.Kind == link.Opening {
		return t.handOn(walkOf(e), e.Packet.Key, why, out)
	}
	return t.deny(now, e, why, out)
}

// arrivedLater handles a packet after the opening.
func (t *Table) arrivedLater(now time.Time, e *Arrived, f *flow, out []Action) []Action {
	p := &e.Packet
	if f == nil {
		return t.deny(now, e, NotMine, out)
	}
	if f.state <= connecting && p.IsReset() && p.Sequence-f.initial <= 1 {
		return t.abort(now, f, Cancelled, out)
	}
	if !f.fits(p) {
		return t.deny(now, e, NotMine, out)
	}
	if f.state == lingering {
		return t.late(f, p, out)
	}
	f.saw(p)
	t.heard(now, f, p)
	t.advance(f, p)
	return t.deliver(now, e, f, out)
}

// advance moves a flow on by what the caller sent.
func (t *Table) advance(f *flow, p *link.Packet) {
	if f.state == half && p.HasAck() {
		t.move(f, open)
		f.deadline = time.Time{}
	}
	if f.state == open && p.Flags&flagFin != 0 {
		t.move(f, closing)
	}
}

// late answers a packet of a flow that has ended here.
func (t *Table) late(f *flow, p *link.Packet, out []Action) []Action {
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

// deliver gives the packet to the stack.
func (t *Table) deliver(now time.Time, e *Arrived, f *flow, out []Action) []Action {
	return t.hint(now, f, e.Balancer, e.Denied, append(out, f.deliver))
}

// hint tells the balancer of a packet that had to be handed on who owns the flow.
func (t *Table) hint(now time.Time, f *flow, b netip.AddrPort, denied uint16, out []Action) []Action {
	if denied == 0 || !f.mayHint(now, b) {
		return out
	}
	t.counts.Hints++
	return append(out, Hint{
		Key:      f.key,
		Balancer: b,
	})
}

// deny says that the flow is not owned here and decides who is asked next. A
// candidate that is silent comes last: it may be alive, and its denial is never
// assumed. Only when every candidate has denied may the answer be a reset.
func (t *Table) deny(now time.Time, e *Arrived, why Reason, out []Action) []Action {
	w := walkOf(e)
	rest := w.rest()
	if heard := rest &^ w.silent; heard != 0 {
		return t.pass(w, e.Packet.Key, w.next(heard), why, out)
	}
	if rest != 0 {
		return t.passSilent(w, e, rest, out)
	}
	if e.Packet.IsReset() {
		return t.drop(NoOwner, out)
	}
	if w.candidates == maxCandidates {
		return t.drop(ListCut, out)
	}
	if !t.orphans.ripe(now, &e.Packet) {
		return t.drop(NoOwnerYet, out)
	}
	return t.reset(e.Packet.Key, NoOwner, out)
}

// passSilent hands a packet to one of the candidates that are silent from here,
// each in its turn, straight and by way of the balancer: only the way from here to
// there may be broken.
func (t *Table) passSilent(w walk, e *Arrived, rest uint16, out []Action) []Action {
	t.turn++
	t.counts.Reasons[SilentCandidate]++
	to := w.to(e.Packet.Key, pick(rest, t.turn/2), SilentCandidate)
	to.Relay = t.turn%2 == 0 && e.Balancer.IsValid()
	return append(out, to)
}

// pass hands a packet to another candidate.
func (t *Table) pass(w walk, key link.Key, to int, why Reason, out []Action) []Action {
	t.counts.Reasons[why]++
	return append(out, w.to(key, to, why))
}

func (w walk) to(key link.Key, position int, why Reason) Pass {
	return Pass{
		Key:      key,
		Serial:   w.serial,
		Position: position,
		Denied:   w.denied | w.own(),
		Round:    w.round,
		Reason:   why,
	}
}
