package admit

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// deliveryPurpose says why a packet was delivered to the endpoint.
type deliveryPurpose uint8

const (
	// deliverOwned: the flow is known to be the endpoint's.
	deliverOwned deliveryPurpose = iota + 1
	// deliverOpening: a SYN that the endpoint is to answer.
	deliverOpening
	// deliverUnknown: the flow may be the endpoint's.
	deliverUnknown
)

// delivery is one packet delivered to the endpoint.
type delivery struct {
	number   uint32
	purpose  deliveryPurpose
	key      link.Key
	packet   link.Packet
	forward  *frame.Forward
	raw      []byte
	deadline time.Time
}

// handlePacketForEndpoint handles a packet that was forwarded to this agent.
func (h *Controller) handlePacketForEndpoint(now time.Time, a PacketForEndpoint) {
	if a.Packet.Kind == link.Opening {
		h.handleOpening(now, a.Packet, a.Forward)
		return
	}
	h.handleFlowPacket(now, a.Packet, a.Forward)
}

// handleOpening decides whether the endpoint takes a new flow.
func (h *Controller) handleOpening(now time.Time, p link.Packet, c *frame.Forward) {
	if f, ok := h.flows[p.Key]; ok && f.openedBy(p) {
		f.balancer = c.Balancer
		if h.mayRedeliverOpening(now, f) {
			h.recordDelivery(now)
			h.deliverToEndpoint(now, p, c, deliverOwned)
		}
		h.announceOwner(f, p.Key)
		return
	}
	if w, waits := h.queue[p.Key]; waits && w.flow == nil && w.packet.Sequence == p.Sequence {
		if !w.offeredUntil.IsZero() {
			h.handleOffered(now, w, c)
			return
		}
		w.forward.Balancer = c.Balancer
		h.announceQueued(w)
		return
	}
	if h.forwardToEarlierCopy(p, c) {
		return
	}
	reason, rejected := h.rejectReason(now, c)
	if reason == SlotsFull {
		reason = h.offerQueue(now, p, c)
	}
	if rejected && !h.takesAsLast(c, reason) {
		h.forwardToNextCandidate(p, c, reason)
		return
	}
	if h.inUse >= h.openingCapacity() || h.coldFull(now) {
		if h.queueFull(false) {
			h.forwardToNextCandidate(p, c, QueueFull)
			return
		}
		if !h.queueOpening(now, p, c) {
			h.forwardToNextCandidate(p, c, QueueTooLong)
		}
		return
	}
	h.recordArrival(now, c.Priority, h.openingStartDeadline(now, p, c))
	h.admitOpening(now, p, c, false)
}

// mayRedeliverOpening reports whether a retransmitted SYN that the endpoint has answered
// may be delivered again. If the flow is already open or the endpoint is draining, the
// endpoint would take the copy for a new flow. A caller that has given up needs no answer.
func (h *Controller) mayRedeliverOpening(now time.Time, f *flow) bool {
	leaves := h.endpoint.state() == node.Draining || h.endpoint.state() == node.Gone
	mayGetIt := !h.evacuated() && !h.coldFull(now)
	return !f.confirmed && !leaves && mayGetIt && now.Before(f.phaseAt.Add(attemptTimeout))
}

// forwardToEarlierCopy forwards a retransmitted SYN to the agent where an earlier copy
// is queued or was answered. The copies of one SYN arrive through several balancers
// while balancers join or leave.
func (h *Controller) forwardToEarlierCopy(p link.Packet, c *frame.Forward) bool {
	remote, ok := h.remoteOwners[p.Key]
	if !ok || copyAge(p) == 0 || c.Home != h.self || c.Flags&frame.Chosen != 0 {
		return false
	}
	if !insertNextCandidate(c, remote.owner.Host) {
		return false
	}
	c.Position++
	h.emit(ForwardToCandidate{
		To:      remote.owner.Host,
		Forward: c,
		Key:     p.Key,
		Kind:    p.Kind,
		Reason:  EarlierCopy,
	})
	return true
}

// admitOpening delivers a SYN to the endpoint.
func (h *Controller) admitOpening(now time.Time, p link.Packet, c *frame.Forward, queued bool) {
	if o, ok := h.openings[p.Key]; ok {
		h.setPhase(o, phaseIdle)
	}
	if w, waits := h.queue[p.Key]; waits && w.flow == nil {
		// A caller that reuses its port has abandoned the queued SYN.
		delete(h.queue, p.Key)
	}
	h.forgetLostFlow(p.Key)
	f := &flow{
		phaseAt:    now,
		keepUntil:  now.Add(closedFlowTTL),
		inUseSince: now,
		balancer:   c.Balancer,
		home:       c.Home,
		queued:     queued,

		sequence:       p.Sequence,
		sequenceKnown:  true,
		callerEnd:      p.Sequence + p.Length(),
		callerEndKnown: true,
	}
	f.setRoute(c)
	h.recordDelivery(now)
	h.setPhase(f, phaseOpening)
	f.beyondSlots = h.inUse > int(h.endpoint.slots)
	h.openings[p.Key] = f
	h.endpoint.health.Opened(now)
	h.deliverToEndpoint(now, p, c, deliverOpening)
}

