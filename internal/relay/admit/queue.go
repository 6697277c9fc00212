package admit

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/relay/shed"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// SYNs are queued here instead of in the endpoint's own queue, which is first come,
// first served. After an outage all callers return at once, with more work than the
// slots can do for a second or two. In a plain queue every request, including the
// latest, is then delayed by the length of the queue. Here a request that can still meet
// its latency target goes before one that cannot; the late ones get the remaining slots.
// None is dropped before its caller gives up, unless WithLoadShedding is set.
const (
	// maxQueued bounds the queue: one second of work of the busiest endpoints seen, with
	// 7 slots and 60 ms per request.
	maxQueued = 120
	// attemptTimeout is how long a caller waits for the answer to a SYN, counted from
	// the first transmission. minAttemptRemaining is the part of it that has to remain
	// for the answer to arrive: a slot given later stays empty.
	attemptTimeout      = 1400 * time.Millisecond
	minAttemptRemaining = 60 * time.Millisecond
	// openingShare is the number of queued SYNs that are delivered per finished request
	// although no slot is free. Without it, queued SYNs would never get a slot while
	// requests on open flows keep all slots in use.
	openingShare = 0.5
	// maxInUsePerSlot bounds how much the endpoint has in use per slot because of
	// openingShare. Endpoints shed from about this load on.
	maxInUsePerSlot = 4
	// initialServiceTime is the assumed service time before the first request is
	// answered.
	initialServiceTime = 60 * time.Millisecond
	// serviceTimeWeight is the weight of one request in the moving average.
	serviceTimeWeight = 1.0 / 16
	// serviceTimeMargin is how many times the average service time has to fit into the
	// remaining time: service times vary by half, and the answer has to reach the
	// caller.
	serviceTimeMargin = 1.5
)

// queueEntry is a SYN, or a request on an open flow, that waits for a slot.
type queueEntry struct {
	// flow is the open flow of a request, nil for a SYN. packets are the queued packets
	// of the request.
	flow     *flow
	packets  []queuedPacket
	packet   link.Packet
	forward  *frame.Forward
	queuedAt time.Time
	// callerDeadline is when the caller has given up.
	callerDeadline time.Time
	// startDeadline is the latest start with which a request meets its latency target.
	startDeadline time.Time
	// offeredUntil is set while a SYN that cannot be served here is offered to the other
	// candidates: until when it may come back.
	offeredUntil time.Time
}

// recordServiceTime records the time from a request to the first byte of its answer.
func (h *Controller) recordServiceTime(took time.Duration) {
	h.serviceTime += time.Duration(float64(took-h.serviceTime) * serviceTimeWeight)
	// The finished request still counts as in use here.
	if len(h.queue) == 0 || h.inUse <= h.openingCapacity() {
		h.openingCredit = 0
		return
	}
	h.openingCredit = min(h.openingCredit+openingShare, 1)
}

// queueOpening queues a SYN until a slot is free. It reports false if the SYN cannot be served.
func (h *Controller) queueOpening(now time.Time, p link.Packet, c *frame.Forward) bool {
	kept := *c
	kept.Packet = append([]byte(nil), c.Packet...)
	w := h.newQueuedOpening(now, p, &kept)
	if !h.joinsQueue(now, w) {
		return false
	}
	h.queue[p.Key] = w
	h.announceQueued(w)
	return true
}

func (h *Controller) newQueuedOpening(now time.Time, p link.Packet, c *frame.Forward) *queueEntry {
	return &queueEntry{
		packet:         p,
		forward:        c,
		queuedAt:       now,
		callerDeadline: now.Add(attemptTimeout - minAttemptRemaining - copyAge(p)),
		startDeadline:  h.openingStartDeadline(now, p, c),
	}
}

// openingStartDeadline returns the latest start with which the request that follows a SYN meets
// its latency target.
func (h *Controller) openingStartDeadline(now time.Time, p link.Packet, c *frame.Forward) time.Time {
	target := time.Duration(c.LatencyTargetMS) * time.Millisecond
	return now.Add(target - time.Duration(serviceTimeMargin*float64(h.serviceTime)) - copyAge(p))
}

// copyAge returns how long ago the caller first sent a SYN. The acknowledgment field of
// a SYN holds the number of its retransmission.
func copyAge(p link.Packet) time.Duration {
	switch p.Acknowledgment {
	case 0:
		return 0
	case 1:
		return 200 * time.Millisecond
	default:
		return 600 * time.Millisecond
	}
}

// announceQueued tells the balancer where a SYN is queued, so that it does not forward
// copies to others, and the flow's home, where other balancers look up the owner.
func (h *Controller) announceQueued(w *queueEntry) {
	o := frame.Owner{
		Key:  w.packet.Key,
		Host: h.self,
	}
	h.setLoad(&o)
	h.emit(AnnounceOwner{
		To:    w.forward.Balancer,
		Owner: o,
	})
	if home := w.forward.Home; home != 0 && home != h.self {
		h.emit(AnnounceOwner{
			To:    home,
			Owner: o,
		})
	}
}

