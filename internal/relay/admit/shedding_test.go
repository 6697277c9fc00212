package admit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/admit"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// Two routes share a service of 50 endpoints. Their usual load is 0.43 of the slots.
const (
	sharedEndpoints = 50
	sharedSlots     = 3
	sharedDeadline  = 4 * time.Second

	urgentPerSecond = 487.0
	urgentWork      = 52 * time.Millisecond
	urgentTarget    = 400 * time.Millisecond
	urgentWorth     = 2.0

	normalPerSecond = 984.0
	normalWork      = 40 * time.Millisecond
	normalTarget    = 300 * time.Millisecond
	normalWorth     = 1.0

	sharedUsualLoad = (urgentPerSecond*52 + normalPerSecond*40) / 1000 / (sharedEndpoints * sharedSlots)
)

// scenario is a load of the shared service over time.
type scenario struct {
	period time.Duration
	// load returns the work that arrives, as a multiple of all slots.
	load func(at time.Duration) float64
	// From lossAt to returnAt the last lost endpoints take no new flows; 0 means no loss.
	lost             int
	lossAt, returnAt time.Duration
	// slow endpoints, the first ones, take slowdown times as long from slowAt on.
	slow     int
	slowdown float64
	slowAt   time.Duration
	// restarted agents, the first ones, lose their queue and flows at restartAt.
	restarted int
	restartAt time.Duration
}

