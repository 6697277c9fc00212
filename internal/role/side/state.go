package side

import (
	"fmt"
	"time"

	"github.com/clementinewing/clementinewing/internal/edge/meter"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// Sample returns the counters for metrics.
func (s *Agent) Sample() meter.Sample {
	c := s.agent.Counts()
	out := meter.Sample{
		Totals: []meter.Total{
			{
				Name:  "flows_taken",
				Value: c.Owner.Admitted,
			},
			{
				Name:  "hints_sent",
				Value: c.Owner.Hints,
			},
		},
		Levels: []meter.Level{
			{
				Name:  "flows_open",
				Value: float64(c.Owner.Open),
			},
			{
				Name:  "flows_half_open",
				Value: float64(c.Owner.HalfOpen),
			},
			{
				Name:  "flows_connecting",
				Value: float64(c.Owner.Connecting),
			},
		},
	}
	for _, r := range s.reasons() {
		out.Totals = append(out.Totals, meter.Total{
			Name:   "packets",
			Reason: r.Name,
			Value:  r.Count,
		})
	}
	return out
}

// State returns the state that `show` prints.
func (s *Agent) State() meter.State {
	c := s.agent.Counts().Owner
	state := node.State(s.state.Load())
	var active, slots int
	s.agent.RunLocked(func() {
		active = s.admission.ActiveFlows()
		slots = s.admission.Slots(time.Now())
	})
	out := meter.State{
		Role:     "agent",
		Name:     s.settings.Name,
		Place:    s.settings.Place.String(),
		Now:      time.Now(),
		Started:  s.started,
		Draining: state == node.Draining,
		Flows: meter.Flows{
			Connecting:  c.Connecting,
			HalfOpen:    c.HalfOpen,
			Open:        c.Open,
			Lingering:   c.Lingering,
			SlotsInHand: active,
			SlotsLimit:  slots,
		},
		Endpoints: []meter.Endpoint{
			{
				Service:     s.settings.Service,
				Upstream:    s.settings.Name,
				Agent:       s.Address().String(),
				Incarnation: fmt.Sprintf("%016x", uint64(s.incarnation)),
				Place:       s.settings.Place.String(),
				State:       state.String(),
				Weight:      s.settings.Weight,
			},
		},
		Reasons: s.reasons(),
	}
	if h := s.follower.ActiveFile(); h != nil {
		out.Revision = h.Revision()
		out.FileName = h.File.Name
		out.FileSource = h.Record.Proposal.Operator
	}
	return out
}

// reasons returns every counter with the time at which an increase was last seen.
func (s *Agent) reasons() (out []meter.Reason) {
	c := s.agent.Counts()
	for _, r := range owner.Reasons() {
		out = append(out, s.tracker.Reason(r.String(), c.Owner.Of(r)))
	}
	for _, f := range c.Faults {
		out = append(out, s.tracker.Reason(f.Name, f.Count))
	}
	return out
}
