package hold_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/hold"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// The load of more work than the endpoints can do, for as long as it lasts: most of it
// comes on open flows, and urgent requests open a flow each.
type overload struct {
	load
	// feeds are the open flows and feedsPerSecond the requests on them.
	feeds          int
	feedsPerSecond float64
	span           time.Duration
}

// firstFeed is the first flow number of an open flow.
const firstFeed = 40_000

// feed is an open flow and its caller.
type feed struct {
	side     *loadSide
	requests uint32
}

// playOverload gives what callers of urgent requests and of open flows got; slots is
// what the endpoints report.
func playOverload(l overload, slots int) (urgent, feeds outcome) {
	w := newLoadWorld(l.load, slots)
	w.urgency = 1
	w.warm = w.clock.Now()
	list := make([]*feed, l.feeds)
	for i := range list {
		list[i] = &feed{
			side: w.sides[i%len(w.sides)],
		}
		list[i].open(firstFeed + uint16(i))
	}
	w.clock.Run(w.clock.Now().Add(time.Second))
	for at := time.Duration(0); at < l.span; at += exponential(w.random, l.perSecond) {
		w.clock.After(at, func() { w.arrive(w.clock.Now()) })
	}
	var asked []*loadCall
	for at := time.Duration(0); at < l.span; at += exponential(w.random, l.feedsPerSecond) {
		w.clock.After(at, func() {
			i := w.random.IntN(len(list))
			flow := firstFeed + uint16(i)
			if _, waits := w.calls[flow]; waits {
				return
			}
			c := &loadCall{
				born:  w.clock.Now(),
				tries: loadTries,
				side:  list[i].side,
				got:   &feeds,
			}
			asked = append(asked, c)
			w.calls[flow] = c
			list[i].request(flow)
			w.clock.After(loadDeadline, func() {
				if w.calls[flow] == c {
					w.end(flow, c)
				}
			})
		})
	}
	w.clock.Run(w.clock.Now().Add(l.span + 2*loadDeadline))
	Expect(feeds.inAim + feeds.late + feeds.failed).To(Equal(len(asked)))
	return w.got, feeds
}

// busy is what balancers know from reports.
func (w *loadWorld) busy() uint16 {
	load, slots := 0, 0
	for _, s := range w.sides {
		l := s.hold.Load(w.clock.Now())
		load += int(l.Average)
		slots += int(l.Slots)
	}
	return uint16(load / slots)
}

func exponential(r *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) * r.ExpFloat64() / perSecond)
}

func (f *feed) open(flow uint16) {
	f.side.step(hold.Arrived{
		Packet: loadPacket(flow, false),
		Carry:  f.carry(flow, 0),
	})
}

func (f *feed) request(flow uint16) {
	p := loadPacket(flow, true)
	p.Sequence += 10 * f.requests
	f.requests++
	f.side.world.clock.After(hop, func() {
		f.side.step(hold.Arrived{
			Packet: p,
			Carry:  f.carry(flow, 1),
		})
	})
}

func (f *feed) carry(flow uint16, kind byte) *frame.Carry {
	c := &frame.Carry{
		Best:     frame.NoBest,
		Aim:      uint16(f.side.world.aim.Milliseconds()),
		Urgency:  2,
		Service:  pact.Identify(service),
		Balancer: 90,
		List:     []frame.Host{f.side.host},
		Packet:   []byte{kind, byte(flow >> 8), byte(flow)},
	}
	if kind == 1 {
		c.Flags = frame.Cached
		c.Busy = f.side.world.busy()
	}
	return c
}

var _ = Describe("more work than the endpoints can do", func() {
	// 21 slots do 350 requests of 60 ms a second.
	l := overload{
		load: load{
			endpoints: 7,
			slots:     3,
			queue:     12,
			perSecond: 100,
			aim:       250 * time.Millisecond,
		},
		feeds:          600,
		feedsPerSecond: 300,
		span:           20 * time.Second,
	}
	const capacity, targetShare = 350.0, 0.9

	It("serves nine tenths of what can be served in time, the urgent first", func() {
		urgent, feeds := playOverload(l, l.slots)
		naiveUrgent, naiveFeeds := playOverload(l, 1000)
		GinkgoWriter.Printf("urgent %+v, feeds %+v; endpoints' queues %+v, %+v\n", urgent, feeds, naiveUrgent, naiveFeeds)
		asked := urgent.inAim + urgent.late + urgent.failed
		Expect(float64(urgent.inAim)).To(BeNumerically(">", targetShare*float64(asked)))
		best := capacity * l.span.Seconds()
		Expect(float64(urgent.inAim + feeds.inAim)).To(BeNumerically(">", targetShare*best))
		Expect(urgent.inAim + feeds.inAim).To(BeNumerically(">", naiveUrgent.inAim+naiveFeeds.inAim))
	})

	It("keeps nothing back that can be served", func() {
		calm := l
		calm.feedsPerSecond = 150
		urgent, feeds := playOverload(calm, l.slots)
		GinkgoWriter.Printf("urgent %+v, feeds %+v\n", urgent, feeds)
		Expect(urgent.failed + feeds.failed).To(BeZero())
	})
})
