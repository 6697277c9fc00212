package admit_test

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/fake/clock"
	"github.com/clementinewing/clementinewing/internal/relay/admit"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
)

// load describes the first seconds after a power loss: every caller returns at once,
// endpoints are slow after a cold start, and the usual load continues. Callers
// retransmit a SYN after 200 and 600 ms, give an attempt up after 1.4 s and try three
// times.
type load struct {
	endpoints      int
	slots          int
	queue          int
	backlog        int
	callsPerSecond float64
	// outage is how long nothing ran. Calls of the backlog are up to this late.
	outage        time.Duration
	latencyTarget time.Duration
}

var (
	// small has 7 endpoints with half of their slots busy on usual days, large has 43
	// with three quarters busy.
	small = load{
		endpoints:      7,
		slots:          7,
		queue:          28,
		backlog:        350,
		callsPerSecond: 400,
		outage:         time.Second,
		latencyTarget:  250 * time.Millisecond,
	}
	large = load{
		endpoints:      43,
		slots:          3,
		queue:          12,
		backlog:        2500,
		callsPerSecond: 1650,
		outage:         1500 * time.Millisecond,
		latencyTarget:  400 * time.Millisecond,
	}
)

const (
	arrivalPeriod      = 6 * time.Second
	averageServiceTime = 60 * time.Millisecond
	coldFactor         = 1.6
	callTimeout        = 2500 * time.Millisecond
	maxAttempts        = 3
	maxCandidates      = 8
	hopDelay           = time.Millisecond
)

type outcome struct {
	onTarget, late, failed int
}

type loadSimulation struct {
	load
	clock  *clock.Clock
	random *rand.Rand
	agents []*simulatedAgent
	calls  map[uint32]*simulatedCall
	next   uint32
	// kind is that of the calls of startCall.
	kind *callKind
	// warmAt is when endpoints stop being slow.
	warmAt time.Time
	// observer is told of refused SYNs, nil if nobody is.
	observer func(flow uint32, c *simulatedCall)
	// timedOut is told of attempts that ended without an answer, nil if nobody is.
	timedOut func()
}

// callKind is what calls of one route have in common, and their results.
type callKind struct {
	priority      uint8
	latencyTarget time.Duration
	timeout       time.Duration
	averageWork   time.Duration
	// closes is set if the flow ends with the answer.
	closes  bool
	outcome outcome
}

type simulatedAgent struct {
	simulation *loadSimulation
	host       frame.Host
	controller *admit.Controller
	busySlots  int
	queue      []uint32
	// slowdown multiplies the work of requests, 0 means 1.
	slowdown float64
	// away is set while balancers do not list the agent.
	away bool
	// reportedFree is set if the last load report showed a free slot.
	reportedFree bool
	// freeSince is since when the endpoint has a free slot, zero if it has none.
	freeSince time.Time
}

type simulatedCall struct {
	dueAt    time.Time
	attempts int
	agent    *simulatedAgent
	finished bool
	kind     *callKind
	// work is what the request takes, 0 if it is drawn when the request runs.
	work time.Duration
	// startedAt is when the current attempt started, queuedAt the agent that holds its SYN.
	startedAt time.Time
	queuedAt  *simulatedAgent
	// asked are the candidates of the attempt, lists the number of further lists.
	asked []frame.Host
	lists int
}

// newLoadSimulation creates the endpoints of a load. slots is what they report: their
// true number, or so many that all queueing happens at the endpoints.
func newLoadSimulation(l load, slots int, options ...admit.Option) *loadSimulation {
	w := &loadSimulation{
		load:   l,
		clock:  clock.New(),
		random: rand.New(rand.NewPCG(1, 2)),
		calls:  map[uint32]*simulatedCall{},
		kind: &callKind{
			priority:      2,
			latencyTarget: l.latencyTarget,
			timeout:       callTimeout,
			averageWork:   averageServiceTime,
		},
	}
	for i := range l.endpoints {
		s := &simulatedAgent{
			simulation: w,
			host:       frame.Host(i + 1),
			controller: admit.New(frame.Host(i+1), service, options...),
		}
		w.agents = append(w.agents, s)
		s.step(admit.ReportReceived{
			Report: admit.Report{
				ID:        "a",
				Service:   service,
				StartedAt: 1,
				Sequence:  1,
				Slots:     uint16(slots),
			},
		})
		s.tick()
	}
	return w
}