// rejectReason returns why the endpoint does not take a SYN, and whether it is rejected
// at all. With every slot in use, the endpoint takes a SYN only as the least loaded of
// all candidates asked.
func (h *Controller) rejectReason(now time.Time, c *frame.Forward) (reason Reason, rejected bool) {
	e := &h.endpoint
	switch {
	case c.Service != h.service:
		return OtherService, true
	case e.state() == node.Draining || e.state() == node.Gone:
		return Leaving, true
	case e.state() != node.Serving:
		return NotServing, true
	case h.evacuated():
		return Evacuated, true
	case e.health.Refuses(now, c.Flags&frame.FewServing != 0):
		return EndpointRefused, true
	case e.health.Probing(now):
		return Suspect, true
	case len(h.flows)+len(h.openings) >= maxFlows:
		return TableFull, true
	case !e.proven && h.inUse > 0:
		return Unproven, true
	case h.openFlows >= h.maxOpenFlows(c) && c.Flags&frame.Chosen == 0:
		h.recordLeastLoaded(c, 0)
		return FlowsFull, true
	case h.coldFull(now) && c.Flags&frame.Chosen == 0:
		h.recordLeastLoaded(c, h.coldLoad(now))
		return ColdFull, true
	case h.ramping(now) && c.Flags&frame.Chosen == 0:
		h.recordLeastLoaded(c, 0)
		return SlowStart, true
	case !h.hasFirstPassCapacity() && c.Flags&frame.Chosen == 0:
		return SlotsFull, true
	default:
		return 0, false
	}
}

// maxOpenFlows is how many open flows the endpoint may hold before other candidates are
// asked first.
func (h *Controller) maxOpenFlows(c *frame.Forward) int {
	slots := float64(h.endpoint.slots)
	return int(max(maxFlowShare*float64(c.FlowsPerSlot)/roster.FlowsPerSlotUnit, minFlowsPerSlot) * slots)
}

// openingCapacity is how many requests and accepted SYNs the endpoint may have in use at
// once: one more than its slots. A caller's request arrives one round trip after the SYN
// is answered, and the slot would be idle meanwhile. A suspect that is back starts with less.
func (h *Controller) openingCapacity() int {
	return h.endpoint.health.Limit(int(h.endpoint.slots) + 1)
}

// forwardToNextCandidate forwards a packet to the next candidate. A SYN that all
// candidates have rejected goes to the least loaded of them, or else back to its
// balancer. A packet of a flow that all candidates have denied goes back to its
// balancer.
func (h *Controller) forwardToNextCandidate(p link.Packet, c *frame.Forward, reason Reason) {
	switch {
	case c.Flags&frame.Chosen == 0 && int(c.Position)+1 < len(c.Candidates):
		c.Position++
	case p.Kind == link.Opening && c.Flags&frame.Chosen == 0 && int(c.Best) < len(c.Candidates):
		c.Flags |= frame.Chosen
		c.Position = c.Best
	default:
		h.returnToBalancer(p, c, reason, true)
		return
	}
	if c.Candidates[c.Position] == h.self && c.Flags&frame.Chosen == 0 {
		h.forwardToNextCandidate(p, c, reason)
		return
	}
	h.emit(ForwardToCandidate{
		To:      c.Candidates[c.Position],
		Forward: c,
		Key:     p.Key,
		Kind:    p.Kind,
		Reason:  reason,
	})
}

// returnToBalancer returns a packet to its balancer. The result is conclusive if no
// candidate asked was silent and, where the whole list was asked, the list was complete.
func (h *Controller) returnToBalancer(p link.Packet, c *frame.Forward, reason Reason, listExhausted bool) {
	h.emit(ReturnToBalancer{
		To: c.Balancer,
		Return: frame.Return{
			Host:          h.self,
			Reason:        uint8(reason),
			Conclusive:    c.Flags&frame.CandidateSilent == 0 && (!listExhausted || c.Flags&frame.ListComplete != 0),
			ListExhausted: listExhausted,
			LookupStage:   c.LookupStage,
			Evacuated:     reason == Evacuated,
			QueueTooLong:  reason == QueueTooLong,
			Packet:        c.Packet,
		},
		Key:    p.Key,
		Reason: reason,
	})
}

