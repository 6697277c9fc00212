package owner

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

// leaving is a drain under way.
type leaving struct {
	draining bool
	emptied  bool
	deadline time.Time
}

func (l *leaving) begin(deadline time.Time) {
	l.draining = true
	l.deadline = deadline
}

// emptied says once that a drain has ended.
func (t *Table) emptied(out []Action) []Action {
	if !t.leaving.draining || t.leaving.emptied || t.live() > 0 {
		return out
	}
	t.leaving.emptied = true
	return append(out, Emptied{})
}

// answered keeps the numbers of what the stack says to the caller.
func (t *Table) answered(now time.Time, p link.Packet) {
	f := t.flows[p.Key]
	if f == nil || f.state == connecting || f.state == lingering {
		return
	}
	if f.isDatagram() {
		f.deadline = now.Add(t.idle)
		return
	}
	f.said(&p)
	if f.state == open && p.Kind == link.Closing {
		t.move(f, closing)
	}
}

// ended lets go of a flow that the stack is done with.
func (t *Table) ended(now time.Time, e Ended, out []Action) []Action {
	f := t.flows[e.Key]
	if f == nil || f.state == lingering || !f.is(e.Serial) {
		return out
	}
	t.retire(now, f, false)
	return t.emptied(out)
}

// abort cuts a flow. A caller that has not completed the handshake may be served
// elsewhere under the same key, so it is told nothing.
func (t *Table) abort(now time.Time, f *flow, why Reason, out []Action) []Action {
	t.counts.Reasons[why]++
	out = append(out, Abort{
		Key:    f.key,
		Serial: f.serial,
		Silent: f.state == connecting || f.state == half || f.isDatagram(),
		Reason: why,
	})
	t.retire(now, f, true)
	return t.emptied(out)
}

// tick lets deadlines lapse. It goes backwards because a flow that is forgotten
// is replaced by the last one.
func (t *Table) tick(now time.Time, out []Action) []Action {
	cut := t.leaving.draining && !now.Before(t.leaving.deadline)
	for i := len(t.order) - 1; i >= 0; i-- {
		f := t.order[i]
		switch {
		case cut && f.state != lingering:
			out = t.cut(now, f, out)
		case !f.deadline.IsZero() && !now.Before(f.deadline):
			out = t.lapse(now, f, out)
		}
	}
	t.orphans.expire(now)
	return out
}

// cut ends a flow at the deadline of a drain.
func (t *Table) cut(now time.Time, f *flow, out []Action) []Action {
	if f.state == connecting {
		return t.expire(now, f, out)
	}
	return t.abort(now, f, DrainDeadline, out)
}

// lapse ends the state of a flow at its deadline.
func (t *Table) lapse(now time.Time, f *flow, out []Action) []Action {
	switch f.state {
	case connecting:
		return t.expire(now, f, out)
	case half:
		return t.abort(now, f, HandshakeExpired, out)
	case lingering:
		t.forget(f)
		return out
	default:
		return t.abort(now, f, IdleExpired, out)
	}
}
