// Package limit holds the moving limits of one upstream: an adaptive limit for
// upstreams that shed load, a cold-start ramp and a retry budget. All of it is
// pure; the caller supplies the time and the lock.
package limit

import (
	"math"
	"time"
)

const (
	// cutShare is what a refusal by the upstream leaves of the work in hand
	// (multiplicative decrease, Chiu and Jain 1989).
	cutShare = 0.75
	// cutEvery is the least time between two cuts, so that one burst of
	// refusals counts once.
	cutEvery = 500 * time.Millisecond
	// growEvery is the time without a cut after which the limit grows by one.
	growEvery = 500 * time.Millisecond
	// slowFactor is how many times its long-term mean the recent latency may
	// be before the limit is lowered.
	slowFactor = 2.0
	// recentShare and usualShare weigh one new sample in the recent and in the
	// long-term mean latency.
	recentShare = 0.05
	usualShare  = 0.0002
	// leastSamples is the number of answers before latency is judged.
	leastSamples = 100
	// reportFloor is the share of the limit below which a report alone, not
	// borne out by refusals or latency, lowers nothing.
	reportFloor = 0.5
	// reportLife is how long a report counts.
	reportLife = 3 * time.Second
)

// Adaptive is a limit on work in hand that follows the upstream's own refusals
// and latency. A refusal cuts it by a share, at most once in cutEvery; it grows
// by one slot each growEvery until it is back at the ceiling. A recent latency
// far above the long-term mean lowers it in proportion, as in the gradient
// limits of concurrency-limits (Netflix 2018), and for as long as that lasts.
type Adaptive struct {
	ceiling  int
	current  int
	cutAt    time.Time
	growAt   time.Time
	recent   float64
	usual    float64
	samples  int
	reported int
	reportTo time.Time
}

// NewAdaptive starts at the ceiling, in slots.
func NewAdaptive(ceiling int) *Adaptive {
	return &Adaptive{
		ceiling: ceiling,
		current: ceiling,
	}
}

// SetCeiling moves the ceiling. A raised ceiling raises a limit that was not
// cut at once, a cut one by its usual steps.
func (a *Adaptive) SetCeiling(ceiling int) {
	if a.current == a.ceiling {
		a.current = ceiling
	}
	a.ceiling = ceiling
	a.current = min(a.current, ceiling)
}

// Hard is the limit that the upstream's own refusals set. It is never below one
// slot, so that an upstream that sheds everything is still tried, unless the
// ceiling itself is zero.
func (a *Adaptive) Hard(now time.Time) int {
	a.grow(now)
	return min(a.current, a.ceiling)
}

// Slots is the limit for openings that another endpoint may take: the hard one,
// lowered by latency and reports. It is at least one slot, as Hard is.
func (a *Adaptive) Slots(now time.Time) int {
	slots := min(a.Hard(now), a.paced())
	if now.Before(a.reportTo) {
		floor := int(math.Ceil(reportFloor * float64(a.ceiling)))
		slots = min(slots, max(a.reported, floor))
	}
	return min(max(slots, 1), a.ceiling)
}

// Refused notes that the upstream turned work away while busy slots were used.
func (a *Adaptive) Refused(now time.Time, busy int) {
	a.grow(now)
	a.cut(now, busy)
}

// Answered notes an answer to work that was asked for at asked.
func (a *Adaptive) Answered(now, asked time.Time) {
	seconds := now.Sub(asked).Seconds()
	a.samples++
	if a.samples == 1 {
		a.recent = seconds
		a.usual = seconds
	}
	a.recent += recentShare * (seconds - a.recent)
	a.usual += max(usualShare, 1/float64(a.samples)) * (seconds - a.usual)
}

// paced is the limit by latency: the ceiling while the recent mean is usual,
// less in proportion above slowFactor times the long-term mean.
func (a *Adaptive) paced() int {
	if a.samples < leastSamples || a.recent <= slowFactor*a.usual {
		return a.ceiling
	}
	return int(float64(a.ceiling) * slowFactor * a.usual / a.recent)
}

// Reported notes what the upstream says it can take, in slots. It may lower the
// limit for reportLife and never raises it.
func (a *Adaptive) Reported(now time.Time, slots int) {
	a.reported = slots
	a.reportTo = now.Add(reportLife)
}

func (a *Adaptive) cut(now time.Time, busy int) {
	a.growAt = now.Add(growEvery)
	if now.Before(a.cutAt) {
		return
	}
	a.cutAt = now.Add(cutEvery)
	base := float64(min(a.current, max(busy, 1)))
	a.current = max(1, int(cutShare*base))
}

func (a *Adaptive) grow(now time.Time) {
	if a.current >= a.ceiling || now.Before(a.growAt) {
		return
	}
	steps := 1 + int(now.Sub(a.growAt)/growEvery)
	a.current = min(a.ceiling, a.current+steps)
	a.growAt = a.growAt.Add(time.Duration(steps) * growEvery)
}
