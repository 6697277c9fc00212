package load

// choice is a placer that picks one upstream at the balancer, for good; work
// queues there.
type choice struct {
	world *world
	pick  func(f *flow) *upstream
}

func (c *choice) open(f *flow) {
	u := c.pick(f)
	c.world.net.Send(lane(u), func() { c.world.queueAt(f, u) })
}

func (c *choice) freed(*upstream)        {}
func (c *choice) reported()              {}
func (c *choice) joined(*upstream)       {}
func (c *choice) event(*flow, flowEvent) {}

// hashed is plain rendezvous hashing.
func hashed(w *world) placer {
	return &choice{
		world: w,
		pick: func(f *flow) *upstream {
			return w.ranked(f)[0]
		},
	}
}

// twoChoices takes the less busy of two upstreams drawn at random, by their
// last reports (Mitzenmacher 2001).
func twoChoices(w *world) placer {
	return &choice{
		world: w,
		pick: func(*flow) *upstream {
			serving := w.serving()
			a := serving[w.random.IntN(len(serving))]
			b := serving[w.random.IntN(len(serving))]
			if b.reportedBusy < a.reportedBusy {
				return b
			}
			return a
		},
	}
}

// leastConnections takes the upstream that reported the fewest connections,
// one of them at random.
func leastConnections(w *world) placer {
	return &choice{
		world: w,
		pick: func(*flow) *upstream {
			serving := w.serving()
			at := w.random.IntN(len(serving))
			best := serving[at]
			for i := range serving {
				u := serving[(at+i)%len(serving)]
				if u.reportedFlows < best.reportedFlows {
					best = u
				}
			}
			return best
		},
	}
}
