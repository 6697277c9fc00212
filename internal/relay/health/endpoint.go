// Package health decides whether an endpoint counts as one that serves, and how much it can do
// compared with the others of its service.
//
// It addresses two loads. An endpoint that has died behind a live agent has nothing in use and
// looks the least loaded to every balancer, so that all new flows are offered to it first. An
// endpoint that is slow or fails gets as many new flows as the others and makes them late.
//
// Endpoint is the state machine of an agent, which is the only path to its endpoint. Service is
// what a balancer derives from the load reports of all agents of a service.
package health

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
)

const (
	// minBackoff is how long an endpoint that refused a SYN gets no other: an endpoint that is
	// full is so for about the duration of one request. It doubles with each further refusal
	// without proof of service, up to maxBackoff, within which a caller still gets an answer.
	minBackoff = 60 * time.Millisecond
	maxBackoff = 960 * time.Millisecond
	// maxDoublings is more than it takes to reach maxBackoff.
	maxDoublings = 8
	// acceptedDelay is how long after an accepted SYN a refusal still means that the endpoint
	// is full: its request arrives up to one retransmission later.
	acceptedDelay = 200 * time.Millisecond
	// serviceTTL is how long an accepted SYN or an answer proves that the endpoint serves. It
	// exceeds the duration of slow requests. Requests in use for longer prove nothing, since an
	// endpoint that died never answers them.
	serviceTTL = time.Second
	// probeTimeout is how long a suspect gets no other SYN while one is unanswered. It exceeds
	// the time that the endpoint may take to answer it.
	probeTimeout = 100 * time.Millisecond
	// maxTickGap is the longest gap between two ticks of an agent that runs.
	maxTickGap = 100 * time.Millisecond
)

// Endpoint is what an agent knows of whether its endpoint serves. The zero value knows nothing.
type Endpoint struct {
	// refusals counts the SYNs refused or left unanswered without proof of service since the
	// endpoint last accepted one.
	refusals int
	// acceptedAt is when the endpoint last accepted a SYN, servedAt when it last did that or
	// answered a request.
	acceptedAt time.Time
	servedAt   time.Time
	// reportsDueAt is when the endpoint has missed its reports; zero before the first one.
	// missed is set once it has, tickedAt is when the agent last checked that.
	reportsDueAt time.Time
	missed       bool
	tickedAt     time.Time
	// retryAt is when the endpoint may get a SYN again, earliestRetryAt when it may if few
	// endpoints of its service are known to serve. probeUntil is until when a suspect may get no
	// other SYN.
	retryAt         time.Time
	earliestRetryAt time.Time
	probeUntil      time.Time
	// allowance bounds what an endpoint that was a suspect has in use; 0 is no bound.
	allowance int
}

// Refused records that the endpoint refused a SYN. inUse is what it has in use otherwise.
func (e *Endpoint) Refused(now time.Time, inUse int) {
	e.retryAt = now.Add(minBackoff)
	e.earliestRetryAt = e.retryAt
	e.countRefusal(now, inUse)
}

// Unanswered records that the endpoint left a SYN unanswered. inUse is as in Refused.
func (e *Endpoint) Unanswered(now time.Time, inUse int) {
	e.countRefusal(now, inUse)
}

// countRefusal counts a SYN that the endpoint did not accept, unless it is full.
func (e *Endpoint) countRefusal(now time.Time, inUse int) {
	e.probeUntil = time.Time{}
	if now.Before(e.acceptedAt.Add(acceptedDelay)) || inUse > 0 && now.Before(e.servedAt.Add(serviceTTL)) {
		return
	}
	if e.refusals > 0 {
		e.retryAt = now.Add(min(minBackoff<<min(e.refusals, maxDoublings), maxBackoff))
	}
	e.refusals++
}

// Accepted records that the endpoint accepted a SYN. It ends a suspicion, after which the
// endpoint may have one request in use, and twice as many after each further accepted SYN.
func (e *Endpoint) Accepted(now time.Time, slots int) {
	if e.Suspect(now) {
		e.allowance = 1
		e.retryAt = time.Time{}
	} else {
		e.allowance *= 2
	}
	if e.allowance > slots {
		e.allowance = 0
	}
	e.refusals = 0
	e.probeUntil = time.Time{}
	e.acceptedAt = now
	e.servedAt = now
}

// Answered records that the endpoint answered a request.
func (e *Endpoint) Answered(now time.Time) {
	e.servedAt = now
}

// Reported records a report of the endpoint. The next one is missed at dueAt.
func (e *Endpoint) Reported(now, dueAt time.Time) {
	if e.tickedAt.IsZero() {
		e.tickedAt = now
	}
	e.reportsDueAt = dueAt
	e.missed = false
}

// Tick checks whether the endpoint has missed its reports. While the agent did not run, the
// endpoint could not report.
func (e *Endpoint) Tick(now time.Time) {
	before := e.tickedAt
	e.tickedAt = now
	switch gap := now.Sub(before); {
	case e.reportsDueAt.IsZero():
	case gap > maxTickGap:
		e.reportsDueAt = e.reportsDueAt.Add(gap)
	case !now.Before(e.reportsDueAt):
		e.missed = true
	}
}

// Started records that another incarnation of the endpoint runs. It ends a suspicion.
func (e *Endpoint) Started(now time.Time) {
	started := Endpoint{
		tickedAt: e.tickedAt,
	}
	if e.Suspect(now) {
		started.allowance = 1
	}
	*e = started
}

// Suspect reports whether the endpoint is not known to serve: SYNs have been refused in a row, or
// its reports have stopped, and nothing proves that it serves.
func (e *Endpoint) Suspect(now time.Time) bool {
	return e.refusals >= frame.SuspectRefusals || e.ReportsMissed(now)
}

// ReportsMissed reports whether the reports of the endpoint have stopped while nothing else
// proves that it serves.
func (e *Endpoint) ReportsMissed(now time.Time) bool {
	return e.missed && !now.Before(e.servedAt.Add(serviceTTL))
}

// Refusals returns the value of LoadReport.Refusals.
func (e *Endpoint) Refusals(now time.Time) int {
	if e.ReportsMissed(now) {
		return max(e.refusals, frame.SuspectRefusals)
	}
	return e.refusals
}

// Refuses reports whether the endpoint gets no SYN for a while because it refused one. fewServing
// is set if few endpoints of the service are known to serve.
func (e *Endpoint) Refuses(now time.Time, fewServing bool) bool {
	if fewServing {
		return now.Before(e.earliestRetryAt)
	}
	return now.Before(e.retryAt)
}

// Probing reports whether the endpoint is a suspect that has not answered its last SYN yet.
func (e *Endpoint) Probing(now time.Time) bool {
	return now.Before(e.probeUntil) && e.Suspect(now)
}

// Opened records that a SYN was delivered to the endpoint.
func (e *Endpoint) Opened(now time.Time) {
	if e.Suspect(now) {
		e.probeUntil = now.Add(probeTimeout)
	}
}

// Limit returns how much the endpoint may have in use, given how much it may have without the
// slow start.
func (e *Endpoint) Limit(capacity int) int {
	if e.allowance == 0 {
		return capacity
	}
	return min(e.allowance, capacity)
}
