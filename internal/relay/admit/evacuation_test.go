package admit_test

import (
	"fmt"

	"github.com/clementinewing/clementinewing/internal/fake/script"
	"github.com/clementinewing/clementinewing/internal/relay/admit"
	"github.com/clementinewing/clementinewing/internal/relay/evac"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/relay/warm"
)

// followsEvacuations makes an agent in failure domain 1 follow evacuations.
func followsEvacuations() admit.Option {
	return admit.FollowsEvacuations(1, 0, warm.Limits{
		Overage: 1.5,
		Slack:   5,
	})
}

// newEvacuations returns the answer of a balancer to the agent's latest load report.
func newEvacuations(h *admit.Controller, l *script.Line) admit.Event {
	var s evac.Set
	var zones []evac.Zone
	for _, n := range l.Ints("zones") {
		zones = append(zones, evac.Zone(n))
	}
	s.Observe(plan.Position{
		Era:      1,
		Revision: uint64(l.At.UnixMilli()) + 1,
	}, zones)
	var e admit.EvacuationsReceived
	e.Answers = h.EvacuationChallenge()
	e.PlanVersion = 1
	e.ColdRate = float64(l.Int("rate", 0))
	e.Set = *s.Frame()
	return e
}

func formatEvacuationChange(c admit.EvacuationChanged) string {
	if c.Evacuated {
		return "evacuated"
	}
	return fmt.Sprintf("not evacuated, %g cold", c.ColdRate)
}
