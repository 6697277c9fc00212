package load

import (
	"math/rand/v2"
	"time"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

// flowEvent is what happened on an accepted flow.
type flowEvent uint8

const (
	asked flowEvent = iota + 1
	answered
	closed
)

// feeds is the number of standing feeds of the whole service: the upstreams
// that serve from the start hold them all.
func (w *world) feeds() int {
	endpoints := w.shape.Endpoints
	if w.trial.Fault == Cold {
		endpoints--
	}
	return int(feedShare * float64(endpoints*w.shape.Connections))
}

// fill opens the feeds of the start.
func (w *world) fill() {
	for range w.feeds() {
		source := w.source()
		at := time.Duration(source.Float64() * float64(fillFor))
		w.clock.After(at, func() { w.open(true, source) })
	}
}

// rate is the number of short requests a second that brings the offered work
// up to the trial's load.
func (w *world) rate() float64 {
	feeds := float64(w.feeds()) * (1/feedAsks.Seconds() + 1/feedLife.Seconds())
	slots := w.trial.Load * float64(w.shape.Endpoints*w.shape.Slots)
	return slots/serviceMean.Seconds() - feeds
}

// arrive opens short requests at random times (a Poisson process).
func (w *world) arrive() {
	wait := time.Duration(w.arrivals.ExpFloat64() / w.rate() * float64(time.Second))
	w.clock.After(wait, func() {
		w.open(false, w.source())
		w.arrive()
	})
}

// source is the randomness of one caller.
func (w *world) source() *rand.Rand {
	return rand.New(rand.NewPCG(w.arrivals.Uint64(), w.trial.Seed))
}

// open sends one opening to a balancer.
func (w *world) open(feed bool, source *rand.Rand) {
	f := &flow{
		key: link.Key{
			Caller:     source.Uint32(),
			CallerPort: uint16(source.Uint32()),
			TargetPort: 443,
			Protocol:   6,
		},
		arrived: w.clock.Now(),
		feed:    feed,
		source:  source,
	}
	f.hash = f.key.Hash()
	if feed {
		f.closes = w.clock.Now().Add(f.draw(feedLife))
	}
	if !f.arrived.Before(w.meter.from) {
		w.meter.opened++
	}
	w.placer.open(f)
}

// accept starts the flow's first work at the upstream that took it.
func (w *world) accept(f *flow, u *upstream) {
	w.change()
	f.at = u
	u.flows++
	u.work(job{
		opening: true,
		span:    f.draw(serviceMean),
		begun: func() {
			w.meter.wait(w.clock.Now(), f.arrived)
		},
		done: func() {
			w.meter.answer(w.clock.Now(), f.arrived)
			w.finish(f)
		},
	})
}

func (w *world) finish(f *flow) {
	w.placer.event(f, answered)
	if !f.feed {
		w.close(f)
		return
	}
	w.rest(f)
}

// rest lets a feed be quiet until its next question or its end.
func (w *world) rest(f *flow) {
	next := w.clock.Now().Add(f.draw(feedAsks))
	if next.After(f.closes) {
		w.clock.At(f.closes, func() { w.leave(f) })
		return
	}
	w.clock.At(next, func() { w.ask(f) })
}

func (w *world) ask(f *flow) {
	w.placer.event(f, asked)
	f.at.work(job{
		span:  f.draw(serviceMean),
		begun: func() {},
		done:  func() { w.finish(f) },
	})
}

// leave closes a feed; its caller opens another.
func (w *world) leave(f *flow) {
	w.close(f)
	w.open(true, f.source)
}

func (w *world) close(f *flow) {
	w.change()
	f.at.flows--
	w.placer.event(f, closed)
	w.placer.freed(f.at)
}

// draw is an exponentially distributed time.
func (f *flow) draw(mean time.Duration) time.Duration {
	return time.Duration(f.source.ExpFloat64() * float64(mean))
}
