package load

// central is a queue that knows every upstream's work and reaches them all
// after one way: the limit of what any policy can do.
type central struct {
	world *world
	queue []*flow
}

func centralQueue(w *world) placer {
	return &central{
		world: w,
	}
}

func (c *central) open(f *flow) {
	c.world.net.Send(lane(c.world.fleet[0]), func() {
		c.world.change()
		c.world.waiting++
		c.queue = append(c.queue, f)
		c.dispatch()
	})
}

func (c *central) dispatch() {
	for len(c.queue) > 0 {
		u := c.best()
		if u == nil {
			return
		}
		f := c.queue[0]
		c.queue = c.queue[1:]
		c.world.change()
		c.world.waiting--
		c.world.accept(f, u)
	}
}

// best is the upstream with the most free slots, nil if none has one; one of
// them at random.
func (c *central) best() *upstream {
	var best *upstream
	first := c.world.random.IntN(len(c.world.fleet))
	for i := range c.world.fleet {
		u := c.world.fleet[(first+i)%len(c.world.fleet)]
		if !u.free() {
			continue
		}
		if best == nil || u.capacity()-u.inHand > best.capacity()-best.inHand {
			best = u
		}
	}
	return best
}

func (c *central) freed(*upstream)  { c.dispatch() }
func (c *central) reported()        {}
func (c *central) joined(*upstream) { c.dispatch() }

func (c *central) event(f *flow, e flowEvent) {
	if e == answered {
		c.dispatch()
	}
}
