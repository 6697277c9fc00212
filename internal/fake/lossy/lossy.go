// Package lossy is a fake link between named ends: it delays, loses, doubles
// and reorders messages from a seeded source, and can be cut one way.
package lossy

import (
	"math/rand/v2"
	"time"

	"github.com/clementinewing/clementinewing/internal/fake/clock"
)

// Net carries messages between ends over one fake clock.
type Net struct {
	clock     *clock.Clock
	random    *rand.Rand
	delay     time.Duration
	jitter    time.Duration
	loss      float64
	duplicate float64
	cuts      map[Way]bool
	Sent      uint64
	Lost      uint64
	Doubled   uint64
}

// Way is one direction between two ends.
type Way struct {
	From string
	To   string
}

// Option sets one property of a Net.
type Option func(*Net)

// WithDelay delivers after delay plus up to jitter; jitter reorders.
func WithDelay(delay, jitter time.Duration) Option {
	return func(n *Net) {
		n.delay = delay
		n.jitter = jitter
	}
}

// WithLoss loses and doubles messages with the given chances, from 0 to 1.
func WithLoss(loss, double float64) Option {
	return func(n *Net) {
		n.loss = loss
		n.duplicate = double
	}
}

// New makes a link that delivers after 1 ms and loses nothing.
func New(c *clock.Clock, seed uint64, options ...Option) *Net {
	n := &Net{
		clock:  c,
		random: rand.New(rand.NewPCG(seed, 0)),
		delay:  time.Millisecond,
		cuts:   map[Way]bool{},
	}
	for _, o := range options {
		o(n)
	}
	return n
}

// Cut stops or heals one direction.
func (n *Net) Cut(way Way, cut bool) {
	n.cuts[way] = cut
}

// Send delivers a message to the other end, unless it is lost on the way.
func (n *Net) Send(way Way, deliver func()) {
	n.Sent++
	if n.cuts[way] || n.random.Float64() < n.loss {
		n.Lost++
		return
	}
	n.clock.After(n.randomDelay(), deliver)
	if n.random.Float64() < n.duplicate {
		n.Doubled++
		n.clock.After(n.randomDelay(), deliver)
	}
}

func (n *Net) randomDelay() time.Duration {
	if n.jitter <= 0 {
		return n.delay
	}
	return n.delay + time.Duration(n.random.Int64N(int64(n.jitter)))
}
