package health

import (
	"math"
	"time"
)

const (
	// timeWeight is the weight of one request in the averages of Times. A few requests in a
	// hundred take several times as long as the others. The average of fewer requests varies by
	// more than slowRatio because of them.
	timeWeight = 1.0 / 64
	// minSamples is how many requests an average is taken from at least.
	minSamples = 16
	// maxFailShare bounds the share of failures that is accounted for.
	maxFailShare = 0.9
)

// Times is what an agent knows of how long its endpoint takes to answer, and of how many requests
// fail visibly: the endpoint resets the flow or does not answer. The zero value knows nothing.
type Times struct {
	answers  int
	average  float64
	requests int
	failed   float64
}

// Answered records a request that the endpoint answered, and how long that took.
func (t *Times) Answered(took time.Duration) {
	t.answers++
	t.average += (float64(took) - t.average) * weightOf(t.answers)
	t.record(0)
}

// Failed records a request that failed visibly.
func (t *Times) Failed() {
	t.record(1)
}

func (t *Times) record(failed float64) {
	t.requests++
	t.failed += (failed - t.failed) * weightOf(t.requests)
}

// weightOf returns the weight of the nth sample: the first ones count equally.
func weightOf(n int) float64 {
	return max(1/float64(n), timeWeight)
}

// Milliseconds returns the value of LoadReport.ServiceTimeMS: the time that the endpoint takes for
// each request that it answers. Failures count as time, and a second time because a request that
// fails leaves its slot early, so that the endpoint looks less loaded.
func (t *Times) Milliseconds() uint16 {
	if t.answers < minSamples {
		return 0
	}
	answered := 1 - min(t.failed, maxFailShare)
	took := t.average / (answered * answered) / float64(time.Millisecond)
	return uint16(min(max(math.Round(took), 1), math.MaxUint16))
}
