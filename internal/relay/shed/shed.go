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
	// recentPeriod is that of the rate of all requests, which tells sooner that an overload has
	// begun: about the time in which the requests in time fill the queue.
	recentPeriod = 200 * time.Millisecond
	// idleRate is the arrival rate below which the rates are learned anew, minLearned the time
	// for which the first arrivals count at least.
	idleRate   = 1.0
	minLearned = 100 * time.Millisecond
	// priorities is the number of priorities told apart. Lower ones share the last rate.
	priorities = 8
	// workVariance is the squared coefficient of variation of slot times.
	workVariance = 0.25
	// minQueued is the number of requests that may wait although they may turn out too many:
	// fewer could leave a slot empty while requests are refused.
	minQueued = 2
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
type Confidence float64

const (
	// Certain asks whether a request can be served even if the estimate is too low by two
	// and a half standard deviations: a request that joins the queue is not to be refused later.
	Certain Confidence = 2.5
	// Expected takes the estimate as it is.
	Expected Confidence = 0
	// Possible asks whether a request can be served if the estimate is too high by one: what
	// has waited is refused only if it would wait in vain.
	Possible Confidence = -1
)

// Estimator learns how fast an endpoint serves and how fast requests arrive.
type Estimator struct {
	// slotTime is the average time in seconds that a request occupies a slot.
	slotTime float64
	// rates are the averages at ratesAt of the arrivals per second of requests in time, by
	// priority. They have been averaged since startedAt.
	rates     [priorities]float64
	ratesAt   time.Time
	startedAt time.Time
	// recent is the rate of all priorities over recentPeriod.
	recent float64
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

// RecordArrival records the arrival of a request that the endpoint is to serve, in time or not.
func (e *Estimator) RecordArrival(now time.Time, priority uint8, onTime bool) {
	e.decay(now)
	if e.rateSum() < idleRate {
		e.startedAt = now
	}
	if onTime {
		e.rates[min(priority, priorities-1)] += 1 / ratePeriod.Seconds()
	}
	e.recent += 1 / recentPeriod.Seconds()
}

func (e *Estimator) decay(now time.Time) {
	if now.After(e.ratesAt) {
		factor := math.Exp(-float64(now.Sub(e.ratesAt)) / float64(ratePeriod))
		for i := range e.rates {
			e.rates[i] *= factor
		}
		e.recent *= math.Exp(-float64(now.Sub(e.ratesAt)) / float64(recentPeriod))
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

// rateBefore returns the arrival rate of requests above a priority. An average over less than
// ratePeriod is scaled up: an endpoint that has just come back does not know yet what else
// arrives, and would queue too much.
func (e *Estimator) rateBefore(priority uint8) (rate float64) {
	for _, r := range e.rates[:min(priority, priorities)] {
		rate += r
	}
	learned := max(e.ratesAt.Sub(e.startedAt), minLearned)
	return rate / (1 - math.Exp(-float64(learned)/float64(ratePeriod)))
}

func (e *Estimator) rateSum() (rate float64) {
	for _, r := range e.rates {
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
	if before < minQueued {
		// The endpoint is about to have nothing to do.
		c = min(c, Expected)
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
	rate := e.rateBefore(priorities)
	if c == Certain {
		rate = max(rate, e.recent)
	}
	return e.wait(q, ahead, rate, c)
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
	capacity := float64(q.Slots) / e.slotTime
	left := capacity - rate
	if left <= 0 {
		return maxWait
	}
	mean := finish / left
	// Slot times and arrivals vary, and so do their averages.
	deviation := math.Hypot(math.Sqrt(workVariance*finish+rate*mean),
		mean*math.Hypot(math.Sqrt(rate/(2*ratePeriod.Seconds())), slotTimeError*capacity)) / left
	seconds := max(0, mean+float64(c)*deviation)
	if seconds >= maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(seconds * float64(time.Second))
}
