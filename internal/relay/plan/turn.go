package plan

import "time"

const (
	// askEvery is how often the fleet as a whole asks the store whether
	// anything changed. A plan has to be in force within 3 s on the smallest
	// bound seen; this leaves room for two failed turns.
	askEvery = 900 * time.Millisecond
	// turnGap is how much later each further balancer takes the turn of one
	// that did not ask: longer than an answer of a healthy store and a pulse.
	turnGap = 120 * time.Millisecond
	// mostTurns bounds the delay of the last balancer in turn.
	mostTurns = 8
	// failLeast and failMost bound the wait after a failed ask. The upper bound
	// is what a store that came back may wait for each balancer.
	failLeast = 300 * time.Millisecond
	failMost  = 1600 * time.Millisecond
)

// Turns shares the asking among balancers: whoever asks with success tells the
// others, and they put their own turn off. It is a pure state machine.
type Turns struct {
	// answered is when the store was last asked with success by anybody.
	answered time.Time
	// holdUntil keeps this balancer from asking after its own failures.
	holdUntil time.Time
	failures  int
	asking    bool
}

// Answered notes that the store answered somebody at at.
func (t *Turns) Answered(at time.Time) {
	if at.After(t.answered) {
		t.answered = at
	}
}

// LastAnswer is when the store last answered anybody; zero is never.
func (t *Turns) LastAnswer() time.Time {
	return t.answered
}

// Due tells whether the balancer in the given turn (0 asks first) is to ask now,
// and notes that it does.
func (t *Turns) Due(now time.Time, turn int) bool {
	if t.asking || now.Before(t.holdUntil) {
		return false
	}
	if now.Before(t.answered.Add(askEvery + time.Duration(min(turn, mostTurns))*turnGap)) {
		return false
	}
	t.asking = true
	return true
}

// Done notes the outcome of an ask that Due allowed; asked is when it was sent.
// jitter from 0 to 1 spreads the tries of a fleet that failed together.
func (t *Turns) Done(asked, now time.Time, ok bool, jitter float64) {
	t.asking = false
	if ok {
		t.failures = 0
		t.Answered(asked)
		return
	}
	wait := min(failLeast<<min(t.failures, 8), failMost)
	t.failures++
	t.holdUntil = now.Add(wait/2 + time.Duration(jitter*float64(wait/2)))
}
