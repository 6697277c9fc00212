package load

// centralPlacer is one queue with exact knowledge of every upstream's work and a
// single link delay to each: the best that any policy can reach.
type centralPlacer struct {
	sim   *simulation
	queue []*flow
}

func centralQueue(s *simulation) placer {
	return &centralPlacer{
		sim: s,
	}
}

func (c *centralPlacer) open(f *flow) {
	c.sim.net.Send(wayTo(c.sim.fleet[0]), func() {
		c.sim.advanceMeter()
		c.sim.waiting++
		c.queue = append(c.queue, f)
		c.dispatch()
	})
}

func (c *centralPlacer) dispatch() {
	for len(c.queue) > 0 {
		u := c.best()
		if u == nil {
			return
		}
		f := c.queue[0]
		c.queue = c.queue[1:]
		c.sim.advanceMeter()
		c.sim.waiting--
		c.sim.accept(f, u)
	}
}

// best returns the upstream with the most free slots, nil if none has one. Ties
// are broken at random.
func (c *centralPlacer) best() *upstream {
	var best *upstream
	first := c.sim.placerSource.IntN(len(c.sim.fleet))
	for i := range c.sim.fleet {
		u := c.sim.fleet[(first+i)%len(c.sim.fleet)]
		if !u.hasFreeSlot() {
			continue
		}
		if best == nil || u.capacity()-u.active > best.capacity()-best.active {
			best = u
		}
	}
	return best
}

func (c *centralPlacer) capacityFreed(*upstream)  { c.dispatch() }
func (c *centralPlacer) loadReported()            {}
func (c *centralPlacer) upstreamJoined(*upstream) { c.dispatch() }

func (c *centralPlacer) flowChanged(f *flow, e flowEvent) {
	if e == answered {
		c.dispatch()
	}
}
