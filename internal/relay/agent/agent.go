// Package agent runs the agent beside an upstream on platforms whose upstreams terminate
// the flows. It provides sockets and timers; relay/admit makes the decisions.
package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/conf/relay"
	"github.com/clementinewing/clementinewing/internal/edge/logs"
	"github.com/clementinewing/clementinewing/internal/relay/admit"
	"github.com/clementinewing/clementinewing/internal/relay/evac"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/port"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/relay/warm"
)

const (
	// maxDatagramBytes is the size of receive buffers; every datagram fits.
	maxDatagramBytes = 4096
	// drainCheckInterval is the interval of checks whether the drain is complete.
	drainCheckInterval = 50 * time.Millisecond
	// probeTimeout limits the connection attempt of an endpoint probe. It is short
	// because agent and endpoint run on the same VM.
	probeTimeout = 300 * time.Millisecond
	// minDrainDelay is the minimum duration of a drain, so that balancers learn that the
	// agent accepts no new flows.
	minDrainDelay = 300 * time.Millisecond
)

// Agent is the running agent of one endpoint.
type Agent struct {
	settings  relay.Settings
	codec     port.Codec
	store     port.Store
	reports   port.ReportHandlerFactory
	log       *logs.Logs
	self      frame.Host
	zone      uint64
	process   uint64
	startedAt time.Time

	inner    *net.UDPConn
	outbound *net.UDPConn
	upstream *net.UDPConn

	mutex      sync.Mutex
	controller *admit.Controller
	balancers  *roster.Contacts
	sequence   uint32
	// reportAt is when the next regular load reports are due, suspicionAt from when on a change
	// of the suspicion may be sent before.
	reportAt    time.Time
	suspicionAt time.Time
	// joined is set by the first member list from a balancer.
	joined        bool
	storeLost     bool
	sendBuffer    []byte
	counts        counts
	recordLatency func(name string, took time.Duration)
	stopping      atomic.Bool
}

// Option sets one property of an Agent.
type Option func(*Agent)

// WithPlatform sets the adapter of the platform.
func WithPlatform(c port.Codec, s port.Store, r port.ReportHandlerFactory) Option {
	return func(a *Agent) {
		a.codec = c
		a.store = s
		a.reports = r
	}
}

// WithLogs sets the loggers.
func WithLogs(l *logs.Logs) Option {
	return func(a *Agent) {
		a.log = l
	}
}

// New creates an agent and opens its sockets.
func New(s relay.Settings, options ...Option) (a *Agent, err error) {
	defer func() { err = eris.Wrap(err, "opening an agent") }()
	a = &Agent{
		settings:      s,
		self:          frame.HostOf(s.Address),
		zone:          xxhash.Sum64String(s.Zone),
		process:       rand.Uint64(),
		startedAt:     time.Now(),
		balancers:     roster.NewContacts(time.Now()),
		recordLatency: func(string, time.Duration) {},
	}
	for _, o := range options {
		o(a)
	}
	controllerOptions := []admit.Option{
		admit.WithReportInterval(s.ReportInterval),
		admit.NeedsRegistration(),
	}
	if s.Features.OutlierDetection {
		controllerOptions = append(controllerOptions, admit.ReportServiceTime())
	}
	if s.Features.EvenPlacement {
		controllerOptions = append(controllerOptions, admit.EvenPlacement())
	}
	if s.FirstStart {
		controllerOptions = append(controllerOptions, admit.FirstStart())
	} else if a.endpointRefuses() {
		controllerOptions = append(controllerOptions, admit.EndpointAbsent())
	}
	if s.Features.ZoneEvacuation {
		controllerOptions = append(controllerOptions, admit.FollowsEvacuations(evac.ZoneOf(s.Zone), a.process, warm.Limits{
			Overage: s.ColdOverage,
			Slack:   s.ColdSlack,
		}))
	}
	if s.Features.LoadShedding {
		controllerOptions = append(controllerOptions, admit.WithLoadShedding())
	}
	a.controller = admit.New(a.self, s.Service, controllerOptions...)
	if a.inner, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(s.Address, s.InnerPort))); err != nil {
		return nil, err
	}
	if a.outbound, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.Outbound)); err != nil {
		_ = a.inner.Close()
		return nil, err
	}
	if a.upstream, err = net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(s.Upstream)); err != nil {
		_ = a.inner.Close()
		_ = a.outbound.Close()
		return nil, err
	}
	return a, nil
}

// Run serves until stop is done, then drains: it returns when no request is in progress
// or the grace period ends.
func (a *Agent) Run(stop context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "running an agent") }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	closers, err := a.serve()
	if err != nil {
		return err
	}
	var w sync.WaitGroup
	w.Go(func() { a.readInner() })
	w.Go(func() { a.readOutbound() })
	w.Go(func() { a.findBalancers(ctx) })
	w.Go(func() { a.runTicker(ctx) })
	a.log.Important.Info().
		Str("address", a.self.String()).
		Str("service", a.settings.Service).
		Bool("saw_all_flows", a.controller.SawAllFlows()).
		Msg("agent started")
	<-stop.Done()
	a.drain()
	cancel()
	a.stopping.Store(true)
	for _, c := range append(closers, a.inner, a.outbound, a.upstream) {
		_ = c.Close()
	}
	w.Wait()
	a.log.Important.Info().Msg("agent stopped")
	return nil
}

// drain forwards new flows to other candidates and waits for the requests in progress.
func (a *Agent) drain() {
	start := time.Now()
	deadline := a.settings.DrainDeadline(start)
	a.mutex.Lock()
	a.execute(a.controller.Step(start, admit.StopAccepting{}))
	a.sendReports(start, false)
	a.mutex.Unlock()
	a.log.Important.Info().Msg("agent leaves; new flows are handed on")
	// If the endpoint stopped before the agent, balancers need to know. Otherwise they
	// would look up owners of flows here.
	a.probeEndpoint()
	for now := start; now.Before(deadline); now = time.Now() {
		time.Sleep(drainCheckInterval)
		a.mutex.Lock()
		inUse := a.controller.InUse()
		a.mutex.Unlock()
		if inUse == 0 && now.After(start.Add(minDrainDelay)) {
			return
		}
	}
}
