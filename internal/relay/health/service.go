package health

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
)

const (
	// minInterval is the least time between two computations for a service: a fraction of the
	// interval between load reports. agentInterval is the least time for each of its agents, so
	// that the computations take a bounded share of a core.
	minInterval   = 100 * time.Millisecond
	agentInterval = 20 * time.Microsecond
	// probeInterval is the interval at which all balancers together offer a SYN to an endpoint
	// that is not known to serve. The agent gives the endpoint fewer of them.
	probeInterval = 250 * time.Millisecond
)

// Service is what a balancer derives from the load reports of one service. The zero value knows
// nothing.
type Service struct {
	// Excludes reports whether the endpoints of a failure domain get no new flows; nil stands for
	// none.
	Excludes func(zone uint64) bool
	// Outliers is set if capacities and the preferred failure domain are computed.
	Outliers bool
	// Zone is the balancer's failure domain.
	Zone uint64

	updateAt  time.Time
	updatedAt time.Time
	// unproven are the endpoints that accept new flows and are not known to serve, while others
	// are. probeAt is when this balancer offers a SYN to one of them.
	unproven []frame.Host
	probeAt  time.Time
	// fewServing is set if most of those that accept new flows are unproven.
	fewServing bool
	// balancers is the number of balancers, this one included.
	balancers int
	// capacities are those of the endpoints with less than 1.
	capacities map[frame.Host]float64
	// spill is how new flows leave the balancer's failure domain.
	spill spill
}

// Update computes the service anew if it is due. It calls countBalancers for the number of other
// balancers, and returns the capacities that have changed.
func (s *Service) Update(now time.Time, agents []*roster.Agent, countBalancers func() int) (changes []Change) {
	if now.Before(s.updateAt) {
		return nil
	}
	elapsed := now.Sub(s.updatedAt)
	s.updatedAt = now
	s.updateAt = now.Add(max(minInterval, agentInterval*time.Duration(len(agents))))
	s.balancers = countBalancers() + 1
	accepting := make([]*roster.Agent, 0, len(agents))
	for _, a := range agents {
		if a.AcceptsFlows(now) && (s.Excludes == nil || !s.Excludes(a.Zone)) {
			accepting = append(accepting, a)
		}
	}
	s.updateUnproven(accepting)
	if s.Outliers {
		changes = s.updateCapacities(elapsed, accepting)
		s.updateSpill(accepting)
	}
	return changes
}

// Clone returns a copy of the service. Updating the copy leaves the service as it is.
func (s *Service) Clone() *Service {
	c := *s
	c.unproven = slices.Clone(s.unproven)
	return &c
}

func (s *Service) updateUnproven(accepting []*roster.Agent) {
	s.unproven = s.unproven[:0]
	serving := 0
	for _, a := range accepting {
		if Unproven(a) {
			s.unproven = append(s.unproven, a.Host)
			continue
		}
		serving++
	}
	s.fewServing = len(s.unproven) > serving
	if serving == 0 {
		s.unproven = s.unproven[:0]
	}
	if len(s.unproven) == 0 {
		s.probeAt = time.Time{}
	}
}

// FewServing reports whether most endpoints that accept new flows are not known to serve. All may
// come back at any time then, and there is little capacity until they are found.
func (s *Service) FewServing() bool {
	return s.fewServing
}

// Unproven reports whether nothing shows that an endpoint serves.
func Unproven(a *roster.Agent) bool {
	return a.Suspect() || !a.Proven
}

// Probe returns the endpoint to which the next new flow is offered first, to find out whether it
// serves, or 0 for most flows. The hash of the flow spreads the choice and the time of the next
// one.
func (s *Service) Probe(now time.Time, hash uint64) frame.Host {
	if len(s.unproven) == 0 || now.Before(s.probeAt) {
		return 0
	}
	first := s.probeAt.IsZero()
	wait := probeInterval * time.Duration(s.balancers) / time.Duration(len(s.unproven))
	s.probeAt = now.Add(time.Duration(float64(wait) * 2 * fraction(hash)))
	if first {
		return 0
	}
	return s.unproven[hash%uint64(len(s.unproven))]
}

// fraction returns a pseudo-random number from 0 to 1.
func fraction(hash uint64) float64 {
	return float64(hash*0x9e3779b97f4a7c15>>11) / (1 << 53)
}
