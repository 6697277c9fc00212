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
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

const (
	timeWaitTimeout   = 2 * time.Second
	keepaliveInterval = 5 * time.Second
	keepaliveProbes   = 3
)

// Opening is a caller's SYN that waits for an answer. Exactly one of Accept and Drop must
// be called.
type Opening struct {
	Key     link.Key
	request *tcp.ForwarderRequest
}

// Conn is one TCP connection to a caller.
type Conn struct {
	*gonet.TCPConn
	endpoint tcpip.Endpoint
}

func (s *Stack) handleRequest(r *tcp.ForwarderRequest) {
	s.handleOpening(&Opening{
		Key:     flowKey(r.ID()),
		request: r,
	})
}

// Accept completes the caller's handshake. Keepalive probes start after the connection
// was idle for keepaliveDelay.
func (o *Opening) Accept(keepaliveDelay time.Duration) (c *Conn, err error) {
	defer func() { err = eris.Wrap(err, "completing the caller's handshake") }()
	defer o.request.Complete(false)
	queue := &waiter.Queue{}
	endpoint, e := o.request.CreateEndpoint(queue)
	if e != nil {
		return nil, eris.New(e.String())
	}
	if e := enableKeepalive(endpoint, keepaliveDelay); e != nil {
		endpoint.Abort()
		return nil, eris.New(e.String())
	}
	return &Conn{
		TCPConn:  gonet.NewTCPConn(queue, endpoint),
		endpoint: endpoint,
	}, nil
}

// Drop discards the opening without answering the caller.
func (o *Opening) Drop() {
	o.request.Complete(false)
}

// Abort resets the connection with an RST.
func (c *Conn) Abort() {
	c.endpoint.Abort()
}

// Lingers reports whether the stack still answers packets of the connection.
func (c *Conn) Lingers() bool {
	switch tcp.EndpointState(c.endpoint.State()) {
	case tcp.StateClose, tcp.StateError:
		return false
	default:
		return true
	}
}

// Dial opens a connection from the address from to the address to.
func (s *Stack) Dial(ctx context.Context, from, to netip.AddrPort) (c *gonet.TCPConn, err error) {
	defer func() { err = eris.Wrapf(err, "dialling %s", to) }()
	return gonet.DialTCPWithBind(ctx, s.stack, fullAddress(from), fullAddress(to), ipv4.ProtocolNumber)
}

func enableKeepalive(endpoint tcpip.Endpoint, delay time.Duration) tcpip.Error {
	endpoint.SocketOptions().SetKeepAlive(true)
	endpoint.SocketOptions().SetDelayOption(false)
	idle := tcpip.KeepaliveIdleOption(delay)
	if e := endpoint.SetSockOpt(&idle); e != nil {
		return e
	}
	interval := tcpip.KeepaliveIntervalOption(keepaliveInterval)
	if e := endpoint.SetSockOpt(&interval); e != nil {
		return e
	}
	return endpoint.SetSockOptInt(tcpip.KeepaliveCountOption, keepaliveProbes)
}

func fullAddress(a netip.AddrPort) tcpip.FullAddress {
	return tcpip.FullAddress{
		NIC:  nic,
		Addr: tcpip.AddrFrom4(a.Addr().As4()),
		Port: a.Port(),
	}
}

func flowKey(id gstack.TransportEndpointID) link.Key {
	caller := id.RemoteAddress.As4()
	target := id.LocalAddress.As4()
	return link.Key{
		Caller:     binary.BigEndian.Uint32(caller[:]),
		Target:     binary.BigEndian.Uint32(target[:]),
		CallerPort: id.RemotePort,
		TargetPort: id.LocalPort,
		Protocol:   uint8(spec.TCP),
	}
}
