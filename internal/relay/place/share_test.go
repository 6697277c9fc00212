package place_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/evac"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/place"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
)

// A failure domain with 12 of 50 endpoints, in which nothing is in use while the other endpoints
// are loaded.
var _ = Describe("A failure domain that comes back", func() {
	const endpoints, returning, flows = 50, 12, 4000
	var (
		now    time.Time
		agents []*roster.Agent
		source *evac.Source
	)
	observe := func(revision uint64, zones ...evac.Zone) {
		source.Run(now)
		source.Observe(plan.Position{
			Era:      1,
			Revision: revision,
		}, zones)
	}
	// firstShare returns the share of flows that go to the failure domain first. With its own
	// balancer the failure domain is the preferred one.
	firstShare := func(coldRate float64) float64 {
		first := 0
		for i := range uint64(flows) {
			list := place.FlowCandidates(&place.Request{
				Now:         now,
				Hash:        (i + 1) * 0x9e3779b97f4a7c15,
				Zone:        2,
				Agents:      agents,
				Evacuations: source,
				ColdRate:    coldRate,
			})
			Expect(list).To(ContainElement(BeNumerically("<=", returning)), "one of them is a candidate")
			Expect(list).To(ContainElement(BeNumerically(">", returning)), "one of the others is a candidate")
			if list[0] <= returning {
				first++
			}
		}
		return float64(first) / flows
	}

	BeforeEach(func() {
		now = time.UnixMilli(1000)
		agents = newAgents(endpoints, 3)
		source = &evac.Source{}
		for i, s := range agents {
			s.Host = frame.Host(i + 1)
			s.Zone = 1
			s.InUse = 2
			s.Average = 2 * 64
			s.HeardAt = now.Add(10 * time.Second)
			if i < returning {
				s.Zone = 2
				s.InUse = 0
				s.Average = 0
			}
		}
	})

	// Guards against all balancers sending all new flows to endpoints that cannot serve them.
	It("gets flows in proportion to what its cold endpoints can serve", func() {
		observe(1)
		for _, s := range agents[:returning] {
			s.ColdUntil = now.Add(time.Minute)
		}
		// 10 requests a second of 60 ms keep a fifth of three slots busy.
		Expect(firstShare(10)).To(BeNumerically("~", 12*0.2/(12*0.2+38), 0.015))
	})

	It("gets no flow while it is evacuated, and a share that grows for two seconds afterwards", func() {
		observe(1, 2)
		list := place.FlowCandidates(&place.Request{
			Now:         now,
			Hash:        1,
			Zone:        2,
			Agents:      agents,
			Evacuations: source,
		})
		Expect(list).NotTo(ContainElement(BeNumerically("<=", returning)))
		observe(2)
		Expect(firstShare(0)).To(BeNumerically("<", 0.05))
		now = now.Add(time.Second)
		Expect(firstShare(0)).To(BeNumerically("~", 12*0.55/(12*0.55+38), 0.02))
		now = now.Add(999 * time.Millisecond)
		Expect(firstShare(0)).To(BeNumerically("~", 0.24, 0.02))
	})
})
