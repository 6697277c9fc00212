package admit

import "time"

const (
	// answerIdleTimeout is how long neither side sends a byte after the
	// upstream's last one before its answer counts as complete.
	answerIdleTimeout = 5 * time.Millisecond
	// firstBytesTimeout is how long the caller of a new flow may send nothing
	// before the flow counts as idle.
	firstBytesTimeout = time.Second
	// unansweredTimeout is how long work may stay unanswered before the flow
	// counts as a one-way stream, which holds only a connection.
	unansweredTimeout = 30 * time.Second
)

// Event is something that happens on one flow.
type Event interface {
	event()
}

// CallerBytes means that the caller sent bytes to the upstream.
type CallerBytes struct{}

// UpstreamBytes means that the upstream sent bytes to the caller.
type UpstreamBytes struct{}

// IdleTimeout means that the time in Work.IdleAt may have come.
type IdleTimeout struct{}

// Closed means that either side closed the flow.
type Closed struct{}

func (CallerBytes) event()   {}
func (UpstreamBytes) event() {}
func (IdleTimeout) event()   {}
func (Closed) event()        {}

// Change is the effect of an event on the admission controller.
type Change uint8

const (
	// Unchanged means that there is nothing to count.
	Unchanged Change = iota
	// WorkBegan means that the flow takes a slot; call Controller.BeginWork.
	WorkBegan
	// AnswerBegan means that an answer begins; call Controller.RecordAnswer with
	// RequestedAt.
	AnswerBegan
	// WorkEnded means that the flow frees its slot; call Controller.EndWork.
	WorkEnded
	// ClosedActive means that the flow ended while it held a slot; call
	// Controller.Release with HoldsSlot.
	ClosedActive
	// ClosedIdle means that the flow ended without a slot; call Controller.Release.
	ClosedIdle
)

type phase uint8

const (
	phaseNew phase = iota
	phaseRequested
	phaseAnswering
	phaseIdle
	phaseClosed
)

// Work tracks whether one flow is active, that is, holds a slot. A new flow
// holds a slot until its caller's bytes are answered; after that, each byte of
// the caller takes a slot until the next answer. An answer is complete after
// answerIdleTimeout without traffic. Unsolicited bytes of the upstream take no
// slot. The zero value can't be used; see NewWork.
type Work struct {
	phase phase
	// RequestedAt is when the caller began to send the unanswered bytes.
	RequestedAt time.Time
	// IdleAt is when an event IdleTimeout is due; zero if none is.
	IdleAt time.Time
}

// NewWork returns the state of a flow that was just admitted: it holds a slot.
func NewWork(now time.Time) Work {
	return Work{
		phase:       phaseNew,
		RequestedAt: now,
		IdleAt:      now.Add(firstBytesTimeout),
	}
}

// HoldsSlot reports whether the flow holds a slot.
func (w *Work) HoldsSlot() bool {
	return w.phase == phaseNew || w.phase == phaseRequested || w.phase == phaseAnswering
}

// Step applies one event and returns what to count.
func (w *Work) Step(now time.Time, e Event) Change {
	if w.phase == phaseClosed {
		return Unchanged
	}
	switch e.(type) {
	case CallerBytes:
		return w.onCallerBytes(now)
	case UpstreamBytes:
		return w.onUpstreamBytes(now)
	case IdleTimeout:
		return w.onIdleTimeout(now)
	case Closed:
		return w.onClosed()
	default:
		return Unchanged
	}
}

func (w *Work) onCallerBytes(now time.Time) Change {
	held := w.HoldsSlot()
	if w.phase != phaseRequested {
		w.RequestedAt = now
	}
	w.phase = phaseRequested
	w.IdleAt = now.Add(unansweredTimeout)
	if held {
		return Unchanged
	}
	return WorkBegan
}

func (w *Work) onUpstreamBytes(now time.Time) Change {
	switch w.phase {
	case phaseRequested:
		w.phase = phaseAnswering
		w.IdleAt = now.Add(answerIdleTimeout)
		return AnswerBegan
	case phaseAnswering:
		w.IdleAt = now.Add(answerIdleTimeout)
	}
	return Unchanged
}

func (w *Work) onIdleTimeout(now time.Time) Change {
	if !expired(now, w.IdleAt) {
		return Unchanged
	}
	w.phase = phaseIdle
	w.IdleAt = time.Time{}
	return WorkEnded
}

func (w *Work) onClosed() Change {
	held := w.HoldsSlot()
	w.phase = phaseClosed
	w.IdleAt = time.Time{}
	if held {
		return ClosedActive
	}
	return ClosedIdle
}
