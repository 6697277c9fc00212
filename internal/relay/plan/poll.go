package plan

import "time"

const (
	// pollInterval is the interval at which the fleet as a whole polls the store for
	// changes. The strictest known limit puts a plan in force within 3 s, which leaves time
	// for two failed polls.
	pollInterval = 900 * time.Millisecond
	// rankDelay is how much later each further rank polls if the one before did not:
	// longer than an answer of a healthy store and the heartbeat that follows.
	rankDelay = 120 * time.Millisecond
	// maxDelayedRanks bounds the delay of the last balancer.
	maxDelayedRanks = 8
	// minBackoff and maxBackoff bound the backoff after a failed poll. A store that is back
	// gets the next poll of each balancer within maxBackoff.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
	// applyReserve is the part of the time for a plan to be in force in which a balancer does not
	// rely on the polls of others: for a failed poll, its backoff and the read of a large plan. It
	// is half of a short time at most.
	applyReserve = 1500 * time.Millisecond
	// minOwnInterval bounds the polls of each balancer if that time is very short.
	minOwnInterval = 200 * time.Millisecond
)

// Poll tells whether and why a balancer polls the store.
type Poll uint8

const (
	// NoPoll means that no poll is due.
	NoPoll Poll = iota
	// SharedPoll means that the fleet needs a poll, and it is this balancer's turn. It tells the
	// others.
	SharedPoll
	// OwnPoll means that this balancer has not polled itself for as long as it may rely on others.
	OwnPoll
)

// PollSchedule decides when this balancer polls the store. The balancers share the polls:
// the one whose poll succeeds tells the others, which then postpone theirs. What others tell may
// be older than it says, because it has waited on its way through a pause of either side, so a
// balancer relies on it for a part of the time in which a plan has to be in force, and then polls
// itself. It is a pure state machine.
type PollSchedule struct {
	// maxTrust is how long after its own poll a balancer relies on those of others.
	maxTrust time.Duration
	// lastPollAt is when the last successful poll of any balancer was sent, as far as is known.
	lastPollAt time.Time
	// ownPollAt is when the last successful poll of this balancer was sent, or zero.
	ownPollAt time.Time
	// ownPollDueAt is when this balancer polls whatever others have told.
	ownPollDueAt time.Time
	// resumedAt is when this balancer last ran again after a pause. The age of what it knew before
	// is not known.
	resumedAt time.Time
	// backoffUntil is until when this balancer does not poll after its own failures.
	backoffUntil time.Time
	failures     int
	polling      bool
}

// NewPollSchedule returns the schedule of a balancer that starts now, in a deployment where a plan
// has to be in force within applyTimeout after operators have written it.
func NewPollSchedule(now time.Time, applyTimeout time.Duration) PollSchedule {
	maxTrust := max(applyTimeout-applyReserve, applyTimeout/2, minOwnInterval)
	return PollSchedule{
		maxTrust:     maxTrust,
		ownPollDueAt: now.Add(maxTrust),
	}
}

// RecordPoll records a successful poll of another balancer at the given time.
func (t *PollSchedule) RecordPoll(at time.Time) {
	if at.After(t.lastPollAt) {
		t.lastPollAt = at
	}
}

// Resume makes a poll due after a pause of this balancer, which its clock may not have counted.
func (t *PollSchedule) Resume(now time.Time) {
	t.resumedAt = now
	t.ownPollAt = time.Time{}
	t.ownPollDueAt = now
}

// RecordOwnPoll records a successful poll of this balancer that was sent at the given time. One
// that was sent before a pause counts as that of another.
func (t *PollSchedule) RecordOwnPoll(at time.Time) {
	t.RecordPoll(at)
	if at.After(t.ownPollAt) && !at.Before(t.resumedAt) {
		t.ownPollAt = at
		t.ownPollDueAt = at.Add(t.maxTrust)
	}
}

// LastPoll returns the time of the last successful poll of any balancer, or zero.
func (t *PollSchedule) LastPoll() time.Time {
	return t.lastPollAt
}

// LastDatedPoll returns the time of the last successful poll of any balancer whose age is known: one
// that was sent after the last pause of this balancer. It is zero if there is none.
func (t *PollSchedule) LastDatedPoll() time.Time {
	if t.lastPollAt.Before(t.resumedAt) {
		return time.Time{}
	}
	return t.lastPollAt
}

// LastOwnPoll returns the time of the last successful poll of this balancer, or zero.
func (t *PollSchedule) LastOwnPoll() time.Time {
	return t.ownPollAt
}

// StartPoll returns whether a balancer of the given rank (0 polls first) is to poll now,
// and if so records that a poll is in progress.
func (t *PollSchedule) StartPoll(now time.Time, rank int) Poll {
	if t.polling || now.Before(t.backoffUntil) {
		return NoPoll
	}
	shared := !now.Before(t.lastPollAt.Add(pollInterval + time.Duration(min(rank, maxDelayedRanks))*rankDelay))
	switch {
	case shared:
		t.polling = true
		return SharedPoll
	case !now.Before(t.ownPollDueAt):
		t.polling = true
		return OwnPoll
	default:
		return NoPoll
	}
}

// FinishPoll records the outcome of a poll that StartPoll allowed and that was sent at
// sentAt. The jitter, from 0 to 1, spreads the retries of balancers that failed at the same
// time.
func (t *PollSchedule) FinishPoll(sentAt, now time.Time, ok bool, jitter float64) {
	t.polling = false
	if ok {
		t.failures = 0
		t.RecordOwnPoll(sentAt)
		return
	}
	wait := min(minBackoff<<min(t.failures, 8), maxBackoff)
	t.failures++
	t.backoffUntil = now.Add(wait/2 + time.Duration(jitter*float64(wait/2)))
}
