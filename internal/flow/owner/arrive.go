package owner

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

func (t *Table) arrived(now time.Time, e *Arrived, out []Action) []Action {
	if !e.valid() {
		return t.drop(Malformed, out)
	}
	if e.Incarnation == t.incarnation && e.Service != t.service {
		return t.drop(OtherService, out)
	}
	f := t.flows[e.Packet.Key]
	if e.Incarnation != t.incarnation && (f == nil || e.Service != t.service) {
		return t.pastLife(now, e, out)
	}
	if e.Packet.Kind == link.Opening {
		return t.arrivedOpening(now, e, f, out)
	}
	return t.arrivedLater(now, e, f, out)
}

// pastLife denies for an incarnation that held this address before: a process
// that has lost its address owns nothing any more.
func (t *Table) pastLife(now time.Time, e *Arrived, out []Action) []Action {
	if e.Packet.Kind == link.Opening {
		return t.handOn(walkOf(e), e.Packet.Key, OtherIncarnation, out)
	}
	return t.deny(now, e, OtherIncarnation, out)
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

// deliver gives the packet to the stack, and the balancer a hint if it had to be
// handed on to get here.
func (t *Table) deliver(now time.Time, e *Arrived, f *flow, out []Action) []Action {
	out = append(out, f.deliver)
	if e.Denied == 0 || !f.hint(now, e.Balancer) {
		return out
	}
	t.counts.Hints++
	return append(out, Hint{
		Key:      f.key,
		Balancer: e.Balancer,
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
		t.turn++
		return t.pass(w, e.Packet.Key, pick(rest, t.turn), SilentCandidate, out)
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

// pass hands a packet to another candidate.
func (t *Table) pass(w walk, key link.Key, to int, why Reason, out []Action) []Action {
	t.counts.Reasons[why]++
	return append(out, Pass{
		Key:      key,
		Serial:   w.serial,
		Position: to,
		Denied:   w.denied | w.own(),
		Round:    w.round,
		Reason:   why,
	})
}