// simulateOutage runs the load after an outage.
func simulateOutage(l load, slots int, options ...admit.Option) outcome {
	w := newLoadSimulation(l, slots, options...)
	w.warmAt = w.clock.Now().Add(2 * time.Second)
	for range l.backlog {
		// These calls were due during the outage and are already late.
		w.startCall(w.clock.Now().Add(-time.Duration(w.random.Int64N(int64(l.outage)))))
	}
	for at := time.Duration(0); at < arrivalPeriod; at += time.Duration(float64(time.Second) * w.random.ExpFloat64() / l.callsPerSecond) {
		w.clock.After(at, func() { w.startCall(w.clock.Now()) })
	}
	w.clock.Run(w.clock.Now().Add(arrivalPeriod + 2*callTimeout))
	return w.kind.outcome
}

func (w *loadSimulation) startCall(dueAt time.Time) {
	w.attempt(&simulatedCall{
		dueAt: dueAt,
		kind:  w.kind,
	})
}

func (w *loadSimulation) attempt(c *simulatedCall) {
	c.attempts++
	w.next++
	flow := w.next
	w.calls[flow] = c
	c.startedAt = w.clock.Now()
	c.queuedAt = nil
	list := w.candidates()
	c.asked = slices.Clone(list)
	c.lists = 0
	w.clock.After(hopDelay, func() { w.agents[list[0]-1].forwardFromCaller(flow, list, 0) })
	w.clock.After(1400*time.Millisecond, func() {
		if c.agent == nil && w.calls[flow] == c {
			if w.timedOut != nil {
				w.timedOut()
			}
			w.endAttempt(flow, c)
		}
	})
}

// candidates returns the candidates of a new flow.
func (w *loadSimulation) candidates() (list []frame.Host) {
	for _, n := range w.random.Perm(w.endpoints) {
		if !w.agents[n].away && len(list) < maxCandidates {
			list = append(list, frame.Host(n+1))
		}
	}
	return list
}

// endAttempt ends an attempt. The caller tries again while its limits allow.
func (w *loadSimulation) endAttempt(flow uint32, c *simulatedCall) {
	delete(w.calls, flow)
	if c.finished {
		return
	}
	if c.attempts < maxAttempts && w.clock.Now().Before(c.dueAt.Add(c.kind.timeout)) {
		w.clock.After(10*time.Millisecond, func() { w.attempt(c) })
		return
	}
	c.finished = true
	c.kind.outcome.failed++
}

var _ = Describe("Load after an outage", func() {
	for name, l := range map[string]load{
		"small": small,
		"large": large,
	} {
		It("meets more latency targets by queueing at the agent than at the endpoints: "+name, func() {
			atAgent := simulateOutage(l, l.slots)
			atEndpoints := simulateOutage(l, 1000)
			GinkgoWriter.Printf("%s: queued at the agent %+v, at the endpoints %+v\n", name, atAgent, atEndpoints)
			Expect(atAgent.onTarget).To(BeNumerically(">", atEndpoints.onTarget))
			Expect(atAgent.failed).To(BeNumerically("<=", atEndpoints.failed))
			shedding := simulateOutage(l, l.slots, admit.WithLoadShedding())
			GinkgoWriter.Printf("%s: with load shedding %+v\n", name, shedding)
			Expect(shedding.onTarget).To(BeNumerically(">", atEndpoints.onTarget))
		})
	}
})
