package router

import (
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// LookupOutcome says how a parallel lookup of a flow's owner ended.
type LookupOutcome uint8

// Values of LookupOutcome.
const (
	// LookupFoundByHome: the home of the flow knew the owner.
	LookupFoundByHome LookupOutcome = iota
	// LookupFound: an agent answered that its endpoint owns the flow.
	LookupFound
	// LookupEnded: the owner's agent answered that the flow has ended.
	LookupEnded
	// LookupDenied: every agent that could be asked has denied the flow.
	LookupDenied
	// LookupUnanswered: an agent has not answered, or its endpoint has not.
	LookupUnanswered

	// OutcomeCount is the number of outcomes.
	OutcomeCount
)

var outcomeNames = [OutcomeCount]string{
	LookupFoundByHome: "found_by_home",
	LookupFound:       "found",
	LookupEnded:       "ended",
	LookupDenied:      "denied",
	LookupUnanswered:  "unanswered",
}

// String returns the name of the outcome in metrics.
func (o LookupOutcome) String() string {
	if o < OutcomeCount {
		return outcomeNames[o]
	}
	return "unknown"
}

// LookupSettled reports that a parallel lookup has ended. It may be repeated.
type LookupSettled struct {
	Key     link.Key
	Outcome LookupOutcome
	// Repeats is how often agents were asked again.
	Repeats int
	// Missing is an agent that has not denied the flow, if the outcome is LookupUnanswered.
	Missing frame.Host
}

func (LookupSettled) action() {}

// Lookups counts the lookups of flow owners in progress.
type Lookups struct {
	// Unsent are those whose questions wait for the next round or for the byte budget.
	Unsent int `json:"unsent"`
	// Undecided are those whose packets wait for the byte budget or for agents that have as
	// many packets as they may have.
	Undecided int `json:"undecided"`
	// Unsettled are those that will be repeated.
	Unsettled int `json:"unsettled"`
}

// addSettled reports the end of a lookup.
func (g *Router) addSettled(q *query, o LookupOutcome, missing []frame.Host) {
	a := LookupSettled{
		Key:     q.key,
		Outcome: o,
		Repeats: q.rounds,
	}
	if len(missing) > 0 {
		a.Missing = missing[0]
	}
	g.addAction(a)
}

// Lookups returns the numbers of lookups in progress.
func (g *Router) Lookups() Lookups {
	return Lookups{
		Unsent:    g.asker.Waiting(),
		Undecided: g.undecidedCount,
		Unsettled: len(g.retries),
	}
}
