package owner

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// drainState is the state of a drain.
type drainState struct {
	draining      bool
	drainReported bool
	deadline      time.Time
	// rejectAfter is the time by which all nodes know the replacements of this
	// endpoint. Until then an opening that cannot be forwarded is dropped rather than
	// rejected, so that the caller retransmits it.
	rejectAfter time.Time
}

// startDrain starts a drain, or changes its deadline.
func (t *Table) startDrain(now, deadline time.Time, out []Action) []Action {
	if !t.drainState.draining {
		t.drainState.rejectAfter = now.Add(t.unowned.resetDelay)
	}
	t.drainState.draining = true
	t.drainState.deadline = deadline
	t.controller.Drain(now, deadline)
	return t.reportDrained(t.retryQueued(now, out))
}

// reportDrained appends Drained once when the last flow of a drain has ended.
func (t *Table) reportDrained(out []Action) []Action {
	if !t.drainState.draining || t.drainState.drainReported || len(t.live) > 0 {
		return out
	}
	t.drainState.drainReported = true
	return append(out, Drained{})
}

// handlePacketFromEndpoint updates a flow from a packet that the stack sends to the
// caller.
func (t *Table) handlePacketFromEndpoint(now time.Time, p *link.Packet) {
	f := t.flows[p.Key]
	if f == nil || !f.state.isAccepted() {
		return
	}
	if p.Payload > 0 {
		t.recordWork(now, f, admit.UpstreamBytes{})
	}
	if f.isDatagram() {
		f.deadline = now.Add(t.idleTimeout)
		return
	}
	f.recordSent(p)
	if f.state == open && p.Flags&flagFin != 0 {
		t.setState(f, closing)
	}
}

// handleFlowEnded releases a flow that the stack has closed.
func (t *Table) handleFlowEnded(now time.Time, e FlowEnded, out []Action) []Action {
	f := t.flows[e.Key]
	if f == nil || f.state == lingering || !f.hasSerial(e.Serial) {
		return out
	}
	t.releaseSlot(now, f, admit.Served)
	t.lingerFlow(now, f, false)
	return t.reportDrained(t.retryQueued(now, out))
}

// abortFlow aborts a flow. A caller that has not completed the handshake may be served
// by another endpoint under the same key, so nothing is sent to it.
func (t *Table) abortFlow(now time.Time, f *flow, reason Reason, out []Action) []Action {
	t.counts.Reasons[reason]++
	out = append(out, Abort{
		Key:    f.key,
		Serial: f.serial,
		Silent: f.state <= halfOpen || f.isDatagram(),
		Reason: reason,
	})
	t.releaseSlot(now, f, abortResult(f))
	t.lingerFlow(now, f, true)
	return t.reportDrained(t.retryQueued(now, out))
}

func abortResult(f *flow) admit.Result {
	if f.state <= halfOpen {
		return admit.Abandoned
	}
	return admit.Served
}

// resumeAfterPause compensates for a pause of the process. Callers could not complete a
// handshake or send datagrams during the pause, so those deadlines start anew.
// Openings received during the pause have long been retransmitted to other endpoints,
// so they are dropped for resumeDelay.
func (t *Table) resumeAfterPause(now time.Time) {
	t.lastTickAt = now
	t.dropOpeningsUntil = now.Add(resumeDelay)
	for _, f := range t.live {
		switch {
		case f.state == halfOpen:
			f.deadline = now.Add(t.handshakeTimeout)
		case f.state == open && f.isDatagram():
			f.deadline = now.Add(t.idleTimeout)
		}
	}
}

// handleTick processes the deadlines that have passed. It iterates backwards because a
// removed flow is replaced by the last one.
func (t *Table) handleTick(now time.Time, out []Action) []Action {
	t.lastTickAt = now
	deadlinePassed := t.drainState.draining && !now.Before(t.drainState.deadline)
	for i := len(t.live) - 1; i >= 0; i-- {
		if i >= len(t.live) {
			continue
		}
		f := t.live[i]
		switch {
		case deadlinePassed:
			out = t.endAtDrainDeadline(now, f, out)
		case !f.deadline.IsZero() && !now.Before(f.deadline):
			out = t.handleDeadline(now, f, out)
		case f.state.isAccepted() && !f.work.IdleAt.IsZero():
			t.recordWork(now, f, admit.IdleTimeout{})
		}
	}
	t.expireLingering(now)
	t.unowned.forgetExpired(now)
	return t.retryQueued(now, out)
}

// endAtDrainDeadline ends a flow at the deadline of a drain.
func (t *Table) endAtDrainDeadline(now time.Time, f *flow, out []Action) []Action {
	if f.state <= connecting {
		return t.rejectExpired(now, f, out)
	}
	return t.abortFlow(now, f, DrainDeadline, out)
}

// handleDeadline rejects or aborts a flow at the deadline of its state.
func (t *Table) handleDeadline(now time.Time, f *flow, out []Action) []Action {
	switch f.state {
	case queued, connecting:
		return t.rejectExpired(now, f, out)
	case halfOpen:
		return t.abortFlow(now, f, HandshakeExpired, out)
	default:
		return t.abortFlow(now, f, IdleExpired, out)
	}
}
