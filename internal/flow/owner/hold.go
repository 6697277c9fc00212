package owner

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// add starts to hold a flow whose opening is kept.
func (t *Table) add(e *Arrived, s state) *flow {
	t.serial++
	f := &flow{
		key:    e.Packet.Key,
		state:  s,
		index:  len(t.order),
		serial: t.serial,
		deliver: Deliver{
			Key: e.Packet.Key,
		},
		initial: e.Packet.Sequence,
		walk:    walkOf(e),
	}
	f.walk.serial = f.serial
	t.flows[f.key] = f
	t.order = append(t.order, f)
	t.held[s]++
	delete(t.orphans.seen, f.key)
	return f
}

func (t *Table) move(f *flow, s state) {
	t.held[f.state]--
	f.state = s
	t.held[s]++
}

// remove takes a flow out of the live ones.
func (t *Table) remove(f *flow) {
	last := t.order[len(t.order)-1]
	last.index = f.index
	t.order[f.index] = last
	t.order[len(t.order)-1] = nil
	t.order = t.order[:len(t.order)-1]
}

// forget stops to hold a live flow.
func (t *Table) forget(f *flow) {
	t.remove(f)
	t.held[f.state]--
	delete(t.flows, f.key)
}

// retire stops to hold a live flow and remembers its end, so that late packets
// do no harm.
func (t *Table) retire(now time.Time, f *flow, aborted bool) {
	if !f.answered || t.held[lingering] >= t.lingerMax {
		t.forget(f)
		return
	}
	t.remove(f)
	t.move(f, lingering)
	f.aborted = aborted
	f.deadline = now.Add(t.linger)
	t.ended = append(t.ended, f)
}

// replace forgets an ended flow whose key is used anew.
func (t *Table) replace(f *flow) {
	t.held[lingering]--
	delete(t.flows, f.key)
}

// forgetEnded forgets the flows that ended long ago; they stand in the order of
// their deadlines.
func (t *Table) forgetEnded(now time.Time) {
	done := 0
	for done < len(t.ended) && !now.Before(t.ended[done].deadline) {
		f := t.ended[done]
		if t.flows[f.key] == f {
			t.replace(f)
		}
		t.ended[done] = nil
		done++
	}
	t.ended = t.ended[done:]
}

// release gives back to the gate what a flow holds there.
func (t *Table) release(now time.Time, f *flow, r admit.Result) {
	if f.state == waiting {
		t.gate.Forget(f.key)
		return
	}
	t.gate.Release(now, admit.Outcome{
		Result:  r,
		Working: f.work.Step(now, admit.Closed{}) == admit.Left,
	})
}

// work counts the slot of a flow by what passes on it.
func (t *Table) work(now time.Time, f *flow, e admit.Event) {
	asked := f.work.AskedAt
	switch f.work.Step(now, e) {
	case admit.Began:
		t.gate.Busy(now)
	case admit.Answered:
		t.gate.Answered(now, asked)
	case admit.Ended:
		t.gate.Idle(now)
	}
}

// heard counts bytes from the caller.
func (t *Table) heard(now time.Time, f *flow, p *link.Packet) {
	if p.Payload > 0 {
		t.work(now, f, admit.CallerBytes{})
	}
}
