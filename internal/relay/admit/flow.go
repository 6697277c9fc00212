package admit

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// phase says whether a flow counts as in use, and for what.
type phase uint8

const (
	// phaseIdle: no request is in progress.
	phaseIdle phase = iota
	// phaseOpening: the SYN was delivered to the endpoint.
	phaseOpening
	// phaseAccepted: the endpoint has answered the SYN; a request is expected.
	phaseAccepted
	// phaseBusy: a request is in progress and no byte of its answer has arrived.
	phaseBusy
)

// flow is one flow of the endpoint.
type flow struct {
	phase     phase
	phaseAt   time.Time
	keepUntil time.Time
	// inUseSince is when the request in progress, or the SYN before it, was delivered.
	inUseSince time.Time
	// sequence is the caller's initial sequence number, valid if sequenceKnown.
	sequence      uint32
	sequenceKnown bool
	// initial and highest bound the endpoint's sequence numbers, and so what the caller
	// may acknowledge.
	initial      uint32
	highest      uint32
	initialKnown bool
	queued       bool
	// acceptedAt is when the endpoint answered the SYN; zero if that is not known.
	acceptedAt time.Time
	// measured is set if the request in progress got a slot at once from a warm endpoint,
	// overdue if its answer has been given up.
	measured bool
	overdue  bool
	// beyondSlots is set if the endpoint had no free slot when it was given the SYN.
	beyondSlots bool
	// adopted is set if the answer to the flow's SYN did not pass this process.
	adopted bool
	// unverified is set when the endpoint has restarted since its last packet of the flow,
	// which may have ended with the earlier incarnation.
	unverified bool
	// confirmed is set once the caller has acknowledged the endpoint's SYN.
	confirmed bool
	// callerEnd is the sequence number after the last byte that the caller has sent,
	// valid if callerEndKnown.
	callerEnd      uint32
	callerEndKnown bool
	// The owner of the flow is announced to balancer and home.
	balancer frame.Host
	home     frame.Host
	fins     uint8
	// latencyTarget and priority are those of the route, 0 while unknown.
	latencyTarget time.Duration
	priority      uint8
}

const (
	finCaller   = 1
	finEndpoint = 2
)

// TCP flags as in link.Packet (RFC 9293).
const (
	flagFin = 0x01
	flagSyn = 0x02
	flagAck = 0x10
)

// setPhase moves a flow to a phase and updates the number of requests in use.
func (h *Controller) setPhase(f *flow, p phase) {
	if f.phase != phaseIdle {
		h.inUse--
	}
	f.phase = p
	if p != phaseIdle {
		h.inUse++
	}
}

// openedBy reports whether a SYN is a copy of the one that opened the flow.
func (f *flow) openedBy(p link.Packet) bool {
	return f.sequenceKnown && f.sequence == p.Sequence
}

// removeFlow removes a flow from the table, with the request queued on it.
func (h *Controller) removeFlow(key link.Key, f *flow) {
	h.setPhase(f, phaseIdle)
	delete(h.flows, key)
	if w, ok := h.queue[key]; ok && w.flow == f {
		delete(h.queue, key)
	}
}

// mayContain reports whether a packet that is no SYN can belong to the flow: it
// acknowledges only data that the endpoint has sent.
func (f *flow) mayContain(p link.Packet) bool {
	if !f.initialKnown || !p.HasAck() {
		return true
	}
	return f.hasSent(p.Acknowledgment)
}

// adoptedAckWindow bounds the distance of a caller's acknowledgments from the data seen
// of an adopted flow. It exceeds the data that is ever in transit.
const adoptedAckWindow = 1 << 24

// hasSent reports whether the endpoint has sent the data that a caller acknowledges.
// Some packets of an adopted flow passed before this process started: the caller may
// still miss one of them, or have received more than this process has seen.
func (f *flow) hasSent(acknowledgment uint32) bool {
	if f.adopted {
		return acknowledgment-f.initial+adoptedAckWindow <= f.highest-f.initial+2*adoptedAckWindow
	}
	return acknowledgment-f.initial <= f.highest-f.initial
}

