package load

import (
	"math/rand/v2"
	"time"

	"github.com/clementinewing/clementinewing/internal/world/link"
)

// flowEvent is an event of an accepted flow.
type flowEvent uint8

const (
	requestSent flowEvent = iota + 1
	answered
	closed
)

// feedCount returns the number of long-lived feeds of the whole service. The
// upstreams that serve from the start hold them all.
func (s *simulation) feedCount() int {
	endpoints := s.size.Endpoints
	if s.trial.Fault == Cold {
		endpoints--
	}
	return int(feedShare * float64(endpoints*s.size.Connections))
}

// openInitialFeeds opens the feeds over fillDuration, at random times.
func (s *simulation) openInitialFeeds() {
	for range s.feedCount() {
		source := s.newCallerSource()
		at := time.Duration(source.Float64() * float64(fillDuration))
		s.clock.After(at, func() { s.open(true, source) })
	}
}

// requestRate returns the number of short requests per second with which the
// offered work, feeds included, equals the trial's load.
func (s *simulation) requestRate() float64 {
	feeds := float64(s.feedCount()) * (1/meanFeedInterval.Seconds() + 1/meanFeedLifetime.Seconds())
	slots := s.trial.Load * float64(s.size.Endpoints*s.size.Slots)
	return slots/meanWorkDuration.Seconds() - feeds
}

// scheduleArrivals opens short requests at random times (a Poisson process).
func (s *simulation) scheduleArrivals() {
	wait := time.Duration(s.openingSource.ExpFloat64() / s.requestRate() * float64(time.Second))
	s.clock.After(wait, func() {
		s.open(false, s.newCallerSource())
		s.scheduleArrivals()
	})
}

// newCallerSource returns the random source of one caller.
func (s *simulation) newCallerSource() *rand.Rand {
	return rand.New(rand.NewPCG(s.openingSource.Uint64(), s.trial.Seed))
}

// open sends the SYN of a new flow to a balancer.
func (s *simulation) open(feed bool, source *rand.Rand) {
	f := &flow{
		key: link.Key{
			Caller:     source.Uint32(),
			CallerPort: uint16(source.Uint32()),
			TargetPort: 443,
			Protocol:   6,
		},
		arrivedAt: s.clock.Now(),
		feed:      feed,
		source:    source,
	}
	f.hash = f.key.Hash()
	if feed {
		f.closesAt = s.clock.Now().Add(f.randomDuration(meanFeedLifetime))
	}
	if !f.arrivedAt.Before(s.meter.startAt) {
		s.meter.opened++
	}
	s.placer.open(f)
}

// accept starts the flow's first work at the upstream that admitted it.
func (s *simulation) accept(f *flow, u *upstream) {
	s.advanceMeter()
	f.upstream = u
	u.flows++
	u.start(job{
		opening:  true,
		duration: f.randomDuration(meanWorkDuration),
		onStart: func() {
			s.meter.recordWait(s.clock.Now(), f.arrivedAt)
		},
		onDone: func() {
			s.meter.recordAnswer(s.clock.Now(), f.arrivedAt)
			s.finishWork(f)
		},
	})
}

func (s *simulation) finishWork(f *flow) {
	s.placer.flowChanged(f, answered)
	if !f.feed {
		s.close(f)
		return
	}
	s.scheduleNext(f)
}

// scheduleNext schedules a feed's next request or its end.
func (s *simulation) scheduleNext(f *flow) {
	next := s.clock.Now().Add(f.randomDuration(meanFeedInterval))
	if next.After(f.closesAt) {
		s.clock.At(f.closesAt, func() { s.replaceFeed(f) })
		return
	}
	s.clock.At(next, func() { s.sendRequest(f) })
}

func (s *simulation) sendRequest(f *flow) {
	s.placer.flowChanged(f, requestSent)
	f.upstream.start(job{
		duration: f.randomDuration(meanWorkDuration),
		onStart:  func() {},
		onDone:   func() { s.finishWork(f) },
	})
}

// replaceFeed closes a feed; its caller opens another.
func (s *simulation) replaceFeed(f *flow) {
	s.close(f)
	s.open(true, f.source)
}

func (s *simulation) close(f *flow) {
	s.advanceMeter()
	f.upstream.flows--
	s.placer.flowChanged(f, closed)
	s.placer.capacityFreed(f.upstream)
}

// randomDuration returns an exponentially distributed duration.
func (f *flow) randomDuration(mean time.Duration) time.Duration {
	return time.Duration(f.source.ExpFloat64() * float64(mean))
}
