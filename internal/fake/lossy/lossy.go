// Package lossy is a fake network between named ends. It delays, loses, duplicates
// and reorders messages from a seeded random source, and each direction can be cut.
package lossy

import (
	"math/rand/v2"
	"time"

	"github.com/clementinewing/clementinewing/internal/fake/clock"
)

// Net delivers messages between ends on a fake clock.
type Net struct {
	clock      *clock.Clock
	random     *rand.Rand
	delay      time.Duration
	jitter     time.Duration
	loss       float64
	duplicate  float64
	cuts       map[Direction]bool
	Sent       uint64
	Lost       uint64
	Duplicated uint64
}

// Direction is one direction between two ends.
type Direction struct {
	From string
	To   string
}

// Option sets one property of a Net.
type Option func(*Net)

// WithDelay delays each message by delay plus a random time below jitter, which also
// reorders messages.
func WithDelay(delay, jitter time.Duration) Option {
	return func(n *Net) {
		n.delay = delay
		n.jitter = jitter
	}
}

// WithLoss sets the probabilities, from 0 to 1, that a message is lost or duplicated.
func WithLoss(loss, duplicate float64) Option {
	return func(n *Net) {
		n.loss = loss
		n.duplicate = duplicate
	}
}

// New returns a network that delivers each message after 1 ms and loses none, unless
// options say otherwise.
func New(c *clock.Clock, seed uint64, options ...Option) *Net {
	n := &Net{
		clock:  c,
		random: rand.New(rand.NewPCG(seed, 0)),
		delay:  time.Millisecond,
		cuts:   map[Direction]bool{},
	}
	for _, o := range options {
		o(n)
	}
	return n
}

// Cut interrupts one direction, or restores it if cut is false.
func (n *Net) Cut(way Direction, cut bool) {
	n.cuts[way] = cut
}

// Send calls deliver after the delay, twice for a duplicated message and never for a
// lost one.
func (n *Net) Send(way Direction, deliver func()) {
	n.Sent++
	if n.cuts[way] || n.random.Float64() < n.loss {
		n.Lost++
		return
	}
	n.clock.After(n.randomDelay(), deliver)
	if n.random.Float64() < n.duplicate {
		n.Duplicated++
		n.clock.After(n.randomDelay(), deliver)
	}
}

func (n *Net) randomDelay() time.Duration {
	if n.jitter <= 0 {
		return n.delay
	}
	return n.delay + time.Duration(n.random.Int64N(int64(n.jitter)))
}
