package fault

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/place"
)

// Four failure domains, the slots of each of which serve 1,500 flows per second. All callers come
// through one of them.
const loadedZones = 4

// localShare returns the share of flows that stay in the failure domain of the callers, and the
// smallest and largest number of flows in another one.
func localShare(features place.Features, rate float64) (share float64, least, most int, l *load) {
	d := newLoadedDeployment(features)
	d.zones = loadedZones
	for _, b := range d.balancers {
		b.start()
	}
	d.run(time.Second)
	d.load.entryZone = 1
	d.load.start(6*time.Second, rate)
	d.run(3 * time.Second)
	before := d.acceptedByZone()
	d.run(3 * time.Second)
	after := d.acceptedByZone()
	sum := 0
	for i := range after {
		after[i] -= before[i]
		sum += after[i]
	}
	least, most = after[1], after[1]
	for _, n := range after[2:] {
		least, most = min(least, n), max(most, n)
	}
	share = float64(after[0]) / float64(sum)
	GinkgoWriter.Printf("%.0f flows per second: %.2f stay, %d to %d in another domain, slow %d\n", rate, share, least, most, d.load.slow)
	return share, least, most, d.load
}

func (d *deployment) acceptedByZone() (n [loadedZones]int) {
	for _, s := range d.agents {
		n[d.zoneOf(s.host-1)-1] += s.endpoint.accepted
	}
	return n
}

var _ = Describe("A load on one failure domain", func() {
	It("stays there while it has free slots", func() {
		share, _, _, l := localShare(place.Features{
			Outliers: true,
		}, 700)
		Expect(share).To(BeNumerically(">", 0.97))
		Expect(l.refused).To(BeZero())
		without, _, _, _ := localShare(place.Features{}, 700)
		Expect(without).To(BeNumerically("<", 0.9))
	})

	It("spills over evenly once it has not, without making callers wait", func() {
		share, least, most, l := localShare(place.Features{
			Outliers: true,
		}, callsPerSecond)
		Expect(share).To(And(BeNumerically(">", 0.35), BeNumerically("<", 0.56)))
		Expect(float64(least)).To(BeNumerically(">", 0.8*float64(most)))
		Expect(l.refused).To(BeZero())
		Expect(l.slow).To(BeZero())
	})
})
