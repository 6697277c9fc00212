package admit

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/limit"
)

// Admit counts a flow that was just admitted: one connection and one slot.
func (g *Gate) Take(_ time.Time) {
	g.flows++
	g.activeFlows++
}

// BeginWork counts an idle flow that becomes active. It never rejects the flow,
// because the caller's handshake is complete: such flows may push the count
// above the limit.
func (g *Gate) Busy(_ time.Time) {
	g.activeFlows++
}

// EndWork counts an active flow whose work has been answered.
func (g *Gate) Idle(_ time.Time) {
	g.activeFlows--
}

// Release frees the connection of a flow, and its slot if it holds one.
func (g *Gate) Release(now time.Time, o Outcome) {
	if o.Result == UpstreamRefused || o.Result == UpstreamTimeout {
		g.adaptive.RecordRefusal(now, g.activeFlows)
	}
	g.flows--
	if o.Working {
		g.activeFlows--
	}
}

// RecordAnswer feeds the adaptive limit with the latency of an answer to work
// that was requested at requested.
func (g *Gate) Answered(now, requested time.Time) {
	g.adaptive.RecordAnswer(now, requested)
}

// RecordReport feeds the adaptive limit with the number of slots that the
// upstream reports as usable. A report lowers the limit and never raises it.
func (g *Gate) Reported(now time.Time, slots int) {
	g.adaptive.RecordReport(now, slots)
}

// SetLimits applies the limits of a newly accepted file. Flows above a lowered
// limit continue.
func (g *Gate) SetLimits(l Limits) {
	g.limits = l
	g.adaptive.SetCeiling(l.Slots)
}

// SetPolicy replaces the forwarding policy.
func (g *Gate) SetPolicy(p Policy) {
	g.policy = p
}

// SetRamp starts or ends a cold start.
func (g *Gate) SetRamp(r limit.Ramp) {
	g.ramp = r
}

// Drain stops the admission of new flows. A later call may move the deadline.
func (g *Gate) Drain(_, deadline time.Time) {
	g.draining = true
	g.drainDeadline = deadline
}

// Drained reports whether a drain is complete: no flow is left or its deadline
// has passed.
func (g *Gate) Drained(now time.Time) bool {
	return g.draining && (g.flows == 0 || expired(now, g.drainDeadline))
}

// hardLimit is the limit for new flows that no other endpoint admits. Slots that
// a cold start, latency or a report would keep free are used before a new flow
// is rejected.
func (g *Gate) hardLimit(now time.Time) int {
	return min(g.limits.Slots, g.adaptive.HardLimit(now))
}

// Slots is the limit on active flows at now for new flows that other endpoints
// may admit: the lowest of the accepted file's limit, the cold-start limit and
// the adaptive limit.
func (g *Gate) Slots(now time.Time) int {
	return min(g.limits.Slots, g.ramp.Slots(now, g.limits.Slots), g.adaptive.Slots(now))
}

// ActiveFlows is the number of flows that hold a slot.
func (g *Gate) InHand() int {
	return g.activeFlows
}

// Flows is the number of open flows, active or idle.
func (g *Gate) Flows() int {
	return g.flows
}

// QueueLength is the number of new flows that wait at this endpoint.
func (g *Gate) Waiting() int {
	return len(g.queue)
}

// Counts returns the number of decisions so far, by kind.
func (g *Gate) Counts() Counts {
	return g.counts
}
