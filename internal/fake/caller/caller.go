// Package caller simulates callers with a userspace TCP/IP stack that exchanges its
// packets with the fake fabric.
package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/edge/stack"
)

const (
	maxPacketBytes    = 2048
	socketBufferBytes = 4 << 20
	firstPort         = 10_000
	portsPerHost      = 50_000
	headerTimeout     = 30 * time.Second
)

// Caller is one calling host with its own IPv4 address.
type Caller struct {
	address netip.Addr
	socket  *net.UDPConn
	stack   *stack.Stack
	ports   atomic.Uint32
}

// New returns a caller with the given IPv4 address that sends its packets to the
// fabric.
func New(address netip.Addr, fabric netip.AddrPort) (c *Caller, err error) {
	defer func() { err = eris.Wrap(err, "opening a caller") }()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{
		IP: fabric.Addr().AsSlice(),
	})
	if err != nil {
		return nil, err
	}
	err = errors.Join(socket.SetReadBuffer(socketBufferBytes), socket.SetWriteBuffer(socketBufferBytes))
	if err != nil {
		return nil, err
	}
	c = &Caller{
		address: address,
		socket:  socket,
	}
	c.stack, err = stack.New(stack.WithOutput(func(packet []byte) {
		_, _ = socket.WriteToUDPAddrPort(packet, fabric)
	}))
	if err != nil {
		return nil, err
	}
	go c.receive()
	return c, nil
}

// Dial opens a connection to a service from the next port.
func (c *Caller) Dial(ctx context.Context, target netip.AddrPort) (net.Conn, error) {
	port := firstPort + c.ports.Add(1)%portsPerHost
	conn, err := c.stack.Dial(ctx, netip.AddrPortFrom(c.address, uint16(port)), target)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// Client returns an HTTP client that opens a new flow for each request.
func (c *Caller) Client() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives:     true,
			ResponseHeaderTimeout: headerTimeout,
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				target, err := netip.ParseAddrPort(address)
				if err != nil {
					return nil, err
				}
				return c.Dial(ctx, target)
			},
		},
	}
}

// Close closes the socket and the stack with its connections.
func (c *Caller) Close() {
	_ = c.socket.Close()
	c.stack.Close()
}

func (c *Caller) receive() {
	b := make([]byte, maxPacketBytes)
	for {
		n, err := c.socket.Read(b)
		if err != nil {
			return
		}
		c.stack.Inject(b[:n])
	}
}
