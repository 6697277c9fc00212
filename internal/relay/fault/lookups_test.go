package fault

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/router"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// retransmitTimes are when a caller sends a packet that is not answered.
var retransmitTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3000 * time.Millisecond}

func newFloodCaller(i int) *floodCaller {
	return &floodCaller{
		key: link.Key{
			Caller:     uint32(1000 + i%40),
			CallerPort: uint16(1000 + i),
			Target:     8,
			TargetPort: 443,
			Protocol:   6,
		},
		initial: uint32(i)*7919 + 1,
	}
}

// callDeadFlow sends a packet of a flow that no endpoint holds until its caller is told.
func (w *flood) callDeadFlow(c *floodCaller, at time.Time) {
	w.callers[c.key] = c
	c.first = at
	for _, wait := range retransmitTimes {
		w.clock.At(at.Add(wait), func() {
			if c.doneAt.IsZero() {
				w.sendPacket(c, link.Packet{
					Kind:           link.Continuing,
					Sequence:       initialSequence,
					Acknowledgment: c.initial,
					Flags:          flagAck,
					Payload:        requestBytes,
				})
			}
		})
	}
}

// openFlow sends the SYN of a new flow until it is answered or refused.
func (w *flood) openFlow(c *floodCaller) {
	w.callers[c.key] = c
	c.opening = true
	c.first = w.clock.Now()
	for i, wait := range retransmitTimes[:3] {
		w.clock.After(wait, func() {
			if c.doneAt.IsZero() {
				w.sendPacket(c, link.Packet{
					Kind:           link.Opening,
					Sequence:       initialSequence,
					Acknowledgment: uint32(i),
					Flags:          flagSyn,
				})
			}
		})
	}
}

// sendPacket sends a packet of a caller through any balancer.
func (w *flood) sendPacket(c *floodCaller, p link.Packet) {
	c.tries++
	p.Key = c.key
	b := w.balancers[w.random.IntN(len(w.balancers))]
	w.clock.After(floodHop, func() {
		at, ok := b.pass(w.clock.Now(), &b.receivedUntil, packetBytes)
		if !ok {
			return
		}
		w.clock.At(at, func() {
			w.runBalancer(b, router.Packet{
				Packet: p,
				Raw:    w.raw(p),
			})
		})
	})
}

// tellReset passes a reset to its caller, which opens another flow 10 ms later.
func (w *flood) tellReset(m *machine, p link.Packet) {
	at, ok := m.pass(w.clock.Now(), &m.sentUntil, headerBytes)
	if !ok {
		return
	}
	w.clock.At(at.Add(floodHop), func() {
		c := w.callers[p.Key]
		if c == nil || !c.doneAt.IsZero() {
			return
		}
		c.doneAt = w.clock.Now()
		c.reset = true
		if !c.opening {
			w.opened++
			n := newFloodCaller(30_000 + w.opened)
			w.clock.After(10*time.Millisecond, func() { w.openFlow(n) })
		}
	})
}

// answer passes a packet of an endpoint to its caller.
func (w *flood) answer(p link.Packet) {
	if c := w.callers[p.Key]; c != nil && c.doneAt.IsZero() {
		c.doneAt = w.clock.Now()
	}
}

// floodResult is what the callers and the balancers have seen.
type floodResult struct {
	told, notTold int
	// slowest is the longest time from the first packet of a dead flow to its reset.
	slowest time.Duration
	// opened counts the new flows that were answered, retried those of them that needed more
	// than one SYN, and refused those that were refused or not answered.
	opened, retried, refused int
	lookupBytes, datagrams   int
}

func (w *flood) result() (r floodResult) {
	for _, c := range w.callers {
		switch {
		case c.opening && (c.doneAt.IsZero() || c.reset):
			r.refused++
		case c.opening:
			r.opened++
			if c.tries > 1 {
				r.retried++
			}
		case c.reset:
			r.told++
			r.slowest = max(r.slowest, c.doneAt.Sub(c.first))
		default:
			r.notTold++
		}
	}
	for _, b := range w.balancers {
		r.lookupBytes = max(r.lookupBytes, b.mostLookupBytes())
		r.datagrams = max(r.datagrams, b.datagrams)
	}
	return r
}