// deliverToEndpoint delivers a packet to the endpoint and tracks it in case it bounces.
// Only deliveries after which another candidate may have to be asked get a deadline.
func (h *Controller) deliverToEndpoint(now time.Time, p link.Packet, c *frame.Forward, purpose deliveryPurpose) {
	h.lastMark++
	m := &h.deliveries[h.lastMark%maxDeliveries]
	*m = delivery{
		number:  h.lastMark,
		purpose: purpose,
		key:     p.Key,
		packet:  p,
		forward: c,
	}
	if purpose != deliverOwned {
		m.raw = slices.Clone(c.Packet)
		m.deadline = now.Add(endpointAnswerTimeout)
		h.timedMarks = append(h.timedMarks, m.number)
	}
	h.emit(Deliver{
		Raw:  c.Packet,
		Mark: m.number,
	})
}

// handleBounce handles a packet that the endpoint did not accept.
func (h *Controller) handleBounce(now time.Time, b PacketBounced) {
	h.markReached(now)
	m := &h.deliveries[b.Mark%maxDeliveries]
	if m.number != b.Mark || m.purpose == 0 || m.key != b.Packet.Key {
		return
	}
	c := m.forward
	c.Packet = b.Raw
	purpose := m.purpose
	m.purpose = 0
	f, ok := h.flows[b.Packet.Key]
	if b.Packet.Kind == link.Opening {
		if o, pending := h.openings[b.Packet.Key]; pending && o.openedBy(b.Packet) {
			h.setPhase(o, phaseIdle)
			delete(h.openings, b.Packet.Key)
		}
		if !ok {
			h.recordRefusal(now)
		}
		h.retryOpening(b.Packet, c, EndpointRefused)
		return
	}
	if ok && purpose == deliverOwned && f.mayContain(b.Packet) {
		h.suspectRestart()
		h.removeFlow(b.Packet.Key, f)
		h.recordEndedFlow(b.Packet.Key, f)
	}
	delete(h.ownerLookups, b.Packet.Key)
	if h.ownedEndedFlow(b.Packet.Key, b.Packet.Acknowledgment, b.Packet.HasAck()) {
		h.returnEndedFlow(b.Packet, c)
		return
	}
	if _, ok = h.flows[b.Packet.Key]; !ok {
		h.recordDeniedFlow(now, b.Packet.Key)
	}
	h.forwardUnowned(b.Packet, c, EndpointDenied)
}

// retryOpening forwards a SYN that the endpoint refused or did not answer. A SYN
// delivered to the least loaded candidate has already been offered to all others.
func (h *Controller) retryOpening(p link.Packet, c *frame.Forward, reason Reason) {
	if c.Flags&frame.Chosen != 0 {
		c.Best = frame.NoBest
	}
	h.forwardToNextCandidate(p, c, reason)
}

// expireDeliveries skips the endpoint for each delivery that was not answered in time.
func (h *Controller) expireDeliveries(now time.Time) {
	if now.Sub(h.lastTickAt) > maxTickGap {
		// This process did not run for a while, and answers may be waiting to be read.
		// They are processed before the next tick.
		return
	}
	for len(h.timedMarks) > 0 {
		number := h.timedMarks[0]
		m := &h.deliveries[number%maxDeliveries]
		live := m.number == number && m.purpose != 0
		if live && now.Before(m.deadline) {
			return
		}
		h.timedMarks = h.timedMarks[1:]
		if live {
			h.expireDelivery(now, m)
		}
	}
	h.timedMarks = nil
}

// expireDelivery asks the next candidate in place of a silent endpoint.
func (h *Controller) expireDelivery(now time.Time, m *delivery) {
	purpose := m.purpose
	m.purpose = 0
	_, ok := h.flows[m.key]
	c := m.forward
	c.Packet = m.raw
	if purpose == deliverOpening {
		o, pending := h.openings[m.key]
		if !pending || o.phase != phaseOpening || !o.openedBy(m.packet) {
			return
		}
		// The endpoint may answer late, so the SYN is kept without its slot. Its balancer is told
		// of the flow with the first packet: the caller may accept another endpoint's answer.
		h.setPhase(o, phaseIdle)
		o.balancer, o.home = 0, 0
		if !ok {
			h.markSilent(now, OpeningUnanswered)
		}
		h.retryOpening(m.packet, c, OpeningUnanswered)
		return
	}
	if ok {
		return
	}
	c.Flags |= frame.CandidateSilent
	h.forwardUnowned(m.packet, c, OwnershipUnknown)
}
