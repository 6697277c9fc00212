package admit_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/admit"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// overload describes more work than the endpoints can do for its whole period. Most of
// the work arrives on long flows; each urgent request opens a new flow.
type overload struct {
	load
	// longFlows is the number of long flows, longFlowRequestsPerSecond the rate of
	// requests on all of them.
	longFlows                 int
	longFlowRequestsPerSecond float64
	period                    time.Duration
}

// firstLongFlowPort is the caller's port of the first long flow.
const firstLongFlowPort = 40_000

// openPeriod is the time in which the long flows are opened.
const openPeriod = 900 * time.Millisecond

// longFlow is an open flow and its caller.
type longFlow struct {
	agent    *simulatedAgent
	requests uint32
}

// simulateOverload returns the outcomes of urgent requests and of requests on long
// flows. slots is what the endpoints report.
func simulateOverload(l overload, slots int, options ...admit.Option) (urgent, longFlows outcome) {
	w := newLoadSimulation(l.load, slots, options...)
	w.kind.priority = 1
	w.warmAt = w.clock.Now()
	list := make([]*longFlow, l.longFlows)
	for i := range list {
		list[i] = &longFlow{
			agent: w.agents[i%len(w.agents)],
		}
		// No flow is refused for opening together with all others.
		w.clock.After(time.Duration(i)*openPeriod/time.Duration(len(list)), func() { list[i].open(firstLongFlowPort + uint32(i)) })
	}
	w.clock.Run(w.clock.Now().Add(time.Second))
	for at := time.Duration(0); at < l.period; at += exponential(w.random, l.callsPerSecond) {
		w.clock.After(at, func() { w.startCall(w.clock.Now()) })
	}
	kind := &callKind{
		priority:      2,
		latencyTarget: l.latencyTarget,
		timeout:       callTimeout,
	}
	var asked []*simulatedCall
	for at := time.Duration(0); at < l.period; at += exponential(w.random, l.longFlowRequestsPerSecond) {
		w.clock.After(at, func() {
			i := w.random.IntN(len(list))
			flow := firstLongFlowPort + uint32(i)
			if _, waits := w.calls[flow]; waits {
				return
			}
			c := &simulatedCall{
				dueAt:    w.clock.Now(),
				attempts: maxAttempts,
				agent:    list[i].agent,
				kind:     kind,
			}
			asked = append(asked, c)
			w.calls[flow] = c
			list[i].sendRequest(flow)
			w.clock.After(callTimeout, func() {
				if w.calls[flow] == c {
					w.endAttempt(flow, c)
				}
			})
		})
	}
	w.clock.Run(w.clock.Now().Add(l.period + 2*callTimeout))
	longFlows = kind.outcome
	Expect(longFlows.onTarget + longFlows.late + longFlows.failed).To(Equal(len(asked)))
	return w.kind.outcome, longFlows
}

// averageLoad returns the load of the service as balancers know it from reports.
func (w *loadSimulation) averageLoad() uint16 {
	load, slots := 0, 0
	for _, s := range w.agents {
		l := s.controller.Load(w.clock.Now())
		load += int(l.Average)
		slots += int(l.Slots)
	}
	return uint16(load / slots)
}

func exponential(r *rand.Rand, rate float64) time.Duration {
	return time.Duration(float64(time.Second) * r.ExpFloat64() / rate)
}

func (f *longFlow) open(flow uint32) {
	f.agent.step(admit.PacketForEndpoint{
		Packet:  newPacket(flow, false),
		Forward: f.newForward(flow, 0),
	})
}

func (f *longFlow) sendRequest(flow uint32) {
	p := newPacket(flow, true)
	p.Sequence += 10 * f.requests
	f.requests++
	f.agent.simulation.clock.After(hopDelay, func() {
		f.agent.step(admit.PacketForEndpoint{
			Packet:  p,
			Forward: f.newForward(flow, 1),
		})
	})
}

func (f *longFlow) newForward(flow uint32, kind byte) *frame.Forward {
	c := &frame.Forward{
		Best:            frame.NoBest,
		LatencyTargetMS: uint16(f.agent.simulation.latencyTarget.Milliseconds()),
		Priority:        2,
		Service:         spec.NewServiceID(service),
		Balancer:        90,
		Candidates:      []frame.Host{f.agent.host},
		Packet:          rawPacket(kind, flow),
	}
	if kind == 1 {
		c.Flags = frame.Cached
		c.AverageLoad = f.agent.simulation.averageLoad()
	}
	return c
}

var _ = Describe("Overload of all endpoints", func() {
	// 21 slots serve 350 requests of 60 ms per second.
	l := overload{
		load: load{
			endpoints:      7,
			slots:          3,
			queue:          12,
			callsPerSecond: 100,
			latencyTarget:  250 * time.Millisecond,
		},
		longFlows:                 600,
		longFlowRequestsPerSecond: 300,
		period:                    20 * time.Second,
	}
	const capacity, targetShare = 350.0, 0.9

	It("answers nine tenths of the capacity in time, urgent requests first", func() {
		urgent, longFlows := simulateOverload(l, l.slots)
		unqueuedUrgent, unqueuedLongFlows := simulateOverload(l, 1000)
		GinkgoWriter.Printf("urgent %+v, long flows %+v; queued at the endpoints %+v, %+v\n", urgent, longFlows, unqueuedUrgent, unqueuedLongFlows)
		asked := urgent.onTarget + urgent.late + urgent.failed
		Expect(float64(urgent.onTarget)).To(BeNumerically(">", targetShare*float64(asked)))
		best := capacity * l.period.Seconds()
		Expect(float64(urgent.onTarget + longFlows.onTarget)).To(BeNumerically(">", targetShare*best))
		Expect(urgent.onTarget + longFlows.onTarget).To(BeNumerically(">", unqueuedUrgent.onTarget+unqueuedLongFlows.onTarget))
	})

	It("fails no request while the capacity suffices", func() {
		reduced := l
		reduced.longFlowRequestsPerSecond = 150
		for _, options := range [][]admit.Option{nil, {admit.WithLoadShedding()}} {
			urgent, longFlows := simulateOverload(reduced, l.slots, options...)
			GinkgoWriter.Printf("urgent %+v, long flows %+v\n", urgent, longFlows)
			Expect(urgent.failed + longFlows.failed).To(BeZero())
		}
	})

	// Requests on open flows passed the queue, and urgent requests failed beside them.
	It("serves urgent requests before those on open flows with load shedding", func() {
		heavier := l
		heavier.longFlowRequestsPerSecond = 400
		without, longFlowsWithout := simulateOverload(heavier, l.slots)
		urgent, longFlows := simulateOverload(heavier, l.slots, admit.WithLoadShedding())
		GinkgoWriter.Printf("urgent %+v, long flows %+v; without %+v, %+v\n", urgent, longFlows, without, longFlowsWithout)
		asked := urgent.onTarget + urgent.late + urgent.failed
		Expect(float64(urgent.onTarget)).To(BeNumerically(">=", minUrgentShare*float64(asked)))
		Expect(longFlows.onTarget).To(BeNumerically(">", longFlowsWithout.onTarget))
	})
})
