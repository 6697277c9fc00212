package stack

import (
	"context"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	gstack "gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/waiter"

	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

const (
	timeWait          = 2 * time.Second
	keepaliveInterval = 5 * time.Second
	keepaliveProbes   = 3
)

// Opening is an opening packet that waits for an answer. Exactly one of Accept
// and Drop must be called.
type Opening struct {
	Key     link.Key
	request *tcp.ForwarderRequest
}

// Conn is one TCP connection with a caller.
type Conn struct {
	*gonet.TCPConn
	endpoint tcpip.Endpoint
}

func (s *Stack) forward(r *tcp.ForwarderRequest) {
	s.opening(&Opening{
		Key:     keyOf(r.ID()),
		request: r,
	})
}

// Accept completes the caller's handshake; keepalive probes start after idle.
func (o *Opening) Accept(idle time.Duration) (c *Conn, err error) {
	defer func() { err = eris.Wrap(err, "completing the caller's handshake") }()
	defer o.request.Complete(false)
	queue := &waiter.Queue{}
	endpoint, e := o.request.CreateEndpoint(queue)
	if e != nil {
		return nil, eris.New(e.String())
	}
	if e := keepAlive(endpoint, idle); e != nil {
		endpoint.Abort()
		return nil, eris.New(e.String())
	}
	return &Conn{
		TCPConn:  gonet.NewTCPConn(queue, endpoint),
		endpoint: endpoint,
	}, nil
}

// Drop forgets the opening without an answer.
func (o *Opening) Drop() {
	o.request.Complete(false)
}

// Abort resets the connection.
func (c *Conn) Abort() {
	c.endpoint.Abort()
}

// Lingers tells whether the stack still answers for the connection.
func (c *Conn) Lingers() bool {
	switch tcp.EndpointState(c.endpoint.State()) {
	case tcp.StateClose, tcp.StateError:
		return false
	default:
		return true
	}
}

// Dial opens a connection from one address to another.
func (s *Stack) Dial(ctx context.Context, from, to netip.AddrPort) (c *gonet.TCPConn, err error) {
	defer func() { err = eris.Wrapf(err, "dialling %s", to) }()
	return gonet.DialTCPWithBind(ctx, s.stack, full(from), full(to), ipv4.ProtocolNumber)
}

func keepAlive(endpoint tcpip.Endpoint, idle time.Duration) tcpip.Error {
	endpoint.SocketOptions().SetKeepAlive(true)
	endpoint.SocketOptions().SetDelayOption(false)
	wait := tcpip.KeepaliveIdleOption(idle)
	if e := endpoint.SetSockOpt(&wait); e != nil {
		return e
	}
	interval := tcpip.KeepaliveIntervalOption(keepaliveInterval)
	if e := endpoint.SetSockOpt(&interval); e != nil {
		return e
	}
	return endpoint.SetSockOptInt(tcpip.KeepaliveCountOption, keepaliveProbes)
}

func full(a netip.AddrPort) tcpip.FullAddress {
	return tcpip.FullAddress{
		NIC:  nic,
		Addr: tcpip.AddrFrom4(a.Addr().As4()),
		Port: a.Port(),
	}
}

func keyOf(id gstack.TransportEndpointID) link.Key {
	caller := id.RemoteAddress.As4()
	target := id.LocalAddress.As4()
	return link.Key{
		Caller:     binary.BigEndian.Uint32(caller[:]),
		Target:     binary.BigEndian.Uint32(target[:]),
		CallerPort: id.RemotePort,
		TargetPort: id.LocalPort,
		Protocol:   uint8(pact.TCP),
	}
}