// trackCallerPacket updates a flow for a packet that is delivered to the endpoint.
func (h *Controller) trackCallerPacket(now time.Time, f *flow, p link.Packet, raw []byte) {
	f.keepUntil = now.Add(idleFlowTTL)
	f.confirmed = f.confirmed || p.HasAck()
	if f.recordNewBytes(p) && f.phase != phaseBusy && f.fins == 0 {
		h.emit(RequestStarted{
			Key: p.Key,
			Raw: raw,
		})
		if f.phase == phaseIdle {
			f.inUseSince = now
			h.recordArrival(now, f.priority, now.Add(f.latencyTarget))
		}
		h.setPhase(f, phaseBusy)
		f.phaseAt = now
		f.measured = h.inUse <= int(h.endpoint.slots) && !now.Before(h.endpoint.coldUntil)
		f.overdue = false
	}
	if p.IsReset() {
		h.closeSide(now, f, finCaller|finEndpoint)
	}
	if p.Flags&flagFin != 0 {
		h.closeSide(now, f, finCaller)
	}
}

// recordNewBytes reports whether a packet of the caller carries new bytes, and records
// their end. A retransmission is not a new request.
func (f *flow) recordNewBytes(p link.Packet) bool {
	if !f.hasNewBytes(p) {
		return false
	}
	f.callerEnd = p.Sequence + p.Length()
	f.callerEndKnown = true
	return true
}

// hasNewBytes reports whether a packet carries bytes that the caller has not sent
// before. A bare acknowledgment carries none; it may overtake the bytes sent before it.
func (f *flow) hasNewBytes(p link.Packet) bool {
	return p.Payload > 0 && (!f.callerEndKnown || int32(p.Sequence+p.Length()-f.callerEnd) > 0)
}

// setRoute applies the latency target and priority of the flow's route, as sent by the
// balancer.
func (f *flow) setRoute(c *frame.Forward) {
	if c.LatencyTargetMS != 0 {
		f.latencyTarget = time.Duration(c.LatencyTargetMS) * time.Millisecond
		f.priority = c.Priority
	}
}

// closeSide records that one side has closed the flow. A flow closed by both is kept for
// a while for packets in transit.
func (h *Controller) closeSide(now time.Time, f *flow, fin uint8) {
	f.fins |= fin
	if f.fins == finCaller|finEndpoint {
		h.setPhase(f, phaseIdle)
		f.keepUntil = now.Add(closedFlowTTL)
	}
}

// handlePacketFromEndpoint updates the flow for a packet of the endpoint and sends the
// packet to the caller. The key of such a packet has the caller as its source.
func (h *Controller) handlePacketFromEndpoint(now time.Time, a PacketFromEndpoint) {
	h.markAlive(now)
	p := a.Packet
	if p.IsReset() && h.takeResetAsDenial(now, p) {
		return
	}
	h.emit(SendToCaller{
		Raw: a.Raw,
		Key: p.Key,
	})
	if p.Flags&flagSyn != 0 {
		h.handleOpeningAnswer(now, p)
		return
	}
	f, ok := h.flows[p.Key]
	if !ok {
		f = h.adoptFlow(now, p)
		if f == nil {
			return
		}
	}
	f.keepUntil = now.Add(idleFlowTTL)
	f.unverified = false
	if !p.IsReset() {
		h.recordSameIncarnation(f.acceptedAt)
	}
	if !f.initialKnown {
		f.initialKnown = true
		f.initial = p.Sequence - 1
		f.highest = p.Sequence
		h.finishOwnerLookup(f, p.Key)
	}
	if end := p.Sequence + p.Length(); end-f.initial > f.highest-f.initial && end-f.initial < 1<<31 {
		f.highest = end
	}
	if p.Payload > 0 && f.phase != phaseIdle {
		if f.phase == phaseBusy {
			h.recordAnswer(now, f)
			h.recordServiceTime(now.Sub(f.phaseAt))
			h.recordSlotTime(now.Sub(f.inUseSince))
			h.emit(RequestAnswered{
				Key:     p.Key,
				Latency: now.Sub(f.phaseAt),
			})
		}
		h.setPhase(f, phaseIdle)
	}
	if p.IsReset() {
		h.recordReset(f)
		h.closeSide(now, f, finCaller|finEndpoint)
	}
	if p.Flags&flagFin != 0 {
		h.closeSide(now, f, finEndpoint)
	}
}

