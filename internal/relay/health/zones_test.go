package health_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/health"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
)

// zoneShares returns the shares of new flows by failure domain for a balancer in domain 1, given
// the slots in use in domains 1 to 4, which have six slots each. Domain 4 has only suspects.
func zoneShares(used ...uint16) (shares [4]float64) {
	s := health.Service{
		Outliers: true,
		Zone:     1,
	}
	var agents []*roster.Agent
	for i, n := range used {
		pair := newAgents(50, 50)
		for _, a := range pair {
			a.Host += frame.Host(10 * i)
			a.Zone = uint64(i + 1)
			a.InUse = n / 2
			a.Average = n / 2 * roster.LoadUnit
			if a.Zone == 4 {
				a.Refusals = 2
			}
			agents = append(agents, a)
		}
	}
	s.Update(startTime, agents, none)
	random := rand.New(rand.NewPCG(1, 1))
	const flows = 10_000
	for range flows {
		shares[s.PreferredZone(random.Uint64())-1] += 1.0 / flows
	}
	return shares
}

var _ = Describe("Failure domains", func() {
	for _, c := range []struct {
		name string
		used []uint16
		want [4]float64
	}{
		{
			name: "flows stay while slots are free",
			used: []uint16{4, 0, 0, 0},
			want: [4]float64{1, 0, 0, 0},
		},
		{
			name: "flows leave in proportion to what is free elsewhere, not to suspects",
			used: []uint16{6, 4, 2, 0},
			want: [4]float64{0, 0.33, 0.67, 0},
		},
		{
			name: "flows stay if nothing is free elsewhere",
			used: []uint16{6, 6, 6, 0},
			want: [4]float64{1, 0, 0, 0},
		},
	} {
		It(c.name, func() {
			got := zoneShares(c.used...)
			for i := range got {
				Expect(got[i]).To(BeNumerically("~", c.want[i], 0.03))
			}
		})
	}
})
