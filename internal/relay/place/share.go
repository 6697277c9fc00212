package place

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/evac"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
)

// An endpoint that is cold, has just warmed up, or whose failure domain was evacuated until now has
// nothing in use, so by load every balancer would send all its new flows there. It gets a share of
// the flows instead, in proportion to what it can serve, and its share grows after it has warmed
// up or the evacuation was withdrawn (slow start). Only flows of that share consider it first.
const (
	// rampPeriod is how long the share grows, some rounds of load reports, and firstShare the
	// part of its full share with which it starts.
	rampPeriod = 2 * time.Second
	firstShare = 0.1
	// assumedServiceTime is that of an endpoint whose agent does not tell it.
	assumedServiceTime = 60 * time.Millisecond
	// maxReducedFirst is how many such endpoints are asked before others. They may refuse the
	// flow, because other balancers sent them theirs.
	maxReducedFirst = 2
)

// reducedLast orders candidates, which are sorted by cost: endpoints that get a reduced share come
// first for the flows of their share, and last for the others.
func (q *Request) reducedLast(list []scoredAgent) []scoredAgent {
	if q.Evacuations == nil {
		return list
	}
	var normal, reduced []scoredAgent
	all, share := 0.0, 0.0
	for _, c := range list {
		slots := float64(max(c.agent.Slots, 1))
		part := q.shareOf(c.agent)
		all += part * slots
		if part < 1 {
			share += part * slots
			reduced = append(reduced, c)
			continue
		}
		normal = append(normal, c)
	}
	first := 0
	if hashFraction(q.Hash, 0)*all < share {
		first = min(maxReducedFirst, len(reduced))
	}
	if len(reduced) == 0 {
		return list
	}
	// One of them is among the candidates in any case: it may be the only one with a free slot.
	out := append(reduced[:first:first], normal...)
	at := min(len(out), maxFlowCandidates-1)
	if first > 0 {
		at = len(out)
	}
	return slices.Insert(out, at, reduced[first:]...)
}

// shareOf returns the part of its usual share of new flows that an endpoint gets.
func (q *Request) shareOf(s *roster.Agent) float64 {
	if q.Now.Before(s.ColdUntil) {
		if q.ColdRate <= 0 {
			return 1
		}
		serviceTime := assumedServiceTime
		if s.ServiceTimeMS != 0 {
			serviceTime = time.Duration(s.ServiceTimeMS) * time.Millisecond
		}
		return min(1, q.ColdRate*serviceTime.Seconds()/float64(max(s.Slots, 1)))
	}
	since := s.WarmAt
	if at := q.Evacuations.ReleasedAt(evac.Zone(s.Zone)); at.After(since) {
		since = at
	}
	if since.IsZero() || !q.Now.Before(since.Add(rampPeriod)) {
		return 1
	}
	return firstShare + (1-firstShare)*max(0, float64(q.Now.Sub(since))/float64(rampPeriod))
}
