package hold_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/fake/clock"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/hold"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// The load of the first seconds after everything lost power: every caller comes
// back at once, endpoints are slow from their cold start, and the usual load goes
// on. Callers send copies of an opening after 200 and 600 ms, give an attempt up
// after 1.4 s and try three times.
type load struct {
	endpoints int
	slots     int
	queue     int
	backlog   int
	perSecond float64
	// down is how long nothing ran: the backlog is that late at most.
	down time.Duration
	aim  time.Duration
}

var (
	// small has 7 endpoints that are half busy on usual days, large 43 that are
	// busy to three quarters.
	small = load{
		endpoints: 7,
		slots:     7,
		queue:     28,
		backlog:   350,
		perSecond: 400,
		down:      time.Second,
		aim:       250 * time.Millisecond,
	}
	large = load{
		endpoints: 43,
		slots:     3,
		queue:     12,
		backlog:   2500,
		perSecond: 1650,
		down:      1500 * time.Millisecond,
		aim:       400 * time.Millisecond,
	}
)

const (
	loadSpan     = 6 * time.Second
	loadWork     = 60 * time.Millisecond
	loadCold     = 1.6
	loadDeadline = 2500 * time.Millisecond
	loadTries    = 3
	loadList     = 8
	hop          = time.Millisecond
)

type outcome struct {
	inAim, late, failed int
}

type loadWorld struct {
	load
	clock  *clock.Clock
	random *rand.Rand
	sides  []*loadSide
	calls  map[uint16]*loadCall
	next   uint16
	// urgency is that of openings.
	urgency uint8
	// warm is when endpoints stop being slow.
	warm time.Time
	got  outcome
}

type loadSide struct {
	world *loadWorld
	host  frame.Host
	hold  *hold.Hold
	busy  int
	queue []uint16
}

type loadCall struct {
	born  time.Time
	tries int
	side  *loadSide
	done  bool
	// got is where the outcome counts.
	got *outcome
}

// newLoadWorld makes the endpoints of a load; slots is what they report, their true
// number or so many that all waiting is in their own queues.
func newLoadWorld(l load, slots int) *loadWorld {
	w := &loadWorld{
		load:    l,
		clock:   clock.New(),
		random:  rand.New(rand.NewPCG(1, 2)),
		calls:   map[uint16]*loadCall{},
		urgency: 2,
	}
	for i := range l.endpoints {
		s := &loadSide{
			world: w,
			host:  frame.Host(i + 1),
			hold:  hold.New(frame.Host(i+1), service),
		}
		w.sides = append(w.sides, s)
		s.step(hold.Reported{
			Report: hold.Report{
				ID:       "a",
				Service:  service,
				Born:     1,
				Sequence: 1,
				Slots:    uint16(slots),
			},
		})
		s.tick()
	}
	return w
}

// playLoad runs the load of an outage.
func playLoad(l load, slots int) outcome {
	w := newLoadWorld(l, slots)
	w.warm = w.clock.Now().Add(2 * time.Second)
	for range l.backlog {
		// These were due while nothing ran: they are late already.
		w.arrive(w.clock.Now().Add(-time.Duration(w.random.Int64N(int64(l.down)))))
	}
	for at := time.Duration(0); at < loadSpan; at += time.Duration(float64(time.Second) * w.random.ExpFloat64() / l.perSecond) {
		w.clock.After(at, func() { w.arrive(w.clock.Now()) })
	}
	w.clock.Run(w.clock.Now().Add(loadSpan + 2*loadDeadline))
	return w.got
}

func (w *loadWorld) arrive(born time.Time) {
	w.try(&loadCall{
		born: born,
		got:  &w.got,
	})
}

func (w *loadWorld) try(c *loadCall) {
	c.tries++
	w.next++
	flow := w.next
	w.calls[flow] = c
	order := w.random.Perm(w.endpoints)[:min(loadList, w.endpoints)]
	list := make([]frame.Host, len(order))
	for i, n := range order {
		list[i] = frame.Host(n + 1)
	}
	w.clock.After(hop, func() { w.sides[order[0]].arrive(flow, list, false) })
	w.clock.After(1400*time.Millisecond, func() {
		if c.side == nil && w.calls[flow] == c {
			w.end(flow, c)
		}
	})
}

// end ends an attempt; the caller tries again while it may.
func (w *loadWorld) end(flow uint16, c *loadCall) {
	delete(w.calls, flow)
	if c.done {
		return
	}
	if c.tries < loadTries && w.clock.Now().Before(c.born.Add(loadDeadline)) {
		w.clock.After(10*time.Millisecond, func() { w.try(c) })
		return
	}
	c.done = true
	c.got.failed++
}

