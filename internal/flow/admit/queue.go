package admit

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

// Waiter is a new flow that waits for a slot.
type Waiter struct {
	Key link.Key
	// Deadline is the time from which the flow must not be run. The queue is
	// ordered by deadline; flows without one follow in order of arrival.
	Deadline time.Time
	// Until is when the wait at this endpoint ends, even if no slot is free.
	Until time.Time
}

// Enqueue queues a new flow after a decision of Queue.
func (c *Controller) Enqueue(w Waiter) {
	at := len(c.queue)
	for at > 0 && w.before(c.queue[at-1]) {
		at--
	}
	c.queue = slices.Insert(c.queue, at, w)
}

func (w Waiter) before(other Waiter) bool {
	if w.Deadline.IsZero() || other.Deadline.IsZero() {
		return !w.Deadline.IsZero()
	}
	return w.Deadline.Before(other.Deadline)
}

// DequeueReady removes and returns the waiter to decide on next: the first one whose
// wait has ended, or else the head of the queue if it can be admitted or the endpoint
// drains. The Request of the next Decide must have Queued set. Call DequeueReady until
// it returns none, after every call that frees a slot and at the time that NextTimeout
// returns.
func (c *Controller) DequeueReady(now time.Time) (w Waiter, ok bool) {
	for i := range c.queue {
		if expired(now, c.queue[i].Until) {
			return c.removeAt(i), true
		}
	}
	if len(c.queue) > 0 && (c.draining || c.canAdmit(now)) {
		return c.removeAt(0), true
	}
	return w, false
}

// RemoveWaiter removes the waiter of a caller that gave up and reports whether
// there was one.
func (c *Controller) RemoveWaiter(key link.Key) bool {
	i := slices.IndexFunc(c.queue, func(w Waiter) bool { return w.Key == key })
	if i < 0 {
		return false
	}
	c.removeAt(i)
	return true
}

// NextTimeout returns the earliest time at which a wait ends, or zero if the
// queue is empty.
func (c *Controller) NextTimeout() time.Time {
	var next time.Time
	for _, w := range c.queue {
		if next.IsZero() || w.Until.Before(next) {
			next = w.Until
		}
	}
	return next
}

// canAdmit reports whether a waiter would be admitted.
func (c *Controller) canAdmit(now time.Time) bool {
	return c.flows < c.limits.Connections && c.activeFlows < c.hardLimit(now)
}

func (c *Controller) removeAt(i int) Waiter {
	w := c.queue[i]
	c.queue = slices.Delete(c.queue, i, i+1)
	return w
}
