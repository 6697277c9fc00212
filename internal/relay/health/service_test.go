package health_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/health"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// newAgents returns agents whose endpoints have the given service times in milliseconds.
func newAgents(times ...uint16) (list []*roster.Agent) {
	for i, ms := range times {
		list = append(list, &roster.Agent{
			LoadReport: frame.LoadReport{
				Host:          frame.Host(i + 1),
				State:         node.Serving,
				Proven:        true,
				Slots:         3,
				ServiceTimeMS: ms,
			},
			HeardAt: startTime,
		})
	}
	return list
}

func none() int { return 0 }

var _ = Describe("Service", func() {
	It("knows the capacity of outliers by their service time", func() {
		s := health.Service{
			Outliers: true,
		}
		s.Update(startTime, newAgents(50, 60, 50, 100, 4000, 0, 50), none)
		for h, want := range map[frame.Host]float64{
			1: 1,
			2: 1,
			4: 0.5,
			5: 0.125,
			6: 1,
			9: 1,
		} {
			Expect(s.Capacity(h)).To(Equal(want))
		}
		off := health.Service{}
		off.Update(startTime, newAgents(50, 50, 50, 100), none)
		Expect(off.Capacity(4)).To(Equal(1.0))
	})

	// Guards against a measurement that takes most endpoints out of use.
	It("leaves at least half of the endpoints in normal use", func() {
		agents := newAgents(50, 50, 50, 100, 100, 0)
		s := health.Service{
			Outliers: true,
		}
		s.Update(startTime, agents, none)
		Expect(s.Capacity(4)).To(BeNumerically("~", 0.5))
		agents[0].Refusals = 2
		agents[5].Refusals = 2
		s = health.Service{
			Outliers: true,
		}
		s.Update(startTime, agents, none)
		Expect(s.Capacity(4)).To(Equal(1.0))
	})

	It("lets the capacity of a suspect that is back rise step by step", func() {
		agents := newAgents(50, 50, 50, 50)
		agents[0].Refusals = 2
		s := health.Service{
			Outliers: true,
		}
		s.Update(startTime, agents, none)
		agents[0].Refusals = 0
		last := 0.0
		for _, after := range []time.Duration{100, 300, 600, 800} {
			s.Update(startTime.Add(after*time.Millisecond), agents, none)
			Expect(s.Capacity(1)).To(BeNumerically(">", last))
			last = s.Capacity(1)
		}
		Expect(last).To(BeNumerically("<", 1))
		s.Update(startTime.Add(1300*time.Millisecond), agents, none)
		s.Update(startTime.Add(1600*time.Millisecond), agents, none)
		Expect(s.Capacity(1)).To(Equal(1.0))
	})

	It("offers a SYN to each suspect about four times a second over all balancers", func() {
		agents := newAgents(50, 50, 50, 50)
		agents[0].Refusals = 2
		agents[1].Proven = false
		probes := map[frame.Host]int{}
		random := rand.New(rand.NewPCG(1, 1))
		for range 25 {
			s := health.Service{}
			for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
				for _, a := range agents {
					a.HeardAt = startTime.Add(at)
				}
				s.Update(startTime.Add(at), agents, func() int { return 24 })
				probes[s.Probe(startTime.Add(at), random.Uint64())]++
			}
		}
		for _, h := range []frame.Host{1, 2} {
			Expect(probes[h]).To(And(BeNumerically(">", 25), BeNumerically("<", 55)))
		}
		Expect(probes).To(HaveLen(3))
	})
})

var _ = Describe("Times", func() {
	// Guards against taking an endpoint for slow because it got some of the long requests.
	It("differ little between endpoints that are alike", func() {
		random := rand.New(rand.NewPCG(1, 1))
		var list []uint16
		for range 50 {
			t := health.Times{}
			Expect(t.Milliseconds()).To(BeZero())
			for range 500 {
				took := time.Duration(50+random.IntN(20)) * time.Millisecond
				if random.IntN(100) < 3 {
					took *= 7
				}
				t.Answered(took)
			}
			list = append(list, t.Milliseconds())
		}
		s := health.Service{
			Outliers: true,
		}
		agents := newAgents(list...)
		s.Update(startTime, agents, none)
		outliers := 0
		for _, a := range agents {
			if s.Capacity(a.Host) < 1 {
				outliers++
			}
		}
		Expect(outliers).To(BeNumerically("<=", 2))
	})

	It("rise with the share of requests that fail", func() {
		t := health.Times{}
		for range 100 {
			t.Answered(50 * time.Millisecond)
			t.Failed()
		}
		Expect(t.Milliseconds()).To(BeNumerically("~", 200, 10))
	})
})
