package plan_test

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

var _ = Describe("a route that splits its flows over services", func() {
	const flows = 40_000

	split := func(weights ...uint32) *plan.Route {
		r := &plan.Route{}
		for i, w := range weights {
			r.Backends = append(r.Backends, plan.Backend{
				Service: spec.ServiceID(i + 1),
				Weight:  w,
			})
		}
		return r
	}
	count := func(r *plan.Route, keep func(i int) bool) (shares map[spec.ServiceID]int, total int) {
		shares = map[spec.ServiceID]int{}
		for i := range flows {
			if !keep(i) {
				continue
			}
			k := link.Key{
				Caller:     uint32(0x64400000 + i/200),
				CallerPort: uint16(1025 + i%200),
				Target:     8,
				TargetPort: 443,
				Protocol:   6,
			}
			shares[r.ChooseService(k.Hash())]++
			total++
		}
		return shares, total
	}

	// The tolerance is four standard deviations of a binomial distribution.
	expectShare := func(got, total int, share float64) {
		expected := share * float64(total)
		Expect(math.Abs(float64(got) - expected)).To(BeNumerically("<=", 4*math.Sqrt(expected*(1-share))))
	}

	It("keeps the shares within random variation, over the fleet and on each balancer", func() {
		for _, weights := range [][]uint32{{1, 1}, {1, 3}, {90, 10}, {1, 1, 1}, {5, 3, 2}} {
			sum := uint32(0)
			for _, w := range weights {
				sum += w
			}
			r := split(weights...)
			for balancer := -1; balancer < 4; balancer++ {
				shares, total := count(r, func(i int) bool { return balancer < 0 || i%4 == balancer })
				for i, w := range weights {
					expectShare(shares[spec.ServiceID(i+1)], total, float64(w)/float64(sum))
				}
			}
		}
	})

	It("gives no flows to a service of weight 0 and all to the other one", func() {
		shares, total := count(split(0, 100), func(int) bool { return true })
		Expect(shares).To(Equal(map[spec.ServiceID]int{
			2: total,
		}))
	})
})
