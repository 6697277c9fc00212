package admit

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// handleFlowPacket handles a packet of an existing flow, whose owner may be any
// endpoint.
func (h *Controller) handleFlowPacket(now time.Time, p link.Packet, c *frame.Forward) {
	f, ok := h.flows[p.Key]
	if ok && f.mayContain(p) {
		moved := f.balancer != c.Balancer
		f.balancer = c.Balancer
		if c.Home != 0 {
			f.home = c.Home
		}
		if c.Flags&frame.Cached == 0 || moved {
			h.announceOwner(f, p.Key)
		}
		f.setRoute(c)
		if h.queueRequest(now, f, p, c) {
			return
		}
		h.trackCallerPacket(now, f, p, c.Packet)
		h.deliverToEndpoint(now, p, c, deliverOwned)
		return
	}
	if ok {
		// The endpoint answered a copy of the SYN, but the caller accepted another
		// endpoint's answer. Only that endpoint knows that it is the owner.
		c.Flags |= frame.CandidateSilent
		h.forwardUnowned(p, c, OtherAnswer)
		return
	}
	if h.ownedEndedFlow(p.Key, p.Acknowledgment, p.HasAck()) {
		h.returnEndedFlow(p, c)
		return
	}
	if h.deniesFlow(p.Key) {
		h.forwardUnowned(p, c, UnknownFlow)
		return
	}
	if len(h.ownerLookups) < maxRemoteOwners {
		h.ownerLookups[p.Key] = ownerLookup{
			balancer:  c.Balancer,
			home:      c.Home,
			keepUntil: now.Add(requestTimeout),
		}
	}
	h.deliverToEndpoint(now, p, c, deliverUnknown)
}

// answerOwnerQuery answers a balancer's owner query.
func (h *Controller) answerOwnerQuery(a frame.OwnerQuery) {
	verdict := h.answerFlowQuery(a.Balancer, frame.FlowQuery{
		Key:            a.Key,
		Acknowledgment: a.Acknowledgment,
		Acknowledges:   a.Acknowledges,
	})
	if verdict == frame.Owned {
		return
	}
	h.emit(DenyOwnership{
		To: a.Balancer,
		Denial: frame.Denial{
			QueryID:    a.QueryID,
			Host:       h.self,
			Key:        a.Key,
			Conclusive: verdict == frame.Denied || verdict == frame.Ended && h.deniesFlow(a.Key),
			FlowEnded:  verdict == frame.Ended,
		},
	})
}

// answerOwnerBatch answers a batch of a balancer's owner queries.
func (h *Controller) answerOwnerBatch(a frame.OwnerBatch) {
	m := frame.OwnerAnswers{
		BatchID: a.BatchID,
		Digest:  frame.FlowsDigest(a.Flows),
		Host:    h.self,

		TableSize: frame.NoSummary,
	}
	if size := len(h.flows) + len(h.endedFlows); h.endpoint.sawAllFlows && size <= frame.MaxSummary {
		m.TableSize = uint16(size)
		if len(a.Flows) == 0 {
			m.Hashes = h.hashFlows()
		}
	}
	for i := range a.Flows {
		m.Verdicts = append(m.Verdicts, h.answerFlowQuery(a.Balancer, a.Flows[i]))
	}
	h.emit(AnswerOwners{
		To:      a.Balancer,
		Answers: m,
	})
}

// hashFlows returns the hashes of all flows that the endpoint holds or has held, sorted.
func (h *Controller) hashFlows() (hashes []uint32) {
	for key := range h.flows {
		hashes = append(hashes, frame.FlowHash(key))
	}
	for key := range h.endedFlows {
		hashes = append(hashes, frame.FlowHash(key))
	}
	slices.Sort(hashes)
	return hashes
}

// answerFlowQuery returns the answer to an owner query, and announces the endpoint as the owner
// if it is. If this process has not seen all flows of the endpoint, only the endpoint itself
// can decide, given the packet.
func (h *Controller) answerFlowQuery(balancer frame.Host, q frame.FlowQuery) frame.Verdict {
	f, ok := h.flows[q.Key]
	switch {
	case ok && f.initialKnown && (!q.Acknowledges || f.hasSent(q.Acknowledgment)):
		f.balancer = balancer
		h.announceOwner(f, q.Key)
		return frame.Owned
	case ok:
		return frame.CannotTell
	case h.ownedEndedFlow(q.Key, q.Acknowledgment, q.Acknowledges):
		return frame.Ended
	case h.deniesFlow(q.Key):
		return frame.Denied
	default:
		return frame.CannotTell
	}
}

