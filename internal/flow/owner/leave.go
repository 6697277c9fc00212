package owner

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// leaving is a drain under way.
type leaving struct {
	draining bool
	emptied  bool
	deadline time.Time
	// refuseAfter is when all nodes know who has come in this endpoint's place:
	// until then an opening that nobody else takes is dropped, to be repeated.
	refuseAfter time.Time
}

// drain starts a graceful stop, or moves its deadline.
func (t *Table) drain(now, deadline time.Time, out []Action) []Action {
	if !t.leaving.draining {
		t.leaving.refuseAfter = now.Add(t.orphans.grace)
	}
	t.leaving.draining = true
	t.leaving.deadline = deadline
	t.gate.Drain(now, deadline)
	return t.emptied(t.ready(now, out))
}

// emptied says once that a drain has ended.
func (t *Table) emptied(out []Action) []Action {
	if !t.leaving.draining || t.leaving.emptied || len(t.order) > 0 {
		return out
	}
	t.leaving.emptied = true
	return append(out, Emptied{})
}

// answered keeps the numbers of what the stack says to the caller.
func (t *Table) answered(now time.Time, p *link.Packet) {
	f := t.flows[p.Key]
	if f == nil || !f.state.isAccepted() {
		return
	}
	if p.Payload > 0 {
		t.work(now, f, admit.UpstreamBytes{})
	}
	if f.isDatagram() {
		f.deadline = now.Add(t.idle)
		return
	}
	f.said(p)
	if f.state == open && p.Flags&flagFin != 0 {
		t.move(f, closing)
	}
}

// finished lets go of a flow that the stack is done with.
func (t *Table) finished(now time.Time, e Ended, out []Action) []Action {
	f := t.flows[e.Key]
	if f == nil || f.state == lingering || !f.is(e.Serial) {
		return out
	}
	t.release(now, f, admit.Served)
	t.retire(now, f, false)
	return t.emptied(t.ready(now, out))
}

// abort cuts a flow. A caller that has not completed the handshake may be served
// elsewhere under the same key, so it is told nothing.
func (t *Table) abort(now time.Time, f *flow, why Reason, out []Action) []Action {
	t.counts.Reasons[why]++
	out = append(out, Abort{
		Key:    f.key,
		Serial: f.serial,
		Silent: f.state <= half || f.isDatagram(),
		Reason: why,
	})
	t.release(now, f, aborted(f))
	t.retire(now, f, true)
	return t.emptied(t.ready(now, out))
}

func aborted(f *flow) admit.Result {
	if f.state <= half {
		return admit.Abandoned
	}
	return admit.Served
}

// wake makes good for the time in which the process stood still: callers have not
// had it to complete a handshake or to send, and openings that waited for it have
// long been repeated elsewhere.
func (t *Table) wake(now time.Time) {
	t.ticked = now
	t.holdFor = now.Add(wakeHold)
	for _, f := range t.order {
		switch {
		case f.state == half:
			f.deadline = now.Add(t.handshake)
		case f.state == open && f.isDatagram():
			f.deadline = now.Add(t.idle)
		}
	}
}

// tick lets deadlines lapse. It goes backwards because a flow that is removed is
// replaced by the last one.
func (t *Table) tick(now time.Time, out []Action) []Action {
	t.ticked = now
	cut := t.leaving.draining && !now.Before(t.leaving.deadline)
	for i := len(t.order) - 1; i >= 0; i-- {
		if i >= len(t.order) {
			continue
		}
		f := t.order[i]
		switch {
		case cut:
			out = t.cut(now, f, out)
		case !f.deadline.IsZero() && !now.Before(f.deadline):
			out = t.lapse(now, f, out)
		case f.state.isAccepted() && !f.work.QuietAt.IsZero():
			t.work(now, f, admit.Quiet{})
		}
	}
	t.forgetEnded(now)
	t.orphans.expire(now)
	return t.ready(now, out)
}

// cut ends a flow at the deadline of a drain.
func (t *Table) cut(now time.Time, f *flow, out []Action) []Action {
	if f.state <= connecting {
		return t.expire(now, f, out)
	}
	return t.abort(now, f, DrainDeadline, out)
}

// lapse ends the state of a flow at its deadline.
func (t *Table) lapse(now time.Time, f *flow, out []Action) []Action {
	switch f.state {
	case waiting, connecting:
		return t.expire(now, f, out)
	case half:
		return t.abort(now, f, HandshakeExpired, out)
	default:
		return t.abort(now, f, IdleExpired, out)
	}
}
