package admit

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

// Waiter is an opening that waits for a slot.
type Waiter struct {
	Key link.Key
	// Deadline is when the opening must no longer be run. The earliest goes
	// first; those without one follow in the order in which they came.
	Deadline time.Time
	// Until is when it stops waiting here, whether or not a slot is free.
	Until time.Time
}

// Wait keeps an opening after an answer of Hold.
func (g *Gate) Wait(w Waiter) {
	at := len(g.line)
	for at > 0 && w.before(g.line[at-1]) {
		at--
	}
	g.line = slices.Insert(g.line, at, w)
}

func (w Waiter) before(other Waiter) bool {
	if w.Deadline.IsZero() || other.Deadline.IsZero() {
		return !w.Deadline.IsZero()
	}
	return w.Deadline.Before(other.Deadline)
}

// Ready removes and gives the waiter that is to be asked for again, with Held
// set: the first one whose time is over, else the first in line if there is room
// for it or the endpoint drains. Call it until it gives none, after every call that frees
// a slot, and at the time that Wake gives.
func (g *Gate) Ready(now time.Time) (w Waiter, ok bool) {
	for i := range g.line {
		if past(now, g.line[i].Until) {
			return g.leave(i), true
		}
	}
	if len(g.line) > 0 && (g.draining || g.room(now)) {
		return g.leave(0), true
	}
	return w, false
}

// Forget removes the waiter of a caller that gave up and tells whether there
// was one.
func (g *Gate) Forget(key link.Key) bool {
	i := slices.IndexFunc(g.line, func(w Waiter) bool { return w.Key == key })
	if i < 0 {
		return false
	}
	g.leave(i)
	return true
}

// Wake is the earliest time at which a waiter's wait is over, zero if none
// waits.
func (g *Gate) Wake() time.Time {
	var wake time.Time
	for _, w := range g.line {
		if wake.IsZero() || w.Until.Before(wake) {
			wake = w.Until
		}
	}
	return wake
}

// room tells whether a waiter would be taken.
func (g *Gate) room(now time.Time) bool {
	return g.flows < g.limits.Connections && g.busy < g.hard(now)
}

func (g *Gate) leave(i int) Waiter {
	w := g.line[i]
	g.line = slices.Delete(g.line, i, i+1)
	return w
}
