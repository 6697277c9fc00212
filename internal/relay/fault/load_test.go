package fault

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/place"
	"github.com/clementinewing/clementinewing/internal/relay/router"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// load is that of many callers. Each opens a flow through any balancer, sends one request and
// closes the flow.
type load struct {
	deployment *deployment
	calls      map[link.Key]*call
	nextPort   uint16
	// refused counts the SYNs answered with a reset or not at all, slow the ones answered after
	// more than slowOpening.
	opened, refused, slow int
	answered              int
	// entryZone, if set, is the failure domain of the balancers that get the packets.
	entryZone uint64
	// took is the time from the SYNs to the answers.
	took time.Duration
}

// slowOpening is longer than it takes to ask every candidate of a list, one of which does not
// answer.
const slowOpening = 100 * time.Millisecond

// call is one caller's flow.
type call struct {
	key       link.Key
	startedAt time.Time
	initial   uint32
	open      bool
	answered  bool
	refused   bool
}

// newLoadedDeployment creates a deployment of the size that users run, without callers.
func newLoadedDeployment(features place.Features) *deployment {
	d := newDeploymentWith(rand.New(rand.NewPCG(1, 1)), 0, features)
	d.slots = loadedSlots
	for range loadedBalancers - balancerCount {
		d.addBalancer()
	}
	for range loadedEndpoints - agentCount {
		d.addAgent(service)
	}
	d.load = &load{
		deployment: d,
		calls:      map[link.Key]*call{},
	}
	d.run(2 * time.Second)
	return d
}

func (d *deployment) addBalancer() {
	b := &balancer{
		deployment: d,
		host:       firstBalancer + frame.Host(len(d.balancers)),
	}
	d.balancers = append(d.balancers, b)
	b.start()
	b.tick()
}

func (d *deployment) run(period time.Duration) {
	d.clock.Run(d.clock.Now().Add(period))
}

// start starts calls at random times.
func (l *load) start(period time.Duration, callsPerSecond float64) {
	d := l.deployment
	for at := time.Duration(0); at < period; at += time.Duration(float64(time.Second) * d.random.ExpFloat64() / callsPerSecond) {
		d.clock.After(at, l.call)
	}
}

func (l *load) call() {
	l.nextPort++
	c := &call{
		startedAt: l.deployment.clock.Now(),
		key: link.Key{
			Caller:     7,
			CallerPort: l.nextPort,
			Target:     8,
			TargetPort: 443,
			Protocol:   6,
		},
	}
	l.calls[c.key] = c
	for i, wait := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		l.deployment.clock.After(wait, func() {
			if !c.open && !c.refused {
				l.send(c, link.Packet{
					Kind:           link.Opening,
					Sequence:       initialSequence,
					Acknowledgment: uint32(i),
					Flags:          flagSyn,
				})
			}
		})
	}
	l.deployment.clock.After(openingTimeout, func() { l.refuse(c) })
}

func (l *load) refuse(c *call) {
	if !c.open && !c.refused {
		c.refused = true
		l.refused++
	}
}

// refusedSince returns how many of the callers that started after a time were refused.
func (l *load) refusedSince(t time.Time) (n int) {
	for _, c := range l.calls {
		if c.refused && c.startedAt.After(t) {
			n++
		}
	}
	return n
}

func (l *load) send(c *call, p link.Packet) {
	d := l.deployment
	p.Key = c.key
	raw := d.raw(p)
	b := d.balancers[d.random.IntN(len(d.balancers))]
	for l.entryZone != 0 && d.zoneOf(b.host-firstBalancer) != l.entryZone {
		b = d.balancers[d.random.IntN(len(d.balancers))]
	}
	d.clock.After(hopDelay, func() {
		b.step(router.Packet{
			Packet: p,
			Raw:    raw,
		})
	})
}

func (l *load) receive(p link.Packet) {
	c := l.calls[p.Key]
	switch {
	case c.refused:
	case p.Flags&flagSyn != 0 && !c.open:
		c.open = true
		c.initial = p.Sequence
		l.opened++
		if l.deployment.clock.Now().Sub(c.startedAt) > slowOpening {
			l.slow++
		}
		l.send(c, link.Packet{
			Kind:           link.Continuing,
			Sequence:       initialSequence + 1,
			Acknowledgment: c.initial + 1,
			Flags:          flagAck,
			Payload:        requestBytes,
		})
	case p.Payload > 0 && !c.answered:
		c.answered = true
		l.answered++
		l.took += l.deployment.clock.Now().Sub(c.startedAt)
		l.send(c, link.Packet{
			Kind:           link.Closing,
			Sequence:       initialSequence + 1 + requestBytes,
			Acknowledgment: c.initial + 1 + requestBytes,
			Flags:          flagAck | flagFin,
		})
	}
}

func (d *deployment) receive(p link.Packet) {
	if d.load != nil {
		d.load.receive(p)
		return
	}
	d.caller.receive(p)
}

func (d *deployment) receiveReset(k link.Key, why string, opening bool) {
	if d.load != nil {
		d.load.refuse(d.load.calls[k])
		return
	}
	d.caller.receiveReset(k, why, opening)
}

