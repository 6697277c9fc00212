//go:build linux

// Package batch reads and writes UDP datagrams many at a time, by the Linux
// calls recvmmsg and sendmmsg, with IPv4 addresses and no allocation for each
// datagram. The batches of golang.org/x/net/ipv4 make the same calls but
// allocate every source address twice, so the calls are made here.
package batch

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// socketBytes is the kernel's buffer asked for each way of a socket; the kernel
// grants as much of it as its own limit allows.
const socketBytes = 4 << 20

// Socket is one UDP socket. Several may have one address: the kernel spreads the
// source addresses of datagrams over them.
type Socket struct {
	conn  *net.UDPConn
	raw   syscall.RawConn
	local netip.AddrPort
}

// Listen opens a socket on an IPv4 address that no other socket has; port 0 lets
// the kernel choose.
func Listen(local netip.AddrPort) (s *Socket, err error) {
	return listen(local, net.ListenConfig{})
}

// ListenMany opens count sockets on one address that no other socket has. Port 0
// gives all of them the port that the kernel chose for the first.
//
// The first one is bound before it allows others: the kernel takes sockets that
// are bound with SO_REUSEPORT for friends, so a second process on the address
// would be given a part of the datagrams, and port 0 may choose a port in use.
func ListenMany(local netip.AddrPort, count int) (list []*Socket, err error) {
	first, err := Listen(local)
	if err != nil {
		return nil, err
	}
	list = append(list, first)
	if err = sharePort("", "", first.raw); err != nil {
		return nil, errors.Join(err, CloseAll(list))
	}
	for len(list) < count {
		s, err := listen(first.local, net.ListenConfig{
			Control: sharePort,
		})
		if err != nil {
			return nil, errors.Join(err, CloseAll(list))
		}
		list = append(list, s)
	}
	return list, nil
}

func listen(local netip.AddrPort, config net.ListenConfig) (s *Socket, err error) {
	defer func() {
		err = eris.Wrapf(err, "listening on %s", local)
	}()
	c, err := config.ListenPacket(context.Background(), "udp4", local.String())
	if err != nil {
		return nil, err
	}
	s = &Socket{
		conn: c.(*net.UDPConn),
	}
	s.local = s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	s.raw, err = s.conn.SyscallConn()
	if err == nil {
		err = errors.Join(s.conn.SetReadBuffer(socketBytes), s.conn.SetWriteBuffer(socketBytes))
	}
	if err != nil {
		return nil, errors.Join(err, s.conn.Close())
	}
	return s, nil
}

// CloseAll closes every socket of the list.
func CloseAll(list []*Socket) (err error) {
	for _, s := range list {
		err = errors.Join(err, s.Close())
	}
	return err
}

func sharePort(_, _ string, c syscall.RawConn) (err error) {
	control := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(control, err)
}

// Local is the socket's own address.
func (s *Socket) Local() netip.AddrPort {
	return s.local
}

// WriteTo sends one datagram at once.
func (s *Socket) WriteTo(b []byte, to netip.AddrPort) error {
	_, err := s.conn.WriteToUDPAddrPort(b, to)
	return err
}

// SetReadDeadline lets reads fail with os.ErrDeadlineExceeded from then on; the
// zero time lifts it.
func (s *Socket) SetReadDeadline(at time.Time) error {
	return s.conn.SetReadDeadline(at)
}

// Close ends pending and later reads and writes with net.ErrClosed.
func (s *Socket) Close() error {
	return s.conn.Close()
}
