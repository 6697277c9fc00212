// Package entry runs the balancer on platforms whose upstreams terminate the flows. It
// provides sockets and timers; relay/router, relay/roster and relay/plan make the
// decisions.
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
	"github.com/clementinewing/clementinewing/internal/relay/pause"
	"github.com/clementinewing/clementinewing/internal/relay/place"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/relay/port"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/relay/router"
)

const (
	// tickInterval is the interval of checks for unanswered SYNs.
	tickInterval = 20 * time.Millisecond
	// maxDatagramBytes is the size of receive buffers; every datagram fits.
	maxDatagramBytes = 4096
	// readyTimeout limits how long a balancer with a plan waits for the first agent before
	// it reports that it is ready.
	readyTimeout = 1500 * time.Millisecond
	// drainIdleTimeout is the time without packets after which a draining balancer stops.
	// The network's routers take it out of rotation within about a second.
	drainIdleTimeout = 600 * time.Millisecond
)

// Balancer is a running balancer.
type Balancer struct {
	settings  relay.Settings
	codec     port.Codec
	store     port.Store
	readPlan  port.PlanReader
	log       *logs.Logs
	self      frame.Host
	process   uint64
	startedAt time.Time

	callers *net.UDPConn
	inner   *net.UDPConn
	client  *http.Client

	activePlan plan.Active

	mutex        sync.Mutex
	router       *router.Router
	members      *roster.Roster
	pollSchedule plan.PollSchedule
	pauses       pause.Detector
	position     plan.Tracker
	record       *roster.Record
	// recordWanted is set while a lookup waits for the member record to be read, readingRecord
	// while it is read.
	recordWanted  bool
	readingRecord bool
	nextReadAt    time.Time
	// recordEra and recordRevision are those of the member record applied last.
	recordEra      uint64
	recordRevision uint64
	// registered reports that the balancer directory contains this balancer.
	registered  bool
	storeLost   bool
	storeLostAt time.Time
	// refusedPlan is the last plan that was refused, until another is in force.
	refusedPlan         port.InvalidPlanError
	nextDirectorySyncAt time.Time
	fetchingPlan        bool
	leaving             bool
	ready               bool
	lastPacketAt        time.Time
	sendBuffer          []byte
	counts              counts
	evacuations         evacuations
	recordLatency       func(name string, took time.Duration)
	stopping            atomic.Bool
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

// WithLogs sets the loggers.
func WithLogs(l *logs.Logs) Option {
	return func(b *Balancer) {
		b.log = l
	}
}

// New creates a balancer and opens its sockets.
func New(s relay.Settings, options ...Option) (b *Balancer, err error) {
	defer func() { err = eris.Wrap(err, "opening a balancer") }()
	now := time.Now()
	b = &Balancer{
		settings:            s,
		self:                frame.HostOf(s.Address),
		process:             rand.Uint64(),
		startedAt:           now,
		nextDirectorySyncAt: now.Add(directorySyncInterval),
		client:              newClient(),
		pollSchedule:        plan.NewPollSchedule(now, s.PlanApplyTimeout),
		recordLatency:       func(string, time.Duration) {},
	}
	for _, o := range options {
		o(b)
	}
	b.members = roster.New(b.self)
	b.record = roster.NewRecord(now)
	b.evacuations = newEvacuations(s.Features.ZoneEvacuation, s.Zone)
	b.router = router.New(b.self, xxhash.Sum64String(s.Zone), now, b.members, &b.activePlan, router.WithFeatures(place.Features{
		Even:     s.Features.EvenPlacement,
		Outliers: s.Features.OutlierDetection,
	}), router.WithEvacuations(b.evacuations.source))
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

// Run serves until stop is done, then drains: it returns when callers send no more
// packets or the grace period ends.
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
	w.Go(func() { b.loadStore(ctx) })
	w.Go(func() { b.runTicker(ctx) })
	b.log.Important.Info().Str("address", b.self.String()).Msg("balancer started")
	<-stop.Done()
	b.drain()
	cancel()
	b.stopping.Store(true)
	for _, c := range append(closers, b.callers, b.inner) {
		_ = c.Close()
	}
	w.Wait()
	b.log.Important.Info().Msg("balancer stopped")
	return nil
}

// drain announces the shutdown and forwards packets until none arrive.
func (b *Balancer) drain() {
	deadline := b.settings.DrainDeadline(time.Now())
	b.mutex.Lock()
	b.leaving = true
	b.lastPacketAt = time.Now().Add(drainIdleTimeout)
	b.sendHeartbeats(time.Now())
	b.mutex.Unlock()
	b.log.Important.Info().Msg("balancer leaves; packets are carried until they cease")
	for time.Now().Before(deadline) {
		time.Sleep(drainIdleTimeout / 4)
		b.mutex.Lock()
		quiet := time.Now().After(b.lastPacketAt.Add(drainIdleTimeout))
		b.mutex.Unlock()
		if quiet {
			return
		}
	}
}

func (b *Balancer) runTicker(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var heartbeatAt, cleanupAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		b.mutex.Lock()
		b.observeTime(now)
		b.execute(b.router.Step(now, router.Tick{}))
		if now.After(heartbeatAt) {
			heartbeatAt = now.Add(roster.HeartbeatInterval(len(b.members.Balancers())))
			b.sendHeartbeats(now)
		}
		if now.After(cleanupAt) {
			cleanupAt = now.Add(time.Second)
			b.removeSilentMembers(now)
		}
		b.updateReady(now)
		rank := b.members.Rank(now, b.fitness(now))
		poll := b.pollSchedule.StartPoll(now, rank)
		if poll == plan.OwnPoll {
			b.counts.ownPolls++
		}
		b.startRecordCalls(ctx, now, rank)
		syncDirectory := now.After(b.nextDirectorySyncAt) && rank == 0
		if syncDirectory {
			b.nextDirectorySyncAt = now.Add(directoryRetryInterval)
		}
		b.mutex.Unlock()
		if syncDirectory {
			go b.syncDirectory(ctx)
		}
		if poll != plan.NoPoll {
			go b.pollStore(ctx, poll)
		}
	}
}

// updateReady marks the balancer as ready once it can forward packets. It then stays ready.
func (b *Balancer) updateReady(now time.Time) {
	if b.ready || b.activePlan.Current() == nil {
		return
	}
	if len(b.members.PresentAgents()) == 0 && now.Before(b.startedAt.Add(readyTimeout)) {
		return
	}
	b.ready = true
	b.log.Important.Info().
		Uint64("plan_version", b.activePlan.Current().Version).
		Int("side_processes", len(b.members.PresentAgents())).
		Int64("after_ms", now.Sub(b.startedAt).Milliseconds()).
		Msg("balancer is ready")
}

func (b *Balancer) removeSilentMembers(now time.Time) {
	agents, balancers := b.members.Expire(now)
	for _, h := range agents {
		b.log.Important.Info().Str("side", h.String()).Msg("agent removed: no load report for too long")
	}
	for _, h := range balancers {
		b.log.Important.Info().Str("balancer", h.String()).Msg("balancer removed: no heartbeat for too long")
	}
}
