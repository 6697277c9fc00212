package load

import (
	"math/rand/v2"
	"time"

	"github.com/clementinewing/clementinewing/internal/fake/clock"
	"github.com/clementinewing/clementinewing/internal/fake/lossy"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// Trial is one simulation run.
type Trial struct {
	Size ServiceSize
	// Load is the offered work as a share of all slots.
	Load  float64
	Fault Fault
	Seed  uint64
	Place func(*simulation) placer
}

// placer finds an upstream for an opening that has reached a balancer. It calls
// simulation.accept once the upstream has admitted it.
type placer interface {
	open(f *flow)
	// capacityFreed is called when a slot or a connection of the upstream is freed.
	capacityFreed(u *upstream)
	// loadReported is called when all upstreams have reported their load.
	loadReported()
	// upstreamJoined is called when an upstream joins.
	upstreamJoined(u *upstream)
	// flowChanged is called for each event of an accepted flow.
	flowChanged(f *flow, e flowEvent)
}

// simulation is the state of one trial.
type simulation struct {
	trial Trial
	size  ServiceSize
	clock *clock.Clock
	// openingSource is the random source of openings, placerSource that of placers.
	openingSource *rand.Rand
	placerSource  *rand.Rand
	net           *lossy.Net
	fleet         []*upstream
	placer        placer
	meter         *meter
	waiting       int
	end           time.Time
}

// flow is one caller's connection.
type flow struct {
	key       link.Key
	hash      uint64
	arrivedAt time.Time
	feed      bool
	// source is the caller's own random source, so that every placer gets the same
	// work.
	source *rand.Rand
	// closesAt is when a feed's caller closes it.
	closesAt time.Time
	upstream *upstream
	// state is the placer's state of the flow.
	state any
}

// runTrial runs one trial and returns its figures.
func runTrial(t Trial) figures {
	c := clock.New()
	s := &simulation{
		trial:         t,
		size:          t.Size,
		clock:         c,
		openingSource: rand.New(rand.NewPCG(t.Seed, 1)),
		placerSource:  rand.New(rand.NewPCG(t.Seed, 2)),
		net:           lossy.New(c, t.Seed, lossy.WithDelay(linkDelay, linkJitter)),
		end:           c.Now().Add(fillDuration + settleDuration + measureDuration),
	}
	for i := range t.Size.Endpoints {
		u := &upstream{
			sim:   s,
			index: i,
			slots: t.Size.Slots,
		}
		if i == 0 {
			u.fault = t.Fault
		}
		s.fleet = append(s.fleet, u)
	}
	s.meter = newMeter(t.Size.Endpoints, c.Now().Add(fillDuration+settleDuration))
	s.placer = t.Place(s)
	s.start()
	c.Run(s.end)
	s.advanceMeter()
	return s.meter.figures()
}

func (s *simulation) start() {
	s.report()
	s.openInitialFeeds()
	s.clock.After(fillDuration, s.scheduleArrivals)
	if s.trial.Fault == Cold {
		s.clock.After(fillDuration+settleDuration, func() {
			s.advanceMeter()
			s.fleet[0].joinedAt = s.clock.Now()
			s.placer.upstreamJoined(s.fleet[0])
		})
	}
}

func (s *simulation) report() {
	for _, u := range s.fleet {
		u.updateReport()
	}
	s.placer.loadReported()
	s.clock.After(reportInterval, s.report)
}

// advanceMeter records the state; it is called before each change.
func (s *simulation) advanceMeter() {
	s.meter.advance(s.clock.Now(), s.fleet, s.waiting)
}

// anyFree reports whether any upstream has a free slot.
func (s *simulation) anyFree() bool {
	for _, u := range s.fleet {
		if u.hasFreeSlot() {
			return true
		}
	}
	return false
}

// recordRefusal records an opening that was refused.
func (s *simulation) recordRefusal() {
	if s.clock.Now().Before(s.meter.startAt) {
		return
	}
	s.meter.refused++
	if s.anyFree() {
		s.meter.refusedWhileFree++
	}
}
