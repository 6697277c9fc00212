package place_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/clementinewing/clementinewing/internal/relay/evac"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/health"
	"github.com/clementinewing/clementinewing/internal/relay/place"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// drawRequest draws a fleet in three failure domains and a flow to place in it.
func drawRequest(t *rapid.T) *place.Request {
	agents := newAgents(rapid.IntRange(0, 100).Draw(t, "agents"), 3)
	for _, s := range agents {
		s.Zone = rapid.Uint64Range(1, 3).Draw(t, "zone")
		s.InUse = rapid.Uint16Range(0, 5).Draw(t, "in use")
		s.Average = rapid.Uint16Range(0, 4*64).Draw(t, "average")
		s.Proven = rapid.IntRange(0, 5).Draw(t, "proven") > 0
		s.Unanswered = rapid.IntRange(0, 1).Draw(t, "unanswered")
		s.Refusals = rapid.Uint16Range(0, 2).Draw(t, "refusals")
		s.ServiceTimeMS = rapid.Uint16Range(40, 100).Draw(t, "service time")
		s.State = rapid.SampledFrom([]node.State{node.Serving, node.Serving, node.Serving, node.Draining}).Draw(t, "state")
		s.HeardAt = now.Add(-time.Duration(rapid.IntRange(0, 4).Draw(t, "age")) * time.Second)
		if rapid.IntRange(0, 5).Draw(t, "cold") == 0 {
			s.ColdUntil = now.Add(time.Second)
		}
	}
	q := &place.Request{
		Now:      now,
		Hash:     rapid.Uint64().Draw(t, "hash"),
		Zone:     1,
		Agents:   agents,
		Exclude:  []frame.Host{frame.Host(rapid.IntRange(1, 100).Draw(t, "refused"))},
		Probe:    frame.Host(rapid.IntRange(0, 100).Draw(t, "probe")),
		ColdRate: 10,
		Features: place.Features{
			Even:     rapid.Bool().Draw(t, "even"),
			Outliers: rapid.Bool().Draw(t, "outliers"),
		},
	}
	if rapid.Bool().Draw(t, "evacuations") {
		q.Evacuations = &evac.Source{}
		q.Evacuations.Observe(plan.Position{
			Era:      1,
			Revision: 1,
		}, []evac.Zone{evac.Zone(rapid.IntRange(1, 4).Draw(t, "evacuated"))})
	}
	if q.Outliers {
		q.Health = &health.Service{
			Outliers: true,
			Zone:     1,
		}
		q.Health.Update(now, agents, func() int { return 24 })
	}
	return q
}

func hostsOf(list []place.Explained) (hosts []frame.Host) {
	for i := range list {
		hosts = append(hosts, list[i].Host)
	}
	return hosts
}

var _ = Describe("An explanation", func() {
	// Guards against explaining another choice than the one that is made, and against candidate
	// lists that name an endpoint twice.
	It("agrees with the placement and changes nothing", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			q := drawRequest(t)
			before := make([]roster.Agent, 0, len(q.Agents))
			for _, s := range q.Agents {
				before = append(before, *s)
			}
			e := place.Explain(q)
			for i, s := range q.Agents {
				if *s != before[i] {
					t.Fatalf("explaining changed endpoint %s", s.Host)
				}
			}
			want := place.FlowCandidates(q)
			if got := hostsOf(e.Candidates); !slices.Equal(got, want) {
				t.Fatalf("explained %v, placed %v", got, want)
			}
			checkComplete(t, q, &e)
		})
	})
})

// checkComplete checks that each endpoint of the service is accounted for once.
func checkComplete(t *rapid.T, q *place.Request, e *place.Explanation) {
	all := len(e.Candidates)
	for _, n := range e.Counts {
		all += n
	}
	if all != len(q.Agents) {
		t.Fatalf("%d of %d endpoints explained", all, len(q.Agents))
	}
	listed := slices.Concat(e.Candidates, e.Others)
	if len(listed) != min(all, place.MaxExplained) {
		t.Fatalf("%d endpoints listed", len(listed))
	}
	hosts := hostsOf(listed)
	slices.Sort(hosts)
	if len(slices.Compact(slices.Clone(hosts))) != len(hosts) {
		t.Fatalf("endpoints listed twice: %v", hosts)
	}
	for i := range listed {
		x := &listed[i]
		if x.Class != "" && x.Terms.Total() != x.Cost {
			t.Fatalf("terms %+v do not give the cost %g", x.Terms, x.Cost)
		}
		if x.Exclusion == place.ExcludedEvacuated != (x.Agent.AcceptsFlows(now) && q.Evacuations.Evacuated(evac.Zone(x.Agent.Zone))) {
			t.Fatalf("endpoint %s: %q", x.Host, x.Exclusion)
		}
	}
}
