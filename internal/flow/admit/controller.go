// Package admit decides whether an endpoint admits a new flow, queues it,
// forwards it to the next candidate or rejects it. The package is pure: it reads
// no clock and takes no lock.
package admit

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/limit"
)

// Limits are the limits that the configuration file in force sets for one upstream.
type Limits struct {
	// Slots limits the number of active flows.
	Slots int
	// Connections limits the number of open flows.
	Connections int
}

// Request is a new flow offered to one endpoint of its candidate list.
type Request struct {
	// Position is the number of candidates that have rejected the flow in this round.
	Position int
	// Candidates is the length of the candidate list.
	Candidates int
	// Round is the number of times that the whole list has rejected the flow, from 0.
	Round int
	// Last reports that no other candidate is asked after this one.
	Last bool
	// Queued reports that the flow was queued here; see Controller.DequeueReady.
	Queued bool
	// Deadline is the time from which the flow must no longer be admitted; the zero
	// time means no deadline.
	Deadline time.Time
}

// Action is what happens to a new flow.
type Action uint8

const (
	// Admit means that the flow is admitted with Controller.Admit, under the same lock
	// as Decide.
	Admit Action = iota + 1
	// Forward means that the next candidate is asked.
	Forward
	// Queue means that the flow is queued here with Controller.Enqueue.
	Queue
	// Reject means that the caller is told that its request was not run.
	Reject
)

// Decision is the decision on one new flow. Admitted is true if and only if
// Action is Admit.
type Decision struct {
	Admitted bool
	Action   Action
	Reason   Reason
	// Until is the time by which a queued flow must be decided on again.
	Until time.Time
}

// Result is how a flow ended.
type Result uint8

const (
	// Served means that the flow reached the upstream.
	Served Result = iota + 1
	// UpstreamRefused means that the upstream refused the connection.
	UpstreamRefused
	// UpstreamTimeout means that the upstream did not accept the connection in time.
	UpstreamTimeout
	// Abandoned means that the caller gave up before the upstream was reached.
	Abandoned
)

// Outcome describes a flow at its end.
type Outcome struct {
	Result Result
	// HoldsSlot reports that the flow still holds a slot.
	HoldsSlot bool
}

// Controller is the admission controller of one upstream.
type Controller struct {
	limits        Limits
	policy        Policy
	ramp          limit.Ramp
	adaptive      *limit.Adaptive
	budget        *limit.Budget
	activeFlows   int
	flows         int
	queue         []Waiter
	draining      bool
	drainDeadline time.Time
	counts        Counts
}

// Counts are the decisions made since the start.
type Counts struct {
	Decisions [reasonCount]uint64
	Forwarded uint64
	Queued    uint64
	Rejected  uint64
}

// Of returns the number of decisions with the given reason.
func (c Counts) Of(r Reason) uint64 {
	return c.Decisions[r]
}

// Option configures a Controller.
type Option func(*Controller)

// WithPolicy sets the forwarding policy.
func WithPolicy(p Policy) Option {
	return func(c *Controller) { c.policy = p }
}

// WithRamp sets the cold-start ramp of the upstream.
func WithRamp(r limit.Ramp) Option {
	return func(c *Controller) { c.ramp = r }
}

// WithBudget sets the retry budget, which limits forwards.
func WithBudget(b *limit.Budget) Option {
	return func(c *Controller) { c.budget = b }
}

