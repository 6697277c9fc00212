// Package agent is the running side process on platforms whose upstreams end the
// flows: sockets and timers around the decisions of relay/hold.
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
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/hold"
	"github.com/clementinewing/clementinewing/internal/relay/port"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
)

const (
	// datagramBytes is room for any datagram.
	datagramBytes = 4096
	// leaveMargin is kept of the time that a process is granted to end.
	leaveMargin = 700 * time.Millisecond
	// leaveCheck is how often a leaving process looks whether it is done.
	leaveCheck = 50 * time.Millisecond
	// probeTimeout is for the connection that finds out whether the endpoint is
	// there; both are on the same VM.
	probeTimeout = 300 * time.Millisecond
	// leaveLeast is how long a leaving process stays at least, so that
	// balancers hear that it takes no new flows.
	leaveLeast = 300 * time.Millisecond
)

// Agent is one running side process.
type Agent struct {
	settings relay.Settings
	codec    port.Codec
	store    port.Store
	reports  port.Reports
	log      *logs.Logs
	self     frame.Host
	zone     uint64
	process  uint64
	started  time.Time

	inner    *net.UDPConn
	outbound *net.UDPConn
	upstream *net.UDPConn

	mutex     sync.Mutex
	hold      *hold.Hold
	balancers *roster.Contacts
	sequence  uint32
	answered  bool
	lost      bool
	out       []byte
	counts    counts
	observe   func(name string, took time.Duration)
	stops     atomic.Bool
}

// Option sets one property of an Agent.
type Option func(*Agent)

// WithPlatform sets the adapter of the platform.
func WithPlatform(c port.Codec, s port.Store, r port.Reports) Option {
	return func(a *Agent) {
		a.codec = c
		a.store = s
		a.reports = r
	}
}

// WithLogs sets where lines go.
func WithLogs(l *logs.Logs) Option {
	return func(a *Agent) {
		a.log = l
	}
}

// New makes an agent with its sockets open.
func New(s relay.Settings, options ...Option) (a *Agent, err error) {
	defer func() { err = eris.Wrap(err, "opening an agent") }()
	a = &Agent{
		settings:  s,
		self:      frame.HostOf(s.Address),
		zone:      xxhash.Sum64String(s.Zone),
		process:   rand.Uint64(),
		started:   time.Now(),
		balancers: roster.NewContacts(time.Now()),
		observe:   func(string, time.Duration) {},
	}
	for _, o := range options {
		o(a)
	}
	holding := []hold.Option{hold.StartedAt(a.started)}
	if s.FirstStart {
		holding = append(holding, hold.FirstStart())
	}
	a.hold = hold.New(a.self, s.Service, holding...)
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

// Run serves until stop ends and no request is in hand, or the time granted for
// that is over.
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
	w.Go(func() { a.meet(ctx) })
	w.Go(func() { a.tickEvery(ctx) })
	a.log.Trouble.Info().Str("address", a.self.String()).Str("service", a.settings.Service).Msg("agent started")
	<-stop.Done()
	a.leave()
	cancel()
	a.stops.Store(true)
	for _, c := range append(closers, a.inner, a.outbound, a.upstream) {
		_ = c.Close()
	}
	w.Wait()
	a.log.Trouble.Info().Msg("agent stopped")
	return nil
}

// leave hands new flows on and waits for the requests in hand.
func (a *Agent) leave() {
	start := time.Now()
	end := start.Add(a.settings.Grace - leaveMargin)
	a.mutex.Lock()
	a.act(a.hold.Step(start, hold.Leave{}))
	a.report(start, false)
	a.mutex.Unlock()
	a.log.Trouble.Info().Msg("agent leaves; new flows are handed on")
	// An agent whose endpoint has ended before it tells balancers so: otherwise
	// they would look for owners of flows here.
	a.probe()
	for now := start; now.Before(end); now = time.Now() {
		time.Sleep(leaveCheck)
		a.mutex.Lock()
		inUse := a.hold.InUse()
		a.mutex.Unlock()
		if inUse == 0 && now.After(start.Add(leaveLeast)) {
			return
		}
	}
}
