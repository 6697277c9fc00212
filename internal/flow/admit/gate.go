// Package admit decides whether an endpoint takes an opening, keeps it waiting,
// hands it on or refuses it. It is pure: no clock and no lock inside.
package admit

import (
	"time"

	"github.com/clementinewing/clementinewing/internal/flow/limit"
)

// Limits are what the accepted file allows one upstream.
type Limits struct {
	// Slots bounds the flows with work in hand.
	Slots int
	// Connections bounds the flows held.
	Connections int
}

// Ask is an opening at one endpoint of its ranked list.
type Ask struct {
	// Position is the endpoint's index in the list, from 0.
	Position int
	// Candidates is the length of the list.
	Candidates int
	// Pass counts the times that the whole list has refused, from 0.
	Pass int
	// Last tells that no other candidate will be asked after this one.
	Last bool
	// Held tells that the opening has been waiting here; see Gate.Ready.
	Held bool
	// Deadline is when the opening must no longer be run; zero means never.
	Deadline time.Time
}

// Next is what becomes of an opening.
type Next uint8

const (
	// Taken means: call Take under the same lock.
	Taken Next = iota + 1
	// HandOn means: ask the next candidate.
	HandOn
	// Hold means: keep the opening here with Wait.
	Hold
	// Refuse means: tell the caller that it was not run.
	Refuse
)

// Answer is the decision on one opening. Take is true exactly if Next is Taken.
type Answer struct {
	Take   bool
	Next   Next
	Reason Reason
	// Until is when a held opening is to be asked for again at the latest.
	Until time.Time
}

// Result is how a flow ended.
type Result uint8

const (
	// Served flows reached the upstream.
	Served Result = iota + 1
	// UpstreamRefused means that the upstream turned the connection away.
	UpstreamRefused
	// UpstreamTimeout means that the upstream did not accept the connection in time.
	UpstreamTimeout
	// Abandoned means that the caller gave up before the upstream was reached.
	Abandoned
)

// Outcome describes a flow as it gives back what it held.
type Outcome struct {
	Result Result
	// Working tells that the flow still holds a slot.
	Working bool
}

// Gate is the admission of one upstream.
type Gate struct {
	limits    Limits
	policy    Policy
	ramp      limit.Ramp
	adaptive  *limit.Adaptive
	budget    *limit.Budget
	busy      int
	flows     int
	line      []Waiter
	draining  bool
	drainedAt time.Time
	counts    Counts
}

// Counts are the answers given since the start.
type Counts struct {
	Answers  [reasonCount]uint64
	HandedOn uint64
	Held     uint64
	Refused  uint64
}

// Of is the number of answers with the given reason.
func (c Counts) Of(r Reason) uint64 {
	return c.Answers[r]
}

// Option sets one property of a Gate.
type Option func(*Gate)

// WithPolicy sets how readily openings are handed on.
func WithPolicy(p Policy) Option {
	return func(g *Gate) { g.policy = p }
}

// WithRamp starts the upstream cold.
func WithRamp(r limit.Ramp) Option {
	return func(g *Gate) { g.ramp = r }
}

// WithBudget bounds the hand-overs.
func WithBudget(b *limit.Budget) Option {
	return func(g *Gate) { g.budget = b }
}

// New makes the admission of one upstream with nothing in hand.
func New(limits Limits, options ...Option) *Gate {
	g := &Gate{
		limits:   limits,
		policy:   Few(),
		adaptive: limit.NewAdaptive(limits.Slots),
		budget:   limit.NewBudget(handOversPerOpening, handOverBurst),
	}
	for _, o := range options {
		o(g)
	}
	return g
}

// Ask decides on an opening. An answer to take reserves nothing: Take has to
// follow before the next Ask.
func (g *Gate) Ask(now time.Time, a Ask) Answer {
	if a.Position == 0 && a.Pass == 0 && !a.Held {
		g.budget.Earn()
	}
	reason := g.judge(now, a)
	answer := g.settle(now, a, reason)
	g.count(answer)
	return answer
}

// judge gives the reason for which this endpoint does not take the opening.
func (g *Gate) judge(now time.Time, a Ask) Reason {
	switch {
	case past(now, a.Deadline):
		return DeadlinePassed
	case g.draining:
		return Draining
	case g.flows >= g.limits.Connections:
		return ConnectionsFull
	}
	used := g.busy
	if !a.Held {
		used += len(g.line)
	}
	slots := g.Slots(now)
	if a.settled() {
		slots = g.hard(now)
	}
	if used >= slots {
		return g.fullReason(now, used)
	}
	if !a.settled() && g.policy.HandsOn(used, slots, a.Position) {
		return Threshold
	}
	return Accepted
}

// settled tells that every other candidate has refused the opening, so that
// only this endpoint's hard limits count.
func (a Ask) settled() bool {
	return a.Held || a.Last || a.Pass > 0 || a.Candidates <= 1
}

// settle turns the reason into what becomes of the opening.
func (g *Gate) settle(now time.Time, a Ask, reason Reason) Answer {
	switch {
	case reason == Accepted:
		return Answer{
			Take:   true,
			Next:   Taken,
			Reason: Accepted,
		}
	case reason == DeadlinePassed:
		return refusal(reason)
	case reason == Draining && a.Candidates > 1 && a.Pass < closedPasses:
		return Answer{
			Next:   HandOn,
			Reason: reason,
		}
	case a.hunts() && g.spend(a):
		return Answer{
			Next:   HandOn,
			Reason: reason,
		}
	case reason == Threshold:
		return Answer{
			Take:   true,
			Next:   Taken,
			Reason: Accepted,
		}
	}
	if a.hunts() {
		reason = g.spent(reason)
	}
	if a.holds(reason) && !a.Deadline.IsZero() && len(g.line) < g.policy.Waiting(g.limits.Slots) {
		return Answer{
			Next:   Hold,
			Reason: reason,
			Until:  earlier(a.Deadline, now.Add(holdAt)),
		}
	}
	return refusal(reason)
}

func (g *Gate) spend(a Ask) bool {
	if a.Held {
		return g.budget.SpendAgain()
	}
	return g.budget.Spend()
}

// spent names the empty budget as the reason where a hand-over was due.
func (g *Gate) spent(reason Reason) Reason {
	if reason == ConnectionsFull {
		return reason
	}
	return RetryBudget
}

func (g *Gate) fullReason(now time.Time, used int) Reason {
	if used >= g.limits.Slots {
		return SlotsFull
	}
	if g.adaptive.Slots(now) < g.ramp.Slots(now, g.limits.Slots) {
		return Shedding
	}
	return ColdStart
}

func (g *Gate) count(a Answer) {
	g.counts.Answers[a.Reason]++
	switch a.Next {
	case HandOn:
		g.counts.HandedOn++
	case Hold:
		g.counts.Held++
	case Refuse:
		g.counts.Refused++
	}
}

// holds tells whether waiting can help: a slot may come free here, or, where
// connections are full, at another candidate.
func (a Ask) holds(r Reason) bool {
	switch r {
	case SlotsFull, ColdStart, Shedding, RetryBudget:
		return true
	case ConnectionsFull:
		return a.Candidates > 1 && a.Pass < closedPasses
	default:
		return false
	}
}

// hunts tells whether the opening goes on if this endpoint has no room: on the
// first pass at once, later and at its end after it was held.
func (a Ask) hunts() bool {
	if a.Held {
		return a.Candidates > 1
	}
	return !a.settled()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func refusal(r Reason) Answer {
	return Answer{
		Next:   Refuse,
		Reason: r,
	}
}

func past(now, deadline time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}
