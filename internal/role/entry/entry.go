// Package entry is the running packet path of a balancer: threads that read
// packets from the fabric, ask flow/steer where each goes, seal them and send them
// to side processes; and readers that take hints and answers from those.
package entry

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/edge/batch"
	"github.com/clementinewing/clementinewing/internal/edge/keys"
	"github.com/clementinewing/clementinewing/internal/edge/wire"
	"github.com/clementinewing/clementinewing/internal/flow/probe"
	"github.com/clementinewing/clementinewing/internal/flow/rank"
	"github.com/clementinewing/clementinewing/internal/flow/steer"
)

const (
	// batchPackets is how many packets a thread handles at once.
	batchPackets = 64
	// tunnelPackets is how many datagrams of side processes are read at once.
	tunnelPackets  = 16
	defaultThreads = 2
	tickInterval   = 50 * time.Millisecond
)

// packetBytes is the longest packet that fits a datagram whatever its list.
var packetBytes = wire.MaxInner(rank.MaxCandidates)

// Entry is the packet path of one balancer.
type Entry struct {
	fabricAddress netip.AddrPort
	tunnelAddress netip.AddrPort
	threads       int
	flows         int
	openings      int
	suspicion     func(agent netip.AddrPort, silent bool)
	now           func() time.Time
	probes        []probe.Option

	ring    *keys.Ring
	steerer *steer.Steerer
	senders *wire.Senders
	fabric  []*batch.Socket
	tunnel  []*batch.Socket
	links   *links
	totals  totals
	running sync.WaitGroup
	closing sync.Once

	// lock guards the snapshot that SetServices and silence change in turn.
	lock     sync.Mutex
	snapshot steer.Snapshot
}

// Option sets one property of an Entry.
type Option func(*Entry)

// WithFabric sets the address for packets from the fabric. The default is a free
// port of 127.0.0.1.
func WithFabric(address netip.AddrPort) Option {
	return func(e *Entry) {
		e.fabricAddress = address
	}
}

// WithTunnel sets the address that packets leave from and that hints and answers
// come to; side processes are told it, so it must name one IP. The default is a
// free port of 127.0.0.1.
func WithTunnel(address netip.AddrPort) Option {
	return func(e *Entry) {
		e.tunnelAddress = address
	}
}

// WithThreads sets the number of packet threads; the default is 2. The kernel
// gives each source address of the fabric to one of them.
func WithThreads(count int) Option {
	return func(e *Entry) {
		e.threads = count
	}
}

// WithSizes sets how many owners and how many recent openings are remembered, 16
// bytes each; the defaults are 500,000 and 50,000.
func WithSizes(flows, openings int) Option {
	return func(e *Entry) {
		e.flows = flows
		e.openings = openings
	}
}

// WithSuspicion calls report when a side process falls silent, and when it
// answers again or nothing is sent to it for a minute. It is called from one thread and must not block.
func WithSuspicion(report func(agent netip.AddrPort, silent bool)) Option {
	return func(e *Entry) {
		e.suspicion = report
	}
}

// WithProbes sets when side processes are asked and found silent.
func WithProbes(options ...probe.Option) Option {
	return func(e *Entry) {
		e.probes = options
	}
}

// New opens the sockets of a packet path.
func New(ring *keys.Ring, options ...Option) (e *Entry, err error) {
	defer func() { err = eris.Wrap(err, "opening the packet path") }()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	e = &Entry{
		fabricAddress: loopback,
		tunnelAddress: loopback,
		threads:       defaultThreads,
		flows:         500_000,
		openings:      50_000,
		suspicion:     func(netip.AddrPort, bool) {},
		now:           time.Now,
		ring:          ring,
		senders:       wire.NewSenders(0),
	}
	for _, o := range options {
		o(e)
	}
	if e.tunnelAddress.Addr().IsUnspecified() {
		return nil, errUnspecified
	}
	e.steerer = steer.New(steer.WithFlows(e.flows), steer.WithOpenings(e.openings))
	e.fabric, err = batch.ListenMany(e.fabricAddress, e.threads)
	if err != nil {
		return nil, err
	}
	e.tunnel, err = batch.ListenMany(e.tunnelAddress, e.threads)
	if err != nil {
		return nil, errors.Join(err, batch.CloseAll(e.fabric))
	}
	e.links = newLinks(e)
	return e, nil
}

var errUnspecified = errors.New("the tunnel address must name one IP")

// Fabric is where packets from the fabric are read.
func (e *Entry) Fabric() netip.AddrPort {
	return e.fabric[0].Local()
}

// Tunnel is where hints and answers are read.
func (e *Entry) Tunnel() netip.AddrPort {
	return e.tunnel[0].Local()
}

// SetServices puts a snapshot in use for every packet from now on. Its Silent
// side processes are replaced by those that this path finds silent itself.
func (e *Entry) SetServices(s steer.Snapshot) {
	e.lock.Lock()
	defer e.lock.Unlock()
	s.SilentAgents = e.snapshot.SilentAgents
	e.snapshot = s
	e.steerer.SetServices(s)
}

func (e *Entry) setSilent(silent []netip.AddrPort) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.snapshot.SilentAgents = silent
	e.steerer.SetServices(e.snapshot)
}

// Run handles packets until ctx ends or a socket fails, and closes the sockets.
func (e *Entry) Run(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "running the packet path") }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = e.Close() })
	ended := make(chan error, 2*e.threads)
	for i := range e.fabric {
		t := newThread(e, e.fabric[i], e.tunnel[i])
		e.running.Go(func() { ended <- t.run() })
		e.running.Go(func() { ended <- e.receive(e.tunnel[i]) })
	}
	e.running.Go(func() { e.links.run(ctx) })
	for range 2 * e.threads {
		one := <-ended
		cancel()
		if !errors.Is(one, net.ErrClosed) {
			err = errors.Join(err, one)
		}
	}
	err = errors.Join(err, e.links.close())
	e.running.Wait()
	return err
}

// Close ends Run's threads. Only its first call does anything.
func (e *Entry) Close() (err error) {
	e.closing.Do(func() {
		err = errors.Join(batch.CloseAll(e.fabric), batch.CloseAll(e.tunnel))
	})
	return err
}

// Counts gives a snapshot.
func (e *Entry) Counts() (c Counts) {
	for k := range c.Values {
		c.Values[k] = e.totals[k].Load()
	}
	c.Links = e.links.counts()
	return c
}
