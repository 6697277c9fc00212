// Package shed orders the requests that wait for a slot of one endpoint and estimates which of
// them the endpoint can still serve. It addresses overload: more work arrives than the slots can
// do, and a request that cannot be served before its caller gives up is better refused at once,
// while its caller has time to try elsewhere, than after it has waited in vain.
//
// The estimate is slots over service time against the queue in the order in which it will be
// served. What is still to arrive counts as well: requests of higher priority go first, and
// requests that are late get only what requests in time leave over. Both are taken from the
// rates at which requests have arrived.
//
// Nothing here reads a clock or changes the queue.
package shed

import (
	"math"
	"time"
)

const (
	// answerWeight is the weight of one answer in the average slot time: nine tenths of a
	// change are learned within 20 answers.
	answerWeight = 1.0 / 8
	// maxAnswerFactor bounds one answer's slot time as a multiple of the average, so that a few
	// long requests among short ones do not pass for a slow endpoint.
	maxAnswerFactor = 3.0
	// ratePeriod is the time constant of the arrival rates. It is shorter than a caller's
	// attempt, so that what an attempt can expect is known before it ends.
	ratePeriod = time.Second
	// priorities is the number of priorities told apart. Lower ones share the last rate.
	priorities = 8
	// workVariance is the squared coefficient of variation of slot times.
	workVariance = 0.25
	// slotTimeError is the relative error of the average slot time.
	slotTimeError = 0.1
)

// Request is a SYN, or a request on an open flow, that waits for a slot.
type Request struct {
	// Priority is that of the route; 0 is the highest.
	Priority  uint8
	ArrivedAt time.Time
	// StartBy is the latest start with which the request meets its latency target.
	StartBy time.Time
	// GiveUpAt is the latest start before the caller gives up.
	GiveUpAt time.Time
	// Held marks a request that cannot be refused, because it was sent on an open flow.
	Held bool
	// Sequence breaks ties.
	Sequence uint32
}

// Before reports whether r is served before o. Requests that can meet their latency target go
// first, by priority and then by remaining time. The others follow, the latest arrival first,
// whose caller is the least likely to have given up.
func (r *Request) Before(o *Request, now time.Time) bool {
	onTime, otherOnTime := r.OnTime(now), o.OnTime(now)
	switch {
	case onTime != otherOnTime:
		return onTime
	case onTime && r.Priority != o.Priority:
		return r.Priority < o.Priority
	case onTime && !r.StartBy.Equal(o.StartBy):
		return r.StartBy.Before(o.StartBy)
	case !r.ArrivedAt.Equal(o.ArrivedAt):
		return r.ArrivedAt.After(o.ArrivedAt)
	default:
		return r.Sequence < o.Sequence
	}
}

// OnTime reports whether the request meets its latency target if it starts now.
func (r *Request) OnTime(now time.Time) bool {
	return now.Before(r.StartBy)
}

// Queue is what an endpoint has to do.
type Queue struct {
	Slots int
	// Capacity is how many requests the endpoint is given at once, InUse how many it has.
	Capacity int
	InUse    int
	// Waiting holds the queued requests.
	Waiting []Request
}

// Confidence says how the uncertainty of an estimate counts.
type Confidence int

const (
	// Certain asks whether a request can be served although the estimate may be too low: for
	// requests that another endpoint may serve instead.
	Certain Confidence = 1
	// Expected takes the estimate as it is.
	Expected Confidence = 0
	// Possible asks whether a request can be served if the estimate is too high: what fails is
	// refused although it has waited.
	Possible Confidence = -1
)

// Estimator learns how fast an endpoint serves and how fast requests arrive.
type Estimator struct {
	// slotTime is the average time in seconds that a request occupies a slot.
	slotTime float64
	// rates are the arrival rates of requests in time by priority, per second, at ratesAt.
	rates   [priorities]float64
	ratesAt time.Time
}

// New returns an Estimator that assumes a slot time until the first answer.
func New(slotTime time.Duration) *Estimator {
	return &Estimator{
		slotTime: slotTime.Seconds(),
	}
}

// RecordAnswer records that a request was answered after it was in use for some time, with
// inUse requests in use at its end.
func (e *Estimator) RecordAnswer(took time.Duration, inUse, slots int) {
	sample := took.Seconds()
	if inUse > slots {
		// Part of the time was spent waiting for a slot at the endpoint.
		sample *= float64(slots) / float64(inUse)
	}
	sample = min(sample, maxAnswerFactor*e.slotTime)
	e.slotTime += (sample - e.slotTime) * answerWeight
}