// playDeadFlows plays the callers of dead flows for a while.
func (w *flood) playDeadFlows(flows int, period time.Duration) floodResult {
	w.clock.Run(w.clock.Now().Add(200 * time.Millisecond))
	start := w.clock.Now()
	for i := range flows {
		w.callDeadFlow(newFloodCaller(i), start.Add(time.Duration(w.random.Int64N(int64(arrivalPeriod)))))
	}
	w.clock.Run(start.Add(period))
	r := w.result()
	GinkgoWriter.Printf("%+v\n", r)
	return r
}

// openLongFlows opens flows and lets all balancers forget their owners.
func (w *flood) openLongFlows(count int) (list []*floodCaller) {
	w.clock.Run(w.clock.Now().Add(200 * time.Millisecond))
	for i := range count {
		c := newFloodCaller(20_000 + i)
		list = append(list, c)
		w.openFlow(c)
	}
	w.clock.Run(w.clock.Now().Add(800 * time.Millisecond))
	for _, b := range w.balancers {
		w.startBalancer(b)
	}
	w.clock.Run(w.clock.Now().Add(800 * time.Millisecond))
	return list
}

// useLongFlows sends a packet of each flow, which its endpoint holds.
func (w *flood) useLongFlows(list []*floodCaller) {
	for _, c := range list {
		Expect(c.reset).To(BeFalse())
		c.doneAt = time.Time{}
		for _, s := range w.agents {
			if initial, holds := s.endpoint[c.key]; holds {
				c.initial = initial + 1
			}
		}
		w.callDeadFlow(c, w.clock.Now().Add(time.Duration(w.random.Int64N(int64(arrivalPeriod)))))
	}
}

