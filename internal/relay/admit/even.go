package admit

import (
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
)

// EvenPlacement makes the endpoint take a SYN on the first pass along the candidates only
// with a free slot, and announces its load with each flow. Without it the endpoint takes one
// SYN more than its slots, while others may have free ones.
func EvenPlacement() Option {
	return func(h *Controller) {
		h.evenPlacement = true
	}
}

// hasFirstPassCapacity reports whether the endpoint takes a SYN before all other candidates
// have been asked.
func (h *Controller) hasFirstPassCapacity() bool {
	if h.evenPlacement {
		return h.inUse+len(h.queue) < h.endpoint.health.Limit(int(h.endpoint.slots))
	}
	return h.inUse < h.openingCapacity()
}

// takesAsLast reports whether this endpoint is the last of the candidates and the least
// loaded one. It then takes the SYN at once.
func (h *Controller) takesAsLast(c *frame.Forward, reason Reason) bool {
	if !h.evenPlacement || reason != SlotsFull && reason != FlowsFull {
		return false
	}
	if int(c.Position)+1 < len(c.Candidates) || c.Best != c.Position {
		return false
	}
	c.Flags |= frame.Chosen
	return true
}

// lessLoaded reports whether the endpoint replaces the least loaded candidate so far. Among
// equals the one asked last does: its load is the most recent, and the copies of one list at
// many balancers do not all come back to the first one.
func (h *Controller) lessLoaded(load uint16, c *frame.Forward) bool {
	return c.Best == frame.NoBest || load < c.BestLoad || load == c.BestLoad && h.evenPlacement
}

// load returns the load of the endpoint in 64ths of its slots.
func (h *Controller) load() uint16 {
	return uint16(min((h.inUse+len(h.queue))*roster.LoadUnit/int(h.endpoint.slots), 0xffff))
}

// setLoad adds the endpoint's load to the announcement of a flow.
func (h *Controller) setLoad(o *frame.Owner) {
	if h.evenPlacement {
		o.Load = h.load()
		o.LoadKnown = true
	}
}
