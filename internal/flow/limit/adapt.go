// Package limit holds the variable limits of one upstream: an adaptive limit for
// upstreams that shed load, a cold-start ramp and a retry budget. The package is
// pure: its user passes the time and holds the lock.
package limit

import (
	"math"
	"time"
)

const (
	// decreaseFactor is the share of the active flows that remains as the limit after
	// a refusal by the upstream (multiplicative decrease, Chiu and Jain 1989).
	decreaseFactor = 0.75
	// minDecreaseInterval is the least time between two decreases, so that a burst of
	// refusals decreases the limit only once.
	minDecreaseInterval = 500 * time.Millisecond
	// increaseInterval is the time without a refusal after which the limit grows by one.
	increaseInterval = 500 * time.Millisecond
	// maxLatencyRatio is the highest ratio of the recent to the long-term mean
	// latency that doesn't lower the limit.
	maxLatencyRatio = 2.0
	// recentWeight and longTermWeight are the weights of a new sample in the recent
	// and in the long-term mean latency.
	recentWeight   = 0.05
	longTermWeight = 0.0002
	// minLatencySamples is the number of answers from which on latency lowers the limit.
	minLatencySamples = 100
	// minReportedShare is the least share of the limit that a report alone, without
	// refusals or latency to confirm it, can lower the limit to.
	minReportedShare = 0.5
	// reportTTL is how long a report lowers the limit.
	reportTTL = 3 * time.Second
)

// Adaptive is a limit on active flows that follows the refusals and the latency of
// the upstream. A refusal lowers it to a share of the active flows, at most once
// per minDecreaseInterval; it grows by one slot per increaseInterval up to the
// ceiling. A recent latency far above the long-term mean lowers it in proportion
// while the latency lasts, as in the gradient limits of concurrency-limits
// (Netflix 2018).
type Adaptive struct {
	ceiling         int
	current         int
	nextDecreaseAt  time.Time
	nextIncreaseAt  time.Time
	recentLatency   float64
	longTermLatency float64
	samples         int
	reported        int
	reportUntil     time.Time
}

// NewAdaptive returns a limit that starts at the ceiling, in slots.
func NewAdaptive(ceiling int) *Adaptive {
	return &Adaptive{
		ceiling: ceiling,
		current: ceiling,
	}
}

// SetCeiling changes the ceiling. A limit at its ceiling follows a raised ceiling
// at once; a decreased one grows by its usual steps.
func (a *Adaptive) SetCeiling(ceiling int) {
	if a.current == a.ceiling {
		a.current = ceiling
	}
	a.ceiling = ceiling
	a.current = min(a.current, ceiling)
}

// HardLimit is the limit set by the upstream's refusals alone. It is at least one
// slot, so that an upstream that sheds all load is still tried, unless the ceiling
// is zero.
func (a *Adaptive) HardLimit(now time.Time) int {
	a.increase(now)
	return min(a.current, a.ceiling)
}

// Slots is the limit for new flows that another endpoint may admit: the hard limit,
// lowered by latency and reports. It is at least one slot, as is HardLimit.
func (a *Adaptive) Slots(now time.Time) int {
	slots := min(a.HardLimit(now), a.latencyLimit())
	if now.Before(a.reportUntil) {
		floor := int(math.Ceil(minReportedShare * float64(a.ceiling)))
		slots = min(slots, max(a.reported, floor))
	}
	return min(max(slots, 1), a.ceiling)
}

// RecordRefusal records that the upstream refused a connection while the given
// number of flows was active.
func (a *Adaptive) RecordRefusal(now time.Time, active int) {
	a.increase(now)
	a.decrease(now, active)
}

// RecordAnswer records an answer to work that was requested at requested.
func (a *Adaptive) RecordAnswer(now, requested time.Time) {
	seconds := now.Sub(requested).Seconds()
	a.samples++
	if a.samples == 1 {
		a.recentLatency = seconds
		a.longTermLatency = seconds
	}
	a.recentLatency += recentWeight * (seconds - a.recentLatency)
	a.longTermLatency += max(longTermWeight, 1/float64(a.samples)) * (seconds - a.longTermLatency)
}

// latencyLimit is the ceiling, lowered in proportion if the recent mean latency
// exceeds maxLatencyRatio times the long-term mean.
func (a *Adaptive) latencyLimit() int {
	if a.samples < minLatencySamples || a.recentLatency <= maxLatencyRatio*a.longTermLatency {
		return a.ceiling
	}
	return int(float64(a.ceiling) * maxLatencyRatio * a.longTermLatency / a.recentLatency)
}

// RecordReport records the number of slots that the upstream reports as usable. A
// report may lower the limit for reportTTL and never raises it.
func (a *Adaptive) RecordReport(now time.Time, slots int) {
	a.reported = slots
	a.reportUntil = now.Add(reportTTL)
}

func (a *Adaptive) decrease(now time.Time, active int) {
	a.nextIncreaseAt = now.Add(increaseInterval)
	if now.Before(a.nextDecreaseAt) {
		return
	}
	a.nextDecreaseAt = now.Add(minDecreaseInterval)
	base := float64(min(a.current, max(active, 1)))
	a.current = max(1, int(decreaseFactor*base))
}

func (a *Adaptive) increase(now time.Time) {
	if a.current >= a.ceiling || now.Before(a.nextIncreaseAt) {
		return
	}
	steps := 1 + int(now.Sub(a.nextIncreaseAt)/increaseInterval)
	a.current = min(a.ceiling, a.current+steps)
	a.nextIncreaseAt = a.nextIncreaseAt.Add(time.Duration(steps) * increaseInterval)
}