func steady(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// arrival is a request that is due.
type arrival struct {
	at     time.Duration
	urgent bool
	work   time.Duration
}

// arrivals draws the requests of a scenario.
func (x *scenario) arrivals() (list []arrival) {
	r := rand.New(rand.NewPCG(3, 4))
	const usualPerSecond = urgentPerSecond + normalPerSecond
	for at := time.Duration(0); at < x.period; {
		at += exponential(r, usualPerSecond*x.load(at)/sharedUsualLoad)
		a := arrival{
			at:     at,
			urgent: r.Float64() < urgentPerSecond/usualPerSecond,
			work:   normalWork,
		}
		if a.urgent {
			a.work = urgentWork
		}
		a.work = time.Duration(float64(a.work) * (0.5 + r.Float64()))
		list = append(list, a)
	}
	return list
}

// shareResult is the result of both routes.
type shareResult struct {
	urgent, normal outcome
	// told are the times from a SYN to its refusal, sorted.
	told []time.Duration
	// refusedBesideFree counts refusals while another endpoint had a free slot from the start of
	// the attempt on, waitedInVain the attempts that ended without an answer.
	refusedBesideFree, waitedInVain int
}

// goodput is the worth of the requests in time.
func (r *shareResult) goodput() float64 {
	return urgentWorth*float64(r.urgent.onTarget) + normalWorth*float64(r.normal.onTarget)
}

func (r *shareResult) urgentShare() float64 {
	return float64(r.urgent.onTarget) / float64(r.urgent.onTarget+r.urgent.late+r.urgent.failed)
}

func (r *shareResult) toldWithin(share float64) time.Duration {
	if len(r.told) == 0 {
		return 0
	}
	return r.told[min(int(share*float64(len(r.told))), len(r.told)-1)]
}

// play runs a scenario against the controllers.
func play(x scenario, options ...admit.Option) (result shareResult) {
	w := newLoadSimulation(load{
		endpoints: sharedEndpoints,
		slots:     sharedSlots,
		queue:     12,
	}, sharedSlots, options...)
	w.warmAt = w.clock.Now()
	urgent := &callKind{
		priority:      1,
		latencyTarget: urgentTarget,
		timeout:       sharedDeadline,
		closes:        true,
	}
	normal := &callKind{
		priority:      2,
		latencyTarget: normalTarget,
		timeout:       sharedDeadline,
		closes:        true,
	}
	w.observer = func(_ uint32, c *simulatedCall) {
		result.told = append(result.told, w.clock.Now().Add(2*hopDelay).Sub(c.startedAt))
		if slices.ContainsFunc(w.agents, func(s *simulatedAgent) bool { return !s.away && s.freeThroughout(c) }) {
			result.refusedBesideFree++
		}
	}
	w.timedOut = func() { result.waitedInVain++ }
	for _, a := range x.arrivals() {
		w.clock.After(a.at, func() {
			c := &simulatedCall{
				dueAt: w.clock.Now(),
				kind:  normal,
				work:  a.work,
			}
			if a.urgent {
				c.kind = urgent
			}
			w.attempt(c)
		})
	}
	for i, s := range w.agents {
		w.clock.After(time.Duration(i)*loadReportInterval/sharedEndpoints, s.sendLoadReports)
	}
	x.schedule(w, options)
	w.clock.Run(w.clock.Now().Add(x.period + 2*sharedDeadline))
	result.urgent = urgent.outcome
	result.normal = normal.outcome
	slices.Sort(result.told)
	return result
}

// balancerDelay is how long balancers take to learn that an endpoint drains or serves.
const balancerDelay = 50 * time.Millisecond

// schedule schedules what happens to the endpoints of a scenario.
func (x *scenario) schedule(w *loadSimulation, options []admit.Option) {
	for _, s := range w.agents[len(w.agents)-x.lost:] {
		w.clock.After(x.lossAt, func() { s.report(2, true) })
		w.clock.After(x.lossAt+balancerDelay, func() { s.away = true })
		w.clock.After(x.returnAt, func() { s.report(3, false) })
		w.clock.After(x.returnAt+balancerDelay, func() { s.away = false })
	}
	for _, s := range w.agents[:x.slow] {
		w.clock.After(x.slowAt, func() { s.slowdown = x.slowdown })
	}
	for _, s := range w.agents[:x.restarted] {
		w.clock.After(x.restartAt, func() {
			s.controller = admit.New(s.host, service, options...)
			s.report(4, false)
		})
	}
}

func (s *simulatedAgent) hasFreeSlot() bool {
	l := s.controller.Load(s.simulation.clock.Now())
	return l.State == node.Serving && l.InUse < l.Slots
}

// freeThroughout reports whether a slot has been free since the start of an attempt.
func (s *simulatedAgent) freeThroughout(c *simulatedCall) bool {
	return !s.freeSince.IsZero() && !s.freeSince.After(c.startedAt)
}

const (
	loadReportInterval = 500 * time.Millisecond
	maxFurtherLists    = 2
)

// sendLoadReports tells balancers at intervals whether the endpoint has a free slot.
func (s *simulatedAgent) sendLoadReports() {
	s.reportedFree = s.hasFreeSlot()
	s.simulation.clock.After(loadReportInterval, s.sendLoadReports)
}

// offerFurther offers a SYN that all candidates have refused to endpoints that have not been
// asked and whose last report shows a free slot, as balancers do.
func (w *loadSimulation) offerFurther(flow uint32, c *simulatedCall) bool {
	var list []frame.Host
	for _, s := range w.agents {
		if s.reportedFree && !s.away && len(list) < maxCandidates && !slices.Contains(c.asked, s.host) {
			list = append(list, s.host)
		}
	}
	if len(list) == 0 || c.lists >= maxFurtherLists {
		return false
	}
	w.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	c.lists++
	c.asked = append(c.asked, list...)
	w.clock.After(2*hopDelay, func() { w.agents[list[0]-1].forwardFromCaller(flow, list, rawOpening) })
	return true
}

func (s *simulatedAgent) report(sequence uint64, draining bool) {
	defer func() { s.reportedFree = s.hasFreeSlot() }()
	s.step(admit.ReportReceived{
		Report: admit.Report{
			ID:        "a",
			Service:   service,
			StartedAt: 1,
			Sequence:  sequence,
			Slots:     uint16(s.simulation.slots),
			Draining:  draining,
		},
	})
}

// thirdLost loses a third of the endpoints for two seconds.
func thirdLost(load float64) scenario {
	return scenario{
		period:   6 * time.Second,
		load:     steady(load),
		lost:     sharedEndpoints / 3,
		lossAt:   2 * time.Second,
		returnAt: 4 * time.Second,
	}
}

// burst has 2.4 times the usual load for two seconds.
func burst(usual float64) scenario {
	return scenario{
		period: 7 * time.Second,
		load: func(at time.Duration) float64 {
			if at >= 2*time.Second && at < 4*time.Second {
				return 2.4 * usual
			}
			return usual
		},
	}
}

const (
	minGoodput     = 0.95
	minUrgentShare = 0.98
	medianTold     = 20 * time.Millisecond
)

// Callers used to wait for their whole attempt when the queue showed at once that they could not
// be served, and requests of higher priority failed beside others that were served.
var _ = Describe("Load shedding", func() {
	for name, x := range map[string]scenario{
		"1.15 times the capacity": {
			period: 4 * time.Second,
			load:   steady(1.15),
		},
		"1.7 times the capacity": {
			period: 4 * time.Second,
			load:   steady(1.7),
		},
		"1.15 times the capacity, a third of it lost and back": thirdLost(1.15),
		"1.7 times the capacity, a third of it lost and back":  thirdLost(1.7),
	} {
		It("serves nearly what a central queue serves and refuses the rest at once: "+name, func() {
			central := playCentral(x)
			got := play(x, admit.WithLoadShedding())
			expectServed(&got, &central)
			Expect(got.toldWithin(0.5)).To(BeNumerically("<=", medianTold))
			Expect(got.toldWithin(0.99)).To(BeNumerically("<=", normalTarget/4))
			Expect(got.refusedBesideFree).To(BeZero())
		})
	}

	It("serves more in time than without, and lets nobody wait in vain", func() {
		x := scenario{
			period: 3 * time.Second,
			load:   steady(1.7),
		}
		without := play(x)
		got := play(x, admit.WithLoadShedding())
		GinkgoWriter.Printf("without %s\nwith %s\n", without.describe(), got.describe())
		Expect(got.goodput()).To(BeNumerically(">", without.goodput()))
		Expect(got.urgentShare()).To(BeNumerically(">", without.urgentShare()))
		Expect(got.waitedInVain).To(BeZero())
	})

	for name, x := range map[string]scenario{
		"burst on the usual load": burst(sharedUsualLoad),
		"burst on a high load":    burst(0.7),
		"ten endpoints take three times as long": {
			period:   6 * time.Second,
			load:     steady(0.9),
			slow:     10,
			slowdown: 3,
			slowAt:   2 * time.Second,
		},
		"ten agents restart and lose their queues": {
			period:    6 * time.Second,
			load:      steady(1.15),
			restarted: 10,
			restartAt: 3 * time.Second,
		},
	} {
		It("serves nearly what a central queue serves: "+name, func() {
			central := playCentral(x)
			got := play(x, admit.WithLoadShedding())
			expectServed(&got, &central)
		})
	}
})

func expectServed(got, central *shareResult) {
	GinkgoWriter.Printf("central %s\nagents %s\ngoodput %.3f of central\n", central.describe(), got.describe(), got.goodput()/central.goodput())
	Expect(got.goodput()).To(BeNumerically(">=", minGoodput*central.goodput()))
	Expect(got.urgentShare()).To(BeNumerically(">=", minUrgentShare))
}

func (r *shareResult) describe() string {
	return fmt.Sprintf("priority 1 %+v, priority 2 %+v, refused %d (%d beside a free slot), told after %v, 99 %% %v, max %v, waited in vain %d",
		r.urgent, r.normal, len(r.told), r.refusedBesideFree, r.toldWithin(0.5), r.toldWithin(0.99), r.toldWithin(1), r.waitedInVain)
}