// New returns the admission controller of one upstream without flows.
func New(limits Limits, options ...Option) *Controller {
	c := &Controller{
		limits:   limits,
		policy:   ForwardWhenFull(),
		adaptive: limit.NewAdaptive(limits.Slots),
		budget:   limit.NewBudget(forwardsPerNewFlow, forwardBurst),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Decide decides on a new flow. A decision to admit reserves nothing: Admit must
// be called before the next Decide.
func (c *Controller) Decide(now time.Time, a Request) Decision {
	if a.Position == 0 && a.Round == 0 && !a.Queued {
		c.budget.AddTokens()
	}
	reason := c.checkLimits(now, a)
	decision := c.chooseAction(now, a, reason)
	c.countDecision(decision)
	return decision
}

// checkLimits returns the reason why this endpoint can't admit the flow, or
// Accepted.
func (c *Controller) checkLimits(now time.Time, a Request) Reason {
	switch {
	case expired(now, a.Deadline):
		return DeadlinePassed
	case c.draining:
		return Draining
	case c.flows >= c.limits.Connections:
		return ConnectionsFull
	}
	used := c.activeFlows
	if !a.Queued {
		used += len(c.queue)
	}
	slots := c.Slots(now)
	if a.rejectedByOthers() {
		slots = c.hardLimit(now)
	}
	if used >= slots {
		return c.fullReason(now, used)
	}
	if !a.rejectedByOthers() && c.policy.ForwardsEarly(used, slots, a.Position) {
		return Threshold
	}
	return Accepted
}

// rejectedByOthers reports whether every other candidate has rejected the flow,
// so that only the hard limits of this endpoint apply.
func (a Request) rejectedByOthers() bool {
	return a.Queued || a.Last || a.Round > 0 || a.Candidates <= 1
}

// chooseAction turns the result of checkLimits into a decision.
func (c *Controller) chooseAction(now time.Time, a Request, reason Reason) Decision {
	switch {
	case reason == Accepted:
		return Decision{
			Admitted: true,
			Action:   Admit,
			Reason:   Accepted,
		}
	case reason == DeadlinePassed:
		return rejection(reason)
	case reason == Draining && a.Candidates > 1 && a.Round < maxRounds:
		return Decision{
			Action: Forward,
			Reason: reason,
		}
	case a.mayForward() && c.spendToken(a):
		return Decision{
			Action: Forward,
			Reason: reason,
		}
	case reason == Threshold:
		// A slot is free, and the retry budget has no token to forward the flow.
		return Decision{
			Admitted: true,
			Action:   Admit,
			Reason:   Accepted,
		}
	}
	if a.mayForward() {
		reason = c.emptyBudgetReason(reason)
	}
	if a.mayQueue(reason) && !a.Deadline.IsZero() && len(c.queue) < c.policy.MaxWaiters(c.limits.Slots) {
		return Decision{
			Action: Queue,
			Reason: reason,
			Until:  earlier(a.Deadline, now.Add(candidateWaitTimeout)),
		}
	}
	return rejection(reason)
}

func (c *Controller) spendToken(a Request) bool {
	if a.Queued {
		return c.budget.SpendAfterWait()
	}
	return c.budget.Spend()
}

// emptyBudgetReason returns the reason for a flow that would be forwarded if the
// retry budget had a token.
func (c *Controller) emptyBudgetReason(reason Reason) Reason {
	if reason == ConnectionsFull {
		return reason
	}
	return RetryBudget
}

func (c *Controller) fullReason(now time.Time, used int) Reason {
	if used >= c.limits.Slots {
		return SlotsFull
	}
	if c.adaptive.Slots(now) < c.ramp.Slots(now, c.limits.Slots) {
		return Shedding
	}
	return ColdStart
}

func (c *Controller) countDecision(d Decision) {
	c.counts.Decisions[d.Reason]++
	switch d.Action {
	case Forward:
		c.counts.Forwarded++
	case Queue:
		c.counts.Queued++
	case Reject:
		c.counts.Rejected++
	}
}

// mayQueue reports whether waiting can help: a slot may become free here, or at
// another candidate if the connections of this endpoint are full.
func (a Request) mayQueue(r Reason) bool {
	switch r {
	case SlotsFull, ColdStart, Shedding, RetryBudget:
		return true
	case ConnectionsFull:
		return a.Candidates > 1 && a.Round < maxRounds
	default:
		return false
	}
}

// mayForward reports whether a flow that this endpoint can't admit may go to
// another candidate. In the first round it goes there at once, unless this is the
// last candidate; otherwise it is queued here first.
func (a Request) mayForward() bool {
	if a.Queued {
		return a.Candidates > 1
	}
	return !a.rejectedByOthers()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func rejection(r Reason) Decision {
	return Decision{
		Action: Reject,
		Reason: r,
	}
}

// expired reports whether a deadline has passed. A zero deadline never passes.
func expired(now, deadline time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}
