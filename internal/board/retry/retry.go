// Package retry spaces the tries of a call: exponential backoff with jitter
// from a seeded source, so that a fleet that lost its store together does not
// come back together.
package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff gives the time of the next try.
type Backoff struct {
	random *rand.Rand
	least  time.Duration
	most   time.Duration
	tries  int
}

// New waits up to least after the first failure, doubling up to most.
func New(seed uint64, least, most time.Duration) *Backoff {
	return &Backoff{
		random: rand.New(rand.NewPCG(seed, 0)),
		least:  least,
		most:   most,
	}
}

// Next is when to try again after a failure at now. It lies in the second half
// of the wait at least, so a try never follows at once.
func (b *Backoff) Next(now time.Time) time.Time {
	wait := b.most
	if b.tries < 32 && b.least<<b.tries < b.most {
		wait = b.least << b.tries
		b.tries++
	}
	half := wait / 2
	return now.Add(half + time.Duration(b.random.Int64N(int64(wait-half)+1)))
}

// Reset starts over after a success.
func (b *Backoff) Reset() {
	b.tries = 0
}
