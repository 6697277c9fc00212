package plan_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/soak/plan"
)

func TestPlan(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "plan")
}

var _ = Describe("Draw", func() {
	const span = 25 * time.Second

	It("depends only on its arguments", func() {
		Expect(plan.Draw(7, span, 3, 6)).To(Equal(plan.Draw(7, span, 3, 6)))
		Expect(plan.Draw(7, span, 3, 6)).NotTo(Equal(plan.Draw(8, span, 3, 6)))
	})

	It("draws every kind within the span and the sizes, some at the same offset", func() {
		seen := map[plan.Kind]bool{}
		overlaps := 0
		for seed := range uint64(50) {
			last := time.Duration(-1)
			for _, e := range plan.Draw(seed, span, 3, 6) {
				seen[e.Kind] = true
				Expect(e.Offset).To(And(BeNumerically(">=", last), BeNumerically("<", span)))
				limit := 6
				if e.Kind == plan.StoreRestored {
					limit = 13
				}
				Expect(e.Target).To(BeNumerically("<", limit))
				if e.Offset == last {
					overlaps++
				}
				last = e.Offset
			}
		}
		Expect(seen).To(HaveLen(int(plan.EvacuateZone) + 1))
		Expect(overlaps).To(BeNumerically(">", 0))
	})

	It("draws planned work only if asked to", func() {
		seen := map[plan.Kind]bool{}
		for seed := range uint64(20) {
			for _, e := range plan.DrawPlanned(seed, span, 6) {
				seen[e.Kind] = true
			}
		}
		Expect(seen).To(Equal(map[plan.Kind]bool{
			plan.RollBalancers: true,
			plan.RollAgent:     true,
			plan.LeaveEndpoint: true,
			plan.EvacuateZone:  true,
		}))
	})
})
