// Package stack terminates TCP in userspace: it converts IPv4 packets to byte streams and
// back. It uses only the TCP/IP packages of gvisor.dev/gvisor.
package stack

import (
	"context"

	"github.com/rotisserie/eris"
	"gvisor.dev/gvisor/pkg/buffer"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/link/channel"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	gstack "gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
)

const (
	nic = tcpip.NICID(1)
	// DefaultMTUBytes leaves room for the tunnel header on a path with an MTU of 1,500
	// bytes.
	DefaultMTUBytes    = 1180
	maxQueuedPackets   = 4096
	maxHandshakes      = 4096
	receiveWindowBytes = 64 << 10
)

// Stack is a userspace TCP/IP stack that accepts packets for every address.
type Stack struct {
	stack         *gstack.Stack
	link          *channel.Endpoint
	output        func(packet []byte)
	handleOpening func(*Opening)
	mtu           uint32
	cancel        context.CancelFunc
	done          chan struct{}
}

// Option configures a Stack.
type Option func(*Stack)

// WithMTU limits the size of the IPv4 packets that the stack sends, in bytes.
func WithMTU(bytes uint32) Option {
	return func(s *Stack) {
		s.mtu = bytes
	}
}

// WithOutput calls output with each IPv4 packet that the stack sends. The bytes are valid
// only during the call.
func WithOutput(output func(packet []byte)) Option {
	return func(s *Stack) {
		s.output = output
	}
}

// WithOpeningHandler calls handle with each opening that the stack receives, in a separate
// goroutine.
func WithOpeningHandler(handle func(*Opening)) Option {
	return func(s *Stack) {
		s.handleOpening = handle
	}
}

// New creates and starts a Stack. It runs until Close.
func New(options ...Option) (s *Stack, err error) {
	defer func() { err = eris.Wrap(err, "starting the TCP/IP stack") }()
	s = &Stack{
		output: func([]byte) {},
		mtu:    DefaultMTUBytes,
		done:   make(chan struct{}),
	}
	for _, o := range options {
		o(s)
	}
	s.stack = gstack.New(gstack.Options{
		NetworkProtocols: []gstack.NetworkProtocolFactory{
			ipv4.NewProtocol,
		},
		TransportProtocols: []gstack.TransportProtocolFactory{
			tcp.NewProtocol,
		},
	})
	s.link = channel.New(maxQueuedPackets, s.mtu, "")
	err = s.configure()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.outputPackets(ctx)
	return s, nil
}

func (s *Stack) configure() (err error) {
	if e := s.stack.CreateNIC(nic, s.link); e != nil {
		return eris.New(e.String())
	}
	if e := s.stack.SetPromiscuousMode(nic, true); e != nil {
		return eris.New(e.String())
	}
	if e := s.stack.SetSpoofing(nic, true); e != nil {
		return eris.New(e.String())
	}
	s.stack.SetRouteTable([]tcpip.Route{
		{
			Destination: header.IPv4EmptySubnet,
			NIC:         nic,
		},
	})
	sack := tcpip.TCPSACKEnabled(true)
	if e := s.stack.SetTransportProtocolOption(tcp.ProtocolNumber, &sack); e != nil {
		return eris.New(e.String())
	}
	timeWait := tcpip.TCPTimeWaitTimeoutOption(timeWaitTimeout)
	if e := s.stack.SetTransportProtocolOption(tcp.ProtocolNumber, &timeWait); e != nil {
		return eris.New(e.String())
	}
	if s.handleOpening != nil {
		f := tcp.NewForwarder(s.stack, receiveWindowBytes, maxHandshakes, s.handleRequest)
		s.stack.SetTransportProtocolHandler(tcp.ProtocolNumber, f.HandlePacket)
	}
	return nil
}

// Inject passes one IPv4 packet to the stack. It copies the bytes.
func (s *Stack) Inject(packet []byte) {
	p := gstack.NewPacketBuffer(gstack.PacketBufferOptions{
		Payload: buffer.MakeWithData(packet),
	})
	s.link.InjectInbound(ipv4.ProtocolNumber, p)
	p.DecRef()
}

// Close stops the stack and ends every connection in it.
func (s *Stack) Close() {
	s.cancel()
	<-s.done
	s.stack.Close()
	s.link.Close()
}

func (s *Stack) outputPackets(ctx context.Context) {
	defer close(s.done)
	for {
		p := s.link.ReadContext(ctx)
		if p == nil {
			return
		}
		v := p.ToView()
		s.output(v.AsSlice())
		v.Release()
		p.DecRef()
	}
}