// finishOwnerLookup announces the owner of a flow to whoever looked for it, once
// the endpoint has answered a packet of the flow.
func (h *Controller) finishOwnerLookup(f *flow, key link.Key) {
	l, ok := h.ownerLookups[key]
	if !ok {
		return
	}
	delete(h.ownerLookups, key)
	f.balancer = l.balancer
	f.home = l.home
	h.announceOwner(f, key)
}

// adoptFlow starts to track a flow that the endpoint holds and that this process does not
// know: it is older than this process, or the endpoint answered its SYN late.
func (h *Controller) adoptFlow(now time.Time, p link.Packet) *flow {
	if p.IsReset() {
		return nil
	}
	if len(h.flows) >= maxFlows {
		h.endpoint.sawAllFlows = false
		return nil
	}
	h.forgetLostFlow(p.Key)
	f := &flow{
		phaseAt: now,
		adopted: p.Flags&flagSyn == 0,
	}
	if p.Flags&flagSyn != 0 && p.HasAck() {
		f.sequence = p.Acknowledgment - 1
		f.sequenceKnown = true
	}
	h.flows[p.Key] = f
	return f
}

// handleOpeningAnswer handles the endpoint's answer to a SYN. An answer that the flow in the table
// began with is repeated, for a copy of its SYN; any other one begins another flow.
func (h *Controller) handleOpeningAnswer(now time.Time, p link.Packet) {
	f, ok := h.flows[p.Key]
	o, pending := h.openings[p.Key]
	if pending {
		delete(h.openings, p.Key)
	}
	if ok && f.beganWith(p) {
		if pending {
			h.setPhase(o, phaseIdle)
		}
		f.keepUntil = now.Add(idleFlowTTL)
		f.unverified = false
		h.announceOwner(f, p.Key)
		return
	}
	if ok {
		h.removeFlow(p.Key, f)
	}
	if !pending {
		if o = h.adoptFlow(now, p); o == nil {
			return
		}
	}
	h.forgetLostFlow(p.Key)
	h.flows[p.Key] = o
	o.keepUntil = now.Add(idleFlowTTL)
	h.recordOpeningAnswer(now, o, p)
}

// beganWith reports whether a SYN-ACK is the one that the flow began with. Of an adopted flow only
// a later sequence number of the endpoint is known.
func (f *flow) beganWith(p link.Packet) bool {
	return f.initial == p.Sequence || f.adopted && f.initial-p.Sequence < adoptedAckWindow
}

// recordOpeningAnswer records the endpoint's answer to a SYN and announces the owner of
// the flow.
func (h *Controller) recordOpeningAnswer(now time.Time, f *flow, p link.Packet) {
	h.endpoint.refusedOpening = false
	h.endpoint.health.Accepted(now, int(h.endpoint.slots))
	f.initialKnown = true
	f.acceptedAt = now
	f.initial = p.Sequence
	f.highest = p.Sequence + 1
	h.openFlows++
	h.emit(FlowAccepted{
		Key:     p.Key,
		InUse:   h.inUse,
		Slots:   int(h.endpoint.slots),
		Latency: now.Sub(f.phaseAt),
		Queued:  f.queued,

		BeyondSlots: f.beyondSlots,
	})
	if f.phase == phaseOpening {
		h.setPhase(f, phaseAccepted)
		f.phaseAt = now
		h.acceptedOpenings = append(h.acceptedOpenings, acceptedOpening{
			key:        p.Key,
			acceptedAt: now,
		})
	}
	h.announceOwner(f, p.Key)
}

// announceOwner announces the owner of a flow to the balancer that asked and to the
// flow's home.
func (h *Controller) announceOwner(f *flow, key link.Key) {
	o := frame.Owner{
		Key:             key,
		Host:            h.self,
		InitialSequence: f.initial,
		Known:           f.initialKnown,
	}
	h.setLoad(&o)
	if f.balancer != 0 {
		h.emit(AnnounceOwner{
			To:    f.balancer,
			Owner: o,
		})
	}
	if f.home != 0 && f.home != h.self {
		h.emit(AnnounceOwner{
			To:    f.home,
			Owner: o,
		})
	}
}
