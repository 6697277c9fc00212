package admit

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/limit"
)

// Take counts a flow that was just admitted: one connection and one slot.
func (g *Gate) Take(_ time.Time) {
	g.flows++
	g.busy++
}

// Busy counts a held flow that begins work. It is never refused, since the
// caller's handshake is done: the count may pass the limit by such flows.
func (g *Gate) Busy(_ time.Time) {
	g.busy++
}

// Idle counts a held flow whose work has been answered.
func (g *Gate) Idle(_ time.Time) {
	g.busy--
}

// Release gives back the connection of a flow, and its slot if it holds one.
func (g *Gate) Release(now time.Time, o Outcome) {
	if o.Result == UpstreamRefused || o.Result == UpstreamTimeout {
		g.adaptive.Refused(now, g.busy)
	}
	g.flows--
	if o.Working {
		g.busy--
	}
}

// Answered feeds the adaptive limit with an answer to work asked for at asked.
func (g *Gate) Answered(now, asked time.Time) {
	g.adaptive.Answered(now, asked)
}

// Reported feeds the adaptive limit with the slots that the upstream says it
// can use; it lowers the limit and never raises it.
func (g *Gate) Reported(now time.Time, slots int) {
	g.adaptive.Reported(now, slots)
}

// SetLimits puts the limits of a newly accepted file in force. Flows above a
// lowered limit go on.
func (g *Gate) SetLimits(l Limits) {
	g.limits = l
	g.adaptive.SetCeiling(l.Slots)
}

// SetPolicy puts another willingness to hand on in force.
func (g *Gate) SetPolicy(p Policy) {
	g.policy = p
}

// SetRamp starts or ends a cold start.
func (g *Gate) SetRamp(r limit.Ramp) {
	g.ramp = r
}

// Drain takes no opening from now on. A later call may move the deadline.
func (g *Gate) Drain(_, deadline time.Time) {
	g.draining = true
	g.drainedAt = deadline
}

// Drained tells whether a drain is over: no flow is left or its deadline has
// passed.
func (g *Gate) Drained(now time.Time) bool {
	return g.draining && (g.flows == 0 || past(now, g.drainedAt))
}

// hard is the limit for openings that no other endpoint takes: a slot that a
// cold start, latency or a report would keep free is used before an opening is
// refused.
func (g *Gate) hard(now time.Time) int {
	return min(g.limits.Slots, g.adaptive.Hard(now))
}

// Slots is the limit on work in hand at now for openings that others may take:
// the least of the accepted file's, the cold start's and the adaptive limit.
func (g *Gate) Slots(now time.Time) int {
	return min(g.limits.Slots, g.ramp.Slots(now, g.limits.Slots), g.adaptive.Slots(now))
}

// InHand is the number of flows with work in hand.
func (g *Gate) InHand() int {
	return g.busy
}

// Flows is the number of flows held.
func (g *Gate) Flows() int {
	return g.flows
}

// Waiting is the number of openings that wait here.
func (g *Gate) Waiting() int {
	return len(g.line)
}

// Counts gives the answers so far.
func (g *Gate) Counts() Counts {
	return g.counts
}
