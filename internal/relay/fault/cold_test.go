package fault

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/warm"
)

const (
	// coldRate is how many requests per second a cold endpoint can serve, coldPeriod how long
	// it is cold.
	coldRate   = 4
	coldPeriod = 6 * time.Second
)

var coldLimits = warm.Limits{
	Overage: 1.5,
	Slack:   5,
}

// startCold makes an endpoint that has just started cold. Its first report comes with the next
// interval of its reports.
func (s *agent) startCold() {
	s.endpoint.coldUntil = s.deployment.clock.Now().Add(coldPeriod)
}

// recordColdOpening checks that a cold endpoint may take a SYN.
func (s *agent) recordColdOpening() {
	now, e := s.deployment.clock.Now(), s.endpoint
	if !now.Before(e.coldUntil) {
		return
	}
	e.openings = append(e.openings, now)
	count := 0
	for _, at := range e.openings {
		if now.Sub(at) <= time.Second {
			count++
		}
	}
	if float64(count) > coldRate*coldLimits.Overage+coldLimits.Slack {
		s.deployment.recordViolation("a cold endpoint got %d SYNs in a second", count)
	}
}

var _ = Describe("A cold endpoint", func() {
	var d *deployment

	BeforeEach(func() {
		d = newDeployment(rand.New(rand.NewPCG(2, 1)), 0, evacuating)
		d.caller = &caller{
			deployment: d,
		}
		d.openFlows(time.Second)
	})

	// taken returns how many SYNs an endpoint gets in a period of load, of which the four
	// endpoints get 25 a second on average.
	taken := func(s *agent, period time.Duration) int {
		before := len(s.endpoint.flows)
		d.openFlows(period)
		return len(s.endpoint.flows) - before
	}

	It("gets what it can serve, grows to its share when warm, and no caller is refused", func() {
		s := d.agents[1]
		s.kill()
		d.openFlows(restartDelay + 2*time.Second)
		Expect(taken(s, 3*time.Second)).To(And(BeNumerically(">=", 2*coldRate), BeNumerically("<=", 3*coldRate+1)))
		d.openFlows(3 * time.Second)
		Expect(taken(s, 2*time.Second)).To(BeNumerically(">", 25))
		Expect(d.refusals).To(BeEmpty())
		Expect(d.violations).To(BeEmpty())
	})

	// Guards against SYNs beyond the limit that balancers and agents give which know nothing of
	// those before.
	It("gets no more than operators allow while agents and balancers start anew at random", func() {
		for range 60 {
			switch s := d.agents[d.random.IntN(agentCount)]; d.random.IntN(6) {
			case 0:
				s.kill()
			case 1:
				s.restart(restartDelay)
			case 2:
				d.balancers[d.random.IntN(balancerCount)].restart(restartDelay)
			case 3:
				d.dropNext = 5
			}
			d.openFlows(500 * time.Millisecond)
		}
		Expect(d.violations).To(BeEmpty())
	})

	It("does not keep the service from serving when all endpoints are cold", func() {
		for _, s := range d.agents {
			s.kill()
		}
		d.openFlows(3 * time.Second)
		before := 0
		for _, s := range d.agents {
			before += len(s.endpoint.flows)
		}
		d.openFlows(2 * time.Second)
		after := 0
		for _, s := range d.agents {
			after += len(s.endpoint.flows)
		}
		Expect(after - before).To(BeNumerically(">=", 2*agentCount*coldRate-agentCount))
		Expect(d.violations).To(BeEmpty())
	})
})
