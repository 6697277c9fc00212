package fault

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/place"
)

const unevenEndpoints = 6

// shareOf returns how many flows an endpoint of a list gets over a period, compared with one of the
// others.
func (d *deployment) shareOf(list []*agent, period time.Duration) float64 {
	before, allBefore := acceptedBy(list), acceptedBy(d.agents)
	d.run(period)
	got := acceptedBy(list) - before
	others := acceptedBy(d.agents) - allBefore - got
	return float64(got) / float64(len(list)) / float64(others) * float64(len(d.agents)-len(list))
}

var _ = Describe("A load on uneven endpoints", func() {
	It("gives an endpoint that is twice as slow about half, until it is fast again", func() {
		d := newLoadedDeployment(place.Features{
			Outliers: true,
		})
		slow := d.agents[:unevenEndpoints]
		for _, s := range slow {
			s.endpoint.work *= 2
		}
		d.load.start(20*time.Second, callsPerSecond)
		d.run(4 * time.Second)
		share := d.shareOf(slow, 3*time.Second)
		for _, s := range slow {
			s.endpoint.work /= 2
		}
		d.run(8 * time.Second)
		again := d.shareOf(slow, 3*time.Second)
		GinkgoWriter.Printf("share %.2f, once fast again %.2f\n", share, again)
		Expect(share).To(And(BeNumerically(">", 0.35), BeNumerically("<", 0.6)))
		Expect(again).To(BeNumerically(">", 0.85))
		Expect(d.load.refused).To(BeZero())
	})

	// Guards against endpoints that fail at once, look idle for that reason and attract flows.
	It("gives an endpoint that resets half of its requests fewer than the others", func() {
		for on, bounds := range map[bool][2]float64{
			false: {1, 2},
			true:  {0.3, 0.9},
		} {
			d := newLoadedDeployment(place.Features{
				Outliers: on,
			})
			failing := d.agents[:unevenEndpoints]
			for _, s := range failing {
				s.endpoint.failShare = 0.5
			}
			d.load.start(7*time.Second, callsPerSecond)
			d.run(4 * time.Second)
			share := d.shareOf(failing, 3*time.Second)
			GinkgoWriter.Printf("outlier detection %t: share %.2f\n", on, share)
			Expect(share).To(And(BeNumerically(">", bounds[0]), BeNumerically("<", bounds[1])))
		}
	})
})
