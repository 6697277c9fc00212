package place

import (
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/evac"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// MaxExplained bounds the endpoints in an Explanation.
const MaxExplained = 64

// Exclusion is why an endpoint is not in a candidate list.
type Exclusion string

// Exclusions of endpoints that get no new flow.
const (
	ExcludedState     Exclusion = "not_serving"
	ExcludedSilent    Exclusion = "silent"
	ExcludedEvacuated Exclusion = "evacuated"
	ExcludedRefused   Exclusion = "refused_before"
)

// Exclusions of endpoints that accept new flows and rank behind the candidate list.
const (
	ExcludedSuspect Exclusion = "suspect"
	ExcludedReduced Exclusion = "reduced_share"
	ExcludedCost    Exclusion = "ranked_lower"
)

// exclusion returns why an endpoint gets no new flow, or "".
func (q *Request) exclusion(s *roster.Agent) Exclusion {
	switch {
	case !s.AcceptsFlows(q.Now):
		if s.State == node.Serving {
			return ExcludedSilent
		}
		return ExcludedState
	case q.Evacuations.Evacuated(evac.Zone(s.Zone)):
		return ExcludedEvacuated
	case slices.Contains(q.Exclude, s.Host):
		return ExcludedRefused
	}
	return ""
}

// Explained is an endpoint as a new flow finds it.
type Explained struct {
	Host frame.Host
	// Agent holds what is known of the endpoint.
	Agent *roster.Agent
	// Age is the time since its agent was last heard.
	Age time.Duration
	// Class is probe, normal or suspect, and empty for an endpoint that gets no new flow.
	Class string
	// Share is the part of its usual share of new flows that the endpoint gets.
	Share float64
	// Terms and Cost are zero for an endpoint that gets no new flow.
	Terms Terms
	Cost  float64
	// Exclusion is empty for a candidate.
	Exclusion Exclusion
}

// Explanation tells where a new flow goes, and why.
type Explanation struct {
	// Candidates are those of FlowCandidates, in its order.
	Candidates []Explained
	// Others are endpoints that are not candidates: first those that get no new flow, then the
	// others by rank. Together with Candidates there are at most MaxExplained.
	Others []Explained
	// Counts counts all endpoints that are not candidates.
	Counts map[Exclusion]int
}

// Explain returns the candidates of FlowCandidates with the reasons for their order. Nothing
// changes by it.
func Explain(q *Request) (e Explanation) {
	e.Counts = map[Exclusion]int{}
	ranked := q.rank()
	listed := min(len(ranked), maxFlowCandidates)
	for _, c := range ranked[:listed] {
		e.Candidates = append(e.Candidates, q.explain(c, ""))
	}
	for _, s := range q.Agents {
		if x := q.exclusion(s); x != "" {
			e.addOther(x, func() Explained { return q.describe(s, x) })
		}
	}
	for _, c := range ranked[listed:] {
		x := ExcludedCost
		switch {
		case c.class == classSuspect:
			x = ExcludedSuspect
		case q.share(c.agent) < 1:
			x = ExcludedReduced
		}
		e.addOther(x, func() Explained { return q.explain(c, x) })
	}
	return e
}

func (e *Explanation) addOther(x Exclusion, describe func() Explained) {
	e.Counts[x]++
	if len(e.Candidates)+len(e.Others) < MaxExplained {
		e.Others = append(e.Others, describe())
	}
}

func (q *Request) explain(c scoredAgent, x Exclusion) Explained {
	e := q.describe(c.agent, x)
	e.Class = c.class.String()
	e.Terms = q.terms(c.agent)
	e.Cost = c.cost
	return e
}

func (q *Request) describe(s *roster.Agent, x Exclusion) Explained {
	return Explained{
		Host:      s.Host,
		Agent:     s,
		Age:       q.Now.Sub(s.HeardAt),
		Share:     q.share(s),
		Exclusion: x,
	}
}

// share returns the part of its usual share of new flows that an endpoint gets. It is 1 unless the
// deployment evacuates failure domains.
func (q *Request) share(s *roster.Agent) float64 {
	if q.Evacuations == nil {
		return 1
	}
	return q.shareOf(s)
}

// String returns the name of the class in explanations.
func (c class) String() string {
	switch c {
	case classProbe:
		return "probe"
	case classSuspect:
		return "suspect"
	default:
		return "normal"
	}
}
