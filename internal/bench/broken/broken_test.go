package broken

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
		name:      "small",
		delay:     time.Millisecond,
		endpoints: [2]int{3, 2},
		slots:     3,
		balancers: 2,
		long:      6,
		every:     100 * time.Millisecond,
	}
	met := func(rows []report.Row) {
		Expect(rows).NotTo(BeEmpty())
		for _, row := range rows {
			Expect(row.Met()).To(BeTrue(), "%+v", row)
		}
	}

	It("breaks no flow by planned change", func() { met(small.broken("planned", 2, false)) })
	It("loses only flows of upstreams that die", func() { met(small.broken("deaths", 2, true)) })
	It("leaves an upstream that drains alone", func() { met(small.drain(2)) })
	It("counts hand-overs", func() {
		Expect(small.hops(1, false).perPacket()).To(BeNumerically("<", small.hops(1, true).perPacket()))
	})
})
