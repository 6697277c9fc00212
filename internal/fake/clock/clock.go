// Package clock is a fake clock: a queue of events that runs in the order of
// their times, with no goroutine and no wall clock.
package clock

import (
	"container/heap"
	"time"
)

// Clock holds the fake time and the events that wait for it. Events of the same
// time run in the order in which they were added.
type Clock struct {
	now    time.Time
	added  uint64
	events queue
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

// New starts a clock at the Unix epoch.
func New() *Clock {
	return &Clock{
		now: time.Unix(0, 0).UTC(),
	}
}

// Now is the fake time.
func (c *Clock) Now() time.Time {
	return c.now
}

// At runs an event once the fake time reaches at; a past time means now.
func (c *Clock) At(at time.Time, run func()) {
	c.added++
	heap.Push(&c.events, event{
		at:    at,
		order: c.added,
		run:   run,
	})
}

// After runs an event once wait has passed.
func (c *Clock) After(wait time.Duration, run func()) {
	c.At(c.now.Add(wait), run)
}

// Run runs every event up to and including until, and leaves the time there.
func (c *Clock) Run(until time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		c.Next()
	}
	if c.now.Before(until) {
		c.now = until
	}
}

// Next runs the earliest event and tells whether there was one.
func (c *Clock) Next() bool {
	if len(c.events) == 0 {
		return false
	}
	e := heap.Pop(&c.events).(event)
	if e.at.After(c.now) {
		c.now = e.at
	}
	e.run()
	return true
}

type queue []event

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
