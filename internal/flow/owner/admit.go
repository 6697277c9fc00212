package owner

import (
	"math/bits"
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// lastRound is the last round over the candidate list, in which every candidate admits
// an opening unless it is full.
const lastRound = 1

// handleOpening handles a packet that requests a new flow.
func (t *Table) handleOpening(now time.Time, e *PacketForEndpoint, f *flow, out []Action) []Action {
	if f == nil {
		return t.requestAdmission(now, e, out)
	}
	if f.isDatagram() {
		return t.handleDatagram(now, e, f, out)
	}
	if f.callerISN == e.Packet.Sequence {
		return t.handleRepeatedOpening(f, out)
	}
	return t.handleReusedKey(now, e, f, out)
}

// handleRepeatedOpening handles another copy of the opening of a flow in the table:
// the caller has retransmitted it, or the network duplicated it.
func (t *Table) handleRepeatedOpening(f *flow, out []Action) []Action {
	switch f.state {
	case queued, connecting:
		return t.drop(Repeated, out)
	case lingering:
		return t.drop(Late, out)
	default:
		return append(out, f.deliverAction)
	}
}

// handleReusedKey handles an opening with the key of another flow. An open flow
// continues: the stack answers with a challenge ACK (RFC 5961, section 4), and a caller
// that really opens a new flow resets the old one. An ended flow is replaced. In any
// other state the opening is forwarded, so that it is neither lost nor ends the flow.
func (t *Table) handleReusedKey(now time.Time, e *PacketForEndpoint, f *flow, out []Action) []Action {
	switch f.state {
	case open:
		return append(out, f.deliverAction)
	case lingering:
		t.forgetLingering(f)
		return t.requestAdmission(now, e, out)
	default:
		return t.forwardOccupied(e, out)
	}
}

// forwardOccupied forwards an opening whose key is in use here, or drops it if no
// responsive candidate is left.
func (t *Table) forwardOccupied(e *PacketForEndpoint, out []Action) []Action {
	s := newForwardState(e)
	if s.remaining()&^s.silent == 0 {
		return t.drop(Occupied, out)
	}
	return t.forwardOpening(s, e.Packet.Key, Occupied, out)
}

// handleDatagram handles a packet of a datagram flow in the table.
func (t *Table) handleDatagram(now time.Time, e *PacketForEndpoint, f *flow, out []Action) []Action {
	if f.state <= connecting {
		return t.drop(Repeated, out)
	}
	t.recordCallerBytes(now, f, &e.Packet)
	f.deadline = now.Add(t.idleTimeout)
	return t.deliver(now, e, f, out)
}

// requestAdmission asks the admission controller whether to admit, queue, forward or
// reject an opening.
func (t *Table) requestAdmission(now time.Time, e *PacketForEndpoint, out []Action) []Action {
	s := newForwardState(e)
	key := e.Packet.Key
	if t.drainState.draining && !s.canForward() && now.Before(t.drainState.rejectAfter) {
		return t.drop(Draining, out)
	}
	if t.drainState.draining {
		return t.forwardOpening(s, key, Draining, out)
	}
	if now.Before(t.dropOpeningsUntil) {
		return t.drop(Woken, out)
	}
	queueDeadline := now.Add(t.queueTimeout)
	decision := t.controller.Decide(now, s.admissionRequest(queueDeadline, false))
	switch decision.Action {
	case admit.Admit:
		f := t.addFlow(e, connecting)
		return t.connectUpstream(now, f, out)
	case admit.Queue:
		f := t.addFlow(e, queued)
		f.deadline = queueDeadline
		return t.queueOpening(f, decision.Until, append(out, Queue{
			Key:    f.key,
			Serial: f.serial,
		}))
	case admit.Forward:
		return t.forwardOpening(s, key, admitReasons[decision.Reason], out)
	default:
		return t.reject(s, key, admitReasons[decision.Reason], out)
	}
}

// admissionRequest returns the request to the admission controller for an opening. Its
// position is the number of candidates that have denied the opening in this round,
// wherever in the list the round started.
func (s forwardState) admissionRequest(deadline time.Time, queued bool) admit.Request {
	return admit.Request{
		Position:   bits.OnesCount16(s.denied),
		Candidates: int(s.candidates),
		Round:      int(s.round),
		Last:       !s.canForward(),
		Queued:     queued,
		Deadline:   deadline,
	}
}

// connectUpstream admits a flow and connects it to the upstream.
func (t *Table) connectUpstream(now time.Time, f *flow, out []Action) []Action {
	t.controller.Admit(now)
	f.deadline = now.Add(t.connectTimeout)
	f.work = admit.NewWork(now)
	t.counts.Admitted++
	return append(out, Connect{
		Key:    f.key,
		Serial: f.serial,
	})
}

// queueOpening queues an opening until a slot is free, but no longer than until
// forwardAt if it can be forwarded then, else until its deadline.
func (t *Table) queueOpening(f *flow, forwardAt time.Time, out []Action) []Action {
	if !f.forwardState.canForward() {
		forwardAt = f.deadline
	}
	t.controller.Enqueue(admit.Waiter{
		Key:      f.key,
		Deadline: f.deadline,
		Until:    forwardAt,
	})
	return out
}

// retryQueued requests admission again for the queued openings that the admission
// controller dequeues.
func (t *Table) retryQueued(now time.Time, out []Action) []Action {
	for {
		w, ok := t.controller.DequeueReady(now)
		if !ok {
			return out
		}
		f := t.flows[w.Key]
		if f == nil || f.state != queued {
			continue
		}
		out = t.retryAdmission(now, f, out)
	}
}

func (t *Table) retryAdmission(now time.Time, f *flow, out []Action) []Action {
	if t.drainState.draining {
		t.forgetFlow(f)
		return t.forwardOpening(f.forwardState, f.key, Draining, out)
	}
	decision := t.controller.Decide(now, f.forwardState.admissionRequest(f.deadline, true))
	reason := admitReasons[decision.Reason]
	switch decision.Action {
	case admit.Admit:
		t.setState(f, connecting)
		return t.connectUpstream(now, f, out)
	case admit.Queue:
		return t.queueOpening(f, decision.Until, out)
	case admit.Forward:
		t.forgetFlow(f)
		return t.forwardOpening(f.forwardState, f.key, reason, out)
	default:
		t.forgetFlow(f)
		return t.reject(f.forwardState, f.key, reason, out)
	}
}

// forwardOpening forwards an opening to the next responsive candidate that has not
// denied it. Once all have, the responsive candidates are tried in a second round; then
// the opening is rejected.
func (t *Table) forwardOpening(s forwardState, key link.Key, reason Reason, out []Action) []Action {
	if responsive := s.remaining() &^ s.silent; responsive != 0 {
		return t.forward(s, key, s.nextCandidate(responsive), reason, out)
	}
	if retries := s.retryCandidates(); s.round < lastRound && retries != 0 {
		s.round++
		s.denied = 0
		return t.forward(s, key, s.nextCandidate(retries), reason, out)
	}
	return t.reject(s, key, reason, out)
}

func (t *Table) reject(s forwardState, key link.Key, reason Reason, out []Action) []Action {
	t.counts.Reasons[reason]++
	return append(out, Reject{
		Key:    key,
		Serial: s.serial,
		Reason: reason,
	})
}

// handleUpstreamConnected accepts a flow whose upstream is connected and starts its
// handshake.
func (t *Table) handleUpstreamConnected(now time.Time, e UpstreamConnected, out []Action) []Action {
	f := t.flows[e.Key]
	if f == nil || f.state != connecting || !f.hasSerial(e.Serial) {
		t.counts.Reasons[Stale]++
		return append(out, Abort{
			Key:    e.Key,
			Serial: e.Serial,
			Silent: true,
			Reason: Stale,
		})
	}
	if !now.Before(f.deadline) {
		return t.rejectExpired(now, f, out)
	}
	if f.isDatagram() {
		t.setState(f, open)
		f.deadline = now.Add(t.idleTimeout)
	} else {
		t.setState(f, halfOpen)
		f.deadline = now.Add(t.handshakeTimeout)
	}
	out = append(out, Accept{
		Key:    f.key,
		Serial: f.serial,
	})
	return t.hintBalancer(now, f, f.forwardState.balancer, f.forwardState.denied, out)
}

// handleUpstreamFailed forwards the opening of a flow whose connection to the
// upstream failed. No data of it has reached the upstream, so every contract allows
// another endpoint to serve it.
func (t *Table) handleUpstreamFailed(now time.Time, e UpstreamFailed, out []Action) []Action {
	f := t.flows[e.Key]
	if f == nil || f.state != connecting || !f.hasSerial(e.Serial) {
		return out
	}
	reason := e.Reason
	if reason == None {
		reason = ConnectFailed
	}
	t.releaseSlot(now, f, connectFailureResult(reason))
	t.forgetFlow(f)
	return t.reportDrained(t.retryQueued(now, t.forwardOpening(f.forwardState, e.Key, reason, out)))
}

// rejectExpired rejects the opening of a flow whose deadline has passed.
func (t *Table) rejectExpired(now time.Time, f *flow, out []Action) []Action {
	t.counts.Reasons[Expired]++
	t.releaseSlot(now, f, admit.UpstreamTimeout)
	t.forgetFlow(f)
	out = append(out, Reject{
		Key:    f.key,
		Serial: f.serial,
		Reason: Expired,
	})
	return t.reportDrained(t.retryQueued(now, out))
}

// hasSerial reports whether an event with the given serial number refers to this flow;
// zero refers to any.
func (f *flow) hasSerial(serial uint64) bool {
	return serial == 0 || serial == f.serial
}

func connectFailureResult(reason Reason) admit.Result {
	if reason == Expired {
		return admit.UpstreamTimeout
	}
	return admit.UpstreamRefused
}
