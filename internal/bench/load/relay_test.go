package load

import (
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The relay path", func() {
	trial := func(name string, load float64, d demand, f relayFault) relayFigures {
		policies := relayPolicies()
		return runRelayTrial(relayTrial{
			Load:   load,
			Demand: d,
			Policy: policies[slices.IndexFunc(policies, func(p relayPolicy) bool { return p.name == name })],
			Seed:   1,
			Fault:  f,
		})
	}

	It("gives at most a third of today's SYNs beyond the slots while others are free", func() {
		for _, d := range []demand{steady, moving} {
			today, even := trial(policyToday, goalLoad, d, 0), trial(policyEven, goalLoad, d, 0)
			GinkgoWriter.Printf("%s: today %+v\neven %+v\n", d, today, even)
			Expect(even.Uneven).To(BeNumerically("<=", unevenBound*today.Uneven))
			Expect(even.WaitP99).To(BeNumerically("<=", waitP99Bound*today.WaitP99))
			Expect(even.ReportBytes).To(BeNumerically("<=", today.ReportBytes))
			Expect(even.Refused).To(BeZero())
		}
	})

	// A share of SYNs beyond the slots that grows with the fault shows that placement
	// depends on reports being recent or on agents that remember.
	for name, f := range map[string]relayFault{
		"reports stop":      reportsLost,
		"balancers restart": balancersRestart,
		"agents restart while their endpoints go on": agentsRestart,
	} {
		It("stays even while "+name, func() {
			today, even := trial(policyToday, goalLoad, steady, f), trial(policyEven, goalLoad, steady, f)
			GinkgoWriter.Printf("today %+v\neven %+v\n", today, even)
			Expect(even.Uneven).To(BeNumerically("<=", unevenBound*today.Uneven))
			Expect(even.WaitP99).To(BeNumerically("<=", waitP99Bound*today.WaitP99))
			Expect(even.Refused).To(BeZero())
		})
	}

	It("chooses at random within the failure domain once reports have stopped", func() {
		p := relayPolicies()[slices.IndexFunc(relayPolicies(), func(p relayPolicy) bool { return p.name == policyEven })]
		s := newRelaySim(relayTrial{
			Load:   goalLoad,
			Demand: steady,
			Policy: p,
			Seed:   1,
		})
		s.startCalls()
		s.clock.Run(s.meter.startAt)
		s.reportsFrom = s.meter.startAt.Add(relayMeasure)
		s.clock.Run(s.meter.startAt.Add(relayFaultTime / 2))
		clear(s.meter.busy)
		s.clock.Run(s.meter.startAt.Add(relayFaultTime))
		Expect(s.meter.busy).To(HaveLen(relayAgents))
		Expect(maxOverMean(slices.Collect(maps.Values(s.meter.busy)))).To(BeNumerically("<", 1.5))
	})
})
