package admit

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/limit"
)

// Admit counts a flow that was just admitted: one connection and one slot.
func (c *Controller) Admit(_ time.Time) {
	c.flows++
	c.activeFlows++
}

// BeginWork counts an idle flow that becomes active. It never rejects the flow,
// because the caller's handshake is complete: such flows may push the count
// above the limit.
func (c *Controller) BeginWork(_ time.Time) {
	c.activeFlows++
}

// EndWork counts an active flow whose work has been answered.
func (c *Controller) EndWork(_ time.Time) {
	c.activeFlows--
}

// Release frees the connection of a flow, and its slot if it holds one.
func (c *Controller) Release(now time.Time, o Outcome) {
	if o.Result == UpstreamRefused || o.Result == UpstreamTimeout {
		c.adaptive.RecordRefusal(now, c.activeFlows)
	}
	c.flows--
	if o.HoldsSlot {
		c.activeFlows--
	}
}

// RecordAnswer feeds the adaptive limit with the latency of an answer to work
// that was requested at requested.
func (c *Controller) RecordAnswer(now, requested time.Time) {
	c.adaptive.RecordAnswer(now, requested)
}

// RecordReport feeds the adaptive limit with the number of slots that the
// upstream reports as usable. A report lowers the limit and never raises it.
func (c *Controller) RecordReport(now time.Time, slots int) {
	c.adaptive.RecordReport(now, slots)
}

// SetLimits applies the limits of a new configuration file. Flows above a lowered
// limit continue.
func (c *Controller) SetLimits(l Limits) {
	c.limits = l
	c.adaptive.SetCeiling(l.Slots)
}

// SetPolicy replaces the forwarding policy.
func (c *Controller) SetPolicy(p Policy) {
	c.policy = p
}

// SetRamp starts or ends a cold start.
func (c *Controller) SetRamp(r limit.Ramp) {
	c.ramp = r
}

// Drain stops the admission of new flows. A later call may move the deadline.
func (c *Controller) Drain(_, deadline time.Time) {
	c.draining = true
	c.drainDeadline = deadline
}

// Drained reports whether a drain is complete: no flow is left or its deadline
// has passed.
func (c *Controller) Drained(now time.Time) bool {
	return c.draining && (c.flows == 0 || expired(now, c.drainDeadline))
}

// hardLimit is the limit for new flows that no other endpoint admits. Slots that
// a cold start, latency or a report would keep free are used before a new flow
// is rejected.
func (c *Controller) hardLimit(now time.Time) int {
	return min(c.limits.Slots, c.adaptive.HardLimit(now))
}

// Slots is the limit on active flows at now for new flows that other endpoints
// may admit: the lowest of the configured limit, the cold-start limit and the
// adaptive limit.
func (c *Controller) Slots(now time.Time) int {
	return min(c.limits.Slots, c.ramp.Slots(now, c.limits.Slots), c.adaptive.Slots(now))
}

// ActiveFlows is the number of flows that hold a slot.
func (c *Controller) ActiveFlows() int {
	return c.activeFlows
}

// Flows is the number of open flows, active or idle.
func (c *Controller) Flows() int {
	return c.flows
}

// QueueLength is the number of new flows that wait at this endpoint.
func (c *Controller) QueueLength() int {
	return len(c.queue)
}

// Counts returns the number of decisions so far, by kind.
func (c *Controller) Counts() Counts {
	return c.counts
}
