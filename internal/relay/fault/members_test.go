package fault

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Planned work in overlapping series: all balancers leave at the same time and start again, an
// endpoint joins while they leave, and its agent is restarted around the time when they start.
const (
	// callerDelay is the time from the joining of the endpoint to the caller's SYN. By then a
	// balancer that leaves has registered the agent.
	callerDelay = 1200 * time.Millisecond
	// callerPause is the caller's pause before its next request, which comes when the balancers
	// have started.
	callerPause = 1500 * time.Millisecond
	// leaveTime is how long balancers forward packets after they began to leave.
	leaveTime = 2 * time.Second
	// phaseStep is smaller than the interval of load reports.
	phaseStep = 60 * time.Millisecond
	// callerPorts is the number of flows, whose homes differ, flowsPerOrder how many of them are
	// played with each order of events. Use all of them when running by hand.
	callerPorts   = 12
	flowsPerOrder = 3
)

// plannedRestart is one order of events.
type plannedRestart struct {
	// restartAgents is set if the agent that joined is restarted, restartBalancers if the
	// balancers are.
	restartAgents    bool
	restartBalancers bool
	// phase is the time from the start of the balancers to the stop of the agent, which is
	// away for pause.
	phase time.Duration
	pause time.Duration
	// storeLost is set if the store is lost while the balancers start.
	storeLost bool
	port      uint16
}

func (r plannedRestart) String() string {
	return fmt.Sprintf("agent %t, balancers %t, phase %s, pause %s, store lost %t, port %d",
		r.restartAgents, r.restartBalancers, r.phase, r.pause, r.storeLost, r.port)
}

// play plays the events with one flow of the endpoint that joined. It reports whether the
// caller opened the flow.
func (r plannedRestart) play(otherEndpoints int) (opened bool) {
	d := newDeployment(rand.New(rand.NewPCG(uint64(r.port), 1)), otherEndpoints)
	for _, b := range d.balancers {
		b.leaving = true
	}
	for _, s := range d.agents {
		s.drain()
	}
	d.addAgent(service)
	joined := d.agents[len(d.agents)-1]
	d.clock.Run(d.clock.Now().Add(callerDelay))
	d.startCaller(r.port, func(int) {})
	d.caller.requestDelay = callerPause
	stop := d.clock.Now().Add(leaveTime - callerDelay)
	d.clock.Run(stop)
	d.store.lost = r.storeLost
	if r.restartBalancers {
		d.restartBalancers()
	}
	if r.restartAgents {
		d.clock.After(restartDelay+r.phase, func() { joined.restart(r.pause) })
	}
	d.clock.Run(stop.Add(15 * time.Second))
	c := d.caller
	where := fmt.Sprintf("%s: answered %d, refused %v", r, c.answered, c.refused)
	Expect(d.violations).To(BeEmpty(), where)
	Expect(c.resets).To(BeEmpty(), where)
	if !c.open {
		return false
	}
	_, held := joined.endpoint.flows[c.key]
	Expect(held).To(BeTrue(), where)
	Expect(c.answered).To(Equal(requestCount), where)
	Expect(c.closed).To(BeTrue(), where)
	return true
}

var _ = Describe("Planned restarts", func() {
	// Guards against resets of flows of an agent that joined while all balancers left and that
	// is away when they start: the record that they read did not list it.
	It("keep the flows of an endpoint that joins meanwhile", func() {
		played, opened := 0, 0
		for _, r := range plannedRestarts() {
			played++
			if r.play(fewOtherEndpoints) {
				opened++
			}
		}
		Expect(opened).To(Equal(played))
	})

	It("keep the flows of an endpoint that joins meanwhile among many endpoints", func() {
		for i, r := range plannedRestarts() {
			if i%16 == 0 {
				Expect(r.play(manyOtherEndpoints)).To(BeTrue())
			}
		}
	})
})

func plannedRestarts() (list []plannedRestart) {
	for _, pause := range []time.Duration{0, 500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second} {
		for phase := -5 * phaseStep; phase <= 5*phaseStep; phase += phaseStep {
			for range flowsPerOrder {
				port := uint16(len(list) % callerPorts)
				list = append(list, plannedRestart{
					restartAgents:    true,
					restartBalancers: port%4 != 3,
					phase:            phase,
					pause:            pause,
					storeLost:        port%4 == 2,
					port:             1000 + port,
				})
			}
		}
	}
	return list
}
