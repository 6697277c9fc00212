package load

import (
	"math/rand/v2"
	"time"

	"github.com/clementinewing/clementinewing/internal/fake/clock"
	"github.com/clementinewing/clementinewing/internal/fake/lossy"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// Trial is one run.
type Trial struct {
	Shape Shape
	// Load is the offered work over all slots.
	Load  float64
	Fault Fault
	Seed  uint64
	Place func(*world) placer
}

// placer finds an upstream for an opening that has reached a balancer; it calls
// world.accept once the upstream has it.
type placer interface {
	open(f *flow)
	// freed tells that a slot or a connection of the upstream came free.
	freed(u *upstream)
	// reported tells that all upstreams have reported.
	reported()
	// joined tells that the upstream is new.
	joined(u *upstream)
	// event tells what happened on an accepted flow.
	event(f *flow, e flowEvent)
}

// world is the state of one run.
type world struct {
	trial Trial
	shape Shape
	clock *clock.Clock
	// arrivals is the source of openings, random that of the placers.
	arrivals *rand.Rand
	random   *rand.Rand
	net      *lossy.Net
	fleet    []*upstream
	placer   placer
	meter    *meter
	waiting  int
	end      time.Time
}

// flow is one caller's connection.
type flow struct {
	key     link.Key
	hash    uint64
	arrived time.Time
	feed    bool
	// source is the caller's own, so that every placer meets the same work.
	source *rand.Rand
	// closes is when a feed's caller leaves.
	closes time.Time
	at     *upstream
	// state is what the placer knows of the flow.
	state any
}

// run plays one trial and gives its figures.
func run(t Trial) figures {
	c := clock.New()
	w := &world{
		trial:    t,
		shape:    t.Shape,
		clock:    c,
		arrivals: rand.New(rand.NewPCG(t.Seed, 1)),
		random:   rand.New(rand.NewPCG(t.Seed, 2)),
		net:      lossy.New(c, t.Seed, lossy.WithDelay(hop, jitter)),
		end:      c.Now().Add(fillFor + settleFor + measureFor),
	}
	for i := range t.Shape.Endpoints {
		u := &upstream{
			world: w,
			index: i,
			slots: t.Shape.Slots,
		}
		if i == 0 {
			u.fault = t.Fault
		}
		w.fleet = append(w.fleet, u)
	}
	w.meter = newMeter(t.Shape.Endpoints, c.Now().Add(fillFor+settleFor))
	w.placer = t.Place(w)
	w.start()
	c.Run(w.end)
	w.change()
	return w.meter.figures()
}

func (w *world) start() {
	w.report()
	w.fill()
	w.clock.After(fillFor, w.arrive)
	if w.trial.Fault == Cold {
		w.clock.After(fillFor+settleFor, func() {
			w.change()
			w.fleet[0].joined = w.clock.Now()
			w.placer.joined(w.fleet[0])
		})
	}
}

func (w *world) report() {
	for _, u := range w.fleet {
		u.report()
	}
	w.placer.reported()
	w.clock.After(reportEvery, w.report)
}

// change notes the state before something changes.
func (w *world) change() {
	w.meter.advance(w.clock.Now(), w.fleet, w.waiting)
}

// anyFree tells whether some upstream has a free slot.
func (w *world) anyFree() bool {
	for _, u := range w.fleet {
		if u.free() {
			return true
		}
	}
	return false
}

// refuse notes an opening that was not run.
func (w *world) refuse() {
	if w.clock.Now().Before(w.meter.from) {
		return
	}
	w.meter.refused++
	if w.anyFree() {
		w.meter.unfair++
	}
}
