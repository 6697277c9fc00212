// Package agent is the running side process: sockets, the TCP/IP stack and the
// upstream connections around the decisions of flow/owner.
package agent

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/clementinewing/clementinewing/internal/edge/keys"
	"github.com/clementinewing/clementinewing/internal/edge/stack"
	"github.com/clementinewing/clementinewing/internal/edge/wire"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
	"github.com/clementinewing/clementinewing/internal/flow/probe"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

const (
	socketBytes  = 4 << 20
	tickInterval = 5 * time.Millisecond
)

// Agent is one side process beside one upstream.
type Agent struct {
	listen   netip.AddrPort
	upstream netip.AddrPort
	fabric   netip.AddrPort
	ring     *keys.Ring
	// incarnation is named in hints as the owner.
	incarnation node.Incarnation
	logger      zerolog.Logger
	idle        time.Duration
	tunnel      *net.UDPConn
	stack       *stack.Stack
	senders     *wire.Senders
	flows       *flows
	peers       *peers
	counts      counts
	emptied     chan struct{}
	stopped     chan struct{}
	closing     sync.WaitGroup
}

// Option sets one property of an Agent.
type Option func(*Agent)

// WithListen sets the address of the tunnel socket; port 0 takes a free one.
func WithListen(address netip.AddrPort) Option {
	return func(a *Agent) {
		a.listen = address
	}
}

// WithUpstream sets where the upstream takes TCP connections.
func WithUpstream(address netip.AddrPort) Option {
	return func(a *Agent) {
		a.upstream = address
	}
}

// WithFabric sets where packets to callers go.
func WithFabric(address netip.AddrPort) Option {
	return func(a *Agent) {
		a.fabric = address
	}
}

// WithIncarnation sets the incarnation that hints name; it is the table's.
func WithIncarnation(i node.Incarnation) Option {
	return func(a *Agent) {
		a.incarnation = i
	}
}

// WithLogger sets the logger.
func WithLogger(l zerolog.Logger) Option {
	return func(a *Agent) {
		a.logger = l
	}
}

// WithKeepalive probes callers that were silent for idle.
func WithKeepalive(idle time.Duration) Option {
	return func(a *Agent) {
		a.idle = idle
	}
}

// New opens the sockets of a side process around the decisions of table.
func New(ring *keys.Ring, table *owner.Table, options ...Option) (a *Agent, err error) {
	defer func() { err = eris.Wrap(err, "starting the side process") }()
	a = &Agent{
		listen:  netip.MustParseAddrPort("127.0.0.1:0"),
		ring:    ring,
		logger:  zerolog.Nop(),
		idle:    defaultKeepalive,
		senders: wire.NewSenders(0),
		peers:   newPeers(),
		flows:   newFlows(table, wire.NewSealer(ring)),
		emptied: make(chan struct{}),
		stopped: make(chan struct{}),
	}
	for _, o := range options {
		o(a)
	}
	a.tunnel, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a.listen))
	if err != nil {
		return nil, err
	}
	err = errors.Join(a.tunnel.SetReadBuffer(socketBytes), a.tunnel.SetWriteBuffer(socketBytes))
	if err != nil {
		return nil, errors.Join(err, a.tunnel.Close())
	}
	a.stack, err = stack.New(stack.WithOutput(a.output), stack.WithOpening(a.opened))
	if err != nil {
		return nil, errors.Join(err, a.tunnel.Close())
	}
	return a, nil
}

// Address is where the tunnel socket listens.
func (a *Agent) Address() netip.AddrPort {
	return a.tunnel.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Run handles packets until ctx ends, then cuts what is left.
func (a *Agent) Run(ctx context.Context) {
	var w sync.WaitGroup
	w.Go(func() { a.receive(a.tunnel) })
	w.Go(func() { a.tick(ctx) })
	<-ctx.Done()
	_ = a.tunnel.Close()
	_ = a.closeLinks()
	w.Wait()
	close(a.stopped)
	a.cutAll()
	a.closing.Wait()
	a.stack.Close()
}

// Drain takes no new flows from now on and cuts the rest at the deadline.
// Emptied tells when no flow is left.
func (a *Agent) Drain(deadline time.Time) {
	a.step(owner.Drain{
		Deadline: deadline,
	}, nil)
}

// Adjust runs change while no decision is made, so that it may change the gate.
func (a *Agent) Adjust(change func()) {
	a.flows.mutex.Lock()
	defer a.flows.mutex.Unlock()
	change()
}

// Emptied is closed once a drain has ended.
func (a *Agent) Emptied() <-chan struct{} {
	return a.emptied
}

func (a *Agent) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.step(owner.Tick{}, nil)
			a.stepPeers(probe.Tick{})
		}
	}
}

func (a *Agent) receive(socket *net.UDPConn) {
	opener := wire.NewOpener(a.ring, wire.WithSenders(a.senders))
	b := make([]byte, wire.MaxBytes)
	m := &wire.Message{}
	for {
		n, from, err := socket.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		err = opener.Open(b[:n], m)
		if err != nil {
			a.counts.fault(err)
			continue
		}
		a.message(socket, m, from)
	}
}

func (a *Agent) message(socket *net.UDPConn, m *wire.Message, from netip.AddrPort) {
	switch m.Kind {
	case wire.Packet:
		a.packet(m)
	case wire.Probe:
		a.answer(socket, m, from)
	case wire.Answer:
		a.stepPeers(probe.Answered{
			Peer: from,
		})
	default:
		a.counts.foreign.Add(1)
	}
}

func (a *Agent) packet(m *wire.Message) {
	p, err := link.Parse(m.Inner)
	if err != nil || int(m.Position) >= len(m.Candidates) {
		a.counts.malformed.Add(1)
		return
	}
	a.step(owner.PacketForEndpoint{
		Packet:      p,
		Service:     m.Service,
		Incarnation: m.Candidates[m.Position].Incarnation,
		Position:    int(m.Position),
		Candidates:  len(m.Candidates),
		Denied:      m.Denied,
		Round:       m.Round,
		Silent:      a.peers.silent(m.Candidates),
		Balancer:    m.Balancer,
	}, m)
}

// answer returns a probe, so that the other end knows its link is alive.
func (a *Agent) answer(socket *net.UDPConn, m *wire.Message, from netip.AddrPort) {
	m.Kind = wire.Answer
	a.flows.send(socket, m, from)
}

// output takes a packet from the stack to the fabric.
func (a *Agent) output(packet []byte) {
	p, swapped := reverse(packet)
	if swapped {
		a.step(owner.PacketFromEndpoint{
			Packet: p,
		}, nil)
	}
	_, _ = a.tunnel.WriteToUDPAddrPort(packet, a.fabric)
}

// reverse parses a packet to the caller under the key of the caller's flow.
func reverse(packet []byte) (link.Packet, bool) {
	p, err := link.Parse(packet)
	if err != nil {
		return p, false
	}
	p.Key.Caller, p.Key.Target = p.Key.Target, p.Key.Caller
	p.Key.CallerPort, p.Key.TargetPort = p.Key.TargetPort, p.Key.CallerPort
	return p, true
}
