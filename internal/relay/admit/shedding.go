package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/relay/shed"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// offerTimeout is how long a queued SYN that is offered to the other candidates may take to come
// back: eight hops between failure domains, and as much again for busy agents.
const offerTimeout = 100 * time.Millisecond

// OpeningShed reports that a SYN left the queue because it cannot be served before its caller
// gives up. It is offered to the other candidates and refused if none takes it.
type OpeningShed struct {
	Key       link.Key
	Priority  uint8
	QueueTime time.Duration
	// Queued is the number of SYNs and requests that wait, InUse the number of those that the
	// endpoint works on.
	Queued int
	InUse  int
}

func (OpeningShed) action() {}

// maxQueuedRequests bounds the requests on open flows that wait with WithLoadShedding. They stay
// until their callers give up, and must neither keep SYNs out of the queue nor pass it.
const maxQueuedRequests = 2 * maxQueued

// Shedding describes the queue of an endpoint.
type Shedding struct {
	// Openings and Requests are the numbers of SYNs and of requests on open flows that wait.
	Openings int
	Requests int
	// SlotTime is the average time that a request occupies a slot, ArrivalRate the rate per
	// second at which requests arrive that the endpoint serves in time. Both are 0 without
	// WithLoadShedding.
	SlotTime    time.Duration
	ArrivalRate float64
}

// WithLoadShedding refuses SYNs that cannot be served before their callers give up as soon as
// this is known, and queues requests on open flows in the same order.
func WithLoadShedding() Option {
	return func(h *Controller) {
		h.estimator = shed.New(initialServiceTime)
	}
}

// Shedding returns the state of the queue.
func (h *Controller) Shedding(now time.Time) (s Shedding) {
	for _, w := range h.queue {
		if w.flow != nil {
			s.Requests++
		} else {
			s.Openings++
		}
	}
	if h.estimator != nil {
		s.SlotTime = h.estimator.SlotTime()
		s.ArrivalRate = h.estimator.ArrivalRate(now)
	}
	return s
}

// queueFull reports whether the queue takes no further SYN, or no further request on an open flow.
func (h *Controller) queueFull(request bool) bool {
	if h.estimator == nil || len(h.queue) < maxQueued {
		return len(h.queue) >= maxQueued
	}
	same := 0
	for _, w := range h.queue {
		if (w.flow != nil) == request {
			same++
		}
	}
	if request {
		return same >= maxQueuedRequests
	}
	return same >= maxQueued
}

// recordSlotTime records how long an answered request was in use, which it still is.
func (h *Controller) recordSlotTime(took time.Duration) {
	if h.estimator != nil {
		h.estimator.RecordAnswer(took, h.inUse, int(h.endpoint.slots))
	}
}

// recordArrival records a request that the endpoint is given.
func (h *Controller) recordArrival(now time.Time, priority uint8, startDeadline time.Time) {
	if h.estimator != nil {
		h.estimator.RecordArrival(now, priority, now.Before(startDeadline))
	}
}

// waiting returns the queue without the SYNs that are offered to other candidates, in no order.
// The result is valid until the next call.
func (h *Controller) waiting() *shed.Queue {
	q := &h.waitingQueue
	q.Slots = int(h.endpoint.slots)
	q.Capacity = h.openingCapacity()
	q.InUse = h.inUse
	q.Waiting = q.Waiting[:0]
	for _, w := range h.queue {
		if w.offeredUntil.IsZero() {
			q.Waiting = append(q.Waiting, w.request())
		}
	}
	return q
}

// futile returns the queued SYNs that cannot be served.
func (h *Controller) futile(now time.Time) (list []*queueEntry) {
	q := h.waiting()
	entries := make([]*queueEntry, 0, len(q.Waiting))
	for _, w := range h.queue {
		if w.offeredUntil.IsZero() {
			entries = append(entries, w)
		}
	}
	slices.SortFunc(entries, func(a, b *queueEntry) int {
		switch {
		case a.before(b, now):
			return -1
		case b.before(a, now):
			return 1
		default:
			return cmp.Compare(a.packet.Key.Hash(), b.packet.Key.Hash())
		}
	})
	for i, w := range entries {
		q.Waiting[i] = w.request()
	}
	for _, i := range h.estimator.Futile(now, q) {
		list = append(list, entries[i])
	}
	return list
}

