package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// meter integrates the state of all upstreams over simulated time.
type meter struct {
	lastChangeAt     time.Time
	startAt          time.Time
	total            float64
	busy             []float64
	flows            []float64
	peak             float64
	waitedWhileFree  float64
	answers          *hdrhistogram.Histogram
	waits            *hdrhistogram.Histogram
	opened           int
	forwards         int
	refused          int
	refusedWhileFree int
}

// maxWait is the largest wait that the histograms record, in microseconds; longer
// waits count as this.
const maxWait = 10_000_000

func newMeter(endpoints int, from time.Time) *meter {
	return &meter{
		lastChangeAt: from,
		startAt:      from,
		busy:         make([]float64, endpoints),
		flows:        make([]float64, endpoints),
		answers:      hdrhistogram.New(1, maxWait, 3),
		waits:        hdrhistogram.New(1, maxWait, 3),
	}
}

// advance adds the time since the last change, during which the state was constant.
func (m *meter) advance(now time.Time, fleet []*upstream, waiting int) {
	if !now.After(m.lastChangeAt) {
		return
	}
	span := now.Sub(m.lastChangeAt).Seconds()
	m.lastChangeAt = now
	m.total += span
	most := 0
	free := false
	for i, u := range fleet {
		m.busy[i] += span * float64(u.active)
		m.flows[i] += span * float64(u.flows)
		waiting += u.queuedOpenings
		most = max(most, u.active)
		free = free || u.hasFreeSlot()
	}
	m.peak += span * float64(most)
	if free {
		m.waitedWhileFree += span * float64(waiting)
	}
}

// recordWait records that an opening got its slot.
func (m *meter) recordWait(now, arrived time.Time) {
	if arrived.Before(m.startAt) {
		return
	}
	_ = m.waits.RecordValue(min(maxWait, now.Sub(arrived).Microseconds()))
}

// recordAnswer records that an opening's first work was answered, as seen by the
// balancer: the link delays between caller and balancer are not included.
func (m *meter) recordAnswer(now, arrived time.Time) {
	if arrived.Before(m.startAt) {
		return
	}
	_ = m.answers.RecordValue(min(maxWait, now.Sub(arrived).Microseconds()))
}

// figures are the results of one trial.
type figures struct {
	// Slots and Connections are the ratio of the largest time average of an
	// upstream to the mean of all upstreams.
	Slots       float64
	Connections float64
	// Busy is the time average of all active work, in slots.
	Busy float64
	// Peak is the time average of the largest count at each moment, over the mean.
	Peak float64
	// Wait is the mean time from the balancer to a slot, WaitP99 the 99th
	// percentile, both in milliseconds.
	Wait    float64
	WaitP99 float64
	// Answer is the mean time from the balancer to the answer, in milliseconds.
	Answer float64
	// Forwards is the number of forwards per opening.
	Forwards float64
	// WaitedWhileFree is the wait while a slot was free elsewhere, in milliseconds
	// per opening.
	WaitedWhileFree float64
	// Refused counts refusals, RefusedWhileFree those while a slot was free
	// elsewhere.
	Refused          float64
	RefusedWhileFree float64
}

func (m *meter) figures() figures {
	opened := max(1, float64(m.opened))
	return figures{
		Slots:            maxOverMean(m.busy),
		Connections:      maxOverMean(m.flows),
		Busy:             float64(len(m.busy)) * mean(m.busy) / m.total,
		Peak:             m.peak / mean(m.busy),
		Wait:             m.waits.Mean() / 1e3,
		WaitP99:          float64(m.waits.ValueAtQuantile(99)) / 1e3,
		Answer:           m.answers.Mean() / 1e3,
		Forwards:         float64(m.forwards) / opened,
		WaitedWhileFree:  1e3 * m.waitedWhileFree / opened,
		Refused:          float64(m.refused),
		RefusedWhileFree: float64(m.refusedWhileFree),
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func maxOverMean(values []float64) float64 {
	most := 0.0
	for _, v := range values {
		most = max(most, v)
	}
	return most / mean(values)
}
