package router_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/clementinewing/clementinewing/internal/fake/script"
	"github.com/clementinewing/clementinewing/internal/relay/evac"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/place"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/relay/router"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// newExplained returns a balancer with a route at port 443 and no agents.
func newExplained(features place.Features) *fixture {
	w := &fixture{
		members:     roster.New(self),
		active:      &plan.Active{},
		evacuations: &evac.Source{},
	}
	w.active.Adopt(newPlan(&script.Line{
		Values: map[string]string{
			"ports": "443",
		},
	}))
	w.router = router.New(self, 1, time.UnixMilli(0).UTC(), w.members, w.active, router.WithFeatures(features), router.WithEvacuations(w.evacuations))
	return w
}

func (w *fixture) evacuate(revision uint64, zones ...evac.Zone) {
	w.evacuations.Observe(plan.Position{
		Era:      1,
		Revision: revision,
	}, zones)
}

func opening(port uint16) router.Packet {
	return router.Packet{
		Packet: link.Packet{
			Key:      explainedKey(port),
			Kind:     link.Opening,
			Sequence: 1000,
			Flags:    flagSyn,
		},
		Raw: []byte("packet"),
	}
}

func explainedKey(port uint16) link.Key {
	return link.Key{
		Caller:     7,
		CallerPort: port,
		Target:     8,
		TargetPort: 443,
		Protocol:   6,
	}
}

// describe returns the explanation in the form of formatActions.
func describe(e *router.Explanation) (text string) {
	switch {
	case e.Dropped:
		return "drop, " + e.Reason.String()
	case e.Refused:
		return "refuse, " + e.Reason.String()
	}
	text = e.Reason.String() + " to"
	for i := range e.Candidates {
		text += fmt.Sprintf(" %d", e.Candidates[i].Host)
	}
	if e.FewServing {
		text += ", few serving"
	}
	return text
}

func drawReports(t *rapid.T, agents int, sequence uint32) (list []frame.LoadReport) {
	for i := range agents {
		list = append(list, frame.LoadReport{
			Host:          frame.Host(i + 1),
			Service:       spec.NewServiceID("rota"),
			Zone:          uint64(i%3 + 1),
			State:         rapid.SampledFrom([]node.State{node.Serving, node.Serving, node.Serving, node.Draining}).Draw(t, "state"),
			Proven:        rapid.IntRange(0, 4).Draw(t, "proven") > 0,
			StartedAt:     5,
			Sequence:      sequence,
			Slots:         3,
			InUse:         rapid.Uint16Range(0, 4).Draw(t, "in use"),
			Average:       rapid.Uint16Range(0, 200).Draw(t, "average"),
			Refusals:      rapid.Uint16Range(0, 2).Draw(t, "refusals"),
			ServiceTimeMS: rapid.Uint16Range(40, 100).Draw(t, "service time"),
		})
	}
	return list
}

var _ = Describe("Explain", func() {
	// Guards against an explanation that tells another choice than the one that is made, and
	// against one that takes the next probe, counts as a SYN or computes capacities early.
	It("tells what happens to the next SYN, and no later one goes elsewhere because of it", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			features := place.Features{
				Even:     rapid.Bool().Draw(t, "even"),
				Outliers: rapid.Bool().Draw(t, "outliers"),
			}
			explained, other := newExplained(features), newExplained(features)
			agents := rapid.IntRange(0, 20).Draw(t, "agents")
			now := time.UnixMilli(0).UTC()
			for i := range uint32(30) {
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "pause")) * time.Millisecond)
				reports := drawReports(t, agents*int((i+1)%5/4), i+1)
				zone := evac.Zone(rapid.IntRange(1, 6).Draw(t, "evacuated"))
				for _, w := range []*fixture{explained, other} {
					for _, r := range reports {
						w.members.ApplyReport(now, r)
					}
					w.evacuate(uint64(i+1), zone)
				}
				p := opening(uint16(i + 1))
				want := ""
				for range 3 {
					e := explained.router.Explain(now, p.Key)
					want = describe(&e)
				}
				got := formatActions(explained.router.Step(now, p))
				if got != want {
					t.Fatalf("explained %q, done %q", want, got)
				}
				if unexplained := formatActions(other.router.Step(now, p)); unexplained != got {
					t.Fatalf("%q after explanations, %q without", got, unexplained)
				}
			}
		})
	})

	It("names suspects, evacuated and silent endpoints, and those that leave", func() {
		w := newExplained(place.Features{})
		now := time.UnixMilli(60_000).UTC()
		for i := range 12 {
			r := frame.LoadReport{
				Host:     frame.Host(i + 1),
				Service:  spec.NewServiceID("rota"),
				Zone:     1,
				State:    node.Serving,
				Proven:   true,
				Sequence: 1,
				Slots:    3,
			}
			heard := now.Add(-100 * time.Millisecond)
			switch i {
			case 0:
				r.Refusals = 2
			case 1:
				r.Zone = 2
			case 2:
				heard = now.Add(-30 * time.Second)
			case 3:
				r.State = node.Draining
			}
			w.members.ApplyReport(heard, r)
		}
		w.evacuate(1, 2)
		e := w.router.Explain(now, explainedKey(1))
		Expect(e.Candidates).To(HaveLen(8))
		Expect(e.Candidates[0].Age).To(Equal(100 * time.Millisecond))
		reasons := map[frame.Host]place.Exclusion{}
		for _, x := range e.Others {
			reasons[x.Host] = x.Exclusion
		}
		Expect(reasons).To(Equal(map[frame.Host]place.Exclusion{
			1: place.ExcludedSuspect,
			2: place.ExcludedEvacuated,
			3: place.ExcludedSilent,
			4: place.ExcludedState,
		}))
	})

	It("names the refusal that would follow", func() {
		w := newExplained(place.Features{})
		now := time.UnixMilli(60_000).UTC()
		reason := func(key link.Key) string {
			e := w.router.Explain(now, key)
			return describe(&e)
		}
		Expect(reason(explainedKey(1))).To(Equal("refuse, no_endpoint"))
		w.members.ApplyReport(now, frame.LoadReport{
			Host:     1,
			Service:  spec.NewServiceID("rota"),
			Zone:     2,
			State:    node.Serving,
			Sequence: 1,
			Slots:    3,
		})
		w.evacuate(1, 2)
		Expect(reason(explainedKey(1))).To(Equal("refuse, evacuated"))
		unrouted := explainedKey(1)
		unrouted.TargetPort = 9
		Expect(reason(unrouted)).To(Equal("refuse, no_route"))
		w.active = &plan.Active{}
		w.router = router.New(self, 1, now, w.members, w.active)
		Expect(reason(explainedKey(1))).To(Equal("drop, no_plan"))
	})
})
