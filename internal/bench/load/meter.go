package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// meter integrates the state of all upstreams over the fake time.
type meter struct {
	since   time.Time
	from    time.Time
	total   float64
	busy    []float64
	flows   []float64
	peak    float64
	idled   float64
	answers *hdrhistogram.Histogram
	waits   *hdrhistogram.Histogram
	opened  int
	hops    int
	refused int
	unfair  int
}

// maxWait is the longest wait that is told apart, in microseconds.
const maxWait = 10_000_000

func newMeter(endpoints int, from time.Time) *meter {
	return &meter{
		since:   from,
		from:    from,
		busy:    make([]float64, endpoints),
		flows:   make([]float64, endpoints),
		answers: hdrhistogram.New(1, maxWait, 3),
		waits:   hdrhistogram.New(1, maxWait, 3),
	}
}

// advance adds the time since the last change, during which nothing changed.
func (m *meter) advance(now time.Time, fleet []*upstream, waiting int) {
	if !now.After(m.since) {
		return
	}
	span := now.Sub(m.since).Seconds()
	m.since = now
	m.total += span
	most := 0
	free := false
	for i, u := range fleet {
		m.busy[i] += span * float64(u.inHand)
		m.flows[i] += span * float64(u.flows)
		waiting += u.openings
		most = max(most, u.inHand)
		free = free || u.free()
	}
	m.peak += span * float64(most)
	if free {
		m.idled += span * float64(waiting)
	}
}

// wait notes that an opening got its slot.
func (m *meter) wait(now, arrived time.Time) {
	if arrived.Before(m.from) {
		return
	}
	_ = m.waits.RecordValue(min(maxWait, now.Sub(arrived).Microseconds()))
}

// answer notes that an opening's first work was answered, by the balancer's
// clock: the ways between caller and balancer are left out.
func (m *meter) answer(now, arrived time.Time) {
	if arrived.Before(m.from) {
		return
	}
	_ = m.answers.RecordValue(min(maxWait, now.Sub(arrived).Microseconds()))
}

// figures of one run, by name.
type figures struct {
	// Slots and Connections are the largest of the upstreams' time means over
	// the mean of them.
	Slots       float64
	Connections float64
	// Busy is the mean of all work in hand, in slots.
	Busy float64
	// Moment is the time mean of the largest count of a moment, over the mean.
	Moment float64
	// Wait is the mean time from the balancer to a slot, Tail the 99th
	// percentile, both in milliseconds.
	Wait float64
	Tail float64
	// Answer is the mean time from the balancer to the answer, in milliseconds.
	Answer float64
	// Hops is the number of hand-overs an opening.
	Hops float64
	// Idled is the waiting while a slot was free elsewhere, in milliseconds an
	// opening.
	Idled float64
	// Refused and Unfair count refusals, and those with a slot free elsewhere.
	Refused float64
	Unfair  float64
}

func (m *meter) figures() figures {
	opened := max(1, float64(m.opened))
	return figures{
		Slots:       spread(m.busy),
		Connections: spread(m.flows),
		Busy:        float64(len(m.busy)) * mean(m.busy) / m.total,
		Moment:      m.peak / mean(m.busy),
		Wait:        m.waits.Mean() / 1e3,
		Tail:        float64(m.waits.ValueAtQuantile(99)) / 1e3,
		Answer:      m.answers.Mean() / 1e3,
		Hops:        float64(m.hops) / opened,
		Idled:       1e3 * m.idled / opened,
		Refused:     float64(m.refused),
		Unfair:      float64(m.unfair),
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func spread(values []float64) float64 {
	most := 0.0
	for _, v := range values {
		most = max(most, v)
	}
	return most / mean(values)
}
