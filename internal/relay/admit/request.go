package admit

import (
	"math"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// Requests on open flows are queued as well while the whole service is overloaded, that
// is, has more work than its slots can do for longer than a moment. Queueing SYNs alone
// would not suffice: requests on open flows fill the endpoint's queue, which is first
// come, first served, until the endpoint sheds; all of them are late, and an urgent
// request that needs a new flow never gets a slot. Nothing is dropped: a queued request
// is served when a slot is free, or abandoned by its caller. While other endpoints have
// free slots, the endpoint's own refusal serves callers better, since they retry at
// another endpoint at once.
const (
	// maxRequestsPerSlot is how many requests per slot the endpoint has in use before
	// requests on open flows are queued: one in progress and one waiting, which still
	// finishes in time.
	maxRequestsPerSlot = 2
	// minServiceLoad is the load of the whole service, in 64ths of its slots, from which
	// requests are queued: more in use than can be worked on.
	minServiceLoad = 1.75 * roster.LoadUnit
	// callerTimeout is how long after its last transmission a caller counts as gone. It
	// exceeds the longest retransmission interval.
	callerTimeout = 1800 * time.Millisecond
	// maxPacketsPerRequest bounds the packets kept of one request. The caller
	// retransmits the rest.
	maxPacketsPerRequest = 16
)

// queuedPacket is a packet of a queued request.
type queuedPacket struct {
	packet  link.Packet
	forward *frame.Forward
}

// requestCapacity is how many requests on open flows the endpoint may have in use at
// once. A draining endpoint gets all of them.
func (h *Controller) requestCapacity() int {
	if s := h.endpoint.state(); s == node.Draining || s == node.Gone {
		return math.MaxInt
	}
	if h.estimator != nil {
		return h.openingCapacity()
	}
	return max(maxRequestsPerSlot*int(h.endpoint.slots), h.openingCapacity()+1)
}

// queueRequest queues a caller's packet of an open flow if its request has to wait, and
// reports whether it did.
func (h *Controller) queueRequest(now time.Time, f *flow, p link.Packet, c *frame.Forward) bool {
	w, ok := h.queue[p.Key]
	if !ok || w.flow != f {
		if f.phase != phaseIdle || f.fins != 0 || !f.hasNewBytes(p) {
			return false
		}
		if h.inUse < h.requestCapacity() || h.queueFull(true) {
			return false
		}
		w = &queueEntry{
			flow:          f,
			packet:        p,
			forward:       c,
			queuedAt:      now,
			startDeadline: now.Add(f.latencyTarget - time.Duration(serviceTimeMargin*float64(h.serviceTime))),
		}
		if !h.serviceOverloaded(c) && !h.waitsInTurn(now, w) {
			return false
		}
		h.queue[p.Key] = w
		h.emit(RequestQueued{
			Key:         p.Key,
			AverageLoad: c.AverageLoad,
		})
	}
	switch {
	case p.IsReset():
		delete(h.queue, p.Key)
		return false
	case p.Payload == 0 && p.Flags&flagFin == 0:
		return false
	}
	w.callerDeadline = now.Add(callerTimeout)
	f.keepUntil = now.Add(idleFlowTTL)
	duplicate := slices.ContainsFunc(w.packets, func(o queuedPacket) bool {
		return o.packet.Sequence == p.Sequence && o.packet.Payload == p.Payload
	})
	if duplicate || len(w.packets) >= maxPacketsPerRequest {
		return true
	}
	kept := *c
	kept.Packet = slices.Clone(c.Packet)
	w.packets = append(w.packets, queuedPacket{
		packet:  p,
		forward: &kept,
	})
	return true
}

// releaseRequest delivers the packets of a queued request to the endpoint.
func (h *Controller) releaseRequest(now time.Time, w *queueEntry) {
	for i := range w.packets {
		p := &w.packets[i]
		h.trackCallerPacket(now, w.flow, p.packet, p.forward.Packet)
		h.deliverToEndpoint(now, p.packet, p.forward, deliverOwned)
	}
}
