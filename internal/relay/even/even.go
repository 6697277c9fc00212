// Package even estimates how much work an endpoint has, for balancers that place new flows
// on reports that are up to 750 ms old.
//
// It addresses uneven load at half to nine tenths of the slots: dozens of balancers read the
// same reports, and whoever looks idle in them is full a few milliseconds later. What all
// balancers know is therefore used as an average only. What a balancer alone has learned
// since (the load in an owner's announcement, candidates that passed its SYN on, its own
// SYNs) counts in full and fades with the time that the endpoint takes for a request.
//
// The estimate only orders the candidates. Whether an endpoint has a free slot is decided by
// its agent.
package even

import (
	"math"
	"time"
)

const (
	// defaultServiceTime is assumed for endpoints that report no service time.
	defaultServiceTime = 60 * time.Millisecond
	// minServiceTime bounds how fast knowledge fades: hints about an endpoint arrive every few
	// milliseconds at most.
	minServiceTime = 5 * time.Millisecond
)

// Report is the load in a report of the endpoint's agent. Use and Average are in requests.
type Report struct {
	Use     float64
	Average float64
	Slots   float64
	// ServiceTime is the average time for a request, or 0 if unknown.
	ServiceTime time.Duration
}

// Load is what a balancer knows of the load of one endpoint. The zero value is an endpoint
// without any work.
type Load struct {
	report Report
	// excess is by how many requests the load differed from the average at the time at.
	excess float64
	at     time.Time
}

// ApplyReport replaces what is known by a report. All balancers get it at the same moment, so
// that spare slots in it are taken by others: below the average, the average counts.
func (l *Load) ApplyReport(now time.Time, r Report) {
	l.report = r
	l.set(now, max(0, r.Use-max(r.Average, r.Slots)))
}

// ApplyUse applies the number of requests that the endpoint has in use, which this balancer
// has learned from the answer to its own SYN.
func (l *Load) ApplyUse(now time.Time, use float64) {
	l.set(now, use-l.report.Average)
}

// ApplyFull records that the endpoint had no free slot and passed a SYN on.
func (l *Load) ApplyFull(now time.Time) {
	l.set(now, max(l.excessAt(now), l.report.Slots-l.report.Average))
}

// ApplySent records that this balancer sent a SYN to the endpoint.
func (l *Load) ApplySent(now time.Time) {
	l.set(now, l.excessAt(now)+1)
}

// Estimate returns the number of requests that the endpoint is expected to have in use.
func (l *Load) Estimate(now time.Time) float64 {
	return max(0, l.report.Average+l.excessAt(now))
}

func (l *Load) set(now time.Time, excess float64) {
	l.excess = excess
	l.at = now
}

// excessAt returns what remains of the difference from the average.
func (l *Load) excessAt(now time.Time) float64 {
	if l.excess == 0 {
		return 0
	}
	fadeTime := l.report.ServiceTime
	if fadeTime == 0 {
		fadeTime = defaultServiceTime
	}
	return l.excess * math.Exp(-now.Sub(l.at).Seconds()/max(fadeTime, minServiceTime).Seconds())
}
