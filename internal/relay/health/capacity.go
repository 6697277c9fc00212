package health

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
)

const (
	// slowRatio is how much slower than the median an endpoint is when it gets fewer flows.
	// Averages of endpoints that are alike differ by less.
	slowRatio = 1.3
	// minCapacity bounds the capacity from below, so that an endpoint gets enough requests to
	// show that it is fast again.
	minCapacity = 0.125
	// minMeasured is how many endpoints a median is taken from at least.
	minMeasured = 3
	// maxOutlierShare is the share of endpoints that may be outliers or suspects. If more look
	// bad, the measurements are taken to be wrong.
	maxOutlierShare = 0.5
	// returnCapacity is the capacity of an endpoint that has just ceased to be a suspect. It
	// doubles every rampPeriod, and so does that of an outlier that is fast again.
	returnCapacity = 0.25
	rampPeriod     = 500 * time.Millisecond
)

// Capacity returns how much an endpoint can do for its slots, compared with the median of its
// service, in (0, 1].
func (s *Service) Capacity(h frame.Host) float64 {
	if s == nil {
		return 1
	}
	if c, ok := s.capacities[h]; ok {
		return c
	}
	return 1
}

// LowCapacity returns the number of endpoints with a capacity below 1.
func (s *Service) LowCapacity() int {
	return len(s.capacities)
}

// Change tells that the capacity of an endpoint has fallen below 1 or has risen to 1.
type Change struct {
	Host     frame.Host
	Capacity float64
	// ServiceTimeMS is that of the endpoint, MedianMS that of its service.
	ServiceTimeMS uint16
	MedianMS      uint16
}

// updateCapacities computes the capacities of endpoints with less than 1.
func (s *Service) updateCapacities(elapsed time.Duration, accepting []*roster.Agent) (changes []Change) {
	median, wrong := measure(accepting)
	growth := 1 + min(float64(elapsed)/float64(rampPeriod), 1)
	next := map[frame.Host]float64{}
	for _, a := range accepting {
		capacity := 1.0
		last, low := s.capacities[a.Host]
		switch {
		case a.Suspect():
			capacity = returnCapacity
		case !wrong && isSlow(a, median):
			capacity = max(float64(median)/float64(a.ServiceTimeMS), minCapacity)
		}
		if low {
			capacity = min(capacity, last*growth)
		}
		if capacity < 1 {
			next[a.Host] = capacity
		}
		if low != (capacity < 1) {
			changes = append(changes, Change{
				Host:          a.Host,
				Capacity:      capacity,
				ServiceTimeMS: a.ServiceTimeMS,
				MedianMS:      median,
			})
		}
	}
	s.capacities = next
	return changes
}

// measure returns the median service time of endpoints that are not suspects, or 0. It reports
// whether so many of them look bad that the measurements must be wrong.
func measure(accepting []*roster.Agent) (median uint16, wrong bool) {
	times := make([]uint16, 0, len(accepting))
	bad := 0
	for _, a := range accepting {
		switch {
		case a.Suspect():
			bad++
		case a.ServiceTimeMS > 0:
			times = append(times, a.ServiceTimeMS)
		}
	}
	if len(times) < minMeasured {
		return 0, false
	}
	slices.Sort(times)
	median = times[(len(times)-1)/2]
	for _, a := range accepting {
		if !a.Suspect() && isSlow(a, median) {
			bad++
		}
	}
	return median, float64(bad) > maxOutlierShare*float64(len(accepting))
}

func isSlow(a *roster.Agent, median uint16) bool {
	return median > 0 && float64(a.ServiceTimeMS) > slowRatio*float64(median)
}
