package roster

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/even"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// Agent holds the last load report of an agent and what is known of the agent since.
type Agent struct {
	frame.LoadReport
	HeardAt   time.Time
	ColdUntil time.Time
	// WarmAt is when the endpoint warms up or has warmed up; zero if it was never seen cold.
	WarmAt time.Time
	// SentSinceReport counts the SYNs sent to the agent since its last report.
	SentSinceReport int
	// Load estimates the endpoint's load under even placement.
	Load even.Load
	// Unanswered counts the SYNs that the agent has left unanswered since it was last heard.
	Unanswered int
	// unregisteredSince is when an agent with EndpointEnded first reported that it has to be
	// registered anew.
	unregisteredSince time.Time
}

// Silent reports whether the agent has missed its reports.
func (s *Agent) Silent(now time.Time) bool {
	every := max(time.Duration(s.IntervalMS)*time.Millisecond, minReportInterval)
	return now.After(s.HeardAt.Add(maxMissedReports*every + reportDelay))
}

// AcceptsFlows reports whether the endpoint accepts new flows.
func (s *Agent) AcceptsFlows(now time.Time) bool {
	return s.State == node.Serving && !s.Silent(now)
}

// Suspect reports whether the endpoint is not known to serve, so that its low load counts for
// nothing.
func (s *Agent) Suspect() bool {
	return s.Refusals >= frame.SuspectRefusals
}

// absent reports whether the agent has been silent for so long that it is not expected
// back. An agent whose endpoint refused SYNs and never reported counts as absent as soon as
// it is silent: its VM has been removed.
func (s *Agent) absent(now time.Time) bool {
	if s.Refuses {
		return s.Silent(now)
	}
	return now.After(s.HeardAt.Add(absentTimeout))
}

// MayOwn reports whether the endpoint may hold flows. While the balancer is isolated, no
// endpoint is excluded for the silence of its agent.
func (s *Agent) MayOwn(now time.Time, isolated bool) bool {
	return !s.HasNoEndpoint() && (isolated || !s.absent(now))
}
