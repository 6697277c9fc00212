// Package warm limits the new flows of an endpoint that cannot serve its full load: one that is
// cold after its start, when each request beyond its rate makes all of them late, and one whose
// failure domain was evacuated, to which every balancer would send its next new flows because
// nothing is in use there. The agent is the only path to the endpoint, so its count is that of
// all balancers. Limiter is a pure state machine.
package warm

import (
	"math"
	"time"
)

const (
	// window is the period in which SYNs are counted.
	window = time.Second
	// rampPeriod is how long the share of an endpoint grows after it has warmed up or its
	// failure domain is in use again: some rounds of load reports, after which balancers place
	// by its real load.
	rampPeriod = 2 * time.Second
	// minRestartTime is the least time that an endpoint is away when it starts anew.
	minRestartTime = 150 * time.Millisecond
	// firstShare is the share of its capacity that an endpoint gets at the start of the ramp.
	firstShare = 0.1
)

// Limits are the limits of a cold endpoint.
type Limits struct {
	// An endpoint must not get more than the rate that it can serve times Overage plus Slack
	// new flows in any second.
	Overage float64
	Slack   float64
}

// Limiter counts the SYNs that one endpoint gets.
type Limiter struct {
	limits Limits
	// rate is the rate that a cold endpoint can serve; 0 means no limit.
	rate float64
	// delivered are the times of the SYNs of the last window, oldest first.
	delivered []time.Time
	// fullUntil is until when the window counts as full, because an earlier process may have
	// delivered SYNs that this one does not know.
	fullUntil time.Time
	started   bool
	// coldUntil is from the endpoint's last report. unreported is set while a report is missing
	// that tells whether the endpoint is cold: none has come yet, or the endpoint may have
	// started anew since the last one.
	coldUntil  time.Time
	unreported bool
	// aliveAt is when the endpoint last showed that it runs, knownUntil what that was when the
	// report was first missed.
	aliveAt    time.Time
	knownUntil time.Time
	// rampUntil is when the ramp of the share ends.
	rampUntil time.Time
}

// New returns the limiter of a process that has just started.
func New(l Limits) *Limiter {
	return &Limiter{
		limits:     l,
		unreported: true,
	}
}

// Run is called before each event of the process.
func (w *Limiter) Run(now time.Time) {
	if !w.started {
		w.started = true
		w.fullUntil = now.Add(window)
	}
	if !w.coldUntil.IsZero() && !now.Before(w.coldUntil) {
		w.StartRamp(w.coldUntil)
		w.coldUntil = time.Time{}
	}
	if now.Sub(w.aliveAt) > minRestartTime {
		// An endpoint that shows nothing for that long may have started anew without anybody
		// having noticed.
		w.Suspect()
	}
	kept := 0
	for kept < len(w.delivered) && now.Sub(w.delivered[kept]) > window {
		kept++
	}
	w.delivered = w.delivered[kept:]
}

// SetRate sets the rate that a cold endpoint can serve; 0 means no limit.
func (w *Limiter) SetRate(perSecond float64) {
	w.rate = perSecond
}

// Report records a report of the endpoint, which tells until when the endpoint is cold.
func (w *Limiter) Report(now, coldUntil time.Time) {
	w.unreported = false
	w.aliveAt = now
	w.coldUntil = time.Time{}
	if now.Before(coldUntil) {
		w.coldUntil = coldUntil
	}
}

// Alive records a packet of the endpoint. Run was called for the same time.
func (w *Limiter) Alive(now time.Time) {
	w.aliveAt = now
}

// Suspect records that another incarnation of the endpoint may have started, which is cold and
// has not reported yet.
func (w *Limiter) Suspect() {
	if !w.unreported {
		w.unreported = true
		w.knownUntil = w.aliveAt
	}
}

// RunsSince records that the endpoint still runs that ran at the given time: it has sent a packet
// of a flow that it took then.
func (w *Limiter) RunsSince(at time.Time) {
	if !at.IsZero() && !at.After(w.knownUntil) {
		w.unreported = false
	}
}

// StartRamp starts the ramp of the endpoint's share.
func (w *Limiter) StartRamp(at time.Time) {
	if until := at.Add(rampPeriod); until.After(w.rampUntil) {
		w.rampUntil = until
	}
}

// Deliver records a SYN that the endpoint gets, be it a copy of an earlier one.
func (w *Limiter) Deliver(now time.Time) {
	w.delivered = append(w.delivered, now)
}

// Cold reports whether the endpoint was cold at its last report and still is.
func (w *Limiter) Cold(now time.Time) bool {
	return now.Before(w.coldUntil)
}

// MayBeCold reports whether the endpoint is cold, or may be because its last report is missing.
func (w *Limiter) MayBeCold(now time.Time) bool {
	return w.unreported || w.Cold(now)
}

// Delivered returns the number of SYNs in the window.
func (w *Limiter) Delivered() int {
	return len(w.delivered)
}

// Limit returns how many SYNs a cold endpoint gets in any window.
func (w *Limiter) Limit() int {
	most := math.Floor(w.rate*w.limits.Overage + w.limits.Slack)
	return int(min(math.Ceil(w.rate), most, math.MaxInt32))
}

// Full reports whether the endpoint must not get a SYN now because it is cold.
func (w *Limiter) Full(now time.Time) bool {
	return w.Wait(now, 0) > 0
}

// Wait returns how long a SYN has to wait until a cold endpoint may get it, behind a number of
// others.
func (w *Limiter) Wait(now time.Time, ahead int) time.Duration {
	if w.rate <= 0 || !w.MayBeCold(now) {
		return 0
	}
	wait := max(0, w.fullUntil.Sub(now))
	limit := w.Limit()
	if limit <= 0 {
		return max(wait, w.coldUntil.Sub(now), window)
	}
	wait += time.Duration(ahead/limit) * window
	if at := len(w.delivered) - limit + ahead%limit; at >= 0 && at < len(w.delivered) {
		wait = max(wait, w.delivered[at].Add(window).Sub(now)+1)
	}
	return wait
}

// Ramping reports whether the endpoint has its share of new flows while the share still grows.
// The capacity is the number of requests per second that it serves when warm.
func (w *Limiter) Ramping(now time.Time, capacity float64) bool {
	if !now.Before(w.rampUntil) {
		return false
	}
	grown := 1 - float64(w.rampUntil.Sub(now))/float64(rampPeriod)
	share := capacity * (firstShare + (1-firstShare)*max(0, grown))
	return float64(len(w.delivered)) >= math.Ceil(max(share, 1))
}