// RecordArrival records the arrival of a request that the endpoint is to serve in time.
func (e *Estimator) RecordArrival(now time.Time, priority uint8) {
	e.decay(now)
	e.rates[min(priority, priorities-1)] += 1 / ratePeriod.Seconds()
}

func (e *Estimator) decay(now time.Time) {
	if now.After(e.ratesAt) {
		factor := math.Exp(-float64(now.Sub(e.ratesAt)) / float64(ratePeriod))
		for i := range e.rates {
			e.rates[i] *= factor
		}
		e.ratesAt = now
	}
}

// SlotTime returns the average time that a request occupies a slot.
func (e *Estimator) SlotTime() time.Duration {
	return time.Duration(e.slotTime * float64(time.Second))
}

// ArrivalRate returns the rate per second at which requests in time arrive.
func (e *Estimator) ArrivalRate(now time.Time) float64 {
	e.decay(now)
	return e.rateBefore(priorities)
}

// rateBefore returns the arrival rate of requests above a priority.
func (e *Estimator) rateBefore(priority uint8) (rate float64) {
	for _, r := range e.rates[:min(priority, priorities)] {
		rate += r
	}
	return rate
}

// Futile returns the indices of the waiting requests that are not served before their callers
// give up, even if the endpoint serves faster than expected. Requests listed do not count
// against those behind them. The queue must be in the order of Request.Before.
func (e *Estimator) Futile(now time.Time, q *Queue) (list []int) {
	e.decay(now)
	onTime := 0
	var late []int
	for i := range q.Waiting {
		r := &q.Waiting[i]
		if r.OnTime(now) && e.startsOnTime(now, q, r, onTime, Possible) {
			onTime++
			continue
		}
		late = append(late, i)
	}
	ahead := onTime
	for _, i := range late {
		r := &q.Waiting[i]
		if r.Held || !now.Add(e.lateWait(q, ahead, Possible)).After(r.GiveUpAt) {
			ahead++
			continue
		}
		list = append(list, i)
	}
	return list
}

// Serves reports whether a request that joins the queue now starts in time, or at least before
// its caller gives up. ahead is the number of requests that go before it, waiting ones and those
// that keep the endpoint busy.
func (e *Estimator) Serves(now time.Time, q *Queue, r *Request, c Confidence) (onTime, served bool, ahead int) {
	e.decay(now)
	before := 0
	for i := range q.Waiting {
		if q.Waiting[i].Before(r, now) {
			before++
		}
	}
	if r.OnTime(now) && e.startsOnTime(now, q, r, before, c) {
		return true, true, q.InUse + before
	}
	// The latest arrival would be the first of the late ones, but a request that has waited is
	// not given up for one that has not.
	all := len(q.Waiting)
	return false, !now.Add(e.lateWait(q, all, c)).After(r.GiveUpAt), q.InUse + all
}

// startsOnTime reports whether a request with ahead others before it starts within its latency
// target.
func (e *Estimator) startsOnTime(now time.Time, q *Queue, r *Request, ahead int, c Confidence) bool {
	return !now.Add(e.wait(q, ahead, e.rateBefore(r.Priority), c)).After(r.StartBy)
}

// lateWait returns how long a request waits that gets only what requests in time leave over.
func (e *Estimator) lateWait(q *Queue, ahead int, c Confidence) time.Duration {
	return e.wait(q, ahead, e.rateBefore(priorities), c)
}

// maxWait is the longest wait estimated.
const maxWait = time.Hour

// wait returns how long a request waits that has others ahead of it, while more arrive at a rate
// that go before it as well.
func (e *Estimator) wait(q *Queue, ahead int, rate float64, c Confidence) time.Duration {
	finish := float64(q.InUse - q.Capacity + ahead + 1)
	if finish <= 0 {
		return 0
	}
	// A rate averaged over a period has the variance of a Poisson process.
	rate = max(0, rate+float64(c)*math.Sqrt(rate/(2*ratePeriod.Seconds())))
	left := float64(q.Slots)/e.slotTime - rate
	if left <= 0 {
		return maxWait
	}
	mean := finish / left
	deviation := math.Sqrt(workVariance*finish+rate*mean)/left + slotTimeError*mean
	seconds := max(0, mean+float64(c)*deviation)
	if seconds >= maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(seconds * float64(time.Second))
}