// deniesFlow reports whether the endpoint is known not to hold a flow that is not in the
// table.
func (h *Controller) deniesFlow(key link.Key) bool {
	_, denied := h.deniedFlows[key]
	return denied || h.endpoint.sawAllFlows
}

// recordDeniedFlow records that the endpoint has denied a flow.
func (h *Controller) recordDeniedFlow(now time.Time, key link.Key) {
	if len(h.deniedFlows) < maxDeniedFlows {
		h.deniedFlows[key] = now.Add(deniedFlowTTL)
	}
}

// recordEndedFlow records that a flow of the endpoint has ended with it.
func (h *Controller) recordEndedFlow(key link.Key, f *flow) {
	if f.initialKnown && len(h.endedFlows) < maxFlows {
		h.endedFlows[key] = f
	}
}

// ownedEndedFlow reports whether a packet belongs to a flow of the endpoint that has ended.
// It does if it acknowledges what the endpoint has sent: then the caller has accepted this
// endpoint's answer, and no other endpoint holds the flow.
func (h *Controller) ownedEndedFlow(key link.Key, acknowledgment uint32, acknowledges bool) bool {
	f, ok := h.endedFlows[key]
	return ok && acknowledges && f.hasSent(acknowledgment)
}

// forgetLostFlow removes what is known of an earlier flow with the key, because the endpoint
// may hold another one now.
func (h *Controller) forgetLostFlow(key link.Key) {
	delete(h.endedFlows, key)
	delete(h.deniedFlows, key)
}

// returnEndedFlow returns a packet of a flow that has ended with its endpoint. Balancers of
// earlier releases, which do not know FlowEnded, treat it as a denial by all candidates.
func (h *Controller) returnEndedFlow(p link.Packet, c *frame.Forward) {
	h.emit(ReturnToBalancer{
		To: c.Balancer,
		Return: frame.Return{
			Host:          h.self,
			Reason:        uint8(FlowEnded),
			Conclusive:    true,
			ListExhausted: true,
			FlowEnded:     true,
			LookupStage:   c.LookupStage,
			Packet:        c.Packet,
		},
		Key:    p.Key,
		Reason: FlowEnded,
	})
}

// forwardUnowned forwards a packet whose flow does not belong to the endpoint.
func (h *Controller) forwardUnowned(p link.Packet, c *frame.Forward, reason Reason) {
	if c.Flags&frame.Cached != 0 {
		h.returnToBalancer(p, c, reason, false)
		return
	}
	h.insertKnownOwner(p, c)
	h.forwardToNextCandidate(p, c, reason)
}

// insertKnownOwner makes the known owner of a flow the next candidate.
func (h *Controller) insertKnownOwner(p link.Packet, c *frame.Forward) {
	if remote, ok := h.remoteOwners[p.Key]; ok {
		insertNextCandidate(c, remote.owner.Host)
	}
}

// insertNextCandidate makes an agent the next candidate, unless it has been asked
// already.
func insertNextCandidate(c *frame.Forward, to frame.Host) bool {
	next := int(c.Position) + 1
	if slices.Contains(c.Candidates[:next], to) || len(c.Candidates) >= frame.MaxCandidates {
		return false
	}
	rest := slices.DeleteFunc(slices.Clone(c.Candidates[next:]), func(o frame.Host) bool { return o == to })
	c.Candidates = slices.Concat(c.Candidates[:next], []frame.Host{to}, rest)
	return true
}

// takeResetAsDenial treats an endpoint's RST as a denial if the endpoint was given a
// packet to find the owner of its flow. The RST must not reach the caller: another
// endpoint may own the flow.
func (h *Controller) takeResetAsDenial(now time.Time, p link.Packet) bool {
	if _, ok := h.flows[p.Key]; ok {
		return false
	}
	for _, number := range h.timedMarks {
		m := &h.deliveries[number%maxDeliveries]
		if m.number != number || m.purpose != deliverUnknown || m.key != p.Key {
			continue
		}
		m.purpose = 0
		m.forward.Packet = m.raw
		delete(h.ownerLookups, p.Key)
		h.recordDeniedFlow(now, p.Key)
		h.forwardUnowned(m.packet, m.forward, EndpointDenied)
		return true
	}
	return false
}
