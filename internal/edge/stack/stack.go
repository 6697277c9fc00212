// Package stack terminates TCP in userspace: it turns IPv4 packets into byte
// streams and back. Of gvisor.dev/gvisor only the TCP/IP packages are used.
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
	// DefaultMTUBytes leaves room for the tunnel's header on a path of 1,500.
	DefaultMTUBytes = 1180
	queuePackets    = 4096
	handshakesMost  = 4096
	receiveBytes    = 64 << 10
)

// Stack is one userspace TCP/IP stack that answers for every address.
type Stack struct {
	stack   *gstack.Stack
	link    *channel.Endpoint
	output  func(packet []byte)
	opening func(*Opening)
	mtu     uint32
	cancel  context.CancelFunc
	done    chan struct{}
}

// Option sets one property of a Stack.
type Option func(*Stack)

// WithMTU bounds the IPv4 packets that the stack sends, in bytes.
func WithMTU(bytes uint32) Option {
	return func(s *Stack) {
		s.mtu = bytes
	}
}

// WithOutput takes each IPv4 packet that the stack sends. The bytes are valid
// only during the call.
func WithOutput(output func(packet []byte)) Option {
	return func(s *Stack) {
		s.output = output
	}
}

// WithOpening takes each opening that was given to the stack, in a goroutine of
// its own.
func WithOpening(opening func(*Opening)) Option {
	return func(s *Stack) {
		s.opening = opening
	}
}

// New starts a stack. Close ends it.
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
	s.link = channel.New(queuePackets, s.mtu, "")
	err = s.configure()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.pump(ctx)
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
	wait := tcpip.TCPTimeWaitTimeoutOption(timeWait)
	if e := s.stack.SetTransportProtocolOption(tcp.ProtocolNumber, &wait); e != nil {
		return eris.New(e.String())
	}
	if s.opening != nil {
		f := tcp.NewForwarder(s.stack, receiveBytes, handshakesMost, s.forward)
		s.stack.SetTransportProtocolHandler(tcp.ProtocolNumber, f.HandlePacket)
	}
	return nil
}

// Inject gives the stack one IPv4 packet; the bytes are copied.
func (s *Stack) Inject(packet []byte) {
	p := gstack.NewPacketBuffer(gstack.PacketBufferOptions{
		Payload: buffer.MakeWithData(packet),
	})
	s.link.InjectInbound(ipv4.ProtocolNumber, p)
	p.DecRef()
}

// Close ends the stack and every connection in it.
func (s *Stack) Close() {
	s.cancel()
	<-s.done
	s.stack.Close()
	s.link.Close()
}

func (s *Stack) pump(ctx context.Context) {
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
