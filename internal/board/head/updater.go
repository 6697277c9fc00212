package head

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/board/retry"
)

// Limits of the delay between the attempts of an operator's command.
const (
	FirstRetryDelay = 100 * time.Millisecond
	MaxRetryDelay   = 5 * time.Second
)

// Updater updates the head by compare-and-swap: the head is read, a change is computed
// from it, and the result is written. After a lost answer the head is read again before
// the next write, so that the change can detect that it has already taken effect.
type Updater struct {
	deadline time.Time
	backoff  *retry.Backoff
	// pending is the result if the pending Swap succeeds.
	pending Result
	// Unanswered counts the calls without an answer.
	Unanswered int
	// Conflicts counts the writes that found another version.
	Conflicts int
}

// NewUpdater returns an updater that gives up at the deadline. The seed determines the
// retry jitter.
func NewUpdater(deadline time.Time, seed uint64) Updater {
	return Updater{
		deadline: deadline,
		backoff:  retry.New(seed, FirstRetryDelay, MaxRetryDelay),
	}
}

// Write writes the changed head if it still has the version that the change is based
// on. If the head is unchanged, it finishes the machine with the result.
func (m *Updater) Write(r Result, version uint64) []Action {
	if !r.Changed {
		return finish(r)
	}
	value, err := r.Head.Encode()
	if err != nil {
		return m.FailUnreadable(r.Head, err)
	}
	m.pending = r
	return []Action{
		Swap{
			Key:     Key,
			Version: version,
			Value:   value,
		},
	}
}

// Written finishes the machine after the head was written.
func (m *Updater) Written() []Action {
	return finish(m.pending)
}

// Retry waits after a call without an answer, or finishes the machine if the next
// attempt would be after the deadline.
func (m *Updater) Retry(now time.Time) []Action {
	m.Unanswered++
	until := m.backoff.Next(now)
	if until.After(m.deadline) {
		return finish(Result{
			Refusal: NewRefusal(StoreAway, "no answer from the store after %d attempts; run the same command again to see whether it took effect", m.Unanswered),
		})
	}
	return []Action{
		Sleep{
			Until: until,
		},
	}
}

// FailUnreadable finishes the machine because data in the store can't be decoded.
func (m *Updater) FailUnreadable(h Head, err error) []Action {
	return finish(Result{
		Head:    h,
		Refusal: NewRefusal(BadContent, "%v", err),
	})
}

func finish(r Result) []Action {
	return []Action{
		Finish{
			Result: r,
		},
	}
}
