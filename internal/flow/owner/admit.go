package owner

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

// lastRound is the round in which every candidate admits unless it is full.
const lastRound = 1

// arrivedOpening handles a packet that asks for a flow.
func (t *Table) arrivedOpening(now time.Time, e *Arrived, f *flow, out []Action) []Action {
	if f == nil {
		return t.ask(now, e, out)
	}
	if f.isDatagram() {
		return t.datagram(now, e, f, out)
	}
	if f.initial == e.Packet.Sequence {
		return t.again(f, out)
	}
	return t.reused(now, e, f, out)
}

// again handles another copy of the opening of a flow held here.
func (t *Table) again(f *flow, out []Action) []Action {
	switch f.state {
	case connecting:
		return t.drop(Repeated, out)
	case lingering:
		return t.drop(Late, out)
	default:
		return append(out, f.deliver)
	}
}

// reused handles an opening under the key of another flow. An open flow is not
// given up for it: the stack answers with a challenge (RFC 5961, section 4), and
// a caller that really starts anew resets the old flow. An ended flow gives way.
// Any other hands the opening on, so that it neither is swallowed nor kills.
func (t *Table) reused(now time.Time, e *Arrived, f *flow, out []Action) []Action {
	switch f.state {
	case open:
		return append(out, f.deliver)
	case lingering:
		t.forget(f)
		return t.ask(now, e, out)
	default:
		return t.occupied(e, out)
	}
}

func (t *Table) occupied(e *Arrived, out []Action) []Action {
	w := walkOf(e)
	if w.rest()&^w.silent == 0 {
		return t.drop(Occupied, out)
	}
	return t.handOn(w, e.Packet.Key, Occupied, out)
}

// datagram handles a packet of a datagram flow held here.
func (t *Table) datagram(now time.Time, e *Arrived, f *flow, out []Action) []Action {
	if f.state == connecting {
		return t.drop(Repeated, out)
	}
	f.deadline = now.Add(t.idle)
	return t.deliver(now, e, f, out)
}

// ask offers an opening to the gate.
func (t *Table) ask(now time.Time, e *Arrived, out []Action) []Action {
	w := walkOf(e)
	if t.leaving.draining {
		return t.handOn(w, e.Packet.Key, Draining, out)
	}
	last := w.round >= lastRound || w.rest()&^w.silent == 0
	if why := t.gate.Admit(now, last); why != None {
		return t.handOn(w, e.Packet.Key, why, out)
	}
	delete(t.orphans.seen, e.Packet.Key)
	f := t.add(e.Packet.Key, e.Packet.Sequence)
	f.walk = w
	f.deadline = now.Add(t.opening)
	t.counts.Taken++
	return append(out, Connect{
		Key:    f.key,
		Serial: f.serial,
	})
}

// handOn gives an opening to the next candidate that has not refused it. Once
// all have, those that were merely busy are asked again; then it is refused.
func (t *Table) handOn(w walk, key link.Key, why Reason, out []Action) []Action {
	if heard := w.rest() &^ w.silent; heard != 0 {
		return t.pass(w, key, w.next(heard), why, out)
	}
	others := w.all() &^ (w.gone | w.silent | w.own())
	if w.round < lastRound && others != 0 {
		w.round++
		w.denied = 0
		return t.pass(w, key, w.next(others), why, out)
	}
	t.counts.Reasons[why]++
	return append(out, Refuse{
		Key:    key,
		Serial: w.serial,
		Reason: why,
	})
}

// connected completes the handshake of a flow whose upstream took it.
func (t *Table) connected(now time.Time, e Connected, out []Action) []Action {
	f := t.flows[e.Key]
	if f == nil || f.state != connecting || !f.is(e.Serial) {
		t.counts.Reasons[Stale]++
		return append(out, Abort{
			Key:    e.Key,
			Serial: e.Serial,
			Silent: true,
			Reason: Stale,
		})
	}
	if !now.Before(f.deadline) {
		return t.expire(now, f, out)
	}
	if f.isDatagram() {
		t.move(f, open)
		f.deadline = now.Add(t.idle)
	} else {
		t.move(f, half)
		f.deadline = now.Add(t.handshake)
	}
	return append(out, Accept{
		Key:    f.key,
		Serial: f.serial,
	})
}

// failed hands on the kept opening of a flow whose upstream did not take it.
// Nothing of it has reached the upstream, so any contract allows that.
func (t *Table) failed(now time.Time, e Failed, out []Action) []Action {
	f := t.flows[e.Key]
	if f == nil || f.state != connecting || !f.is(e.Serial) {
		return out
	}
	why := e.Reason
	if why == None {
		why = ConnectFailed
	}
	w := f.walk
	w.serial = f.serial
	t.gate.Release(now)
	t.forget(f)
	return t.emptied(t.handOn(w, e.Key, why, out))
}

// expire refuses the kept opening of a flow past its deadline.
func (t *Table) expire(now time.Time, f *flow, out []Action) []Action {
	t.counts.Reasons[Expired]++
	t.gate.Release(now)
	t.forget(f)
	out = append(out, Refuse{
		Key:    f.key,
		Serial: f.serial,
		Reason: Expired,
	})
	return t.emptied(out)
}

// is tells whether an event with the given serial number means this flow.
func (f *flow) is(serial uint64) bool {
	return serial == 0 || serial == f.serial
}
