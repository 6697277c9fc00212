package owner

import (
	"math/bits"
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
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
	case waiting, connecting:
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
		t.replace(f)
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
	if f.state <= connecting {
		return t.drop(Repeated, out)
	}
	t.heard(now, f, &e.Packet)
	f.deadline = now.Add(t.idle)
	return t.deliver(now, e, f, out)
}

// ask offers an opening to the gate.
func (t *Table) ask(now time.Time, e *Arrived, out []Action) []Action {
	w := walkOf(e)
	key := e.Packet.Key
	if t.leaving.draining && !w.goesOn() && now.Before(t.leaving.refuseAfter) {
		return t.drop(Draining, out)
	}
	if t.leaving.draining {
		return t.handOn(w, key, Draining, out)
	}
	if now.Before(t.holdFor) {
		return t.drop(Woken, out)
	}
	patience := now.Add(t.patience)
	answer := t.gate.Ask(now, w.ask(patience, false))
	switch answer.Next {
	case admit.Taken:
		f := t.add(e, connecting)
		return t.take(now, f, out)
	case admit.Hold:
		f := t.add(e, waiting)
		f.deadline = patience
		return t.wait(f, answer.Until, append(out, Keep{
			Key:    f.key,
			Serial: f.serial,
		}))
	case admit.HandOn:
		return t.handOn(w, key, admitReasons[answer.Reason], out)
	default:
		return t.refuse(w, key, admitReasons[answer.Reason], out)
	}
}

// ask is the question to the gate about an opening. The position is counted along
// the way that the opening took, wherever in the list that began.
func (w walk) ask(deadline time.Time, held bool) admit.Ask {
	return admit.Ask{
		Position:   bits.OnesCount16(w.denied),
		Candidates: int(w.candidates),
		Pass:       int(w.round),
		Last:       !w.goesOn(),
		Held:       held,
		Deadline:   deadline,
	}
}

func (t *Table) take(now time.Time, f *flow, out []Action) []Action {
	t.gate.Take(now)
	f.deadline = now.Add(t.opening)
	f.work = admit.Open(now)
	t.counts.Taken++
	return append(out, Connect{
		Key:    f.key,
		Serial: f.serial,
	})
}

// wait keeps an opening for a slot: for a moment while there are others to ask, at
// the last one until its deadline.
func (t *Table) wait(f *flow, until time.Time, out []Action) []Action {
	if !f.walk.goesOn() {
		until = f.deadline
	}
	t.gate.Wait(admit.Waiter{
		Key:      f.key,
		Deadline: f.deadline,
		Until:    until,
	})
	return out
}

// ready asks again for the openings that wait, once there may be a slot.
func (t *Table) ready(now time.Time, out []Action) []Action {
	for {
		w, ok := t.gate.Ready(now)
		if !ok {
			return out
		}
		f := t.flows[w.Key]
		if f == nil || f.state != waiting {
			continue
		}
		out = t.askAgain(now, f, out)
	}
}

func (t *Table) askAgain(now time.Time, f *flow, out []Action) []Action {
	if t.leaving.draining {
		t.forget(f)
		return t.handOn(f.walk, f.key, Draining, out)
	}
	answer := t.gate.Ask(now, f.walk.ask(f.deadline, true))
	why := admitReasons[answer.Reason]
	switch answer.Next {
	case admit.Taken:
		t.move(f, connecting)
		return t.take(now, f, out)
	case admit.Hold:
		return t.wait(f, answer.Until, out)
	case admit.HandOn:
		t.forget(f)
		return t.handOn(f.walk, f.key, why, out)
	default:
		t.forget(f)
		return t.refuse(f.walk, f.key, why, out)
	}
}

// handOn gives an opening to the next candidate that has not refused it. Once
// all have, those that were merely busy are asked again; then it is refused.
func (t *Table) handOn(w walk, key link.Key, why Reason, out []Action) []Action {
	if heard := w.rest() &^ w.silent; heard != 0 {
		return t.pass(w, key, w.next(heard), why, out)
	}
	if others := w.others(); w.round < lastRound && others != 0 {
		w.round++
		w.denied = 0
		return t.pass(w, key, w.next(others), why, out)
	}
	return t.refuse(w, key, why, out)
}

func (t *Table) refuse(w walk, key link.Key, why Reason, out []Action) []Action {
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
	out = append(out, Accept{
		Key:    f.key,
		Serial: f.serial,
	})
	return t.hint(now, f, f.walk.balancer, f.walk.denied, out)
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
	t.release(now, f, result(why))
	t.forget(f)
	return t.emptied(t.ready(now, t.handOn(f.walk, e.Key, why, out)))
}

// expire refuses the kept opening of a flow past its deadline.
func (t *Table) expire(now time.Time, f *flow, out []Action) []Action {
	t.counts.Reasons[Expired]++
	t.release(now, f, admit.UpstreamTimeout)
	t.forget(f)
	out = append(out, Refuse{
		Key:    f.key,
		Serial: f.serial,
		Reason: Expired,
	})
	return t.emptied(t.ready(now, out))
}

// is tells whether an event with the given serial number means this flow.
func (f *flow) is(serial uint64) bool {
	return serial == 0 || serial == f.serial
}

func result(why Reason) admit.Result {
	if why == Expired {
		return admit.UpstreamTimeout
	}
	return admit.UpstreamRefused
}
