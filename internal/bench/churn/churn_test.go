package churn

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/bench/report"
)

func TestBroken(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "broken")
}

var _ = Describe("A small deployment", func() {
	small := deployment{
		name:              "small",
		delay:             time.Millisecond,
		endpoints:         [2]int{3, 2},
		slots:             3,
		balancers:         2,
		longFlows:         6,
		shortFlowInterval: 100 * time.Millisecond,
	}
	met := func(rows []report.Row) {
		Expect(rows).NotTo(BeEmpty())
		for _, row := range rows {
			Expect(row.Met()).To(BeTrue(), "%+v", row)
		}
	}

	It("breaks no flow by planned changes", func() { met(small.brokenRows("planned", 2, false)) })
	It("loses only flows of upstreams that die", func() { met(small.brokenRows("deaths", 2, true)) })
	It("sends no new flows to a draining upstream", func() { met(small.drainRows(2)) })
	It("counts forwards", func() {
		Expect(small.runForwards(1, false).forwardsPerPacket()).To(BeNumerically("<", small.runForwards(1, true).forwardsPerPacket()))
	})
})
