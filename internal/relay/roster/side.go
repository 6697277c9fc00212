package roster

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// Side is one side process and its endpoint.
type Side struct {
	frame.Load
	HeardAt   time.Time
	ColdUntil time.Time
	// Sent counts openings handed to it since its last report.
	Sent int
	// Doubts counts openings that it left unanswered since it was last heard.
	Doubts int
	// joinedAt is when it was first heard, or first heard of its service.
	joinedAt time.Time
}

// Silent tells whether the side process has missed its reports.
func (s *Side) Silent(now time.Time) bool {
	every := max(time.Duration(s.Every)*time.Millisecond, loadLeast)
	return now.After(s.HeardAt.Add(silentReports*every + silentDelay))
}

// Takes tells whether the endpoint may be given new flows.
func (s *Side) Takes(now time.Time) bool {
	return s.State == node.Serving && !s.Silent(now)
}

// absent tells whether a side process has been silent for so long that it is not
// expected back. One whose endpoint has refused openings without ever reporting
// is not waited for: its machine has been taken away.
func (s *Side) absent(now time.Time) bool {
	if s.Refuses {
		return s.Silent(now)
	}
	return now.After(s.HeardAt.Add(absentAfter))
}

// MayOwn tells whether flows may be found at the endpoint. While the balancer is
// isolated nobody is ruled out for silence.
func (s *Side) MayOwn(now time.Time, isolated bool) bool {
	return s.State != node.Gone && (isolated || !s.absent(now))
}
