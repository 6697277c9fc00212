package place_test

import (
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/place"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

var now = time.Unix(0, 0).UTC()

// newAgents returns agents in failure domain 1, all with the same state.
func newAgents(count, slots int) (list []*roster.Agent) {
	for i := range count {
		list = append(list, &roster.Agent{
			LoadReport: frame.LoadReport{
				Host:   frame.Host(i + 1),
				Zone:   1,
				State:  node.Serving,
				Proven: true,
				Slots:  uint16(slots),
			},
			HeardAt: now,
		})
	}
	return list
}

var _ = Describe("Opening", func() {
	It("returns a bounded number of candidates, with cold, unproven and unresponsive endpoints last", func() {
		list := newAgents(30, 3)
		for _, s := range list[:26] {
			s.Average = 64
			switch s.Host % 3 {
			case 0:
				s.Proven = false
			case 1:
				s.Unanswered = 3
			default:
				s.Average = 64 * 3
				s.ColdUntil = now.Add(time.Second)
			}
		}
		got := candidates(now, 7, list)
		Expect(got).To(HaveLen(8))
		Expect(got[:4]).To(ConsistOf(frame.Host(27), frame.Host(28), frame.Host(29), frame.Host(30)))
	})

	// Long flows are not moved, so their load must not gather at a few endpoints.
	// Reports are old: for 250 ms every balancer places flows by the same numbers.
	It("spreads long flows more evenly than random placement", func() {
		const flows, slots, loadPerFlow = 3600, 3, 0.023
		list := newAgents(43, slots)
		loads := map[frame.Host]float64{}
		randomLoads := map[frame.Host]float64{}
		generator := rand.New(rand.NewPCG(1, 1))
		for i := range flows {
			if i%40 == 0 {
				for _, s := range list {
					s.Average = uint16(loads[s.Host] * 64)
				}
			}
			loads[candidates(now, generator.Uint64(), list)[0]] += loadPerFlow
			randomLoads[list[generator.IntN(len(list))].Host] += loadPerFlow
		}
		GinkgoWriter.Printf("deviation %.3f, with random placement %.3f\n", relativeDeviation(loads), relativeDeviation(randomLoads))
		Expect(relativeDeviation(loads)).To(BeNumerically("<", relativeDeviation(randomLoads)))
	})
})

// relativeDeviation returns the standard deviation divided by the mean.
func relativeDeviation(loads map[frame.Host]float64) float64 {
	sum, squares := 0.0, 0.0
	for _, x := range loads {
		sum += x
		squares += x * x
	}
	n := float64(len(loads))
	mean := sum / n
	return math.Sqrt(squares/n-mean*mean) / mean
}

var _ = Describe("Lookup", func() {
	It("returns the same first candidate whatever the balancer knows of loads", func() {
		list := newAgents(20, 3)
		home := place.Home(now, 99, list)
		Expect(place.OwnerCandidates(now, 99, false, list, nil)[0]).To(Equal(home))
		for _, s := range list {
			s.InUse = uint16(s.Host)
		}
		Expect(place.Home(now, 99, list)).To(Equal(home))
		Expect(place.OwnerCandidates(now, 99, false, list, nil)).To(HaveLen(20))
	})

	It("keeps the order of the other endpoints when one is added", func() {
		list := newAgents(20, 3)
		before := place.OwnerCandidates(now, 99, false, list[:19], nil)
		after := place.OwnerCandidates(now, 99, false, list, nil)
		var kept []frame.Host
		for _, h := range after {
			if h != 20 {
				kept = append(kept, h)
			}
		}
		Expect(kept).To(Equal(before))
	})
})

// candidates returns the candidates of a flow that arrives in failure domain 1.
func candidates(now time.Time, hash uint64, agents []*roster.Agent) []frame.Host {
	return place.FlowCandidates(&place.Request{
		Now:    now,
		Hash:   hash,
		Zone:   1,
		Agents: agents,
	})
}
