package head

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/board/retry"
)

// Waits between the tries of one operator's command.
const (
	LeastWait = 100 * time.Millisecond
	MostWait  = 5 * time.Second
)

// Mover moves the head by compare-and-swap: it reads the head, lets a change be
// decided on what it read, and writes. After a lost answer it reads again before
// it writes, so the change itself can tell whether it has taken effect.
type Mover struct {
	deadline time.Time
	backoff  *retry.Backoff
	// written is what the Swap under way comes to if it is written.
	written Result
	// Tries counts the calls that got no answer.
	Tries int
	// Conflicts counts the writes that met another version.
	Conflicts int
}

// NewMover gives up at the deadline; seed draws the jitter between tries.
func NewMover(deadline time.Time, seed uint64) Mover {
	return Mover{
		deadline: deadline,
		backoff:  retry.New(seed, LeastWait, MostWait),
	}
}

// Move writes what a change came to over the version of the head that it was
// decided on, or ends if there is nothing to write.
func (m *Mover) Move(r Result, version uint64) []Action {
	if !r.Changed {
		return finish(r)
	}
	value, err := r.Head.Encode()
	if err != nil {
		return m.Broken(r.Head, err)
	}
	m.written = r
	return []Action{
		Swap{
			Key:     Key,
			Version: version,
			Value:   value,
		},
	}
}

// Moved ends once the head was written.
func (m *Mover) Moved() []Action {
	return finish(m.written)
}

// Retry waits after a call without an answer, or ends at the deadline.
func (m *Mover) Retry(now time.Time) []Action {
	m.Tries++
	until := m.backoff.Next(now)
	if until.After(m.deadline) {
		return finish(Result{
			Refusal: Refuse(StoreAway, "no answer after %d tries; run the same command again to learn what it came to", m.Tries),
		})
	}
	return []Action{
		Sleep{
			Until: until,
		},
	}
}

// Broken ends because the store holds something that can't be read.
func (m *Mover) Broken(h Head, err error) []Action {
	return finish(Result{
		Head:    h,
		Refusal: Refuse(BadContent, "%v", err),
	})
}

func finish(r Result) []Action {
	return []Action{
		Finish{
			Result: r,
		},
	}
}
