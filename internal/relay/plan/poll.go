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
)

// PollSchedule decides when this balancer polls the store. The balancers share the polls:
// the one whose poll succeeds tells the others, which then postpone theirs. It is a pure
// state machine.
type PollSchedule struct {
	// lastPollAt is when the last successful poll of any balancer was sent.
	lastPollAt time.Time
	// backoffUntil is until when this balancer does not poll after its own failures.
	backoffUntil time.Time
	failures     int
	polling      bool
}

// RecordPoll records a successful poll of any balancer at the given time.
func (t *PollSchedule) RecordPoll(at time.Time) {
	if at.After(t.lastPollAt) {
		t.lastPollAt = at
	}
}

// LastPoll returns the time of the last successful poll of any balancer, or zero.
func (t *PollSchedule) LastPoll() time.Time {
	return t.lastPollAt
}

// StartPoll reports whether a balancer of the given rank (0 polls first) is to poll now,
// and if so records that a poll is in progress.
func (t *PollSchedule) StartPoll(now time.Time, rank int) bool {
	if t.polling || now.Before(t.backoffUntil) {
		return false
	}
	if now.Before(t.lastPollAt.Add(pollInterval + time.Duration(min(rank, maxDelayedRanks))*rankDelay)) {
		return false
	}
	t.polling = true
	return true
}

// FinishPoll records the outcome of a poll that StartPoll allowed and that was sent at
// sentAt. The jitter, from 0 to 1, spreads the retries of balancers that failed at the same
// time.
func (t *PollSchedule) FinishPoll(sentAt, now time.Time, ok bool, jitter float64) {
	t.polling = false
	if ok {
		t.failures = 0
		t.RecordPoll(sentAt)
		return
	}
	wait := min(minBackoff<<min(t.failures, 8), maxBackoff)
	t.failures++
	t.backoffUntil = now.Add(wait/2 + time.Duration(jitter*float64(wait/2)))
}