// A service of 48 endpoints, a sixth of which is lost. The load needs about half of the slots of
// the others, so that there always is a free one.
const (
	loadedBalancers = 25
	loadedEndpoints = 48
	lostEndpoints   = loadedEndpoints / 6
	loadedSlots     = 3
	callsPerSecond  = 2700
	startDelay      = 10 * time.Millisecond
)

// loseEndpoints makes endpoints die without their agents. They bounce what they get or, if
// unread, answer nothing.
func (d *deployment) loseEndpoints(list []*agent, unread bool) {
	for _, s := range list {
		s.endpoint.dead = true
		s.endpoint.paused = unread
	}
}

// startEndpoints starts other incarnations of endpoints that were lost, one after the other. They
// report at once or, if late, with the next regular report.
func (d *deployment) startEndpoints(list []*agent, late bool) {
	for i, s := range list {
		d.clock.After(time.Duration(i)*startDelay, func() {
			s.endpoint = newEndpoint(s.endpoint.born + 1)
			if !late {
				s.sendReport()
			}
		})
	}
}

func refusedBy(list []*agent) (n int) {
	for _, s := range list {
		n += s.endpoint.refused
	}
	return n
}

func acceptedBy(list []*agent) (n int) {
	for _, s := range list {
		n += s.endpoint.accepted
	}
	return n
}

var _ = Describe("A load on many endpoints", func() {
	// Guards against endpoints that die behind live agents: with nothing in use they were the
	// first candidates of every new flow, and filled the candidate lists of all balancers.
	for name, unread := range map[string]bool{
		"bounces every SYN":  false,
		"leaves SYNs unread": true,
	} {
		// How many callers are served while all endpoints start that report only later. Those
		// that left SYNs unread get none before their reports.
		leastOpened := 1000
		if unread {
			leastOpened = 150
		}
		It("loses no caller when a sixth of them dies and "+name, func() {
			d := newLoadedDeployment(place.Features{})
			lost := d.agents[:lostEndpoints]
			d.load.start(8*time.Second, callsPerSecond)
			d.run(time.Second)
			d.loseEndpoints(lost, unread)
			d.run(time.Second)
			refusedAtFirst := refusedBy(lost)
			slowAtFirst := d.load.slow
			d.run(9 * time.Second)
			l := d.load
			GinkgoWriter.Printf("opened %d, refused %d, slow %d; SYNs bounced in the first second %d, in all %d\n",
				l.opened, l.refused, l.slow, refusedAtFirst, refusedBy(lost))
			Expect(l.refused).To(BeZero())
			Expect(l.opened).To(Equal(len(l.calls)))
			Expect(l.slow).To(Equal(slowAtFirst))
			// Each is asked about once a second to find out whether it serves again.
			Expect(refusedBy(lost) - refusedAtFirst).To(BeNumerically("<=", 9*2*lostEndpoints))
		})

		It("loses no caller when the load reports are lost of a sixth that dies and "+name, func() {
			d := newLoadedDeployment(place.Features{})
			lost := d.agents[:lostEndpoints]
			d.load.start(3*time.Second, callsPerSecond)
			d.run(500 * time.Millisecond)
			for _, s := range lost {
				s.reportsSuppressed = true
			}
			d.loseEndpoints(lost, unread)
			d.run(5 * time.Second)
			Expect(d.load.refused).To(BeZero())
			Expect(d.load.opened).To(Equal(len(d.load.calls)))
		})

		// Guards against suspicions that outlast a loss of all power.
		It("serves all callers soon after all have come back, each of which "+name, func() {
			for late, least := range map[bool]int{
				false: 1000,
				true:  leastOpened,
			} {
				d := newLoadedDeployment(place.Features{})
				l := d.load
				l.start(9*time.Second, callsPerSecond)
				d.run(time.Second)
				d.loseEndpoints(d.agents, unread)
				d.run(5 * time.Second)
				d.startEndpoints(d.agents, late)
				before := l.opened
				d.run(loadedEndpoints * startDelay)
				early := l.opened - before
				if late {
					d.run(reportInterval)
				}
				back := d.clock.Now()
				l.slow = 0
				d.run(4 * time.Second)
				Expect(early).To(BeNumerically(">=", least))
				refused := l.refusedSince(back)
				Expect(refused).To(BeZero())
				GinkgoWriter.Printf("late %t: opened %d while they started, then refused %d, slow %d, opened %d\n",
					late, early, refused, l.slow, l.opened-before)
			}
		})

		// Guards against a suspicion that only another incarnation can end.
		It("takes endpoints back that start again or go on, each of which "+name, func() {
			for _, starts := range []bool{false, true} {
				d := newLoadedDeployment(place.Features{})
				lost := d.agents[:lostEndpoints]
				d.load.start(8*time.Second, callsPerSecond)
				d.loseEndpoints(lost, unread)
				d.run(4 * time.Second)
				if starts {
					d.startEndpoints(lost, false)
				}
				for _, s := range lost {
					s.endpoint.dead = starts
					s.endpoint.paused = starts && unread
				}
				d.run(2 * time.Second)
				share := d.shareOf(lost, time.Second)
				GinkgoWriter.Printf("started %t: share of the endpoints that are back %.2f\n", starts, share)
				Expect(share).To(BeNumerically(">", 0.8))
			}
		})
	}
})
