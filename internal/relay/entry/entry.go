// Package entry is the running balancer on platforms whose upstreams end the
// flows: sockets and timers around the decisions of relay/guide, relay/roster and
// relay/plan.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/conf/relay"
	"github.com/clementinewing/clementinewing/internal/edge/logs"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/guide"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/relay/port"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
)

const (
	// tickEvery is how often openings without an answer are looked at.
	tickEvery = 20 * time.Millisecond
	// datagramBytes is room for any datagram.
	datagramBytes = 4096
	// readyWithin is how long a balancer that has a plan waits for the first
	// side process before it takes packets all the same.
	readyWithin = 1500 * time.Millisecond
	// quietBeforeEnd is how long no packet has to come before a balancer that
	// is to end does so: routers take it out of rotation within about a second.
	quietBeforeEnd = 600 * time.Millisecond
	// endMargin is kept of the time that a process is granted to end.
	endMargin = 700 * time.Millisecond
)

// Balancer is one running balancer.
type Balancer struct {
	settings relay.Settings
	codec    port.Codec
	store    port.Store
	readPlan port.PlanReader
	log      *logs.Logs
	self     frame.Host
	process  uint64
	started  time.Time

	callers *net.UDPConn
	inner   *net.UDPConn
	client  *http.Client

	held plan.Held

	mutex    sync.Mutex
	guide    *guide.Guide
	members  *roster.Roster
	turns    plan.Turns
	seen     uint64
	written  uint64
	writeAt  time.Time
	entered  bool
	lost     bool
	lostAt   time.Time
	tidyAt   time.Time
	fetching bool
	leaving  bool
	ready    bool
	heardAt  time.Time
	out      []byte
	counts   counts
	observe  func(name string, took time.Duration)
	stops    atomic.Bool
}

// Option sets one property of a Balancer.
type Option func(*Balancer)

// WithPlatform sets the adapter of the platform.
func WithPlatform(c port.Codec, s port.Store, r port.PlanReader) Option {
	return func(b *Balancer) {
		b.codec = c
		b.store = s
		b.readPlan = r
	}
}

// WithLogs sets where lines go.
func WithLogs(l *logs.Logs) Option {
	return func(b *Balancer) {
		b.log = l
	}
}

// New makes a balancer with its sockets open.
func New(s relay.Settings, options ...Option) (b *Balancer, err error) {
	defer func() { err = eris.Wrap(err, "opening a balancer") }()
	now := time.Now()
	b = &Balancer{
		settings: s,
		self:     frame.HostOf(s.Address),
		process:  rand.Uint64(),
		started:  now,
		tidyAt:   now.Add(tidyEvery),
		client:   newClient(),
		observe:  func(string, time.Duration) {},
	}
	for _, o := range options {
		o(b)
	}
	b.members = roster.New(b.self)
	b.guide = guide.New(b.self, xxhash.Sum64String(s.Zone), now, b.members, &b.held)
	if b.callers, err = listen(s.Callers); err != nil {
		return nil, err
	}
	if b.inner, err = listen(netip.AddrPortFrom(s.Address, s.InnerPort)); err != nil {
		_ = b.callers.Close()
		return nil, err
	}
	return b, nil
}

func listen(a netip.AddrPort) (*net.UDPConn, error) {
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
}

// Run serves until stop ends and the callers' packets have ceased, or the time
// granted for that is over.
func (b *Balancer) Run(stop context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "running a balancer") }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	closers, err := b.serve()
	if err != nil {
		return err
	}
	var w sync.WaitGroup
	w.Go(func() { b.readCallers() })
	w.Go(func() { b.readInner(ctx) })
	w.Go(func() { b.start(ctx) })
	w.Go(func() { b.tickEvery(ctx) })
	b.log.Trouble.Info().Str("address", b.self.String()).Msg("balancer started")
	<-stop.Done()
	b.leave()
	cancel()
	b.stops.Store(true)
	for _, c := range append(closers, b.callers, b.inner) {
		_ = c.Close()
	}
	w.Wait()
	b.log.Trouble.Info().Msg("balancer stopped")
	return nil
}

// leave takes no part in new work but goes on with packets until none come.
func (b *Balancer) leave() {
	end := time.Now().Add(b.settings.Grace - endMargin)
	b.mutex.Lock()
	b.leaving = true
	b.heardAt = time.Now().Add(quietBeforeEnd)
	b.pulseAll(time.Now())
	b.mutex.Unlock()
	b.log.Trouble.Info().Msg("balancer leaves; packets are carried until they cease")
	for time.Now().Before(end) {
		time.Sleep(quietBeforeEnd / 4)
		b.mutex.Lock()
		quiet := time.Now().After(b.heardAt.Add(quietBeforeEnd))
		b.mutex.Unlock()
		if quiet {
			return
		}
	}
}

func (b *Balancer) tickEvery(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var pulseAt, expireAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		b.mutex.Lock()
		b.act(b.guide.Step(now, guide.Tick{}))
		if now.After(pulseAt) {
			pulseAt = now.Add(roster.PulseEvery(len(b.members.Balancers())))
			b.pulseAll(now)
		}
		if now.After(expireAt) {
			expireAt = now.Add(time.Second)
			b.expire(now)
		}
		b.settle(now)
		ask := b.turns.Due(now, b.members.Turn(now))
		members, changed := b.changedMembers(now)
		tidy := now.After(b.tidyAt) && b.members.Turn(now) == 0
		if tidy {
			b.tidyAt = now.Add(tidyEvery)
		}
		b.mutex.Unlock()
		if tidy {
			go b.tidy(ctx)
		}
		if ask {
			go b.ask(ctx)
		}
		if changed {
			go b.writeMembers(ctx, members)
		}
	}
}

// settle finds out whether the balancer can route. Once it could it stays ready.
func (b *Balancer) settle(now time.Time) {
	if b.ready || b.held.Current() == nil {
		return
	}
	if len(b.members.Sides()) == 0 && now.Before(b.started.Add(readyWithin)) {
		return
	}
	b.ready = true
	b.log.Trouble.Info().
		Uint64("plan_version", b.held.Current().Version).
		Int("side_processes", len(b.members.Sides())).
		Int64("after_ms", now.Sub(b.started).Milliseconds()).
		Msg("balancer is ready")
}

func (b *Balancer) expire(now time.Time) {
	sides, balancers := b.members.Expire(now)
	for _, h := range sides {
		b.log.Trouble.Info().Str("side", h.String()).Msg("side process forgotten after a long silence")
	}
	for _, h := range balancers {
		b.log.Trouble.Info().Str("balancer", h.String()).Msg("balancer forgotten after a long silence")
	}
}
