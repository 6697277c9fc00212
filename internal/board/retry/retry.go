// Package retry computes the delays between attempts of a call: exponential backoff with
// jitter from a seeded source, so that nodes that lose the store at the same time do not
// all reconnect at the same time.
package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the time of the next attempt.
type Backoff struct {
	random     *rand.Rand
	firstDelay time.Duration
	maxDelay   time.Duration
	doublings  int
}

// New returns a backoff with a delay of up to firstDelay after the first failure, which
// doubles with each failure up to maxDelay.
func New(seed uint64, firstDelay, maxDelay time.Duration) *Backoff {
	return &Backoff{
		random:     rand.New(rand.NewPCG(seed, 0)),
		firstDelay: firstDelay,
		maxDelay:   maxDelay,
	}
}

// Next returns when to retry after a failure at now. The jitter covers only the second
// half of the delay, so that a retry never follows immediately.
func (b *Backoff) Next(now time.Time) time.Time {
	delay := b.maxDelay
	if b.doublings < 32 && b.firstDelay<<b.doublings < b.maxDelay {
		delay = b.firstDelay << b.doublings
		b.doublings++
	}
	half := delay / 2
	return now.Add(half + time.Duration(b.random.Int64N(int64(delay-half)+1)))
}

// Reset returns to the first delay after a success.
func (b *Backoff) Reset() {
	b.doublings = 0
}
