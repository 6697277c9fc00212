package admit_test

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/fake/clock"
)

// centralQueue is the bound for any distributed queue: it has all requests and all slots, knows
// how long each request takes, and gives up those that cannot be in time.
type centralQueue struct {
	clock   *clock.Clock
	slots   int
	busy    int
	waiting []centralRequest
	result  shareResult
}

type centralRequest struct {
	dueAt  time.Time
	target time.Duration
	arrival
}

// playCentral runs a scenario against a central queue.
func playCentral(x scenario) shareResult {
	q := &centralQueue{
		clock: clock.New(),
		slots: sharedEndpoints * sharedSlots,
	}
	if x.lost > 0 {
		q.clock.After(x.lossAt, func() { q.slots -= x.lost * sharedSlots })
		q.clock.After(x.returnAt, func() {
			q.slots += x.lost * sharedSlots
			q.serve()
		})
	}
	for _, a := range x.arrivals() {
		q.clock.After(a.at, func() {
			r := centralRequest{
				dueAt:   q.clock.Now(),
				target:  normalTarget,
				arrival: a,
			}
			if a.urgent {
				r.target = urgentTarget
			}
			q.waiting = append(q.waiting, r)
			q.serve()
		})
	}
	q.clock.Run(q.clock.Now().Add(x.period + 2*sharedDeadline))
	q.count()
	return q.result
}

// serve starts requests in the order of priority and remaining time.
func (q *centralQueue) serve() {
	for q.busy < q.slots {
		now := q.clock.Now()
		best := -1
		for i := range q.waiting {
			if q.waiting[i].onTime(now) && (best < 0 || q.waiting[i].before(&q.waiting[best])) {
				best = i
			}
		}
		if best < 0 {
			// Late requests get what is left, the latest first.
			for i := range q.waiting {
				r := &q.waiting[i]
				if !now.Add(r.work).After(r.dueAt.Add(sharedDeadline)) {
					best = i
				}
			}
		}
		if best < 0 {
			return
		}
		r := q.waiting[best]
		q.waiting = slices.Delete(q.waiting, best, best+1)
		q.busy++
		q.clock.After(r.work, func() {
			q.busy--
			o := &q.result.normal
			if r.urgent {
				o = &q.result.urgent
			}
			if q.clock.Now().After(r.dueAt.Add(r.target)) {
				o.late++
			} else {
				o.onTarget++
			}
			q.serve()
		})
	}
}

// count counts the requests that were not served.
func (q *centralQueue) count() {
	for i := range q.waiting {
		if q.waiting[i].urgent {
			q.result.urgent.failed++
		} else {
			q.result.normal.failed++
		}
	}
}

func (r *centralRequest) onTime(now time.Time) bool {
	return !now.Add(r.work).After(r.dueAt.Add(r.target))
}

// before reports whether a request in time is served before another one.
func (r *centralRequest) before(o *centralRequest) bool {
	if r.urgent != o.urgent {
		return r.urgent
	}
	return r.dueAt.Add(r.target - r.work).Before(o.dueAt.Add(o.target - o.work))
}
