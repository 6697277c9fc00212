package owner

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// addFlow adds a flow in state queued or connecting, while the agent keeps its opening.
func (t *Table) addFlow(e *PacketForEndpoint, s state) *flow {
	t.lastSerial++
	f := &flow{
		key:    e.Packet.Key,
		state:  s,
		index:  len(t.live),
		serial: t.lastSerial,
		deliverAction: Deliver{
			Key: e.Packet.Key,
		},
		callerISN:    e.Packet.Sequence,
		forwardState: newForwardState(e),
	}
	f.forwardState.serial = f.serial
	t.flows[f.key] = f
	t.live = append(t.live, f)
	t.stateCounts[s]++
	delete(t.unowned.seen, f.key)
	return f
}

// setState changes the state of a flow and the counts by state.
func (t *Table) setState(f *flow, s state) {
	t.stateCounts[f.state]--
	f.state = s
	t.stateCounts[s]++
}

// removeLive removes a flow from the list of live flows.
func (t *Table) removeLive(f *flow) {
	last := t.live[len(t.live)-1]
	last.index = f.index
	t.live[f.index] = last
	t.live[len(t.live)-1] = nil
	t.live = t.live[:len(t.live)-1]
}

// forgetFlow removes a live flow.
func (t *Table) forgetFlow(f *flow) {
	t.removeLive(f)
	t.stateCounts[f.state]--
	delete(t.flows, f.key)
}

// lingerFlow ends a live flow and remembers it, so that its late packets are not
// taken for those of an unknown flow. A flow that sent no SYN-ACK is forgotten, as is
// any flow once maxLingering are remembered.
func (t *Table) lingerFlow(now time.Time, f *flow, aborted bool) {
	if !f.synAckSent || t.stateCounts[lingering] >= t.maxLingering {
		t.forgetFlow(f)
		return
	}
	t.removeLive(f)
	t.setState(f, lingering)
	f.aborted = aborted
	f.deadline = now.Add(t.lingerTTL)
	t.ended = append(t.ended, f)
}

// forgetLingering removes an ended flow once its linger TTL has passed or its key is
// reused.
func (t *Table) forgetLingering(f *flow) {
	t.stateCounts[lingering]--
	delete(t.flows, f.key)
}

// expireLingering removes the ended flows whose deadline has passed. They are sorted
// by deadline.
func (t *Table) expireLingering(now time.Time) {
	expired := 0
	for expired < len(t.ended) && !now.Before(t.ended[expired].deadline) {
		f := t.ended[expired]
		if t.flows[f.key] == f {
			t.forgetLingering(f)
		}
		t.ended[expired] = nil
		expired++
	}
	t.ended = t.ended[expired:]
}

// releaseSlot frees the slot and the connection of a flow at the admission controller,
// or removes the flow from its queue.
func (t *Table) releaseSlot(now time.Time, f *flow, r admit.Result) {
	if f.state == queued {
		t.controller.RemoveWaiter(f.key)
		return
	}
	t.controller.Release(now, admit.Outcome{
		Result:    r,
		HoldsSlot: f.work.Step(now, admit.Closed{}) == admit.ClosedActive,
	})
}

// recordWork tells the admission controller when a flow starts or stops using a slot,
// and when an answer begins.
func (t *Table) recordWork(now time.Time, f *flow, e admit.Event) {
	requestedAt := f.work.RequestedAt
	switch f.work.Step(now, e) {
	case admit.WorkBegan:
		t.controller.BeginWork(now)
	case admit.AnswerBegan:
		t.controller.RecordAnswer(now, requestedAt)
	case admit.WorkEnded:
		t.controller.EndWork(now)
	}
}

// recordCallerBytes records payload from the caller.
func (t *Table) recordCallerBytes(now time.Time, f *flow, p *link.Packet) {
	if p.Payload > 0 {
		t.recordWork(now, f, admit.CallerBytes{})
	}
}