// offerQueue records this candidate in the header of a SYN that finds no free slot, if it can be
// served here, and returns why it goes on.
func (h *Controller) offerQueue(now time.Time, p link.Packet, c *frame.Forward) Reason {
	if h.estimator == nil {
		h.recordLeastLoaded(c, 0)
		return SlotsFull
	}
	q := h.waiting()
	r := h.newQueuedOpening(now, p, c).request()
	_, served, ahead := h.estimator.Serves(now, q, &r, shed.Certain)
	if !served || h.queueFull(false) {
		return QueueTooLong
	}
	h.recordLoad(c, ahead, 0)
	return SlotsFull
}

// joinsQueue reports whether a SYN that all candidates have passed on can be served here.
func (h *Controller) joinsQueue(now time.Time, w *queueEntry) bool {
	if h.estimator == nil {
		return true
	}
	q := h.waiting()
	r := w.request()
	onTime, served, _ := h.estimator.Serves(now, q, &r, shed.Certain)
	if served {
		h.estimator.RecordArrival(now, r.Priority, onTime)
	}
	h.queueChanged = true
	return served
}

// minServiceLoadShedding is minServiceLoad with WithLoadShedding: every slot of the service in
// use. Endpoints then get hardly more than their slots, so that the load does not rise further.
const minServiceLoadShedding = roster.LoadUnit

// serviceOverloaded reports whether the service of an open flow has no capacity elsewhere.
func (h *Controller) serviceOverloaded(c *frame.Forward) bool {
	if h.estimator == nil {
		return float64(c.AverageLoad) >= minServiceLoad
	}
	return c.AverageLoad >= minServiceLoadShedding
}

// waitsInTurn reports whether a request on an open flow waits for a slot although the service has
// capacity elsewhere. It does while it can be in time, or while a request of higher priority
// waits that can. Otherwise the endpoint gets it and may refuse it, so that its caller can try
// another one.
func (h *Controller) waitsInTurn(now time.Time, w *queueEntry) bool {
	if h.estimator == nil {
		return false
	}
	q := h.waiting()
	r := w.request()
	onTime, _, _ := h.estimator.Serves(now, q, &r, shed.Expected)
	return onTime || slices.ContainsFunc(q.Waiting, func(o shed.Request) bool {
		return o.Priority < r.Priority && o.OnTime(now)
	})
}

// shedQueued offers the queued SYNs that cannot be served to the other candidates.
func (h *Controller) shedQueued(now time.Time) {
	if h.estimator == nil || !h.queueChanged || len(h.queue) == 0 {
		return
	}
	h.queueChanged = false
	for _, w := range h.futile(now) {
		h.offerElsewhere(now, w)
	}
}

// offerElsewhere offers a queued SYN to the other candidates. It comes back, as to the least
// loaded candidate, if none of them has a free slot: this agent alone knows how long it has
// waited, and is where its balancer expects it.
func (h *Controller) offerElsewhere(now time.Time, w *queueEntry) {
	h.emit(OpeningShed{
		Key:       w.packet.Key,
		Priority:  w.priority(),
		QueueTime: now.Sub(w.queuedAt),
		Queued:    len(h.queue),
		InUse:     h.inUse,
	})
	c := w.forward
	own := slices.Index(c.Candidates, h.self)
	if own < 0 || len(c.Candidates) == 1 {
		h.refuseQueued(w)
		return
	}
	w.offeredUntil = now.Add(offerTimeout)
	c.Flags &^= frame.Chosen
	c.Best = uint8(own)
	c.BestLoad = 0
	c.Position = 0
	if own == 0 {
		c.Position = 1
	}
	h.emit(ForwardToCandidate{
		To:      c.Candidates[c.Position],
		Forward: c,
		Key:     w.packet.Key,
		Kind:    w.packet.Kind,
		Reason:  QueueTooLong,
	})
}

// handleOffered handles a copy of a SYN that is offered to the other candidates. None of them has
// a free slot if the copy is returned as to the least loaded candidate. The SYN then waits on if
// it can be served by now, and is refused otherwise.
func (h *Controller) handleOffered(now time.Time, w *queueEntry, c *frame.Forward) {
	if c.Flags&frame.Chosen == 0 {
		if len(c.Candidates) > 1 {
			h.forwardToNextCandidate(w.packet, c, QueueTooLong)
		}
		return
	}
	w.forward.Flags |= frame.Chosen
	w.offeredUntil = time.Time{}
	if slices.Contains(h.futile(now), w) {
		h.refuseQueued(w)
	}
}

// refuseQueued refuses a queued SYN.
func (h *Controller) refuseQueued(w *queueEntry) {
	delete(h.queue, w.packet.Key)
	h.returnToBalancer(w.packet, w.forward, QueueTooLong, true)
}