var _ = Describe("Lookups after a loss of all power", func() {
	const budget = smallLink * 3 / 10

	// Guards against lookups that fill the links and processors of small balancers: the
	// callers of dead flows were not told for many seconds, and their new flows were lost.
	It("tell the callers of 5,000 dead flows within a second and leave room for new flows", func() {
		for _, agents := range []int{65, 52} {
			w := newFlood(25, agents, agents, rand.New(rand.NewPCG(1, 1)))
			r := w.playDeadFlows(5000, 4*time.Second)
			Expect(r.told).To(Equal(5000))
			Expect(r.slowest).To(BeNumerically("<=", time.Second))
			Expect(r.lookupBytes).To(BeNumerically("<=", budget))
			Expect(r.opened).To(Equal(5000))
			Expect(r.retried).To(BeZero())
			Expect(r.refused).To(BeZero())
		}
	})

	// Guards against a lookup that starts anew because some answers were lost.
	It("ask only the agents again whose answers were lost", func() {
		w := newFlood(25, 65, 65, rand.New(rand.NewPCG(2, 1)))
		w.loss = 0.02
		r := w.playDeadFlows(5000, 4*time.Second)
		Expect(r.told).To(Equal(5000))
		Expect(r.slowest).To(BeNumerically("<=", time.Second))
		Expect(r.lookupBytes).To(BeNumerically("<=", budget))
	})

	// Guards against packets of dead flows that crowd out others at agents that cannot tell.
	It("stay within the budget when agents cannot tell without a packet", func() {
		for _, complete := range []int{64, 45} {
			w := newFlood(25, 65, complete, rand.New(rand.NewPCG(3, 1)))
			r := w.playDeadFlows(3000, 4*time.Second)
			Expect(r.told).To(Equal(3000))
			Expect(r.lookupBytes).To(BeNumerically("<=", budget))
			Expect(r.retried + r.refused).To(BeZero())
			for _, s := range w.agents {
				Expect(s.lost).To(BeZero())
			}
		}
	})

	// Guards against resets of live flows because a denial of another flow, or of an agent that
	// has lost its table, counts for them.
	It("find the owners of live flows while agents and balancers restart", func() {
		for _, agents := range []int{65, 52} {
			w := newFlood(25, agents, agents, rand.New(rand.NewPCG(4, 1)))
			live := w.openLongFlows(500)
			w.loss = 0.02
			w.useLongFlows(live)
			for i, s := range w.agents[:20] {
				w.clock.After(time.Duration(i*20)*time.Millisecond, func() { s.down = true })
				w.clock.After(time.Duration(i*20+100)*time.Millisecond, func() { w.startAgent(s) })
			}
			for i, b := range w.balancers[:8] {
				w.clock.After(time.Duration(i*50)*time.Millisecond, func() { w.startBalancer(b) })
			}
			r := w.playDeadFlows(1000, 6*time.Second)
			for _, c := range live {
				Expect(c.reset).To(BeFalse(), c.key.String())
				Expect(c.doneAt).NotTo(BeZero(), c.key.String())
			}
			Expect(r.told).To(Equal(1000))
			Expect(r.lookupBytes).To(BeNumerically("<=", budget))
		}
	})

	// Guards against packets of open flows that travel along agents that have restarted, whose
	// endpoints do not hold them, and are lost at one that is away before they reach their own.
	It("find the owners of live flows while balancers and then all agents are restarted as planned", func() {
		for _, agents := range []int{52, 65} {
			for _, stagger := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond} {
				w := newFlood(25, agents, agents, rand.New(rand.NewPCG(4, 1)))
				live := w.openLongFlows(500)
				for i := range 6 {
					w.clock.After(time.Duration(i)*arrivalPeriod, func() { w.useLongFlows(live[80*i : 80*(i+1)]) })
				}
				for i, s := range w.agents {
					w.clock.After(time.Duration(i)*stagger, func() { s.down = true })
					w.clock.After(time.Duration(i)*stagger+time.Second, func() { w.startAgent(s) })
				}
				w.clock.Run(w.clock.Now().Add(12 * time.Second))
				for _, c := range w.callers {
					Expect(c.reset).To(BeFalse(), c.key.String())
					Expect(c.doneAt).NotTo(BeZero(), c.key.String())
					Expect(c.doneAt.Sub(c.first)).To(BeNumerically("<=", 1500*time.Millisecond))
				}
			}
		}
	})

	// Guards against resets without a member record that was read since, and against lookups
	// that are repeated while the record cannot be read.
	It("wait for the store without a question", func() {
		w := newFlood(25, 65, 65, rand.New(rand.NewPCG(5, 1)))
		w.storeLost = true
		r := w.playDeadFlows(1000, 1900*time.Millisecond)
		Expect(r.told).To(BeZero())
		before := w.lookupDatagrams()
		w.clock.Run(w.clock.Now().Add(time.Second))
		Expect(w.lookupDatagrams()).To(Equal(before))
		w.storeLost = false
		w.clock.Run(w.clock.Now().Add(500 * time.Millisecond))
		Expect(w.result().told).To(Equal(1000))
	})

	// Guards against a lookup that an agent leaves unanswered and that the caller's packets
	// start again and again.
	It("ask an agent that never answers a bounded number of times", func() {
		w := newFlood(1, 65, 65, rand.New(rand.NewPCG(6, 1)))
		w.clock.Run(w.clock.Now().Add(200 * time.Millisecond))
		w.agents[0].mute = true
		c := newFloodCaller(1)
		for i := range 200 {
			w.clock.After(time.Duration(i*50)*time.Millisecond, func() { w.callDeadFlow(c, w.clock.Now()) })
		}
		w.clock.Run(w.clock.Now().Add(10 * time.Second))
		Expect(c.reset).To(BeFalse())
		Expect(w.agents[0].questions).To(BeNumerically("<=", 60))
		Expect(w.agents[1].questions).To(Equal(1))
	})
})
