// Package clock is a fake clock: an event queue that runs events in the order of their
// times, without goroutines and without the wall clock.
package clock

import (
	"container/heap"
	"time"
)

// Clock holds the fake time and the pending events. Events with the same time run in
// the order in which they were added.
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

// New returns a clock that starts at the Unix epoch.
func New() *Clock {
	return &Clock{
		now: time.Unix(0, 0).UTC(),
	}
}

// Now returns the fake time.
func (c *Clock) Now() time.Time {
	return c.now
}

// At schedules run for the fake time at, or for now if at is in the past.
func (c *Clock) At(at time.Time, run func()) {
	c.added++
	heap.Push(&c.events, event{
		at:    at,
		order: c.added,
		run:   run,
	})
}

// After schedules run for the time when wait has passed.
func (c *Clock) After(wait time.Duration, run func()) {
	c.At(c.now.Add(wait), run)
}

// Run runs every event up to and including until, then sets the time to until.
func (c *Clock) Run(until time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		c.Next()
	}
	if c.now.Before(until) {
		c.now = until
	}
}

// Next runs the earliest event and reports whether there was one.
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
