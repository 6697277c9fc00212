package load

// fixedPlacer picks one upstream at the balancer and never forwards; work queues
// at the upstream.
type fixedPlacer struct {
	sim  *simulation
	pick func(f *flow) *upstream
}

func (c *fixedPlacer) open(f *flow) {
	u := c.pick(f)
	c.sim.net.Send(wayTo(u), func() { c.sim.enqueueAt(f, u) })
}

func (c *fixedPlacer) capacityFreed(*upstream)      {}
func (c *fixedPlacer) loadReported()                {}
func (c *fixedPlacer) upstreamJoined(*upstream)     {}
func (c *fixedPlacer) flowChanged(*flow, flowEvent) {}

// hashed places by plain rendezvous hashing.
func hashed(s *simulation) placer {
	return &fixedPlacer{
		sim: s,
		pick: func(f *flow) *upstream {
			return s.ranked(f)[0]
		},
	}
}

// twoChoices places on the less busy of two random upstreams, by their last
// reports (Mitzenmacher 2001).
func twoChoices(s *simulation) placer {
	return &fixedPlacer{
		sim: s,
		pick: func(*flow) *upstream {
			serving := s.serving()
			a := serving[s.placerSource.IntN(len(serving))]
			b := serving[s.placerSource.IntN(len(serving))]
			if b.reportedBusy < a.reportedBusy {
				return b
			}
			return a
		},
	}
}

// leastConnections places on the upstream that reported the fewest connections.
// Ties are broken at random.
func leastConnections(s *simulation) placer {
	return &fixedPlacer{
		sim: s,
		pick: func(*flow) *upstream {
			serving := s.serving()
			first := s.placerSource.IntN(len(serving))
			best := serving[first]
			for i := range serving {
				u := serving[(first+i)%len(serving)]
				if u.reportedFlows < best.reportedFlows {
					best = u
				}
			}
			return best
		},
	}
}
