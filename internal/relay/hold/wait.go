package hold

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// Openings wait here and not in the endpoint's own queue, which is first come,
// first served. The load this answers: after an outage everybody returns at once,
// more than the slots can take for a second or two, and with a plain queue every
// request is late by the length of the queue, those that came last too. Here a
// request that can still meet its objective goes before one that cannot, and
// those that are late anyway get what is left. None is dropped for it before its
// caller gives up.
const (
	// mostWaiting bounds the openings that wait: a second's worth of the busiest
	// endpoints seen, with 7 slots and 60 ms a request.
	mostWaiting = 120
	// attemptFor is how long a caller waits for the answer to an opening from its
	// first copy on, and attemptEnd what has to be left of it for the answer to
	// arrive. A slot given later than that stays empty.
	attemptFor = 1400 * time.Millisecond
	attemptEnd = 60 * time.Millisecond
	// shareOpenings is the share of finished requests after which an opening that
	// waits goes to the endpoint although no slot is free: where requests on open
	// flows keep all of them in use, openings would never get one.
	shareOpenings = 0.5
	// overMost bounds what the endpoint has in hand for it, in slots; beyond about
	// this endpoints shed.
	overMost = 4
	// firstWork is what a request takes until one has been seen.
	firstWork = 60 * time.Millisecond
	// workShare is the weight of one request in the average.
	workShare = 1.0 / 16
	// workMargin is how often the average work has to fit into the time that is
	// left: work varies by half, and the answer has to travel.
	workMargin = 1.5
)

// waiter is one opening, or one request on an open flow, that waits for a slot.
type waiter struct {
	// flow is the open flow of a request and packets are those that wait; flow is
	// nil for an opening.
	flow    *flow
	packets []heldPacket
	packet  link.Packet
	carry   *frame.Carry
	since   time.Time
	// end is when its caller has given up.
	end time.Time
	// until is when a request has to begin to meet its objective.
	until time.Time
}

// worked takes the time from a request to the first byte of its answer.
func (h *Hold) worked(took time.Duration) {
	h.work += time.Duration(float64(took-h.work) * workShare)
	// The finished request still counts as in use here.
	if len(h.waiting) == 0 || h.inUse <= h.room() {
		h.share = 0
		return
	}
	h.share = min(h.share+shareOpenings, 1)
}

// wait lets an opening wait for a slot.
func (h *Hold) wait(now time.Time, p link.Packet, c *frame.Carry) {
	kept := *c
	kept.Packet = append([]byte(nil), c.Packet...)
	aim := time.Duration(c.Aim) * time.Millisecond
	w := &waiter{
		packet: p,
		carry:  &kept,
		since:  now,
		end:    now.Add(attemptFor - attemptEnd - copyAge(p)),
		until:  now.Add(aim - time.Duration(workMargin*float64(h.work)) - copyAge(p)),
	}
	h.waiting[p.Key] = w
	h.tellWaiting(w)
}

// copyAge is how long ago the caller first sent an opening, of which it sends
// copies; their number stands where other packets acknowledge.
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

// tellWaiting tells the balancer where an opening waits, so that it does not give
// it to others, and the process where other balancers look for its owner.
func (h *Hold) tellWaiting(w *waiter) {
	o := frame.Owner{
		Key:  w.packet.Key,
		Host: h.self,
	}
	h.add(Tell{
		To:    w.carry.Balancer,
		Owner: o,
	})
	if home := w.carry.Home; home != 0 && home != h.self {
		h.add(Tell{
			To:    home,
			Owner: o,
		})
	}
}

// serveWaiting gives slots that are free to those that wait.
func (h *Hold) serveWaiting(now time.Time) {
	if len(h.waiting) == 0 {
		return
	}
	h.expireWaiting(now)
	for len(h.waiting) > 0 {
		w := h.nextWaiting(now)
		if w == nil {
			return
		}
		delete(h.waiting, w.packet.Key)
		if w.flow != nil {
			h.release(now, w)
			continue
		}
		if why, passes := h.passesOn(now, w.carry); passes {
			// The endpoint takes no more openings: ask all others again.
			w.carry.Flags &^= frame.Chosen
			w.carry.Best = frame.NoBest
			w.carry.Position = 0
			h.next(w.packet, w.carry, why)
			continue
		}
		if h.inUse >= h.room() && !h.requestsWait() {
			h.share--
		}
		h.admit(now, w.packet, w.carry, true)
	}
}

// expireWaiting takes out those whose callers have given up.
func (h *Hold) expireWaiting(now time.Time) {
	for key, w := range h.waiting {
		if !now.After(w.end) {
			continue
		}
		delete(h.waiting, key)
		if w.flow == nil {
			h.giveBack(w.packet, w.carry, WaitedLong, true)
			continue
		}
		h.add(GivenUp{
			Key:   key,
			After: now.Sub(w.since),
		})
	}
}

// requestsWait tells whether a request on an open flow waits.
func (h *Hold) requestsWait() bool {
	for _, w := range h.waiting {
		if w.flow != nil {
			return true
		}
	}
	return false
}

// nextWaiting picks who is next, if anybody may go now: of those that can meet their
// objective the most urgent, and of these the one with the least time left; if none
// can, the one that came last: its caller is the least likely to have given up.
func (h *Hold) nextWaiting(now time.Time) (best *waiter) {
	openings, requests := h.mayGo()
	for _, w := range h.waiting {
		may := openings
		if w.flow != nil {
			may = requests
		} else if !may {
			_, may = h.passesOn(now, w.carry)
		}
		if may && (best == nil || w.before(best, now)) {
			best = w
		}
	}
	return best
}

// mayGo tells whether openings and requests that wait may go to the endpoint now.
// Where requests wait as well, both have the same room, and the order decides.
func (h *Hold) mayGo() (openings, requests bool) {
	requests = h.inUse < h.requestRoom()
	if h.requestsWait() {
		return requests, requests
	}
	openings = h.inUse < h.room() || h.share >= 1 && h.inUse < int(h.endpoint.slots)*overMost
	return openings, requests
}

// rank is the priority of the route; 0 goes before others.
func (w *waiter) rank() uint8 {
	if w.flow != nil {
		return w.flow.urgency
	}
	return w.carry.Urgency
}

func (w *waiter) before(o *waiter, now time.Time) bool {
	inTime, otherInTime := now.Before(w.until), now.Before(o.until)
	switch {
	case inTime != otherInTime:
		return inTime
	case inTime && w.rank() != o.rank():
		return w.rank() < o.rank()
	case inTime && !w.until.Equal(o.until):
		return w.until.Before(o.until)
	case !w.since.Equal(o.since):
		return w.since.After(o.since)
	default:
		return w.packet.Sequence < o.packet.Sequence
	}
}