// recordLeastLoaded records this candidate in the packet's header if it is the least
// loaded one so far. The extra load is added to that of its slots.
func (h *Controller) recordLeastLoaded(c *frame.Forward, extra int) {
	h.recordLoad(c, h.inUse+len(h.queue), extra)
}

// recordLoad records this candidate with a number of requests to be served before the SYN.
func (h *Controller) recordLoad(c *frame.Forward, ahead, extra int) {
	load := uint16(min(ahead*roster.LoadUnit/int(h.endpoint.slots)+extra, 0xffff))
	if h.lessLoaded(load, c) {
		c.Best = c.Position
		c.BestLoad = load
	}
}

// serveQueue gives free slots to queued SYNs and requests.
func (h *Controller) serveQueue(now time.Time) {
	if len(h.queue) == 0 {
		return
	}
	h.expireQueued(now)
	for len(h.queue) > 0 {
		w := h.nextQueued(now)
		if w == nil {
			return
		}
		delete(h.queue, w.packet.Key)
		if w.flow != nil {
			h.releaseRequest(now, w)
			continue
		}
		if reason, rejected := h.rejectReason(now, w.forward); rejected {
			// The endpoint takes no more SYNs: ask all candidates again.
			w.forward.Flags &^= frame.Chosen
			w.forward.Best = frame.NoBest
			w.forward.Position = 0
			h.forwardToNextCandidate(w.packet, w.forward, reason)
			continue
		}
		if h.inUse >= h.openingCapacity() && !h.requestQueued() {
			h.openingCredit--
		}
		h.admitOpening(now, w.packet, w.forward, true)
	}
}

// expireQueued removes entries whose callers have given up.
func (h *Controller) expireQueued(now time.Time) {
	for key, w := range h.queue {
		if !w.offeredUntil.IsZero() {
			// Another candidate has taken the SYN, or it was lost and its caller sends it again.
			if now.After(w.offeredUntil) {
				delete(h.queue, key)
			}
			continue
		}
		if !now.After(w.callerDeadline) {
			continue
		}
		delete(h.queue, key)
		if w.flow == nil {
			h.returnToBalancer(w.packet, w.forward, WaitedLong, true)
			continue
		}
		h.emit(RequestAbandoned{
			Key:       key,
			QueueTime: now.Sub(w.queuedAt),
		})
	}
}

// requestQueued reports whether a request on an open flow is queued.
func (h *Controller) requestQueued() bool {
	for _, w := range h.queue {
		if w.flow != nil {
			return true
		}
	}
	return false
}

// nextQueued returns the entry to serve next, or nil if none may be served now. Among
// entries that can meet their latency target it picks the highest priority, then the
// least remaining time. If none can meet it, it picks the entry queued last, whose
// caller is the least likely to have given up. A queued SYN that the endpoint would now
// reject may be served without capacity: serveQueue forwards it.
func (h *Controller) nextQueued(now time.Time) (best *queueEntry) {
	openings, requests := h.capacityLeft(now)
	for _, w := range h.queue {
		if !w.offeredUntil.IsZero() {
			continue
		}
		may := openings
		if w.flow != nil {
			may = requests
		} else if !may {
			_, may = h.rejectReason(now, w.forward)
		}
		if may && (best == nil || w.before(best, now)) {
			best = w
		}
	}
	return best
}

// capacityLeft reports whether the endpoint has capacity for queued SYNs and for queued
// requests. While requests are queued, both share the same capacity, and their order
// decides.
func (h *Controller) capacityLeft(now time.Time) (openings, requests bool) {
	requests = h.inUse < h.requestCapacity()
	openings = h.inUse < h.openingCapacity() || h.openingCredit >= 1 && h.inUse < int(h.endpoint.slots)*maxInUsePerSlot
	if h.requestQueued() {
		openings = requests
	}
	return openings && !h.coldFull(now), requests
}

// priority returns the priority of the route; 0 is the highest.
func (w *queueEntry) priority() uint8 {
	if w.flow != nil {
		return w.flow.priority
	}
	return w.forward.Priority
}

// before reports whether an entry is served before another one.
func (w *queueEntry) before(o *queueEntry, now time.Time) bool {
	r, other := w.request(), o.request()
	return r.Before(&other, now)
}

// request returns the entry as it is ordered.
func (w *queueEntry) request() shed.Request {
	return shed.Request{
		Priority:  w.priority(),
		ArrivedAt: w.queuedAt,
		StartBy:   w.startDeadline,
		GiveUpAt:  w.callerDeadline,
		Held:      w.flow != nil,
		Sequence:  w.packet.Sequence,
	}
}
