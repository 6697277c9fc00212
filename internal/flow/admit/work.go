package admit

import "time"

const (
	// quietAfter is how long no byte passes after the upstream's last one
	// before its answer counts as complete.
	quietAfter = 5 * time.Millisecond
	// silentAfter is how long a caller may send nothing on a new flow before
	// the flow counts as a quiet one.
	silentAfter = time.Second
	// standingAfter is how long work may go unanswered before the flow counts
	// as a standing one that holds a connection only.
	standingAfter = 30 * time.Second
)

// Event is something that happens on one flow.
type Event interface {
	event()
}

// CallerBytes means that the caller sent bytes to the upstream.
type CallerBytes struct{}

// UpstreamBytes means that the upstream sent bytes to the caller.
type UpstreamBytes struct{}

// Quiet means that the time that Work's QuietAt names may have come.
type Quiet struct{}

// Closed means that either end closed the flow.
type Closed struct{}

func (CallerBytes) event()   {}
func (UpstreamBytes) event() {}
func (Quiet) event()         {}
func (Closed) event()        {}

// Change is what an event means for the gate.
type Change uint8

const (
	// Unchanged means that there is nothing to count.
	Unchanged Change = iota
	// Began means that the flow takes a slot; call Gate.Busy.
	Began
	// Answered means that an answer begins; call Gate.Answered with AskedAt.
	Answered
	// Ended means that the flow gives its slot back; call Gate.Idle.
	Ended
	// Left means that the flow ended while holding a slot; call Gate.Release with Working.
	Left
	// LeftIdle means that the flow ended without a slot; call Gate.Release.
	LeftIdle
)

type phase uint8

const (
	phaseOpening phase = iota
	phaseAsked
	phaseAnswering
	phaseIdle
	phaseClosed
)

// Work decides whether one flow has work in hand. A flow holds a slot from its
// opening until its caller's bytes are answered, then from each byte of the
// caller until the next answer. An answer is complete once nothing has passed
// for quietAfter. What the upstream sends unasked takes no slot. The zero value
// is of no use; see Open.
type Work struct {
	phase phase
	// AskedAt is when the caller's unanswered bytes began.
	AskedAt time.Time
	// QuietAt is when an event Quiet is due; zero if none is.
	QuietAt time.Time
}

// Open starts the count of a flow that was just taken: it holds a slot.
func Open(now time.Time) Work {
	return Work{
		phase:   phaseOpening,
		AskedAt: now,
		QuietAt: now.Add(silentAfter),
	}
}

// Holding tells whether the flow holds a slot.
func (w *Work) Holding() bool {
	return w.phase == phaseOpening || w.phase == phaseAsked || w.phase == phaseAnswering
}

// Step moves the flow on by one event and tells what to count.
func (w *Work) Step(now time.Time, e Event) Change {
	if w.phase == phaseClosed {
		return Unchanged
	}
	switch e.(type) {
	case CallerBytes:
		return w.asked(now)
	case UpstreamBytes:
		return w.answered(now)
	case Quiet:
		return w.quiet(now)
	case Closed:
		return w.closed()
	default:
		return Unchanged
	}
}

func (w *Work) asked(now time.Time) Change {
	held := w.Holding()
	if w.phase != phaseAsked {
		w.AskedAt = now
	}
	w.phase = phaseAsked
	w.QuietAt = now.Add(standingAfter)
	if held {
		return Unchanged
	}
	return Began
}

func (w *Work) answered(now time.Time) Change {
	switch w.phase {
	case phaseAsked:
		w.phase = phaseAnswering
		w.QuietAt = now.Add(quietAfter)
		return Answered
	case phaseAnswering:
		w.QuietAt = now.Add(quietAfter)
	}
	return Unchanged
}

func (w *Work) quiet(now time.Time) Change {
	if !past(now, w.QuietAt) {
		return Unchanged
	}
	w.phase = phaseIdle
	w.QuietAt = time.Time{}
	return Ended
}

func (w *Work) closed() Change {
	held := w.Holding()
	w.phase = phaseClosed
	w.QuietAt = time.Time{}
	if held {
		return Left
	}
	return LeftIdle
}
