// Package entry runs the packet path of a balancer. Threads read packets from the
// fabric, let flow/steer choose the endpoint of each, seal them and send them to
// agents. Readers receive hints, probe answers and packets to relay from agents.
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
	// batchPackets is the maximum number of packets that a thread reads or sends at
	// once.
	batchPackets = 64
	// tunnelPackets is the maximum number of datagrams from agents that are read at once,
	// and of datagrams sent at once on a new link.
	tunnelPackets  = 16
	defaultThreads = 2
	tickInterval   = 50 * time.Millisecond
)

// packetBytes is the longest packet that fits in a datagram with the longest
// candidate list.
var packetBytes = wire.MaxInner(rank.MaxCandidates)

// PacketPath is the packet path of one balancer.
type PacketPath struct {
	fabricAddress    netip.AddrPort
	tunnelAddress    netip.AddrPort
	threads          int
	maxOwners        int
	maxOpenings      int
	onSilenceChanged func(agent netip.AddrPort, silent bool)
	now              func() time.Time
	probeOptions     []probe.Option

	ring      *keys.Ring
	steerer   *steer.Steerer
	senders   *wire.Senders
	fabric    []*batch.Socket
	tunnel    []*batch.Socket
	links     *links
	totals    totals
	running   sync.WaitGroup
	closeOnce sync.Once

	// mutex guards the snapshot, which SetServices and setSilent replace.
	mutex    sync.Mutex
	snapshot steer.Snapshot
}

// Option sets one property of a PacketPath.
type Option func(*PacketPath)

// WithFabric sets the address at which packets from the fabric are received. The
// default is a free port of 127.0.0.1.
func WithFabric(address netip.AddrPort) Option {
	return func(e *PacketPath) {
		e.fabricAddress = address
	}
}

// WithTunnel sets the address from which packets are sent to agents, and at which
// hints, probe answers and packets to relay are received. Agents send to it, so it
// must have a specific IP. The default is a free port of 127.0.0.1.
func WithTunnel(address netip.AddrPort) Option {
	return func(e *PacketPath) {
		e.tunnelAddress = address
	}
}

// WithThreads sets the number of packet threads; the default is 2. The kernel
// assigns each source address of the fabric to one thread.
func WithThreads(count int) Option {
	return func(e *PacketPath) {
		e.threads = count
	}
}

// WithTableSizes sets how many owners of flows and how many recent SYNs are
// remembered, 16 bytes each; the defaults are 500,000 and 50,000.
func WithTableSizes(maxOwners, maxOpenings int) Option {
	return func(e *PacketPath) {
		e.maxOwners = maxOwners
		e.maxOpenings = maxOpenings
	}
}

// OnSilenceChanged calls report when an agent stops answering probes, and when it
// answers again or nothing is sent to it for a minute. report is called from one
// goroutine and must not block.
func OnSilenceChanged(report func(agent netip.AddrPort, silent bool)) Option {
	return func(e *PacketPath) {
		e.onSilenceChanged = report
	}
}

// WithProbeOptions sets the options of the prober, such as its timeouts.
func WithProbeOptions(options ...probe.Option) Option {
	return func(e *PacketPath) {
		e.probeOptions = options
	}
}

// New opens the sockets of a packet path.
func New(ring *keys.Ring, options ...Option) (e *PacketPath, err error) {
	defer func() { err = eris.Wrap(err, "opening the packet path") }()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	e = &PacketPath{
		fabricAddress:    loopback,
		tunnelAddress:    loopback,
		threads:          defaultThreads,
		maxOwners:        500_000,
		maxOpenings:      50_000,
		onSilenceChanged: func(netip.AddrPort, bool) {},
		now:              time.Now,
		ring:             ring,
		senders:          wire.NewSenders(0),
	}
	for _, o := range options {
		o(e)
	}
	if e.tunnelAddress.Addr().IsUnspecified() {
		return nil, errUnspecified
	}
	e.steerer = steer.New(steer.WithMaxOwners(e.maxOwners), steer.WithMaxOpenings(e.maxOpenings))
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

// FabricAddress returns the address at which packets from the fabric are received.
func (e *PacketPath) FabricAddress() netip.AddrPort {
	return e.fabric[0].Local()
}

// TunnelAddress returns the address at which datagrams from agents are received.
func (e *PacketPath) TunnelAddress() netip.AddrPort {
	return e.tunnel[0].Local()
}

// SetServices applies a snapshot to every packet from now on. Its SilentAgents are
// replaced by those that this packet path has found silent itself.
func (e *PacketPath) SetServices(s steer.Snapshot) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s.SilentAgents = e.snapshot.SilentAgents
	e.snapshot = s
	e.steerer.SetServices(s)
}

func (e *PacketPath) setSilent(silent []netip.AddrPort) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.snapshot.SilentAgents = silent
	e.steerer.SetServices(e.snapshot)
}

// Run handles packets until ctx ends or a socket fails, then closes the sockets.
func (e *PacketPath) Run(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "running the packet path") }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = e.Close() })
	results := make(chan error, 2*e.threads)
	for i := range e.fabric {
		t := newThread(e, e.fabric[i], e.tunnel[i])
		e.running.Go(func() { results <- t.run() })
		e.running.Go(func() { results <- e.receive(e.tunnel[i]) })
	}
	e.running.Go(func() { e.links.run(ctx) })
	for range 2 * e.threads {
		cause := <-results
		cancel()
		if !errors.Is(cause, net.ErrClosed) {
			err = errors.Join(err, cause)
		}
	}
	err = errors.Join(err, e.links.close())
	e.running.Wait()
	return err
}

// Close closes the sockets, which ends the threads of Run. Only the first call has
// an effect.
func (e *PacketPath) Close() (err error) {
	e.closeOnce.Do(func() {
		err = errors.Join(batch.CloseAll(e.fabric), batch.CloseAll(e.tunnel))
	})
	return err
}

// Counts returns a snapshot of the counters.
func (e *PacketPath) Counts() (c Counts) {
	for k := range c.Values {
		c.Values[k] = e.totals[k].Load()
	}
	c.Links = e.links.counts()
	return c
}