// arrive hands an opening or a request to a side process. The first byte of the
// packet tells which, the others name the flow.
func (s *loadSide) arrive(flow uint16, list []frame.Host, request bool) {
	c := &frame.Carry{
		Best:     frame.NoBest,
		Aim:      uint16(s.world.aim.Milliseconds()),
		Urgency:  s.world.urgency,
		Service:  pact.Identify(service),
		Balancer: 90,
		List:     list,
		Packet:   []byte{0, byte(flow >> 8), byte(flow)},
	}
	if request {
		c.Flags = frame.Cached
		c.Packet[0] = 1
	}
	s.step(hold.Arrived{
		Packet: loadPacket(flow, request),
		Carry:  c,
	})
}

func loadPacket(flow uint16, request bool) link.Packet {
	p := link.Packet{
		Key: link.Key{
			Caller:     7,
			CallerPort: flow,
		},
		Kind:     link.Opening,
		Sequence: 1000,
		Flags:    flagSyn,
	}
	if request {
		p.Kind = link.Continuing
		p.Sequence = 1001
		p.Acknowledgment = 501
		p.Payload = 10
		p.Flags = flagAck
	}
	return p
}

func (s *loadSide) tick() {
	s.step(hold.Tick{})
	s.world.clock.After(hold.TickEvery, s.tick)
}

// answer gives the side process a packet of its endpoint.
func (s *loadSide) answer(flow uint16, flags uint8, payload int) {
	p := loadPacket(flow, false)
	p.Kind = link.Continuing
	p.Sequence = 500
	p.Flags = flags
	p.Payload = payload
	s.step(hold.Answered{
		Packet: p,
	})
}

func (s *loadSide) step(e hold.Event) {
	w := s.world
	for _, a := range append([]hold.Action(nil), s.hold.Step(w.clock.Now(), e)...) {
		switch a := a.(type) {
		case hold.Deliver:
			flow := uint16(a.Raw[1])<<8 | uint16(a.Raw[2])
			if a.Raw[0] == 1 {
				s.request(flow)
				continue
			}
			w.clock.After(time.Microsecond, func() { s.open(flow) })
		case hold.HandOn:
			c := *a.Carry
			flow := a.Key.CallerPort
			w.clock.After(hop, func() {
				w.sides[a.To-1].step(hold.Arrived{
					Packet: loadPacket(flow, false),
					Carry:  &c,
				})
			})
		case hold.GiveBack:
			flow := a.Key.CallerPort
			if c, ok := w.calls[flow]; ok {
				w.clock.After(2*hop, func() { w.end(flow, c) })
			}
		}
	}
}

// open answers an opening; the caller's request follows a round trip later.
func (s *loadSide) open(flow uint16) {
	s.answer(flow, flagSyn|flagAck, 0)
	c, ok := s.world.calls[flow]
	if !ok {
		return
	}
	c.side = s
	s.world.clock.After(2*hop, func() { s.arrive(flow, []frame.Host{s.host}, true) })
}

// request gives the endpoint a request, which it runs, queues or sheds.
func (s *loadSide) request(flow uint16) {
	switch {
	case s.busy < s.world.slots:
		s.run(flow)
	case len(s.queue) < s.world.queue:
		s.queue = append(s.queue, flow)
	default:
		s.answer(flow, flagAck, 10)
		if c, ok := s.world.calls[flow]; ok {
			c.side = nil
			s.world.end(flow, c)
		}
	}
}

func (s *loadSide) run(flow uint16) {
	s.busy++
	w := s.world
	work := time.Duration(float64(loadWork) * (0.5 + w.random.Float64()))
	if w.clock.Now().Before(w.warm) {
		work = time.Duration(float64(work) * loadCold)
	}
	w.clock.After(work, func() {
		s.busy--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.run(next)
		}
		w.served(flow)
		s.answer(flow, flagAck, 10)
	})
}

func (w *loadWorld) served(flow uint16) {
	c, ok := w.calls[flow]
	if !ok || c.done {
		return
	}
	delete(w.calls, flow)
	c.done = true
	switch took := w.clock.Now().Add(hop).Sub(c.born); {
	case took <= w.aim:
		c.got.inAim++
	case took <= loadDeadline:
		c.got.late++
	default:
		c.got.failed++
	}
}

var _ = Describe("the load after an outage", func() {
	for name, l := range map[string]load{
		"small": small,
		"large": large,
	} {
		It("meets more objectives by waiting at the side process than in the endpoints' queues: "+name, func() {
			waiting := playLoad(l, l.slots)
			queues := playLoad(l, 1000)
			GinkgoWriter.Printf("%s: waiting %+v, queues %+v\n", name, waiting, queues)
			Expect(waiting.inAim).To(BeNumerically(">", queues.inAim))
			Expect(waiting.failed).To(BeNumerically("<=", queues.failed))
		})
	}
})
