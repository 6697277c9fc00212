// Package agent runs the data path of an agent: its sockets, the TCP/IP stack and
// the connections to its upstream. Package flow/owner makes the decisions.
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
	socketBufferBytes = 4 << 20
	tickInterval      = 5 * time.Millisecond
)

// Agent is the data path of the agent of one upstream.
type Agent struct {
	listen   netip.AddrPort
	upstream netip.AddrPort
	fabric   netip.AddrPort
	ring     *keys.Ring
	// incarnation identifies this endpoint as the owner in hints.
	incarnation   node.Incarnation
	logger        zerolog.Logger
	keepaliveIdle time.Duration
	tunnel        *net.UDPConn
	stack         *stack.Stack
	senders       *wire.Senders
	flows         *flows
	peers         *peers
	counts        counts
	drained       chan struct{}
	stopped       chan struct{}
	running       sync.WaitGroup
}

// Option sets one property of an Agent.
type Option func(*Agent)

// WithListen sets the address of the tunnel socket; port 0 selects a free port.
func WithListen(address netip.AddrPort) Option {
	return func(a *Agent) {
		a.listen = address
	}
}

// WithUpstream sets the address at which the upstream accepts TCP connections.
func WithUpstream(address netip.AddrPort) Option {
	return func(a *Agent) {
		a.upstream = address
	}
}

// WithFabric sets the address to which packets for callers are sent.
func WithFabric(address netip.AddrPort) Option {
	return func(a *Agent) {
		a.fabric = address
	}
}

// WithIncarnation sets the incarnation in hints, which must be that of the owner
// table.
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

// WithKeepalive sets how long a caller may be silent before it is probed.
func WithKeepalive(idle time.Duration) Option {
	return func(a *Agent) {
		a.keepaliveIdle = idle
	}
}

// New opens the sockets of an agent; table makes the decisions about its flows.
func New(ring *keys.Ring, table *owner.Table, options ...Option) (a *Agent, err error) {
	defer func() { err = eris.Wrap(err, "starting the agent") }()
	a = &Agent{
		listen:        netip.MustParseAddrPort("127.0.0.1:0"),
		ring:          ring,
		logger:        zerolog.Nop(),
		keepaliveIdle: defaultKeepalive,
		senders:       wire.NewSenders(0),
		peers:         newPeers(),
		flows:         newFlows(table, wire.NewSealer(ring)),
		drained:       make(chan struct{}),
		stopped:       make(chan struct{}),
	}
	for _, o := range options {
		o(a)
	}
	a.tunnel, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a.listen))
	if err != nil {
		return nil, err
	}
	err = errors.Join(a.tunnel.SetReadBuffer(socketBufferBytes), a.tunnel.SetWriteBuffer(socketBufferBytes))
	if err != nil {
		return nil, errors.Join(err, a.tunnel.Close())
	}
	a.stack, err = stack.New(stack.WithOutput(a.sendToFabric), stack.WithOpeningHandler(a.completeHandshake))
	if err != nil {
		return nil, errors.Join(err, a.tunnel.Close())
	}
	return a, nil
}

// Address returns the address of the tunnel socket.
func (a *Agent) Address() netip.AddrPort {
	return a.tunnel.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Run handles packets until ctx ends, then aborts the flows that are left.
func (a *Agent) Run(ctx context.Context) {
	var w sync.WaitGroup
	w.Go(func() { a.receive(a.tunnel) })
	w.Go(func() { a.tick(ctx) })
	<-ctx.Done()
	_ = a.tunnel.Close()
	_ = a.closeNewLinks()
	w.Wait()
	close(a.stopped)
	a.abortAll()
	a.running.Wait()
	a.stack.Close()
}

// Drain makes the agent accept no new flows from now on and abort the open ones at
// the deadline.
// The channel of Drained is closed when no flow is left.
func (a *Agent) Drain(deadline time.Time) {
	a.step(owner.Drain{
		Deadline: deadline,
	}, nil)
}

// RunLocked runs change under the lock of the owner table, so that it may read
// or change the admission controller.
func (a *Agent) RunLocked(change func()) {
	a.flows.mutex.Lock()
	defer a.flows.mutex.Unlock()
	change()
}

// Drained returns a channel that is closed once a drain has ended.
func (a *Agent) Drained() <-chan struct{} {
	return a.drained
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

// receive handles the datagrams of one socket until it is closed.
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
			a.counts.countFault(err)
			continue
		}
		a.handleMessage(socket, m, from)
	}
}

func (a *Agent) handleMessage(socket *net.UDPConn, m *wire.Message, from netip.AddrPort) {
	switch m.Kind {
	case wire.Packet:
		a.handlePacket(m)
	case wire.Probe:
		a.answerProbe(socket, m, from)
	case wire.Answer:
		a.stepPeers(probe.Answered{
			Peer: from,
		})
	default:
		a.counts.foreignKind.Add(1)
	}
}

func (a *Agent) handlePacket(m *wire.Message) {
	p, err := link.Parse(m.Inner)
	if err != nil || int(m.Position) >= len(m.Candidates) {
		a.counts.malformedInner.Add(1)
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
		Silent:      a.peers.silentBits(m.Candidates),
		Balancer:    m.Balancer,
	}, m)
}

// answerProbe returns the probe as an answer to its sender, which then knows that
// the link works.
func (a *Agent) answerProbe(socket *net.UDPConn, m *wire.Message, from netip.AddrPort) {
	m.Kind = wire.Answer
	a.flows.send(socket, m, from)
}

// sendToFabric passes a packet for the caller to the owner table and sends it to the
// fabric.
func (a *Agent) sendToFabric(packet []byte) {
	p, ok := parseReverse(packet)
	if ok {
		a.step(owner.PacketFromEndpoint{
			Packet: p,
		}, nil)
	}
	_, _ = a.tunnel.WriteToUDPAddrPort(packet, a.fabric)
}

// parseReverse parses a packet to the caller. It swaps the two ends in the key: the
// key of a flow is that of the packets from the caller.
func parseReverse(packet []byte) (link.Packet, bool) {
	p, err := link.Parse(packet)
	if err != nil {
		return p, false
	}
	p.Key.Caller, p.Key.Target = p.Key.Target, p.Key.Caller
	p.Key.CallerPort, p.Key.TargetPort = p.Key.TargetPort, p.Key.CallerPort
	return p, true
}
